# Licensed under the Apache License 2.0: see LICENSE for details.

"""Large bodies of many requests at once."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from standins.answers import End, ReadAnswer, take_answer
from standins.behaviour import Behaviour
from tests.gatewaycase import HOST, KEY, GatewayCase, catalogue
from tests.scriptedendpoint import DaemonLoops
from walnutquay.daemon import callerbodies
from walnutquay.state.requests.bodymemory import SMALL_BYTES
from walnutquay.transport import client

MEGABYTE = 1 << 20
LARGE = 4 * MEGABYTE
LIMIT = 24 * MEGABYTE
CALLERS = 40
OTHER_KEY = "key-of-org-b"
PART = 64 << 10
# A wait that lasts so long will never end.
PATIENCE_SECONDS = 60


class Sender:
    """A caller that sends a large body as it is told to.

    :param streams: its connection.
    :param head: the head of its request.
    :param chunked: whether the body goes in chunks.
    """

    def __init__(
        self,
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        head: bytes,
        chunked: bool,
    ) -> None:
        self.reader, self.writer = streams
        self.chunked = chunked
        self.writer.write(head)
        self.answer = asyncio.ensure_future(self._read())

    async def _read(self) -> ReadAnswer | None:
        data = b""
        while True:
            found = take_answer(data, "POST", End.OPEN)
            if found is not None:
                return found[0]
            part = await self.reader.read(PART)
            if not part:
                return None
            data += part

    async def send(self, size: int) -> None:
        """Send a part of the body, unless there is an answer already."""
        for _ in range(size // PART):
            if self.answer.done():
                return
            part = b"." * PART
            if self.chunked:
                part = f"{PART:x}\r\n".encode() + part + b"\r\n"
            self.writer.write(part)
            await self.writer.drain()

    async def finish(self) -> ReadAnswer | None:
        """Send the end of the body, and return the answer."""
        if self.chunked and not self.answer.done():
            self.writer.write(b"0\r\n\r\n")
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                return await self.answer
        finally:
            self.writer.close()


class LargeBodiesCase(GatewayCase):
    """A gateway whose callers may send 4 MB."""

    @classmethod
    def setUpClass(cls) -> None:
        asyncio.set_event_loop_policy(DaemonLoops())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)

    async def asyncSetUp(self) -> None:
        # How long a busy machine takes to send and read decides nothing here.
        patient = ((callerbodies, "BODY_SECONDS"), (client, "CONNECT_SECONDS"))
        for module, name in patient:
            self.enterContext(mock.patch.object(module, name, PATIENCE_SECONDS))
        written = catalogue(limits={"maxBodyBytes": LARGE})
        for route in written["routes"]:
            route["timeoutMs"] = PATIENCE_SECONDS * 1000
        with mock.patch("tests.gatewaycase.catalogue", lambda: written):
            await super().asyncSetUp()
        self.memory = self.gateway.api.bodies.memory
        self.assertEqual(self.memory.limit, LIMIT)

    async def sender(
        self, path: str, key: str = KEY, chunked: bool = False, **more: Any
    ) -> Sender:
        """Begin a request with a large body."""
        self.numbers += 1
        framing = f"Content-Length: {LARGE}"
        if chunked:
            framing = "Transfer-Encoding: chunked"
        lines = (
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: r{self.numbers}",
            f"Deadline: {PATIENCE_SECONDS * 1000}",
            "Model: tiny",
            f"Authorization: Bearer {key}",
            framing,
        )
        port = self.gateway.api.server.port
        streams = await asyncio.open_connection("127.0.0.1", port)
        return Sender(streams, "\r\n".join([*lines, "", ""]).encode(), chunked)

    def held(self) -> int:
        """Return the bytes that bodies hold now."""
        return self.memory.small + sum(body.came for body in self.memory.large)


class ManyAtOnceTest(LargeBodiesCase):
    """Bodies that find no room are refused, and the others are served.

    Guards against a VM that goes over its memory by what its callers send.
    """

    async def play(self, path: str, chunked: bool) -> list[ReadAnswer]:
        """Send many at once, in small parts, and return the answers."""
        if path.startswith("/stream"):
            for worker in self.endpoints.values():
                worker.default = Behaviour(events=2)
        senders = [await self.sender(path, chunked=chunked) for _ in range(CALLERS)]
        for _ in range(LARGE // MEGABYTE):
            for sender in senders:
                await sender.send(MEGABYTE)
            self.assertLessEqual(self.held(), LIMIT)
        answers = await asyncio.gather(*(sender.finish() for sender in senders))
        await self.until(lambda: not self.memory.large)
        return [answer for answer in answers if answer is not None]

    async def test_refused_ones_have_not_run(self) -> None:
        for path in ("/unsafe/x", "/safe/x", "/stream/x"):
            for chunked in (False, True):
                with self.subTest(path=path, chunked=chunked):
                    before = self.runs()
                    answers = await self.play(path, chunked)
                    served = [each for each in answers if each.status == 200]
                    refused = [each for each in answers if each.status == 503]
                    self.assertEqual(len(answers), CALLERS)
                    self.assertEqual(len(served) + len(refused), CALLERS)
                    self.assertEqual(self.runs() - before, len(served))
                    self.assertTrue(served)
                    self.assertTrue(refused)
                    for answer in refused:
                        self.assertIn(b"not_run", answer.body)
                        self.assertGreater(float(answer.headers["retry-after"]), 0.0)

    async def test_small_ones_are_served_meanwhile(self) -> None:
        senders = [await self.sender("/unsafe/x") for _ in range(CALLERS)]
        for sender in senders:
            await sender.send(LARGE // 2)
        for size in (0, 1000, SMALL_BYTES):
            answer = await self.call("/safe/x", b"x" * size)
            self.assertEqual(answer.status, 200)
        for sender in senders:
            sender.writer.close()

    async def test_another_organisation_finds_room(self) -> None:
        senders = [await self.sender("/unsafe/x") for _ in range(CALLERS)]
        await self.until(lambda: bool(self.memory.large))
        other = await self.sender("/unsafe/x", OTHER_KEY)
        await other.send(LARGE)
        answer = await other.finish()
        self.assertEqual(answer.status, 200)
        for sender in senders:
            sender.writer.close()

    async def test_one_after_the_other_all_are_served(self) -> None:
        for _ in range(CALLERS // 4):
            sender = await self.sender("/unsafe/x")
            await sender.send(LARGE)
            self.assertEqual((await sender.finish()).status, 200)


class UnsentBodyTest(LargeBodiesCase):
    """A body that is announced and never sent keeps no room."""

    async def test_others_find_room(self) -> None:
        now = callerbodies.monotonic()
        keys = (KEY, OTHER_KEY)
        senders = [await self.sender("/unsafe/x", keys[n % 2]) for n in range(CALLERS)]
        await self.until(lambda: len(self.memory.large) > 1)
        with mock.patch.object(
            callerbodies, "monotonic", lambda: now + PATIENCE_SECONDS
        ):
            sender = await self.sender("/unsafe/x")
            await sender.send(LARGE)
            self.assertEqual((await sender.finish()).status, 200)
        for sender in senders:
            sender.writer.close()

    async def test_callers_who_leave_give_it_back(self) -> None:
        senders = [await self.sender("/unsafe/x") for _ in range(3)]
        await self.until(lambda: bool(self.memory.large))
        for sender in senders:
            await sender.send(MEGABYTE)
            sender.writer.close()
        await self.until(lambda: not self.memory.large)
        self.assertEqual(self.held(), 0)


class UnreadBodyTest(LargeBodiesCase):
    """An endpoint that does not read a body does not hold more than the body."""

    async def test_no_copy_is_kept(self) -> None:
        stop = asyncio.Event()
        self.addCleanup(stop.set)

        async def keep(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            reader._transport.pause_reading()
            await stop.wait()
            writer.close()

        server = await asyncio.start_server(keep, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        for name in ("p1", "p2"):
            spec = self.endpoints[name].spec("plain")
            moved = {**spec, "address": f"127.0.0.1:{port}"}
            await self.store.put("servers", name, moved)
        known = self.gateway.knowledge.instances.registry.known
        await self.until(
            lambda: all(str(port) in known[name].address for name in ("p1", "p2"))
        )
        sender = await self.sender("/unsafe/x")
        await sender.send(LARGE)
        connections = self.gateway.client.fresh.connector
        await self.until(lambda: bool(connections._acquired))
        await asyncio.sleep(0.2)
        unsent = [
            protocol.transport.get_write_buffer_size()
            for protocol in connections._acquired
        ]
        self.assertLess(max(unsent), 4 * PART)
        sender.writer.close()


class EarlyAnswerTest(LargeBodiesCase):
    """An endpoint that answers before it has read the body gets all of that.

    Guards against a part of it, and against other bytes in the place of the rest.
    """

    async def test_body_is_sent_to_its_end(self) -> None:
        got: list[bytes] = []
        answered = asyncio.Event()

        async def answer_first(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            request = next(one for one in lines if one.startswith("request-id"))
            writer.write(
                b"HTTP/1.1 200 OK\r\n" + request.encode() + b"\r\n"
                b"Reply-Seal: s\r\nContent-Length: 2\r\n\r\nok"
            )
            await answered.wait()
            got.append(await reader.read(-1))
            writer.close()

        server = await asyncio.start_server(answer_first, "127.0.0.1", 0, limit=1 << 12)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        for name in ("p1", "p2"):
            spec = self.endpoints[name].spec("plain")
            moved = {**spec, "address": f"127.0.0.1:{port}"}
            await self.store.put("servers", name, moved)
        known = self.gateway.knowledge.instances.registry.known
        await self.until(
            lambda: all(str(port) in known[name].address for name in ("p1", "p2"))
        )
        for number, path in enumerate(("/unsafe/x", "/safe/x")):
            with self.subTest(path=path):
                answered.clear()
                sender = await self.sender(path)
                await sender.send(LARGE)
                answer = await sender.finish()
                self.assertEqual((answer.status, answer.body), (200, b"ok"))
                answered.set()
                await self.until(lambda number=number: len(got) > number)
                self.assertEqual(got[number], b"." * LARGE)
