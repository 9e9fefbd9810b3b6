# Licensed under the Apache License 2.0: see LICENSE for details.

"""What callers' connections bear, and what ordinary callers may go on sending."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from standins.answers import ReadAnswer
from tests.clientforms import Form, head, head_forms, request_forms
from tests.rawcaller import WAIT_SECONDS, RawCaller
from walnutquay.transport.callerconnection import PendingHeads
from walnutquay.transport.gateway import GatewayLimits, GatewayServer
from walnutquay.transport.listeners import listen

LIMIT = 4096
# Far more than any connection may make the server read.
MOST_BYTES = 4 << 20
GET = head("GET", "/a", "Host: h")


class ConnectionCase(unittest.IsolatedAsyncioTestCase):
    """Starts a server whose answers are the bodies of their requests."""

    async def asyncSetUp(self) -> None:
        self.server = GatewayServer(self.handle, GatewayLimits(LIMIT))
        await self.server.start(listen("127.0.0.1", 0))
        self.addAsyncCleanup(self.server.stop)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with the path and the body."""
        try:
            body = await request.read()
        except web.RequestPayloadError:
            return web.Response(status=400)
        return web.Response(body=request.path.encode() + body)

    async def answers(self, data: bytes, count: int) -> list[ReadAnswer | None]:
        """Send bytes, and return the answers."""

        def talk() -> list[ReadAnswer | None]:
            with RawCaller(self.server.port) as caller:
                caller.send(data)
                return [caller.answer() for _ in range(count)]

        return await asyncio.to_thread(talk)

    async def assert_answered(self, data: bytes, *bodies: bytes) -> None:
        """Assert that bytes are requests that get these answers."""
        answers = await self.answers(data, len(bodies))
        found = [answer and (answer.status, answer.body) for answer in answers]
        self.assertEqual(found, [(200, body) for body in bodies])


class EndlessRequestTest(ConnectionCase):
    """Bytes without end that are no request are not read without end.

    Guards against connections each of which made the server hold all that it sent, or
    an error for each piece of it.
    """

    async def sent(self, form: Form) -> int:
        """Return how many bytes the server lets a client send."""
        count = 0
        port = self.server.port
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        transport = writer.transport
        transport.set_write_buffer_limits(0)
        try:
            async with asyncio.timeout(1.0):
                writer.write(form.first)
                while count < MOST_BYTES:
                    writer.write(form.again)
                    await writer.drain()
                    count += len(form.again)
        except (OSError, TimeoutError):
            pass
        finally:
            transport.abort()
        return count

    async def held(self, form: Form) -> None:
        """Assert that a connection holds little of what a client sends."""
        before = set(self.server.web.connections)
        sending = asyncio.ensure_future(self.sent(form))
        most = 0
        while not sending.done():
            for connection in set(self.server.web.connections) - before:
                errors = [len(m.message) for m, _ in connection._messages if _is(m)]
                self.assertLessEqual(len(errors), 1)
                most = max(most, connection.framing.received, *errors)
            await asyncio.sleep(0)
        self.assertLess(most, MOST_BYTES)
        await self.assert_answered(GET + b"\r\n", b"/a")

    async def test_heads(self):
        for name, form in head_forms(GET).items():
            with self.subTest(name):
                await self.held(form)

    async def test_behind_heads(self):
        for name, form in request_forms("POST", "/a", "Host: h").items():
            with self.subTest(name):
                await self.held(form)

    async def test_they_are_refused(self):
        for begun in (GET, b"\r\n" * LIMIT):
            [answer] = await self.answers(begun + b"X: y\r\n" * LIMIT, 1)
            assert answer is not None
            self.assertIn(answer.status, (400, 431))
            self.assertLess(len(answer.body), LIMIT)


def _is(message: object) -> bool:
    return hasattr(message, "message")


class EndedConnectionTest(ConnectionCase):
    """A connection that has ended parses no more.

    Guards against an error in handlers that read the rest of a body then.
    """

    async def test_what_was_left_is_dropped(self):
        _, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        async with asyncio.timeout(WAIT_SECONDS):
            while not self.server.web.connections:  # noqa: ASYNC110
                await asyncio.sleep(0)
            [connection] = self.server.web.connections
            writer.transport.abort()
            while self.server.web.connections:  # noqa: ASYNC110
                await asyncio.sleep(0)
        connection.data_received(b"")
        connection.data_received(GET)
        self.assertFalse(connection.has_unanswered_request())


class SoundRequestTest(ConnectionCase):
    """What clients inside the limits send meets none of this."""

    async def test_the_largest_head(self):
        value = "v" * (LIMIT // 2 - 10)
        await self.assert_answered(
            head("GET", "/a", "Host: h", f"X: {value}", f"Y: {value}") + b"\r\n", b"/a"
        )

    async def test_a_few_empty_lines(self):
        await self.assert_answered(b"\r\n\r\n" + GET + b"\r\n", b"/a")

    async def test_chunks_of_one_byte(self):
        post = head("POST", "/a", "Host: h", "Transfer-Encoding: chunked")
        body = b"1\r\ny\r\n" * 20_000
        data = post + b"\r\n" + body + b"0\r\nTrailer: t\r\n\r\n"
        await self.assert_answered(data + GET + b"\r\n", b"/a" + b"y" * 20_000, b"/a")

    async def test_a_head_behind_a_large_body(self):
        body = b"y" * (1 << 20)
        post = head("POST", "/a", "Host: h", f"Content-Length: {len(body)}")
        data = (post + b"\r\n" + body) * 2 + GET + b"\r\n"
        await self.assert_answered(data, b"/a" + body, b"/a" + body, b"/a")

    async def test_a_head_in_small_pieces(self):
        def talk() -> ReadAnswer | None:
            with RawCaller(self.server.port) as caller:
                for number in range(len(GET)):
                    caller.send(GET[number : number + 1])
                caller.send(b"\r\n")
                return caller.answer()

        answer = await asyncio.to_thread(talk)
        assert answer is not None
        self.assertEqual(answer.body, b"/a")

    async def test_an_upgrade_that_is_declined(self):
        wanted = ("Connection: upgrade", "Upgrade: websocket")
        ask = head("GET", "/up", "Host: h", *wanted) + b"\r\n"
        await self.assert_answered(ask + GET + b"\r\n", b"/up", b"/a")
        await self.assert_answered(ask * 3 + GET + b"\r\n", *[b"/up"] * 3, b"/a")


class PendingHeadsTest(unittest.TestCase):
    """Many heads that have not ended share a bound."""

    def test_those_with_more_than_others_are_refused(self):
        heads = PendingHeads(100)
        small = [object() for _ in range(9)]
        for one in small:
            self.assertTrue(heads.note(one, 10))
        large = object()
        self.assertFalse(heads.note(large, 50))
        heads.forget(large)
        self.assertTrue(heads.note(small[0], 10))

    def test_small_ones_are_read_on_beside_large_ones(self):
        heads = PendingHeads(100)
        heads.note(object(), 95)
        self.assertTrue(heads.note(object(), 10))

    def test_what_has_ended_holds_nothing(self):
        heads = PendingHeads(100)
        one = object()
        heads.note(one, 60)
        heads.note(one, 80)
        self.assertEqual(heads.total, 80)
        heads.note(one, 0)
        heads.forget(one)
        self.assertEqual((heads.total, heads.held), (0, {}))
