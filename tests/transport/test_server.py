# Licensed under the Apache License 2.0: see LICENSE for details.

"""The server of our own interface: answers that callers take slowly."""

from __future__ import annotations

import asyncio
import unittest

from sanic import HTTPResponse, Request

from tests.rawcaller import WAIT_SECONDS, RawCaller
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
