# Licensed under the Apache License 2.0: see LICENSE for details.

"""Connections of a soak's callers, whose answers are read strictly.

They are kept until the process at the other side is gone or ends them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from standins.answers import End, ReadAnswer, take_answer

LINE_END = "\r\n"


class CallerConnection(asyncio.Protocol):
    """One connection; one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.unread = b""
        self.end = End.OPEN
        self.changed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """:param transport: its transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """:param data: what has come, whether it was asked for or not."""
        self.unread += data
        self.changed.set()

    def connection_lost(self, error: Exception | None) -> None:
        """:param error: how it broke; None where it was closed."""
        self.end = End.CLOSED if error is None else End.RESET
        self.changed.set()

    async def exchange(self, request: bytes, method: str) -> ReadAnswer | None:
        """Send a request, and wait for its answer.

        :param request: its bytes.
        :param method: its method.
        :returns: the answer; None where the connection ends before it.
        :raises NotAnAnswerError: if what comes is none.
        """
        assert self.transport is not None
        self.transport.write(request)
        while True:
            self.changed.clear()
            found = take_answer(self.unread, method, self.end)
            if found is not None:
                answer, self.unread = found
                return answer
            if self.end is not End.OPEN:
                return None
            await self.changed.wait()

    def abort(self) -> None:
        """End it at once."""
        if self.transport is not None:
            self.transport.abort()


class Connections:
    """The kept connections to one VM.

    :param host: the VM's host.
    :param port: its port for callers.
    """

    def __init__(self, host: str, port: int) -> None:
        self.place = (host, port)
        self.idle: list[CallerConnection] = []
        # Whether each request has a connection of its own.
        self.fresh = False
        # What came on connections on which no request was waiting.
        self.strays: list[bytes] = []

    async def take(self) -> CallerConnection:
        """:returns: a connection that nobody uses; a new one if there is none."""
        self._drop_ended()
        if self.idle and not self.fresh:
            return self.idle.pop()
        loop = asyncio.get_running_loop()
        _, made = await loop.create_connection(CallerConnection, *self.place)
        return made

    def give_back(self, connection: CallerConnection) -> None:
        """:param connection: one whose answer has ended."""
        self.idle.append(connection)

    def close(self) -> None:
        """Close all that are idle, and look for what came by them last."""
        self._drop_ended()
        for connection in self.idle:
            connection.abort()

    def _drop_ended(self) -> None:
        kept = []
        for connection in self.idle:
            if connection.unread:
                self.strays.append(connection.unread)
                connection.abort()
            elif connection.end is End.OPEN:
                kept.append(connection)
        self.idle = kept


def encode_request(
    method: str, target: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    """:returns: a request's bytes."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return LINE_END.join([*lines, "", ""]).encode() + body
