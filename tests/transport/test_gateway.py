# Licensed under the Apache License 2.0: see LICENSE for details.

"""The server of callers: what comes together, and what a stop waits for."""

from __future__ import annotations

import asyncio
import logging
import unittest

from aiohttp import web

from tests.rawcaller import WAIT_SECONDS, RawCaller
from walnutquay.transport.gateway import GatewayLimits, GatewayServer
from walnutquay.transport.listeners import listen
from walnutquay.transport.loops import new_loop

GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n%s\r\n"

# More than the buffers of both sides hold.
LARGE_BYTES = 16 << 20
# aiohttp keeps fewer requests of one connection waiting.
MANY = 200
# A connection opens within fewer turns of the loop.
OPENING_TURNS = 5


class ServerCase(unittest.IsolatedAsyncioTestCase):
    """Starts a server whose answers are the paths of their requests."""

    async def asyncSetUp(self) -> None:
        self.server = GatewayServer(self.handle, GatewayLimits())
        await self.server.start(listen("127.0.0.1", 0))
        self.addAsyncCleanup(self.server.stop)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with the path."""
        return web.Response(text=request.path)


class PipelinedTest(ServerCase):
    """Requests that come in one piece with others."""

    async def first_of(self, data: bytes) -> tuple[int, bytes]:
        """:returns: the status and the body of the first answer to bytes."""

        def talk() -> tuple[int, bytes]:
            with RawCaller(self.server.port) as caller:
                caller.send(data)
                answer = caller.answer()
            assert answer is not None
            return answer.status, answer.body

        return await asyncio.to_thread(talk)

    async def test_a_request_gets_the_refusal_of_what_came_behind_it(self):
        self.silence()
        for more, behind in (
            (b"", b"this is no request\r\n\r\n"),
            (b"Connection: close\r\n", GET % (2, b"")),
        ):
            with self.subTest(behind=behind):
                answer = await self.first_of(GET % (1, more) + behind)
                self.assertEqual(answer, (200, b"/1"))

    async def test_more_requests_than_are_queued_are_answered_in_order(self):
        def talk() -> list[bytes]:
            with RawCaller(self.server.port) as caller:
                caller.send(b"".join(GET % (n, b"") for n in range(MANY)))
                return [caller.answer().body for _ in range(MANY)]

        bodies = await asyncio.to_thread(talk)
        self.assertEqual(bodies, [b"/%d" % number for number in range(MANY)])

    def silence(self) -> None:
        """Drop aiohttp's lines on requests that it cannot read."""
        logger = logging.getLogger("aiohttp.server")
        logger.disabled = True
        self.addCleanup(setattr, logger, "disabled", False)


class StopTest(ServerCase):
    """A planned stop waits for answers as well as for handlers."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.begun = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with more than buffers hold."""
        self.begun.set()
        return web.Response(body=bytes(LARGE_BYTES))

    async def test_an_answer_that_is_still_being_sent_is_cut_by_the_end(self):
        caller = RawCaller(self.server.port)
        self.addCleanup(caller.socket.close)
        await asyncio.to_thread(caller.send, GET % (1, b""))
        async with asyncio.timeout(WAIT_SECONDS):
            await self.begun.wait()
            while self.server.in_flight:  # noqa: ASYNC110
                await asyncio.sleep(0)
        self.server.draining = True
        self.server.close_idle()
        self.assertFalse(await self.server.idle(0.0))
        reading = asyncio.ensure_future(asyncio.to_thread(caller.answer))
        self.assertTrue(await self.server.idle(WAIT_SECONDS))
        answer = await reading
        self.assertTrue(answer.whole)
        self.assertEqual(len(answer.body), LARGE_BYTES)


class ClosedListenerTest(unittest.TestCase):
    """A connection that opens while the listener closes, on the daemons' loop."""

    def test_its_request_is_begun_after_all_others_have_ended(self):
        with asyncio.Runner(loop_factory=new_loop) as runner:
            for turns in range(OPENING_TURNS):
                with self.subTest(turns=turns):
                    self.assertEqual(runner.run(requests_after(turns)), 0)


async def requests_after(turns: int) -> int:
    """Connect, and close the listener some turns of the loop later.

    :returns: how many requests were begun that were sent after that.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response()

    server = GatewayServer(handle, GatewayLimits())
    await server.start(listen("127.0.0.1", 0))
    with RawCaller(server.port) as caller:
        for _ in range(turns):
            await asyncio.sleep(0)
        server.close_listener()
        server.close_idle()
        caller.send(GET % (1, b"Connection: close\r\n"))
        await asyncio.to_thread(caller.rest)
    await server.stop()
    return server.web.requests_count
