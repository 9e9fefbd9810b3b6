# Licensed under the Apache License 2.0: see LICENSE for details.

"""Reads endpoints' answers and detects endpoints that become silent."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from types import TracebackType

import aiohttp
from aiohttp.helpers import TimerNoop

from walnutquay.coordination.routed.answermemory import AnswerMemory
from walnutquay.exceptions import EndpointError
from walnutquay.transport.client import (
    READ_BYTES,
    STEP_ANSWER,
    STEP_SILENT,
    STEP_STREAM,
    ConnectionEnd,
    Exchange,
)
from walnutquay.transport.timers import monotonic

# Larger answers are not held whole; bytes.
MAX_ANSWER = 32 << 20
# What an endpoint has ready comes within this time, once there is room for it; all of
# an answer without a length, which may never end.
LATE_READ_SECONDS = 1.0
# The most of an answer without a length that an endpoint has ready at its deadline, in
# the buffers of both sides; bytes.
MAX_LATE_BYTES = 8 << 20


class WatchedBody:
    """Yields the chunks of an answer's body and reports gaps between them.

    :param answer: the answer.
    :param interval: seconds of silence after which ``on_gap`` is called, repeatedly.
    :param on_gap: receives the length of the gap so far; returns whether to stop
        waiting.
    """

    def __init__(
        self,
        answer: aiohttp.ClientResponse,
        interval: float,
        on_gap: Callable[[float], Awaitable[bool]],
    ) -> None:
        self.answer = answer
        self.interval = interval
        self.on_gap = on_gap

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while not self.answer.content.at_eof():
            data = await self._next_piece()
            if data:
                yield data

    async def _next_piece(self) -> bytes:
        reading = asyncio.ensure_future(self.answer.content.readany())
        began = monotonic()
        try:
            while not reading.done():
                await asyncio.wait([reading], timeout=self.interval)
                if not reading.done() and await self.on_gap(monotonic() - began):
                    raise EndpointError("the stream became silent", step=STEP_STREAM)
            return reading.result()
        finally:
            reading.cancel()
            # Its error would keep this frame, and this frame the error.
            del reading


class WatchedExchange:
    """Waits for an answer's head while its endpoint is reachable.

    This detects an unreachable engine within a pause of the stream.  Without it,
    requests waited there until the timeout for a head, 4 s.

    :param exchange: the exchange.
    :param interval: seconds between two checks of the endpoint.
    :param check_reachable: checks whether the endpoint accepts connections.
    """

    def __init__(
        self,
        exchange: Exchange,
        interval: float,
        check_reachable: Callable[[], Awaitable[bool]],
    ) -> None:
        self.exchange = exchange
        self.interval = interval
        self.check_reachable = check_reachable

    async def __aenter__(self) -> aiohttp.ClientResponse:
        connecting = asyncio.ensure_future(self.exchange.__aenter__())
        try:
            while not connecting.done():
                await asyncio.wait([connecting], timeout=self.interval)
                unreachable = not connecting.done() and not await self.check_reachable()
                if unreachable and not connecting.done():
                    raise EndpointError(
                        "it cannot be connected to any more",
                        step=STEP_SILENT,
                        peer=self.exchange.peer,
                    )
            answer, connecting = connecting.result(), None
            return answer
        finally:
            give_up(connecting)
            # Its error would keep this frame, and this frame the error.
            del connecting

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.exchange.__aexit__(kind, error, trace)


def give_up(connecting: asyncio.Future[aiohttp.ClientResponse] | None) -> None:
    """End a wait for an answer's head, and close an answer that came meanwhile.

    Otherwise an endpoint works on for a caller that has left.

    :param connecting: the wait; None if its answer is used.
    """
    if connecting is None:
        return
    connecting.cancel()
    # A wait that is over as it is cancelled ends with its answer or its error.
    connecting.add_done_callback(_close_answer)


def _close_answer(connecting: asyncio.Future[aiohttp.ClientResponse]) -> None:
    """Close the answer that a wait has ended with, if any."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result().close()


def lift_read_limit(answer: aiohttp.ClientResponse) -> None:
    """Wait for the rest of an answer without the limit that held for its head.

    :param answer: an answer whose head has come.
    """
    connection = answer.connection
    if connection is None or connection.protocol is None:
        return
    connection.protocol.read_timeout = None
    connection.protocol.start_timeout()


class AnswerBody:
    """Reads an answer's body, whole if there is room for it.

    :param answer: the answer.
    :param peer: the endpoint's name, for errors.
    :param memory: limits what is held of all answers.
    """

    def __init__(
        self, answer: aiohttp.ClientResponse, peer: str, memory: AnswerMemory
    ) -> None:
        self.peer = peer
        self.memory = memory
        self.answer = answer
        self.end = ConnectionEnd(answer)
        self.whole = False

    async def read(self) -> bytes:
        """Read the body to its end, or as far as there is room.

        :returns: what was read; :attr:`whole` tells whether it is all.
        :raises EndpointError: if the body is incomplete.
        """
        parts = []
        size = 0
        try:
            async for data in self.answer.content.iter_chunked(READ_BYTES):
                parts.append(data)
                size += len(data)
                self.memory.reading += len(data)
                if size > MAX_ANSWER or not self.memory.has_room(size):
                    return b"".join(parts)
        finally:
            self.memory.reading -= size
        self.end.check(self.peer)
        self.whole = True
        return b"".join(parts)

    async def rest(self, deadline: float) -> AsyncIterator[bytes]:
        """Yield what :meth:`read` has left.

        A caller may take what its endpoint has ready after the deadline, too.

        :param deadline: until when the endpoint is waited for; monotonic seconds.
        :raises EndpointError: if the body is incomplete, or does not end.
        """
        late = 0
        waited = 0.0
        # The library's limit would include the time that the caller takes.
        self.answer.content._timer = TimerNoop()
        while True:
            left = max(deadline - monotonic(), LATE_READ_SECONDS)
            began = monotonic()
            async with asyncio.timeout(left):
                data = await self.answer.content.read(READ_BYTES)
            if not data:
                break
            if monotonic() > deadline and self.answer.content_length is None:
                late += len(data)
                waited += monotonic() - began
            if late > MAX_LATE_BYTES or waited > LATE_READ_SECONDS:
                raise EndpointError(
                    "the answer does not end", step=STEP_ANSWER, peer=self.peer
                )
            yield data
        self.end.check(self.peer)


async def read_body(
    answer: aiohttp.ClientResponse, peer: str, memory: AnswerMemory
) -> bytes:
    """Read an answer's whole body.

    :param answer: the answer.
    :param peer: the endpoint's name, for errors.
    :param memory: limits what is held of all answers.
    :raises EndpointError: if the body is incomplete, or there is no room for it.
    """
    body = AnswerBody(answer, peer, memory)
    data = await body.read()
    if not body.whole:
        answer.close()
        raise EndpointError("the answer is too large", step="answer", peer=peer)
    return data
