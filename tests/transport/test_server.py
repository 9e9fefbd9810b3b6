# Licensed under the Apache License 2.0: see LICENSE for details.

"""The server of our own interface: answers that callers take slowly."""

from __future__ import annotations

import asyncio
import unittest

from sanic import HTTPResponse, Request

from tests.rawcaller import WAIT_SECONDS, RawCaller
from walnutquay.transport.acceptwait import (
    GIVE_UP_SECONDS,
    VALID_SECONDS,
    AcceptWait,
)
from walnutquay.transport.server import RESPONSE_SECONDS, HttpServer, ServerLimits

# More than the buffers of both sides hold.
LARGE_BYTES = 16 << 20
GET = b"GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


class SlowCallerTest(unittest.IsolatedAsyncioTestCase):
    """An answer that a caller has not taken yet is not cut."""

    async def asyncSetUp(self) -> None:
        self.begun = asyncio.Event()
        self.server = HttpServer("slow-caller", ServerLimits(), self.refuse)
        self.server.route("/large", ["GET"], self.answer, "large")
        await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.stop)

    async def answer(self, request: Request) -> HTTPResponse:
        """Answer with more than buffers hold."""
        self.begun.set()
        return HTTPResponse(bytes(LARGE_BYTES))

    def refuse(self, request: Request, error: Exception) -> HTTPResponse:
        """Say what was wrong."""
        return HTTPResponse(str(error), status=500)

    async def test_a_stop_cuts_it(self):
        caller = RawCaller(self.server.port)
        self.addCleanup(caller.socket.close)
        await asyncio.to_thread(caller.send, GET)
        async with asyncio.timeout(WAIT_SECONDS):
            await self.begun.wait()
            while not self.server.owes_bytes():  # noqa: ASYNC110
                await asyncio.sleep(0)
        self.assertFalse(await self.server.all_sent(0.0))
        reading = asyncio.ensure_future(asyncio.to_thread(caller.answer))
        self.assertTrue(await self.server.all_sent(WAIT_SECONDS))
        answer = await reading
        self.assertTrue(answer.whole)
        self.assertEqual(len(answer.body), LARGE_BYTES)

    async def test_the_close_of_its_connection_cuts_it(self):
        # Sanic takes a connection for dead after this time of closing.
        closing = self.server.app.config.GRACEFUL_TCP_CLOSE_TIMEOUT
        self.assertGreaterEqual(closing, RESPONSE_SECONDS)


class GateTest(unittest.IsolatedAsyncioTestCase):
    """Connections that the server does not take are reset before they are read."""

    async def asyncSetUp(self) -> None:
        self.read = 0
        self.server = HttpServer("gate", ServerLimits(), lambda request, error: None)
        self.server.route("/large", ["GET"], self.answer, "large")
        self.wait = AcceptWait()
        self.server.on_listening = self.wait.listens_at
        await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.stop)

    async def answer(self, request: Request) -> HTTPResponse:
        """Count what is read."""
        self.read += 1
        return HTTPResponse(b"done")

    async def ask(self) -> bytes:
        """Send a request, and read until the connection ends."""
        opened = asyncio.open_connection("127.0.0.1", self.server.port)
        reader, writer = await opened
        try:
            writer.write(GET)
            async with asyncio.timeout(WAIT_SECONDS):
                return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            writer.close()

    async def test_one_that_is_not_taken(self):
        self.server.takes = lambda transport: False
        self.assertEqual((await self.ask(), self.read), (b"", 0))
        self.server.takes = lambda transport: True
        self.assertTrue((await self.ask()).endswith(b"done"))

    async def test_the_wait_of_a_connection_is_measured(self):
        self.server.takes = lambda transport: not self.wait.is_probe(transport)
        await self.wait.measure()
        async with asyncio.timeout(WAIT_SECONDS):
            while self.wait.probe is not None:  # noqa: ASYNC110
                await asyncio.sleep(0)
        self.assertGreater(self.wait.last, 0.0)
        measured = self.wait.measured_at
        self.assertEqual(self.wait.seconds(measured), self.wait.last)
        self.assertEqual(self.wait.seconds(measured + VALID_SECONDS), 0.0)

    async def test_a_wait_that_goes_on_is_told(self):
        await self.wait.measure()
        self.addCleanup(self.wait.close)
        # Until one has been recognised, nothing is known.
        self.assertEqual(self.wait.seconds(self.wait.began + 1.0), 0.0)
        self.wait.works = True
        self.assertGreaterEqual(self.wait.seconds(self.wait.began + 1.0), 1.0)

    async def test_a_connection_that_is_never_recognised_is_given_up(self):
        await self.wait.measure()
        late = self.wait.began + GIVE_UP_SECONDS
        self.assertEqual(self.wait.seconds(late), 0.0)
        await self.wait.measure()
        self.assertIsNone(self.wait.probe)
