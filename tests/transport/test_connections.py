# Licensed under the Apache License 2.0: see LICENSE for details.

"""Connections to endpoints that send more than they owe."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from tests.scriptedendpoint import (
    ID,
    LIMIT_SECONDS,
    Asked,
    ScriptedEndpointCase,
    answer,
    chunked,
    head,
)
from walnutquay.exceptions import EndpointError, NotStartedError
from walnutquay.transport.client import STEP_ANSWER
from walnutquay.transport.strays import StrayKind

# Bytes that do not fit into the buffers between two processes.
LONG_BODY = 32 << 20


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
        await self.until(lambda: self.ended == 1)
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


class OutOfTurnTest(ScriptedEndpointCase):
    """Answers that come before their request, or that break off within themselves."""

    async def test_a_refusal_before_the_request_was_read(self):
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(answer("", b"", "x-not-started: 1", "Connection: close"))
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]
        for repeatable in (True, False):
            with (
                self.subTest(repeatable=repeatable),
                self.assertRaises(NotStartedError),
            ):
                await self.call("/a", "a", repeatable=repeatable)

    async def test_bytes_within_a_body_that_are_no_chunk(self):
        for late in (False, True):
            with self.subTest(late=late):

                async def script(
                    asked: Asked, late: bool = late
                ) -> AsyncIterator[bytes]:
                    begun = head(asked.request, None, "Transfer-Encoding: chunked")
                    yield begun + b"2\r\nok\r\n"
                    if late:
                        await asyncio.sleep(0.005)
                    yield b"bytes that are no chunk\r\n"

                await self.start(script)
                # The call has the time of an answer, which is never waited for.
                with self.assertRaises(EndpointError) as caught:
                    await self.call("/a", "a")
                self.assertEqual(caught.exception.step, STEP_ANSWER)

    async def test_a_switch_of_protocols(self):
        async def script(asked: Asked) -> AsyncIterator[bytes]:
            yield (
                b"HTTP/1.1 101 Switching\r\nx-id: somebody\r\n"
                b"Connection: upgrade\r\nUpgrade: x\r\n\r\n"
            )

        await self.start(script)
        with self.assertRaises(EndpointError):
            await self.call("/a", "a")

    async def call_after(self, trailer: bytes, pause: float) -> list[str]:
        """Call twice; a second answer with a trailer takes the place of the next.

        :returns: the own body, the ids and the seals of the second call's answer.
        """

        async def script(asked: Asked) -> AsyncIterator[bytes]:
            if asked.number:
                yield chunked("a", b"again")[:-2] + trailer + b"\r\n\r\n"
                await asyncio.sleep(pause)
                yield answer("a", b"and again")
                await asyncio.sleep(pause)
            yield answer(asked.request, asked.path.encode())

        await self.start(script)
        await self.call("/a", "a")
        async with self.client.request(
            "GET",
            f"http://127.0.0.1:{self.port}/b",
            peer="endpoint",
            headers={ID: "b"},
            timeout=LIMIT_SECONDS,
        ) as got:
            found = [(await got.read()).decode(), *got.headers.getall(ID)]
            return found + got.headers.getall("x-seal", [])

    async def test_a_trailer_of_a_second_answer_is_not_in_the_next_head(self):
        for pause in (0, 0.002):
            with self.subTest(pause=pause):
                found = await self.call_after(b"x-seal: of-a", pause)
                self.assertEqual(found, ["/b", "b"])

    async def test_a_second_answer_with_another_id_in_its_trailer_is_refused(self):
        for trailer in (b"x-id: b", b"x-id: a"):
            for pause in (0, 0.002):
                with (
                    self.subTest(trailer=trailer, pause=pause),
                    self.assertRaises(EndpointError) as caught,
                ):
                    await self.call_after(trailer, pause)
                self.assertEqual(caught.exception.step, STEP_ANSWER)

    async def test_the_second_answer_to_a_head_request(self):
        async def script(asked: Asked) -> AsyncIterator[bytes]:
            if asked.number:
                yield head("a", 20)
                await asyncio.sleep(0.002)
            yield head(asked.request, 20) if asked.path == "/h" else answer("b", b"own")

        await self.start(script)
        async with self.client.request(
            "HEAD",
            f"http://127.0.0.1:{self.port}/h",
            peer="endpoint",
            headers={ID: "a"},
        ):
            pass
        self.assertEqual(await self.call("/b", "b"), b"own")

    async def test_a_second_answer_that_trickles_has_the_time_between_two_reads(self):
        enough = asyncio.Event()

        async def script(asked: Asked) -> AsyncIterator[bytes]:
            if asked.number:
                yield head("a", None, "Transfer-Encoding: chunked")
                while not enough.is_set():
                    yield b"1\r\nx\r\n"
                    await asyncio.sleep(0.01)
            yield answer(asked.request)

        await self.start(script)
        await self.call("/a", "a")
        with self.assertRaises(EndpointError) as caught:
            await self.call("/b", "b", idle=0.1)
        enough.set()
        # The time of the whole call would be over with another reason.
        self.assertEqual(caught.exception.step, "exchange")
        self.assertFalse(self.client.kept.connector._acquired)


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

    async def test_an_answer_before_the_whole_body_was_sent(self):
        # What is left of the body would be read as the beginning of the next request.
        async def script(asked: Asked) -> AsyncIterator[bytes]:
            yield answer(asked.request, asked.path.encode())
            if asked.path == "/long":
                await asyncio.sleep(LIMIT_SECONDS)

        await self.start(script)
        body = bytes(LONG_BODY)
        self.assertEqual(await self.call("/long", "a", data=body), b"/long")
        self.assertEqual(await self.call("/b", "b"), b"/b")
        self.assertEqual(self.connections, 2)

    async def test_a_connection_remembers_a_bounded_number_of_ids(self):
        async def script(asked: Asked) -> AsyncIterator[bytes]:
            yield answer(asked.request)

        await self.start(script)
        ids = [f"r{number}" for number in range(300)]
        self.assertEqual(await self.calls(*ids), 2)


class StreamTest(ScriptedEndpointCase):
    """A second answer behind one that is passed on as it comes."""

    async def stream(self, request: str) -> list[bytes]:
        """:returns: the pieces of a streamed answer, as they came."""
        async with self.client.request(
            "GET",
            f"http://127.0.0.1:{self.port}/stream",
            peer="endpoint",
            headers={ID: request},
            timeout=LIMIT_SECONDS,
        ) as got:
            return [data async for data in got.content.iter_any()]

    async def test_in_any_pieces(self):
        for size in (1, 5, 40, 1000):
            for late in (True, False):
                with self.subTest(size=size, late=late):

                    async def script(
                        asked: Asked, size: int = size, late: bool = late
                    ) -> AsyncIterator[bytes]:
                        own = chunked(asked.request, b"id: 1\n\n", b"id: 2\n\n")
                        if late and asked.number:
                            own = chunked("a", b"id: 9\n\n") + own
                        if not late:
                            own += chunked(asked.request, b"id: 9\n\n")
                        for begin in range(0, len(own), size):
                            yield own[begin : begin + size]
                            await asyncio.sleep(0)

                    await self.start(script)
                    for request in ("a", "b", "c"):
                        got = b"".join(await self.stream(request))
                        self.assertEqual(got, b"id: 1\n\nid: 2\n\n")


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
