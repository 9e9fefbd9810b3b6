# Licensed under the Apache License 2.0: see LICENSE for details.

"""The bodies of endpoints' answers: whole ones, and streams that may fall silent."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp

from walnutquay.exceptions import EndpointError
from walnutquay.transport.client import READ_BYTES, ConnectionEnd
from walnutquay.transport.timers import monotonic

# An answer larger than this is not passed on.
MAX_ANSWER = 32 << 20
# How often a silent stream's endpoint is tried.  The longest good pause is 1.2 s.
GAP_CHECK_SECONDS = 0.6


class WatchedBody:
    """Yields the pieces of an answer's body, and asks what to do in long gaps.

    :param answer: the answer.
    :param on_gap: told each time how long the gap is by now; returns whether to
        wait no longer.
    """

    def __init__(
        self,
        answer: aiohttp.ClientResponse,
        on_gap: Callable[[float], Awaitable[bool]],
    ) -> None:
        self.answer = answer
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
                await asyncio.wait([reading], timeout=GAP_CHECK_SECONDS)
                if not reading.done() and await self.on_gap(monotonic() - began):
                    raise EndpointError("it fell silent", step="stream")
            return reading.result()
        finally:
            reading.cancel()


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
