# Licensed under the Apache License 2.0: see LICENSE for details.

"""Endpoints that send bytes without end which are no answer."""

from __future__ import annotations

import asyncio

from standins.behaviour import Behaviour
from tests.gatewaycase import WAIT_SECONDS, GatewayCase
from walnutquay.state.process.events import EventKind

# Far more than any of these answers may take, and far less than comes in a second.
MOST_BYTES = 4 << 20
BLOCK = 4096
HEAD = b"HTTP/1.1 200 OK\r\nReply-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = HEAD + b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
# What never ends in each place of an answer.
IN_HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"x" * BLOCK),
    "header line": (HEAD + b"X: ", b"x" * BLOCK),
    "header fields": (HEAD, b"X: y\r\n" * BLOCK),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 64),
    "interim answers, one by one": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "garbage": (b"", b"\x00\xff" * BLOCK),
}
IN_BODIES = {
    "chunk line": (CHUNKED + b"5;", b"x" * BLOCK),
    "chunk extensions": (CHUNKED, b"1;" + b"x" * 2000 + b"\r\ny\r\n"),
    "trailers": (CHUNKED + b"5\r\nhello\r\n0\r\n", b"X: y\r\n" * BLOCK),
}
CALLERS = 4


class EndlessAnswerCase(GatewayCase):
    """One endpoint of each service sends without end, another one answers."""

    workers = {"p1": "plain", "p2": "plain", "e1": "engine", "e2": "engine"}

    def break_all(self, first: bytes, again: bytes) -> None:
        """Let all endpoints send without end."""
        for endpoint in self.endpoints.values():
            endpoint.default = Behaviour(endless=(first, again))

    def sent(self) -> list[int]:
        """:returns: the bytes that each request got from endpoints."""
        return [run.endless for one in self.endpoints.values() for run in one.runs]


class EndlessPlainTest(EndlessAnswerCase):
    """Callers of plain services get an end soon, and few bytes are read."""

    async def test_each_place_of_an_answer(self):
        for name, (first, again) in {**IN_HEADS, **IN_BODIES}.items():
            with self.subTest(name):
                self.break_all(first, again)
                calls = [self.call("/unsafe/x", b"b") for _ in range(CALLERS)]
                for answer in await asyncio.gather(*calls):
                    self.assertEqual(answer.status, 502)
                self.assertLess(max(self.sent()), MOST_BYTES)

    async def test_another_endpoint_answers_what_may_be_repeated(self):
        for name, (first, again) in {**IN_HEADS, **IN_BODIES}.items():
            with self.subTest(name):
                self.endpoints["p1"].default = Behaviour(endless=(first, again))
                answer = await self.call("/safe/x")
                self.assertEqual(answer.status, 200)

    async def test_a_body_without_a_length_ends_after_the_deadline(self):
        # Little is held of it, so it is passed on as it comes.
        self.gateway.path.memory.limit = BLOCK
        self.break_all(HEAD + b"Connection: close\r\n\r\n", b"x" * BLOCK)
        calls = [self.call("/unsafe/x", b"b", Deadline="500") for _ in range(CALLERS)]
        async with asyncio.timeout(WAIT_SECONDS):
            for answer in await asyncio.gather(*calls):
                self.assertFalse(answer.status == 200 and answer.whole)


class EndlessStreamTest(EndlessAnswerCase):
    """Streams that turn into bytes without end go on at another endpoint."""

    async def test_bytes_that_are_no_events(self):
        self.endpoints["e1"].default = Behaviour(endless=(EVENTS, b"x" * BLOCK))
        self.endpoints["e2"].default = Behaviour(events=3)
        for _ in range(CALLERS):
            answer = await self.call("/stream/x", b"b", Model="*")
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.whole)
            self.assertEqual(answer.body.count(b"id: "), 3)
        self.assertTrue(self.endpoints["e1"].runs)
        self.assertLess(max(self.sent()), MOST_BYTES)

    async def test_no_endpoint_sends_events(self):
        self.break_all(EVENTS, b"x" * BLOCK)
        answer = await self.call("/stream/x", b"b", Model="*")
        self.assertFalse(answer.status == 200 and answer.whole)
        kinds = [event.kind for event in self.gateway.context.timeline.ring.events]
        self.assertIn(EventKind.FAILED, kinds)

    async def test_an_id_that_is_no_number(self):
        event = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"
        self.endpoints["e1"].default = Behaviour(endless=(EVENTS, event))
        self.endpoints["e2"].default = Behaviour(endless=(EVENTS, event))
        answer = await self.call("/stream/x", b"b", Model="*", Deadline="500")
        self.assertFalse(answer.status == 200 and answer.whole)
