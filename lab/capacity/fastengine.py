# Licensed under the Apache License 2.0: see LICENSE for details.

"""An engine that answers at once, so that the entry VM is what is measured."""

from __future__ import annotations

import asyncio
import json
import os

os.environ["UV_USE_IO_URING"] = "0"

import orjson
import uvloop
from sanic import HTTPResponse, Request

from walnutquay.transport.server import HttpServer, ServerLimits

CHOICE = {
    "index": 0,
    "message": {"role": "assistant", "content": "word " * 64},
    "finish_reason": "stop",
}
USAGE = {"prompt_tokens": 100, "completion_tokens": 64}


async def chat(request: Request) -> HTTPResponse:
    """:param request: ``POST /v1/chat/completions``."""
    request_id = request.headers.get("x-request-id", "")
    answer = {"id": request_id, "choices": [CHOICE], "usage": USAGE}
    return HTTPResponse(
        orjson.dumps(answer),
        headers={"x-request-id": request_id},
        content_type="application/json",
    )


async def report(request: Request) -> HTTPResponse:
    """:param request: ``GET /report``."""
    return HTTPResponse(
        orjson.dumps({"incarnation": "1", "running": 0, "waiting": 0}),
        content_type="application/json",
    )


async def serve() -> None:
    """Serve until ended."""
    server = HttpServer(
        "engine", ServerLimits(), lambda request, error: HTTPResponse(status=500)
    )
    server.route("/v1/chat/completions", ["POST"], chat, "chat")
    server.route("/report", ["GET"], report, "report")
    await server.start("127.0.0.1", 0)
    print(json.dumps({"ready": {"http": server.port}}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(serve())
