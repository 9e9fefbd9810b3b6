# Licensed under the Apache License 2.0: see LICENSE for details.

"""Reads the bodies of callers' requests, as far as there is memory for them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp.web_protocol import RequestPayloadError
from aiohttp.web_request import BaseRequest

from walnutquay.coordination.requests.paths import stopping_refusal
from walnutquay.coordination.store.knowledge import Knowledge
from walnutquay.daemon.denials import BadCallError, bad_request
from walnutquay.state.process.ids import OrganisationName
from walnutquay.state.process.metrics import Metrics
from walnutquay.state.requests.bodymemory import SMALL_BYTES, BodyMemory, LargeBody
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.store.catalogue import ANONYMOUS, Catalogue
from walnutquay.transport.timers import monotonic

# A body that is sent must have come within this time of its head.
BODY_SECONDS = 10.0


class CallerBodies:
    """Reads bodies, and holds them until their requests have ended.

    :param limit: bytes of all bodies together.
    :param knowledge: what is known from the store.
    :param metrics: counts bodies that find no room.
    """

    def __init__(self, limit: int, knowledge: Knowledge, metrics: Metrics) -> None:
        self.memory = BodyMemory(limit, BODY_SECONDS)
        self.knowledge = knowledge
        self.metrics = metrics
        # The reads that are under way, and whether no more is read.
        self.reads: set[asyncio.Timeout] = set()
        self.closed = False

    def close(self) -> None:
        """Refuse requests whose bodies are being received, and all later ones."""
        self.closed = True
        now = asyncio.get_running_loop().time()
        for read in self.reads:
            read.reschedule(now)

    @contextmanager
    def hold(self) -> Iterator[BodyHold]:
        """Hold what is read of a request's body until the request has ended."""
        hold = BodyHold(self)
        try:
            yield hold
        finally:
            hold.release()

    def organisation_of(self, key: str) -> OrganisationName:
        """Return whose key it is.

        :param key: a caller's key.
        """
        catalogue = self.knowledge.catalogue.current
        found = catalogue.organisation_with(key) if catalogue is not None else None
        # Bodies without a known key share one part of the memory.
        return OrganisationName((found or ANONYMOUS).name)


class BodyHold:
    """The memory of one request's body.

    :param bodies: what all requests hold.
    """

    def __init__(self, bodies: CallerBodies) -> None:
        self.bodies = bodies
        self.memory = bodies.memory
        self.small = 0
        self.large: LargeBody | None = None

    async def read(self, request: BaseRequest, key: str) -> bytes:
        """Read a request's body.

        :param request: the request.
        :param key: its caller's key.
        :raises BadCallError: if the body is not read.
        """
        if self.bodies.closed:
            raise BadCallError(stopping_refusal())
        catalogue = self.bodies.knowledge.catalogue.current
        most = (catalogue or Catalogue()).limits.body_bytes
        announced = request.content_length or 0
        _check_size(announced, most)
        if announced > SMALL_BYTES:
            self._become_large(announced, key)
        try:
            async with asyncio.timeout(BODY_SECONDS) as limit:
                self.bodies.reads.add(limit)
                try:
                    return await self._read_all(request, most, key)
                finally:
                    self.bodies.reads.discard(limit)
        except TimeoutError as error:
            if self.bodies.closed:
                raise BadCallError(stopping_refusal()) from error
            raise BadCallError(
                Refusal(RefusalCode.SLOW_BODY, "the body did not come in time", 1.0)
            ) from error
        except (RequestPayloadError, ValueError) as error:
            raise bad_request(f"the body cannot be read: {error}") from error

    async def _read_all(self, request: BaseRequest, most: int, key: str) -> bytes:
        parts = []
        size = 0
        async for data in request.content.iter_any():
            size += len(data)
            _check_size(size, most)
            self._add(len(data), size, key)
            parts.append(data)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def release(self) -> None:
        """Give back all that is held."""
        self.memory.give_back_small(self.small)
        self.small = 0
        if self.large is not None:
            self.memory.give_back(self.large, monotonic())
            self.large = None

    def _add(self, more: int, size: int, key: str) -> None:
        """Make room for a part that has come.

        :param more: bytes of the part.
        :param size: bytes of the body so far, with the part.
        """
        if self.large is None and size <= SMALL_BYTES:
            if not self.memory.take_small(more):
                raise self._no_room(SMALL_BYTES)
            self.small += more
            return
        if self.large is None:
            # It did not announce its length.
            self._become_large(0, key)
            self.memory.give_back_small(self.small)
            more, self.small = size, 0
        assert self.large is not None
        if not self.memory.grow(self.large, more, monotonic()):
            raise self._no_room(max(self.large.announced, self.large.came))

    def _become_large(self, announced: int, key: str) -> None:
        organisation = self.bodies.organisation_of(key)
        self.large = self.memory.take_large(organisation, announced, monotonic())
        if self.large is None:
            raise self._no_room(announced)

    def _no_room(self, announced: int) -> BadCallError:
        self.bodies.metrics.count("bodies_without_room")
        wait = self.memory.seconds_until_room(announced, monotonic())
        reason = "the bodies of other requests take all the memory that there is"
        return BadCallError(Refusal(RefusalCode.BODIES_FULL, reason, wait))


def _check_size(size: int, most: int) -> None:
    if size > most:
        reason = f"a body may have {most} bytes"
        raise BadCallError(Refusal(RefusalCode.BODY_TOO_LARGE, reason))
