# Licensed under the Apache License 2.0: see LICENSE for details.

"""A stand-in for an endpoint of the users' platform, in the test's own process.

It speaks HTTP by hand, so that it can break answers as real endpoints do.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from standins.behaviour import Behaviour, Seen
from standins.ports import HOST, HeldPorts
from standins.slots import WorkSlots, caller_ends, while_connected

# Seconds for which a mute endpoint says nothing.
MUTE_SECONDS = 60.0
# Seconds between two pieces of an answer.
PIECE_SECONDS = 0.01
# Seconds between two blocks of bytes without end.
ENDLESS_PAUSE_SECONDS = 0.0
LAST_CHUNK = b"0\r\n\r\n"


class WorkerStandIn:
    """One endpoint.

    :param name: its instance name; requests for another get 421.
    :param default: how requests are answered that no other behaviour waits for.
    """

    def __init__(self, name: str, default: Behaviour | None = None) -> None:
        self.name = name
        self.default = default or Behaviour()
        # How the next requests are answered, one each.
        self.next: deque[Behaviour] = deque()
        # Chooses a behaviour by the request, where it returns one.
        self.choose: Callable[[Seen], Behaviour | None] = lambda seen: None
        # What was run, in order, and what was turned away.
        self.runs: list[Seen] = []
        self.turned_away: list[Seen] = []
        self.connections = 0
        # Headers of all its answers.
        self.headers: dict[str, str] = {}
        # What it can run at once; None without a limit.
        self.slots: WorkSlots | None = None
        # Second answers that are still to come, by the connection they are owed on.
        self.owed: dict[asyncio.StreamWriter, bytes] = {}
        self.server: asyncio.Server | None = None
        # Nobody else is given the port while the endpoint is away.
        self.held = HeldPorts()
        self.tasks: set[asyncio.Task] = set()
        self.address = ""
        # The connections that are open now, and how often the endpoint has ended.
        self.writers: set[asyncio.StreamWriter] = set()
        self.crashes = 0
        # Told when it ends.
        self.on_crash: Callable[[], None] = lambda: None
        # Whether it has ended, and is not back yet.
        self.ended = False

    async def start(self) -> None:
        """Listen at a free port."""
        (port,) = self.held.take(1)
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.address = f"{HOST}:{port}"

    async def stop(self) -> None:
        """Close everything."""
        self.held.close()
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()

    def crash(self) -> None:
        """End as a process that is killed: its port and its connections are closed."""
        self.crashes += 1
        self.ended = True
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.on_crash()

    async def come_back(self, name: str) -> None:
        """Listen again where it was, as a new start.

        :param name: its name from now on.
        """
        self.name = name
        self.ended = False
        self.headers = {}
        host, _, port = self.address.partition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def spec(self, service: str, **more: object) -> dict[str, object]:
        """:param service: the service that it runs.

        :param more: fields that are not as usual.
        :returns: its entry in the store.
        """
        return {
            "service": service,
            "address": self.address,
            "zone": "hall-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            **more,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        task.add_done_callback(self.tasks.discard)
        try:
            while await self._one(reader, writer):
                pass
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.owed.pop(writer, None)
            writer.close()

    async def _one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request.

        :returns: whether the connection goes on.
        """
        seen = await _read_request(reader)
        seen.start = self.crashes
        writer.write(self.owed.pop(writer, b""))
        expected = seen.headers.get("target-instance", self.name)
        if expected != self.name:
            self.turned_away.append(seen)
            head = f"Instance: {self.name}\r\nContent-Length: 0\r\n\r\n"
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\n" + head.encode())
            return True
        behaviour = self.choose(seen)
        if behaviour is None:
            behaviour = self.next.popleft() if self.next else self.default
        # The slots may be taken away while the request has one.
        slots = self.slots
        if slots is not None and not behaviour.not_run:
            ran = await self._run(reader, seen, slots)
            if ran is None:
                seen.left = True
                return False
            if not ran:
                behaviour = replace(behaviour, status=503, not_run=True, events=None)
        if behaviour.not_run or slots is None:
            (self.turned_away if behaviour.not_run else self.runs).append(seen)
        if behaviour.mute:
            await self._until_left(reader, seen)
            return False
        if behaviour.endless is not None:
            await _send_endless(writer, seen, *behaviour.endless)
            return False
        if behaviour.events is not None:
            return await self._stream(reader, writer, seen, behaviour)
        return await self._plain(writer, seen, behaviour)

    async def _run(
        self, reader: asyncio.StreamReader, seen: Seen, slots: WorkSlots
    ) -> bool | None:
        """Return whether a request got a slot; None if its caller has left."""
        slots.came.append(seen.headers.get("request-id", ""))
        given = seen.headers.get("deadline")
        patience = int(given) / 1000 if given else None
        work = slots.run(patience, lambda: self.runs.append(seen))
        return await while_connected(reader, work)

    async def _until_left(self, reader: asyncio.StreamReader, seen: Seen) -> None:
        async with asyncio.timeout(MUTE_SECONDS):
            seen.left = await caller_ends(reader)

    def _head(self, seen: Seen, behaviour: Behaviour, framing: str) -> bytes:
        request = "another" if behaviour.crossed else seen.headers.get("request-id", "")
        lines = [f"HTTP/1.1 {behaviour.status} X"]
        if behaviour.named:
            lines.append(f"Request-Id: {request}")
        if behaviour.not_run:
            lines.append("Not-Run: 1")
        else:
            lines.append(f"Reply-Seal: seal-of-{self.name}")
        load = {"Load": self.slots.load()} if self.slots else {}
        headers = seen.announced = {**self.headers, **load, **behaviour.headers}
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join([*lines, framing, "", ""]).encode()

    async def _plain(
        self, writer: asyncio.StreamWriter, seen: Seen, behaviour: Behaviour
    ) -> bool:
        if behaviour.pause:
            await asyncio.sleep(behaviour.pause)
        framing = f"Content-Length: {len(behaviour.body)}"
        body = behaviour.body
        if not behaviour.framed:
            framing = "Connection: close"
        elif behaviour.chunked:
            framing = "Transfer-Encoding: chunked"
            body = b"".join(_chunk(bytes([byte])) for byte in body) + LAST_CHUNK
        answer = self._head(seen, behaviour, framing) + body
        if behaviour.cut_after is not None:
            left = len(behaviour.body) - behaviour.cut_after
            writer.write(answer[: len(answer) - left])
            await writer.drain()
            _reset(writer)
            return False
        if behaviour.lacking:
            writer.write(answer[: -behaviour.lacking])
            return False
        await _write_in_pieces(writer, answer + behaviour.junk, behaviour.pieces)
        if behaviour.extra:
            await self._answer_again(writer, answer, behaviour)
        return behaviour.framed

    async def _answer_again(
        self, writer: asyncio.StreamWriter, answer: bytes, behaviour: Behaviour
    ) -> None:
        if behaviour.extra_late:
            self.owed[writer] = answer
        elif behaviour.extra_after:
            sending = _write_after(writer, answer, behaviour.extra_after)
            task = asyncio.ensure_future(sending)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            await _write_in_pieces(writer, answer, behaviour.extra_pieces)

    async def _stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        seen: Seen,
        behaviour: Behaviour,
    ) -> bool:
        assert behaviour.events is not None
        framing = "Transfer-Encoding: chunked"
        if not behaviour.framed:
            framing = "Connection: close"
        head = f"Content-Type: text/event-stream\r\n{framing}"
        writer.write(self._head(seen, behaviour, head))
        chunk = _chunk if behaviour.framed else bytes
        first = behaviour.first or int(seen.headers.get("last-event-id", "0")) + 1
        left = asyncio.ensure_future(caller_ends(reader))
        for number in range(first, behaviour.events + 1):
            if behaviour.crash_after is not None and number > behaviour.crash_after:
                # It ends once, however many of its answers end it.
                if seen.start == self.crashes:
                    self.crash()
                return False
            padding = "." * behaviour.padding
            event = f"id: {number}\ndata: word {number}{padding}\n\n".encode()
            if behaviour.cut_after is not None and number > behaviour.cut_after:
                if behaviour.within:
                    writer.write(chunk(event[: behaviour.within]))
                await writer.drain()
                if not behaviour.cut_orderly:
                    _reset(writer)
                return False
            writer.write(chunk(event))
            if await _is_unread(writer, behaviour.unread_after):
                seen.cut = True
                return False
            if behaviour.gate is not None:
                await behaviour.gate.wait()
            await asyncio.wait([left], timeout=behaviour.pause or None) if (
                behaviour.pause
            ) else await asyncio.sleep(0)
            if left.done():
                seen.left = True
                return False
        if behaviour.framed:
            writer.write(LAST_CHUNK)
        await writer.drain()
        left.cancel()
        return False


