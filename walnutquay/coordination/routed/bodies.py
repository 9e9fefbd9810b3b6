# Licensed under the Apache License 2.0: see LICENSE for details.

"""The bodies of endpoints' answers: whole ones, and streams that may fall silent."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from types import TracebackType

import aiohttp

from walnutquay.exceptions import EndpointError
from walnutquay.transport.client import (
    READ_BYTES,
    STEP_SILENT,
    ConnectionEnd,
    Exchange,
)
from walnutquay.transport.timers import monotonic

# An answer larger than this is not passed on.
MAX_ANSWER = 32 << 20


class WatchedBody:
    """Yields the pieces of an answer's body, and asks what to do in long gaps.

    :param answer: the answer.
    :param every: seconds after which a gap is asked about, and asked again.
    :param on_gap: told each time how long the gap is by now; returns whether to
        wait no longer.
    """

    def __init__(
        self,
        answer: aiohttp.ClientResponse,
        every: float,
        on_gap: Callable[[float], Awaitable[bool]],
    ) -> None:
        self.answer = answer
        self.every = every
        self.on_gap = on_gap

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while not self.answer.content.at_eof():
            data = await self._next()
            if data:
                yield data

    async def _next(self) -> bytes:
        reading = asyncio.ensure_future(self.answer.content.readany())
        began = monotonic()
        try:
            while not reading.done():
                await asyncio.wait([reading], timeout=self.every)
                if not reading.done() and await self.on_gap(monotonic() - began):
                    raise EndpointError("it fell silent", step="stream")
            return reading.result()
        finally:
            reading.cancel()


class WatchedExchange:
    """Waits for an answer's head only as long as its endpoint can be connected to.

    An engine that has gone dark is found within a pause of the stream; without it
    requests waited there until the time for a head was over, 4 s.

    :param exchange: the exchange.
    :param every: seconds after which the endpoint is tried, and tried again.
    :param still_there: tries whether the endpoint can be connected to.
    """

    def __init__(
        self,
        exchange: Exchange,
        every: float,
        still_there: Callable[[], Awaitable[bool]],
    ) -> None:
        self.exchange = exchange
        self.every = every
        self.still_there = still_there

    async def __aenter__(self) -> aiohttp.ClientResponse:
        waiting = asyncio.ensure_future(self.exchange.__aenter__())
        try:
            while not waiting.done():
                await asyncio.wait([waiting], timeout=self.every)
                given_up = not waiting.done() and not await self.still_there()
                if given_up and not waiting.done():
                    raise EndpointError(
                        "it cannot be connected to any more",
                        step=STEP_SILENT,
                        peer=self.exchange.peer,
                    )
            return waiting.result()
        finally:
            waiting.cancel()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.exchange.__aexit__(kind, error, trace)


async def whole_body(answer: aiohttp.ClientResponse, peer: str) -> bytes:
    """Read an answer's body.

    :raises EndpointError: if it is not whole, or too large.
    """
    watched = ConnectionEnd(answer)
    parts = []
    size = 0
    async for data in answer.content.iter_chunked(READ_BYTES):
        size += len(data)
        if size > MAX_ANSWER:
            answer.close()
            raise EndpointError("the answer is too large", step="answer", peer=peer)
        parts.append(data)
    watched.check(peer)
    return b"".join(parts)
