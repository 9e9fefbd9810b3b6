# Licensed under the Apache License 2.0: see LICENSE for details.

"""Places at the endpoints that the platform lists."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from walnutquay.coordination.context import Context
from walnutquay.coordination.places import Grant, Need
from walnutquay.coordination.tasks import Tasks
from walnutquay.state.endpoints import EndpointTable
from walnutquay.state.events import EventKind
from walnutquay.state.ids import (
    EndpointName,
    HallName,
    ServiceName,
    VersionName,
    WorkKind,
)
from walnutquay.state.instances import Instance, InstanceBook
from walnutquay.state.refusals import Refusal, RefusalCode
from walnutquay.state.work import PromptWork, WorkTable, preferred_of
from walnutquay.transport.client import is_reachable
from walnutquay.transport.timers import monotonic

# When to come back where no endpoint runs: one that starts is listed within a second.
NO_ENDPOINT_RETRY = 1.0
FULL_RETRY = 0.5

# Which versions of a service may be used, the newest decision first.
AllowedVersions = Callable[[ServiceName], frozenset[VersionName] | None]


# A wait grows harmful with its square, for only long ones make an answer late; an
# engine in another data hall, to which bytes have a price, counts as much as a wait
# of 0.55 s does.
OTHER_HALL_HARM = 0.3
# How often an endpoint is tried that could not be connected to.
PROBE_SECONDS = 0.3
# Weight of a new reading of the pressure: some ten requests are looked back on.
PRESSURE_WEIGHT = 0.1
# Engines read shorter prompts before longer ones, so only a long one that has been
# read proves that nothing before it is left.  The lengths at which its rank changes
# stand in ``state/sizing.py``.
LAST_READ_TOKENS = 4_000
# What each running request delays the others by: steps take longer with more.
RUNNING_SECONDS = 0.002


@dataclass(frozen=True, slots=True)
class ReadingNote:
    """A prompt that an engine was sent.

    :param work: the prompt.
    :param wait: the seconds of reading that were known to be before it.
    :param cached: whether its beginning was thought to be cached there.
    :param mark: its place among all that the engine was given to read.
    """

    work: PromptWork
    wait: float
    cached: bool
    mark: float


class RoutedPlaces:
    """Gives out places at endpoints; endpoints have queues of their own.

    :param context: what this process shares.
    :param book: the endpoints.
    :param table: what is known of their load and health.
    :param allowed: tells which versions may be used.
    """

    def __init__(
        self,
        context: Context,
        book: InstanceBook,
        table: EndpointTable,
        allowed: AllowedVersions,
    ) -> None:
        self.context = context
        self.book = book
        self.table = table
        self.allowed = allowed
        self.work = WorkTable()
        # Endpoints that cannot be connected to, with the data hall that the way
        # seems cut to; None where the endpoint itself refuses.
        self.unreachable: dict[EndpointName, HallName | None] = {}
        self.probes = Tasks()
        # Smoothed seconds of reading before the least busy engine, by service.
        self.pressures: dict[ServiceName, float] = {}
        # The prompts that were sent and whose answers have not begun, by grant.
        self.reading: dict[int, ReadingNote] = {}
        # Told of each prompt that is sent: engine, seconds, beginning.
        self.listeners: list[Callable[[EndpointName, float, str], None]] = []

    def candidates(self, service: ServiceName, version: str = "") -> list[Instance]:
        """:param service: a service.

        :param version: the only version to use; empty for those that may be.
        :returns: the endpoints that may be used now.
        """
        if version:
            return self.book.of_service(service, VersionName(version))
        allowed = self.allowed(service)
        found = self.book.of_service(service)
        if allowed is None:
            return found
        return [item for item in found if item.version in allowed]

    async def acquire(self, need: Need) -> Result[Grant, Refusal]:
        """:param need: what for.

        :returns: a place, or why there is none.
        """
        service = ServiceName(need.target)
        candidates = self.candidates(service, need.version)
        left = [item for item in candidates if item.name not in need.tried]
        if not left:
            return Error(
                Refusal(
                    RefusalCode.NO_ENDPOINT,
                    f"no endpoint of {service} can be asked now",
                    NO_ENDPOINT_RETRY,
                )
            )
        now = monotonic()
        left = self._within_reach(left)
        if need.work is not None:
            chosen = self._for_prompt(left, need, need.work, now)
        else:
            chosen = self.table.choose(left, now, need.hint, need.tried)
        if chosen is None:
            chosen = self._least_loaded(left, now)
        if chosen is None:
            return Error(
                Refusal(
                    RefusalCode.QUEUE_FULL,
                    f"the endpoints of {service} are full",
                    FULL_RETRY,
                )
            )
        self.table.of(chosen.name).in_flight += 1
        if need.work is None:
            return Ok(Grant(chosen, now, WorkKind.QUICK))
        return Ok(self._with_work(Grant(chosen, now, WorkKind.PATIENT), need.work))

    def unreached(self, grant: Grant, silent: bool) -> None:
        """Avoid an endpoint that could not be connected to, until it can be.

        :param grant: the place.
        :param silent: whether nothing answered at all; the way to its whole data
            hall may be cut then, which is avoided too.
        """
        endpoint = grant.endpoint
        assert isinstance(endpoint, Instance)
        if endpoint.name in self.unreachable:
            return
        cut = silent and endpoint.hall != self.context.hall
        self.unreachable[endpoint.name] = endpoint.hall if cut else None
        self.context.timeline.emit(
            EventKind.ENDPOINT_UNREACHED,
            endpoint=endpoint.name,
            detail=f"{endpoint.service} in {endpoint.hall}",
            silent=silent,
        )
        self.probes.spawn(self._probe(endpoint))

    async def _probe(self, endpoint: Instance) -> None:
        """Try an endpoint again and again, so that no request has to."""
        began = monotonic()
        try:
            while endpoint.name in self.book.known:
                await asyncio.sleep(PROBE_SECONDS)
                if await is_reachable(endpoint.address):
                    break
        finally:
            del self.unreachable[endpoint.name]
        self.context.timeline.emit(
            EventKind.ENDPOINT_REACHED,
            endpoint=endpoint.name,
            detail=f"after {monotonic() - began:.1f} s",
        )

    def _within_reach(self, left: list[Instance]) -> list[Instance]:
        """Leave out what seems cut off, unless nothing else is left."""
        halls = set(self.unreachable.values())
        near = [item for item in left if item.name not in self.unreachable]
        fine = [item for item in near if item.hall not in halls]
        return fine or near or left

    def _with_work(self, grant: Grant, work: PromptWork) -> Grant:
        """Note the reading that an engine is given."""
        now = grant.started
        wait = self.work.wait(grant.name, now)
        seconds = self.work.reading(grant.name, work, now, False)
        cached = self.work.has(grant.name, work.beginning, now)
        mark = self.work.add(grant.name, seconds, work.beginning, now)
        self.reading[id(grant)] = ReadingNote(work, wait, cached, mark)
        for listener in self.listeners:
            listener(grant.name, seconds, work.beginning)
        return grant

    def hear(self, name: EndpointName, seconds: float, beginning: str) -> None:
        """Take in that another VM has sent a prompt.

        :param name: the engine.
        :param seconds: how long it will take to read it.
        :param beginning: what it has cached from then on.
        """
        if name in self.book.known:
            self.work.add(name, seconds, beginning, monotonic())

    def pressure(self, service: ServiceName) -> float:
        """:param service: a service of engines.

        :returns: seconds of reading before the least busy engine within reach.
        """
        now = monotonic()
        engines = self._within_reach(self.candidates(service))
        waits = [self.work.wait(item.name, now) for item in engines]
        seconds = min(waits, default=0.0)
        before = self.pressures.get(service, 0.0)
        self.pressures[service] = before + PRESSURE_WEIGHT * (seconds - before)
        return self.pressures[service]

    def expected(self, grant: Grant) -> float:
        """:param grant: a place.

        :returns: seconds in which the answer is likely to begin; 0 if not known.
        """
        note = self.reading.get(id(grant))
        if note is None:
            return 0.0
        return note.wait + note.work.tokens * self.work.rate(note.work.model)

    def began(self, grant: Grant, seconds: float) -> None:
        """Learn from an answer's beginning.

        :param grant: the place.
        :param seconds: since it was sent there.
        """
        note = self.reading.pop(id(grant), None)
        if note is None:
            return
        if note.work.tokens >= LAST_READ_TOKENS:
            self.work.has_read(EndpointName(grant.name), note.mark, monotonic())
        if note.wait <= 0 and not note.cached:
            self.work.learn(note.work.model, note.work.tokens, seconds)

    def _for_prompt(
        self, left: list[Instance], need: Need, work: PromptWork, now: float
    ) -> Instance | None:
        """Choose the engine that is likely to have read a prompt first."""
        open_ones = [
            item
            for item in self.table.usable(left, now, need.tried)
            if self.table.of(item.name).full_until <= now
        ]
        if not open_ones:
            return None
        near = [item.name for item in open_ones if item.hall == self.context.hall]
        preferred = preferred_of(
            near or [item.name for item in open_ones], work.beginning
        )

        def harm(item: Instance) -> float:
            facts = self.table.of(item.name)
            wait = self.work.wait(item.name, now)
            reading = self.work.reading(item.name, work, now, item.name == preferred)
            running = facts.load(now) * RUNNING_SECONDS
            seconds = (wait + reading + running) * facts.slow_by(now)
            far = 0.0 if item.hall == self.context.hall else OTHER_HALL_HARM
            return seconds * seconds + far

        return min(open_ones, key=harm)

    def _least_loaded(self, left: list[Instance], now: float) -> Instance | None:
        """Choose where to queue; endpoints that have just refused are left out."""
        open_ones = [
            item for item in left if self.table.of(item.name).full_until <= now
        ]
        if not open_ones:
            return None
        return min(
            open_ones, key=lambda item: self.table.of(item.name).load(now) / item.slots
        )

    def on_instance(self, name: EndpointName, instance: Instance | None) -> None:
        """Forget what is known of an endpoint that is gone.

        :param name: the endpoint.
        :param instance: its entry; None where it has none any more.
        """
        if instance is None:
            known = set(self.book.known)
            self.table.forget_except(known)
            self.work.forget_except(known)

    def close(self) -> None:
        """End all probes."""
        self.probes.stop()

    def release(self, grant: Grant) -> None:
        """:param grant: a place to give back."""
        self.reading.pop(id(grant), None)
        self.table.of(grant.name).in_flight -= 1

    def full(self, grant: Grant) -> None:
        """:param grant: a place that its endpoint did not have after all."""
        self.table.full(grant.name, monotonic())
