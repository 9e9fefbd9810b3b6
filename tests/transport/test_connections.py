# Licensed under the Apache License 2.0: see LICENSE for details.

"""Connections to endpoints that send more than they owe."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from tests.scriptedendpoint import (
    LIMIT_SECONDS,
    Asked,
    ScriptedEndpointCase,
    answer,
    chunked,
    head,
)
from walnutquay.exceptions import EndpointError
from walnutquay.transport.client import STEP_ANSWER
from walnutquay.transport.connections import StrayKind


class StrayTest(ScriptedEndpointCase):
    """Bytes that answer no request are no request's answer."""

    async def test_bytes_while_nobody_waits_end_the_connection(self):
        extra = asyncio.Event()

        async def script(asked: Asked) -> AsyncIterator[bytes]:
            yield answer(asked.request, asked.path.encode())
            if asked.path == "/a":
                await extra.wait()
                yield answer(asked.request, b"again")

        await self.start(script)
        self.assertEqual(await self.call("/a", "a"), b"/a")
        extra.set()
        await self.until(lambda: bool(self.strays))
        self.assertEqual(await self.call("/b", "b"), b"/b")
        self.assertEqual(self.kinds(), [StrayKind.IDLE])
        self.assertEqual(self.strays[0].address, f"127.0.0.1:{self.port}")
        self.assertEqual(self.connections, 2)

    async def test_the_second_answer_to_an_earlier_request_is_skipped(self):
        for second in (
            answer("a", b"again"),
            chunked("a", b"id: 1\n\n", b"id: 2\n\n"),
            head("a", 0),
        ):
            for parts in (1, 2, 7):
                with self.subTest(second=second, parts=parts):
                    self.strays.clear()

                    async def script(
                        asked: Asked, second: bytes = second, parts: int = parts
                    ) -> AsyncIterator[bytes]:
                        if asked.path == "/b":
                            size = len(second) // parts + 1
                            for begin in range(0, len(second), size):
                                yield second[begin : begin + size]
                                await asyncio.sleep(0.002)
                        yield answer(asked.request, asked.path.encode())

                    await self.start(script)
                    self.assertEqual(await self.call("/a", "a"), b"/a")
                    self.assertEqual(await self.call("/b", "b"), b"/b")
                    self.assertEqual(self.kinds(), [StrayKind.EARLIER])
                    self.assertEqual(self.strays[0].named, "a")
                    before = self.connections
                    self.assertEqual(await self.call("/c", "c"), b"/c")
                    self.assertEqual(self.connections, before + 1)

    async def test_the_time_limit_between_reads_holds_behind_a_second_answer(self):
        async def script(asked: Asked) -> AsyncIterator[bytes]:
            if asked.number:
                yield answer("a", b"again")
                await asyncio.sleep(LIMIT_SECONDS)
            yield answer(asked.request)

        await self.start(script)
        await self.call("/a", "a")
        with self.assertRaises(EndpointError) as caught:
            await self.call("/b", "b", idle=0.05)
        self.assertIn("Timeout on reading", str(caught.exception))

    async def test_an_answer_to_a_request_that_was_never_sent_there_is_refused(self):
        async def script(asked: Asked) -> AsyncIterator[bytes]:
            yield answer("somebody", b"else's")

        await self.start(script)
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                with self.assertRaises(EndpointError) as caught:
                    await self.call("/a", "a", repeatable=repeatable)
                self.assertEqual(caught.exception.step, STEP_ANSWER)
        self.assertEqual(self.kinds(), [StrayKind.FOREIGN] * 2)

    async def test_an_answer_without_an_id_is_refused_where_others_had_one(self):
        async def script(asked: Asked) -> AsyncIterator[bytes]:
            yield answer("" if asked.number else asked.request, b"whose?")

        await self.start(script)
        await self.call("/a", "a")
        with self.assertRaises(EndpointError) as caught:
            await self.call("/b", "b")
        self.assertEqual(caught.exception.step, STEP_ANSWER)
        self.assertEqual(self.kinds(), [StrayKind.UNNAMED])


class KeptConnectionTest(ScriptedEndpointCase):
    """A connection is used again only where the next answer can be told from others."""

    async def calls(self, *requests: str) -> int:
        """:returns: how many connections requests with these ids took."""
        before = self.connections
        for request in requests:
            await self.call("/x", request)
        return self.connections - before

    async def test_answers_that_repeat_the_id(self):
        async def script(asked: Asked) -> AsyncIterator[bytes]:
            yield answer(asked.request)

        await self.start(script)
        self.assertEqual(await self.calls("a", "b", "c"), 1)
        # Each id once: a second answer to the first "a" could not be told apart.
        self.assertEqual(await self.calls("a"), 1)
        self.assertEqual(await self.calls("", ""), 2)

    async def test_answers_without_an_id(self):
        async def script(asked: Asked) -> AsyncIterator[bytes]:
            yield answer("")

        await self.start(script)
        self.assertEqual(await self.calls("a", "b", "c"), 3)

    async def test_a_connection_remembers_a_bounded_number_of_ids(self):
        async def script(asked: Asked) -> AsyncIterator[bytes]:
            yield answer(asked.request)

        await self.start(script)
        ids = [f"r{number}" for number in range(300)]
        self.assertEqual(await self.calls(*ids), 2)


class BytesBehindAnAnswerTest(ScriptedEndpointCase):
    """Bytes behind an answer do not take it away from its caller."""

    async def test_behind_a_second_answer_that_is_skipped(self):
        async def script(asked: Asked) -> AsyncIterator[bytes]:
            if asked.number:
                yield answer("a", b"again")
                await asyncio.sleep(0.002)
            behind = b"bytes that are no answer\r\n\r\n" if asked.number else b""
            yield answer(asked.request, b"ok") + behind

        await self.start(script)
        self.assertEqual(await self.call("/a", "a"), b"ok")
        self.assertEqual(await self.call("/b", "b"), b"ok")

    async def test_in_the_same_read(self):
        garbage = b"bytes that are no answer\r\n\r\n"
        for sent in (
            answer("a", b"ok") + garbage,
            answer("a", b"ok") + answer("a", b"again"),
            answer("a", b"ok", "Connection: close") + answer("a", b"again"),
            chunked("a", b"o", b"k") + garbage,
            b"HTTP/1.1 100 Continue\r\n\r\n" + answer("a", b"ok") + garbage,
        ):
            for repeatable in (True, False):
                for cuts in ((0, 0), (0, len(head("a", 2)) - 2), (30, 31)):
                    with self.subTest(sent=sent, repeatable=repeatable, cuts=cuts):

                        async def script(
                            asked: Asked,
                            sent: bytes = sent,
                            cuts: tuple[int, int] = cuts,
                        ) -> AsyncIterator[bytes]:
                            first, second = cuts
                            for part in (
                                sent[:first],
                                sent[first:second],
                                sent[second:],
                            ):
                                yield part
                                await asyncio.sleep(0.002)

                        await self.start(script)
                        got = await self.call("/a", "a", repeatable=repeatable)
                        self.assertEqual(got, b"ok")
