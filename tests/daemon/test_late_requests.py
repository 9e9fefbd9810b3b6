# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that come so late in a planned stop that they could not end."""

from __future__ import annotations

import asyncio

import orjson

from standins.answers import End, ReadAnswer, take_answer
from standins.worker import Behaviour
from tests.gatewaycase import WAIT_SECONDS, GatewayCase, Got

BODY = b"0123456789"
PART = 1 << 16


class StopCase(GatewayCase):
    """A VM that has stopped taking connections."""

    async def stop_taking(self) -> asyncio.Task[None]:
        """Begin a planned stop, and wait until no new connections are taken."""
        stopping = asyncio.ensure_future(self.gateway.drain())
        self.addAsyncCleanup(self.end, stopping)
        await self.until(lambda: self.gateway.api.server.web.closed)
        # What the stop does in the same turn of the loop.
        await asyncio.sleep(0)
        return stopping

    async def end(self, stopping: asyncio.Task[None]) -> None:
        """Wait for the end of a stop."""
        async with asyncio.timeout(WAIT_SECONDS):
            await stopping

    def assert_refused(self, status: int, body: bytes) -> None:
        """Assert that an answer tells that the VM stops, and nothing has run."""
        error = orjson.loads(body)["error"]
        self.assertEqual((status, error["code"]), (503, "stopping"))
        self.assertEqual(error["ran"], "not_run")


class LateBodyTest(StopCase):
    """A request whose body ends after the VM has stopped taking connections.

    Guards against requests that were taken late, sent on, and cut at the end of the
    time to stop.
    """

    async def send(self, path: str, chunked: bool) -> ReadAnswer | None:
        """Send the beginning of a body, begin to stop, and send the rest."""
        port = self.gateway.api.server.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        head = [f"POST {path} HTTP/1.1"]
        head += [f"{name}: {value}" for name, value in self.head().items()]
        head.append("Transfer-Encoding: chunked" if chunked else "Content-Length: 20")
        part = b"a\r\n%s\r\n" % BODY if chunked else BODY
        writer.write("\r\n".join([*head, "", ""]).encode() + part)
        await self.until(lambda: self.gateway.api.server.in_flight == 1)
        await self.stop_taking()
        writer.write(part + (b"0\r\n\r\n" if chunked else b""))
        data = b""
        async with asyncio.timeout(WAIT_SECONDS):
            while (found := take_answer(data, "POST", End.OPEN)) is None:
                read = await reader.read(PART)
                if not read:
                    return None
                data += read
        return found[0]

    async def check(self, path: str, chunked: bool = False) -> None:
        """Assert that such a request is refused, and not sent on."""
        answer = await self.send(path, chunked)
        assert answer is not None
        self.assert_refused(answer.status, answer.body)
        self.assertEqual(self.runs(), 0)

    async def test_that_may_not_be_repeated(self):
        await self.check("/unsafe/x")

    async def test_in_chunks(self):
        await self.check("/unsafe/x", chunked=True)

    async def test_that_may_be_repeated(self):
        await self.check("/safe/x")

    async def test_of_a_stream(self):
        await self.check("/once/x")

    async def test_it_is_refused_before_its_body_has_come(self):
        port = self.gateway.api.server.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        head = ["POST /unsafe/x HTTP/1.1", "Content-Length: 20"]
        head += [f"{name}: {value}" for name, value in self.head().items()]
        writer.write("\r\n".join([*head, "", ""]).encode() + BODY)
        await self.until(lambda: self.gateway.api.server.in_flight == 1)
        await self.stop_taking()
        async with asyncio.timeout(WAIT_SECONDS):
            self.assertIn(b" 503 ", await reader.readline())


class WaitingTest(StopCase):
    """Requests that wait for a slot as the VM stops taking connections."""

    async def wait_for_slots(self) -> asyncio.Event:
        """Let requests wait for slots until an event is set."""
        given = asyncio.Event()
        slots = self.gateway.path.admission.slots
        choose = slots.choose

        async def wait(need):
            await given.wait()
            return await choose(need)

        slots.choose = wait
        return given

    async def test_they_are_refused_at_once(self):
        await self.wait_for_slots()
        paths = ("/unsafe/x", "/safe/x", "/stream/x")
        calls = [
            asyncio.ensure_future(self.call(path, b"b", Model="*")) for path in paths
        ]
        under_way = self.gateway.path.under_way
        await self.until(lambda: len(under_way) == len(calls))
        await self.stop_taking()
        async with asyncio.timeout(WAIT_SECONDS):
            answers = await asyncio.gather(*calls)
        for answer in answers:
            self.assert_refused(answer.status, answer.body)
            self.assertLess(float(answer.headers["Retry-After"]), 1.0)
        self.assertEqual(self.runs(), 0)

    async def test_one_that_no_endpoint_has_begun_is_refused(self):
        self.workers_refuse(True)
        given = await self.wait_for_slots()
        given.set()
        rooms = self.gateway.path.admission.slots
        first = rooms.choose
        asked = asyncio.Event()

        async def wait_again(need):
            if need.tried:
                asked.set()
                await asyncio.Event().wait()
            return await first(need)

        rooms.choose = wait_again
        call = asyncio.ensure_future(self.call("/unsafe/x", b"b"))
        async with asyncio.timeout(WAIT_SECONDS):
            await asked.wait()
        await self.stop_taking()
        async with asyncio.timeout(WAIT_SECONDS):
            answer = await call
        self.assert_refused(answer.status, answer.body)
        self.assertEqual(self.runs(), 0)

    def workers_refuse(self, refuse: bool) -> None:
        """Let plain endpoints refuse what they get, without running it."""
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(status=503, not_run=refuse)


class SentTest(StopCase):
    """Requests that had been sent on go on as the VM stops taking connections."""

    async def begin(self, path: str) -> tuple[asyncio.Task[Got], asyncio.Event]:
        """Send a request to endpoints that answer only when an event is set."""
        gate = asyncio.Event()
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(gate=gate, events=2)
        call = asyncio.ensure_future(self.call(path, b"b"))
        await self.until(lambda: self.runs() == 1)
        return call, gate

    async def test_their_answers_come(self):
        call, gate = await self.begin("/unsafe/x")
        await self.stop_taking()
        gate.set()
        answer = await call
        self.assertEqual((answer.status, answer.whole), (200, True))

    async def test_what_may_be_repeated_is_sent_to_another_endpoint(self):
        hold = asyncio.Event()

        async def crash() -> None:
            await self.until(lambda: self.runs() == 1)
            await hold.wait()
            name = "p1" if self.runs("p1") else "p2"
            self.endpoints["p2" if name == "p1" else "p1"].default = Behaviour()
            await self.endpoints[name].stop()

        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(mute=True)
        crashing = asyncio.ensure_future(crash())
        call = asyncio.ensure_future(self.call("/safe/x"))
        await self.until(lambda: self.runs() == 1)
        await self.stop_taking()
        hold.set()
        await crashing
        answer = await call
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.assertEqual(self.runs(), 2)
