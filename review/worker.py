"""A worker of a plain service and of streams, which answers without a length.

The pages allow that: an answer may have no length and end with its connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

HEAD_END = b"\r\n\r\n"
PARTS = 10


@dataclass
class Worker:
    """A worker that sends each answer in parts, with pauses between them.

    :param name: its id.
    :param tell: told of what it runs.
    :param pause: seconds between two parts.
    :param framed: whether answers have a length.
    :param paused: the beginning of the paths whose answers come in parts.
    """

    name: str
    tell: Callable[[str], None]
    pause: float = 0.2
    framed: bool = False
    paused: str = "/"
    address: str = ""
    # The whole body of each request that was run, by the request's id.
    bodies: dict[str, bytes] = field(default_factory=dict)
    runs: dict[str, int] = field(default_factory=dict)
    headers: dict[str, dict[str, str]] = field(default_factory=dict)
    # The requests whose answers were begun and are not sent to their end.
    under_way: set[str] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Take no more connections."""
        if self.server is not None:
            self.server.close()

    def entry(self, service: str) -> dict[str, object]:
        """Return what it writes into the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": "hall-a",
            "version": "v1",
            "slots": 32,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(HEAD_END)).decode("latin-1")
        first, *lines = head.split("\r\n")[:-2]
        _, path, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        await reader.readexactly(int(headers.get("content-length", "0")))
        request = headers.get("request-id", "")
        wanted = headers.get("target-instance", self.name)
        if wanted != self.name:
            writer.write(b"HTTP/1.1 421 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        self.runs[request] = self.runs.get(request, 0) + 1
        self.headers[request] = headers
        self.tell(f"worker {self.name} runs {request} ({path})")
        stream = path.startswith("/stream/")
        parts = [self._part(request, number, stream) for number in range(PARTS)]
        if stream:
            last = int(headers.get("last-event-id", "0"))
            parts = parts[last:]
        self.bodies[request] = b"".join(parts)
        kind = "text/event-stream" if stream else "text/plain"
        framing = "Connection: close"
        if self.framed:
            length = len(self.bodies[request])
            framing = f"Content-Length: {length}"
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nContent-Type: {kind}\r\n"
            f"Reply-Seal: seal-of-{request}\r\n{framing}\r\n\r\n".encode()
        )
        self.under_way.add(request)
        pause = self.pause if path.startswith(self.paused) else 0.0
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause)
        self.under_way.discard(request)
        self.tell(f"worker {self.name} has sent all of {request}")
        return self.framed

    def _part(self, request: str, number: int, stream: bool) -> bytes:
        if stream:
            return f"id: {number + 1}\ndata: {request} {number + 1}\n\n".encode()
        return f"{request} part {number + 1} of {PARTS}\n".encode()
