# Licensed under the Apache License 2.0: see LICENSE for details.

"""A client of the second review's scripts, which keeps its connection."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import stage

PAUSE_SECONDS = 0.05
RETRY_SECONDS = 0.2


@dataclass
class Got:
    """An answer.

    :param status: its status; 0 if none came.
    :param headers: its headers, by name in lower case.
    :param body: its body.
    :param whole: whether it ended as its framing says.
    :param earlier: how many answers had come by its connection before.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    earlier: int = 0


def request_bytes(
    request: str, target: str, body: bytes, deadline: int, *more: str
) -> bytes:
    """:returns: a request as the pages show it."""
    lines = [
        f"POST {target} HTTP/1.1",
        f"Host: {stage.HOST}",
        f"Request-Id: {request}",
        f"Deadline: {deadline}",
        f"Authorization: Bearer {stage.KEY}",
        f"Content-Length: {len(body)}",
        *more,
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader: asyncio.StreamReader, got: Got) -> None:
    """Read an answer as far as it comes.

    :param reader: the connection.
    :param got: the answer, filled as it comes.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    got.status = int(first.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        got.headers[name.lower()] = value.strip()
    if "chunked" in got.headers.get("transfer-encoding", ""):
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            got.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        length = int(got.headers.get("content-length", "0"))
        got.body = await reader.readexactly(length)
    got.whole = True


class Client:
    """Sends one request after the other on a kept connection.

    :param ip: the VM's address.
    :param port: its port.
    :param target: the path.
    :param body: the body of each request.
    """

    def __init__(
        self, ip: str, port: int, target: str = "/puxa403/2f", body: bytes = b"quote"
    ) -> None:
        self.address = (ip, port)
        self.target = target
        self.body = body
        self.deadline = 3000
        self.outcomes: Counter[str] = Counter()
        # Told of each request with its id, when it was sent, and what came.
        self.on_answer: Callable[[str, float, Got], None] = lambda *args: None

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                self.outcomes["no connection"] += 1
                await asyncio.sleep(RETRY_SECONDS)
                continue
            goes_on, answers = True, 0
            try:
                while goes_on:
                    goes_on = await self._one(reader, writer, answers)
                    answers += 1
                    await asyncio.sleep(PAUSE_SECONDS)
            except (OSError, EOFError):
                await asyncio.sleep(PAUSE_SECONDS)
            finally:
                writer.close()

    async def _one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, earlier: int
    ) -> bool:
        """Send one request.

        :param earlier: how many answers have come by the connection.
        :returns: whether the connection goes on.
        """
        request = secrets.token_hex(8)
        sent_at = time.monotonic()
        got = Got(earlier=earlier)
        try:
            writer.write(request_bytes(request, self.target, self.body, self.deadline))
            await read_answer(reader, got)
        finally:
            self.outcomes[str(got.status) if got.whole else "cut"] += 1
            self.on_answer(request, sent_at, got)
        return got.headers.get("connection", "").lower() != "close"