async def _write_in_pieces(
    writer: asyncio.StreamWriter, answer: bytes, size: int
) -> None:
    """Write an answer, the first bytes by themselves."""
    writer.write(answer[:size])
    if size:
        # The caller's loop gets the pieces one by one.
        await asyncio.sleep(PIECE_SECONDS)
    writer.write(answer[size:])
    await writer.drain()


async def _send_endless(
    writer: asyncio.StreamWriter, seen: Seen, first: bytes, again: bytes
) -> None:
    """Send bytes until the caller closes."""
    writer.write(first)
    while not writer.is_closing():
        writer.write(again)
        await writer.drain()
        seen.endless += len(again)
        await asyncio.sleep(ENDLESS_PAUSE_SECONDS)


async def _is_unread(writer: asyncio.StreamWriter, seconds: float | None) -> bool:
    """:returns: whether an answer stayed unread for so long, and was cut off."""
    try:
        async with asyncio.timeout(seconds):
            await writer.drain()
    except TimeoutError:
        _reset(writer)
        return True
    return False


async def _write_after(
    writer: asyncio.StreamWriter, answer: bytes, seconds: float
) -> None:
    await asyncio.sleep(seconds)
    if not writer.is_closing():
        writer.write(answer)


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its peer sees a reset."""
    bound = writer.get_extra_info("socket")
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Seen:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split(" ")
    pairs = [line.split(":", 1) for line in lines]
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Seen(method, target, headers, body)
