# Licensed under the Apache License 2.0: see LICENSE for details.

"""Places at the endpoints that the platform lists."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.requests.places import Grant, Need
from walnutquay.coordination.routed.cold import ColdGate
from walnutquay.coordination.routed.promptengines import EngineBeliefs, PromptEngines
from walnutquay.coordination.routed.reach import Reach
from walnutquay.protocol.messages import WorkNews
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    RegionName,
    ServiceName,
    VersionName,
    WorkKind,
)
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.requests.regions import within
from walnutquay.state.routed.modelchoice import Demand, priority_weight
from walnutquay.state.routed.traffic import PromptTraffic, SentPrompt
from walnutquay.state.routed.work import PromptWork, WorkTable, preferred_endpoint
from walnutquay.state.store.instances import Instance, InstanceRegistry
from walnutquay.transport.timers import monotonic

# When to come back where no endpoint runs: one that starts is listed within a second.
NO_ENDPOINT_RETRY = 1.0
FULL_RETRY = 0.5

# Which versions of a service may be used, the newest decision first.
AllowedVersions = Callable[[ServiceName], frozenset[VersionName] | None]


@dataclass(frozen=True, slots=True)
class ReadingNote:
    """A prompt that an engine was sent.

    :param work: the prompt.
    :param engine: the engine.
    :param hall: where it stands.
    :param wait: the seconds of reading that were known to be before it.
    :param seconds: the time to read it.
    :param cached: whether its beginning was thought to be cached there.
    :param mark: its place among all that the engine was given to read.
    """

    work: PromptWork
    engine: EndpointName
    hall: HallName
    wait: float
    seconds: float
    cached: bool
    mark: float


class RoutedPlaces:
    """Gives out places at endpoints; endpoints have queues of their own.

    :param context: what this process shares.
    :param registry: the endpoints.
    :param table: what is known of their load and health.
    :param allowed: tells which versions may be used.
    :param memory: tells how many tokens an engine of a service keeps; 0 if unknown.
    :param vms: tells how many entry VMs there are.
    :param cold: which endpoints may be sent requests though some are cold.
    :param region_of: the region of each data hall.
    """

    def __init__(
        self,
        context: Context,
        registry: InstanceRegistry,
        table: EndpointTable,
        allowed: AllowedVersions,
        memory: Callable[[ServiceName], int],
        vms: Callable[[], int],
        cold: ColdGate,
        region_of: Mapping[HallName, RegionName],
    ) -> None:
        self.context = context
        self.registry = registry
        self.table = table
        self.allowed = allowed
        self.work = WorkTable()
        self.memory = memory
        self.vms = vms
        self.cold = cold
        self.region_of = region_of
        self.reach = Reach(context, registry)
        self.beliefs = EngineBeliefs(context.hall, table, self.work)
        # The prompts that this VM has sent last, by service.
        self.traffic: dict[ServiceName, PromptTraffic] = {}
        # The prompts that were sent and whose answers have not begun, by grant.
        self.reading: dict[int, ReadingNote] = {}
        # Told of each prompt that is sent.
        self.listeners: list[Callable[[ReadingNote], None]] = []

    def candidates(self, service: ServiceName, version: str = "") -> list[Instance]:
        """:param service: a service.

        :param version: the only version to use; empty for those that may be.
        :returns: the endpoints that may be used now.
        """
        if version:
            return self.registry.usable_instances(service, VersionName(version))
        allowed = self.allowed(service)
        found = self.registry.usable_instances(service)
        if allowed is None:
            return found
        return [item for item in found if item.version in allowed]

    async def acquire(self, need: Need) -> Result[Grant, Refusal]:
        """:param need: what for.

        :returns: a place, or why there is none.
        """
        service = ServiceName(need.target)
        if not self._untried(need):
            return Error(
                Refusal(
                    RefusalCode.NO_ENDPOINT,
                    f"no endpoint of {service} can be asked now",
                    NO_ENDPOINT_RETRY,
                )
            )
        left = await self.cold.wait_for(lambda: self._untried(need), need)
        if not left:
            return Error(
                Refusal(
                    RefusalCode.NO_ENDPOINT,
                    f"the endpoints of {service} are cold, and have what they may get",
                    self.cold.retry_after(),
                )
            )
        now = monotonic()
        left = self.reach.within(left)
        if need.suspect:
            chosen = self._apart(left, need, now)
        elif need.work is not None:
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
        self.cold.sent(chosen, now)
        self.table.of(chosen.name).in_flight += 1
        if need.work is None:
            return Ok(Grant(chosen, now, WorkKind.QUICK))
        return Ok(self._with_work(Grant(chosen, now, WorkKind.PATIENT), need))

    def _untried(self, need: Need) -> list[Instance]:
        """Give the endpoints that could serve a request and have not failed it."""
        candidates = self.candidates(ServiceName(need.target), need.version)
        allowed = within(candidates, need.regions, self.region_of)
        return [item for item in allowed if item.name not in need.tried]

    def unreached(self, grant: Grant, silent: bool) -> None:
        """Avoid an endpoint that could not be connected to, until it can be.

        :param grant: the place.
        :param silent: whether nothing answered at all.
        """
        endpoint = grant.endpoint
        assert isinstance(endpoint, Instance)
        self.reach.lost(endpoint, silent)

    async def still_there(self, grant: Grant) -> bool:
        """Try whether an endpoint that says nothing can be connected to at all.

        :param grant: the place.
        """
        endpoint = grant.endpoint
        assert isinstance(endpoint, Instance)
        return await self.reach.still_there(endpoint)

    def _with_work(self, grant: Grant, need: Need) -> Grant:
        """Note the reading that an engine is given."""
        assert need.work is not None
        work, now = need.work, grant.started
        service = ServiceName(need.target)
        kept = self.kept_seconds(service, now)
        wait = self.work.wait(grant.name, now)
        seconds = self.work.reading(grant.name, work, now, False, kept)
        cached = self.work.has_cached(grant.name, work.beginning, now, kept)
        mark = self.work.add(grant.name, seconds, work.beginning, now)
        name = EndpointName(grant.name)
        assert isinstance(grant.endpoint, Instance)
        hall = grant.endpoint.hall
        note = ReadingNote(work, name, hall, wait, seconds, cached, mark)
        self.reading[id(grant)] = note
        weight = priority_weight(need.priority)
        self._traffic(service).add(SentPrompt(now, work.tokens, seconds, weight))
        for listener in self.listeners:
            listener(note)
        return grant

    def _traffic(self, service: ServiceName) -> PromptTraffic:
        return self.traffic.setdefault(service, PromptTraffic())

    def kept_seconds(self, service: ServiceName, now: float) -> float:
        """:param service: a service of engines.

        :param now: monotonic seconds.
        :returns: how long its engines keep what they have read.
        """
        engines = len(self.candidates(service))
        traffic = self._traffic(service)
        return traffic.kept_seconds(now, self.vms(), engines, self.memory(service))

    def demand(self, service: ServiceName) -> Demand:
        """:param service: a service of engines.

        :returns: what its engines get to read at present.
        """
        engines = len(self.candidates(service))
        return self._traffic(service).demand(monotonic(), self.vms(), engines)

    def engines_for(
        self, service: ServiceName, regions: frozenset[RegionName] | None = None
    ) -> PromptEngines | None:
        """Give the engines that a prompt could be sent to now, for a forecast.

        :param service: the service.
        :param regions: the regions in which it may run; None for all.
        :returns: the engines; None where no endpoint may be sent it now.
        """
        now = monotonic()
        allowed = within(self.candidates(service), regions, self.region_of)
        left = self.reach.within(self.cold.open(allowed, now))
        open_ones = self.table.open_ones(left, now, frozenset()) or left
        return self._engines(open_ones, service, now) if open_ones else None

    def reading_of(self, grant: Grant) -> float | None:
        """:param grant: a place.

        :returns: seconds to read the prompt that was sent there; None for none.
        """
        note = self.reading.get(id(grant))
        return None if note is None else note.seconds

    def hear(self, news: WorkNews) -> None:
        """Take in that another VM has sent a prompt.

        :param news: what it tells.
        """
        self.work.apply_peer_rate(news.model, news.rate)
        name = EndpointName(news.endpoint)
        if name in self.registry.known:
            self.work.add(name, news.seconds, news.beginning, monotonic())

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
        # Engines read shorter prompts before longer ones, so only the longest of those
        # that were sent proves that nothing before it is left.
        others = [
            other for other in self.reading.values() if other.engine == grant.name
        ]
        if all(other.seconds <= note.seconds for other in others):
            self.work.record_read(note.engine, note.mark, monotonic())
        if note.wait <= 0 and not note.cached:
            self.work.learn(note.work.model, note.work.tokens, seconds)

    def _for_prompt(
        self, left: list[Instance], need: Need, work: PromptWork, now: float
    ) -> Instance | None:
        """Choose the engine that is likely to have read a prompt first."""
        open_ones = self.table.open_ones(left, now, need.tried)
        if not open_ones:
            return None
        service = ServiceName(need.target)
        return self._engines(open_ones, service, now).best(work, need.aim)

    def _engines(
        self, engines: list[Instance], service: ServiceName, now: float
    ) -> PromptEngines:
        kept = self.kept_seconds(service, now)
        return PromptEngines(self.beliefs, engines, kept, now)

    def _apart(self, left: list[Instance], need: Need, now: float) -> Instance | None:
        """Choose the endpoint that all VMs choose for a request under which one ended.

        All tries of the request meet there, and what was beside it is spread over the
        others: so one more end tells it from most of these, and no two end at a time.
        """
        open_ones = self.table.open_ones(left, now, need.tried) or left
        name = preferred_endpoint([item.name for item in open_ones], need.suspect)
        return next((item for item in open_ones if item.name == name), None)

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
        """Forget what is known of a start of an endpoint that is gone.

        :param name: the endpoint.
        :param instance: its entry; None where it has none any more, or is about to
            have that of a later start.
        """
        self.cold.on_instance(name, instance)
        if instance is not None:
            return
        self.table.forget(name)
        self.work.forget(name)
        self.reach.forget(name)
        for number, note in list(self.reading.items()):
            if note.engine == name:
                del self.reading[number]
        # What came of its last requests may have been noted since it went.
        known = set(self.registry.known) | {name}
        self.table.forget_except(known)
        self.work.forget_except(known)

    def close(self) -> None:
        """End all probes."""
        self.reach.close()

    def release(self, grant: Grant) -> None:
        """:param grant: a place to give back."""
        self.reading.pop(id(grant), None)
        endpoint = grant.endpoint
        assert isinstance(endpoint, Instance)
        known = self.registry.known.get(endpoint.name)
        # The places of an earlier start went with it.
        if known is not None and known.is_same_start(endpoint):
            facts = self.table.of(grant.name)
            facts.in_flight = max(0, facts.in_flight - 1)

    def full(self, grant: Grant) -> None:
        """:param grant: a place that its endpoint did not have after all."""
        self.table.full(grant.name, monotonic())
