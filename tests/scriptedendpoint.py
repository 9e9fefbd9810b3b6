# Licensed under the Apache License 2.0: see LICENSE for details.

"""An endpoint that answers each request by a script, byte by byte."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from unittest import mock

from walnutquay.transport.client import HttpClient
from walnutquay.transport.loops import new_loop
from walnutquay.transport.strays import Stray, StrayKind

ID = "x-id"
# What a test waits for has come long before.
LIMIT_SECONDS = 5.0


@dataclass
class Asked:
    """A request as the endpoint got it.

    :param path: its path.
    :param request: its id.
    :param number: how many came on its connection before it.
    """

    path: str
    request: str
    number: int


def head(request: str = "", length: int | None = None, *more: str) -> bytes:
    """:returns: the head of an answer."""
    lines = ["HTTP/1.1 200 OK", *more]
    if request:
        lines.append(f"{ID}: {request}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()


def answer(request: str = "", body: bytes = b"", *more: str) -> bytes:
    """:returns: an answer."""
    return head(request, len(body), *more) + body


def chunked(request: str, *parts: bytes) -> bytes:
    """:returns: an answer in chunks."""
    sent = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (*parts, b""))
    return head(request, None, "Transfer-Encoding: chunked") + sent


Script = Callable[[Asked], AsyncIterator[bytes]]


class DaemonLoops(asyncio.DefaultEventLoopPolicy):
    """Has tests run on the daemons' loop."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """:returns: a loop as the daemons use it."""
        return new_loop()


class ScriptedEndpointCase(unittest.IsolatedAsyncioTestCase):
    """Starts an endpoint that answers each request by a script."""

    @classmethod
    def setUpClass(cls) -> None:
        asyncio.set_event_loop_policy(DaemonLoops())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)

    async def asyncSetUp(self) -> None:
        # On a busy machine a connection may take longer than callers wait for one.
        patience = mock.patch(
            "walnutquay.transport.client.CONNECT_SECONDS", LIMIT_SECONDS
        )
        patience.start()
        self.addCleanup(patience.stop)
        self.strays: list[Stray] = []
        self.client = HttpClient(ID, self.strays.append)
        self.addAsyncCleanup(self.client.close)
        self.connections = 0
        # Connections that their caller has ended.
        self.ended = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, script: Script) -> None:
        """Listen."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self.connections += 1
            number = 0
            try:
                while True:
                    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                    ids = [line.split(": ")[1] for line in lines if ID in line.lower()]
                    asked = Asked(lines[0].split()[1], (ids or [""])[0], number)
                    number += 1
                    async for data in script(asked):
                        writer.write(data)
                        await writer.drain()
            except (EOFError, OSError, asyncio.CancelledError):
                self.ended += 1
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]

    async def call(self, path: str, request: str = "", **more: object) -> bytes:
        """:returns: the body of the answer to a request."""
        async with self.client.request(
            "GET",
            f"http://127.0.0.1:{self.port}{path}",
            peer="endpoint",
            headers={ID: request} if request else None,
            timeout=LIMIT_SECONDS,
            **more,
        ) as got:
            return await got.read()

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until something is so."""
        async with asyncio.timeout(LIMIT_SECONDS):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.001)

    def kinds(self) -> list[StrayKind]:
        """:returns: the strays that were told of."""
        return [stray.kind for stray in self.strays]
