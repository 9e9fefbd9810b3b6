# Licensed under the Apache License 2.0: see LICENSE for details.

"""The baseline: a bare pass-through of the same Sanic and aiohttp."""

from __future__ import annotations

import asyncio
import json
import os
import sys

os.environ["UV_USE_IO_URING"] = "0"

import aiohttp
import uvloop
from sanic import HTTPResponse, Request

from walnutquay.transport.server import HttpServer, ServerLimits


async def serve(engines: list[str]) -> None:
    """Pass chat requests on to engines in turn.

    :param engines: where they listen.
    """
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=2048))
    turn = 0

    async def chat(request: Request) -> HTTPResponse:
        nonlocal turn
        turn += 1
        url = engines[turn % len(engines)] + "/v1/chat/completions"
        headers = {"content-type": "application/json", "x-request-id": f"r{turn}"}
        async with session.post(url, data=request.body, headers=headers) as answer:
            body = await answer.read()
        return HTTPResponse(body, status=answer.status, content_type="application/json")

    def on_error(request: Request, error: Exception) -> HTTPResponse:
        return HTTPResponse(str(error), status=500)

    server = HttpServer("passthrough", ServerLimits(), on_error)
    server.route("/v1/chat/completions", ["POST"], chat, "chat")
    await server.start("127.0.0.1", 0)
    print(json.dumps({"ready": {"callers": server.port}}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1:]))
