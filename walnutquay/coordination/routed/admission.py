# Licensed under the Apache License 2.0: see LICENSE for details.

"""Slots at the endpoints that the platform lists."""

from __future__ import annotations

from collections.abc import Callable

from expression import Error, Ok, Result

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.requests.slots import Grant, SlotRequest
from walnutquay.coordination.routed.announcements import EndpointAnnouncements
from walnutquay.coordination.routed.candidates import Candidates
from walnutquay.coordination.routed.cold import ColdLimiter
from walnutquay.coordination.routed.endpointchoice import EndpointChoice
from walnutquay.coordination.routed.pendingprompts import PendingPrompt
from walnutquay.coordination.routed.ports import ScarceSlots
from walnutquay.coordination.routed.promptengines import EngineState, PromptEngines
from walnutquay.coordination.routed.ratelimiter import RateLimiter
from walnutquay.coordination.routed.reachability import Reachability
from walnutquay.coordination.routed.sendlimits import (
    MAX_RETRY_SECONDS,
    SendLimits,
    no_endpoint,
)
from walnutquay.coordination.routed.slotchoice import SlotChoice
from walnutquay.protocol.calls import AnswerHead
from walnutquay.protocol.messages import WorkNews
from walnutquay.state.process.ids import (
    EndpointName,
    RegionName,
    ServiceName,
    WorkKind,
)
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.requests.refusals import Refusal
from walnutquay.state.requests.regions import filter_by_region
from walnutquay.state.routed.modelchoice import Demand, priority_weight
from walnutquay.state.routed.overloadscope import Coverage, OverloadScope
from walnutquay.state.routed.traffic import PromptTraffic, SentPrompt
from walnutquay.state.routed.work import MIN_SAMPLE_TOKENS, PromptWork, WorkTable
from walnutquay.state.store.instances import Instance, InstanceRegistry
from walnutquay.transport.timers import monotonic


class RoutedAdmission:
    """Grants slots at endpoints, which have queues of their own.

    :param context: the state shared within this process.
    :param registry: the listed endpoints.
    :param table: the load and health of the endpoints.
    :param cached_tokens_of: returns the number of tokens that an engine of a service
        caches; 0 if unknown.
    :param vm_count: returns the number of entry VMs.
    :param cold: limits the requests that cold endpoints receive.
    :param rates: keeps to the rate limits that endpoints name.
    :param announcements: learns what endpoints announce in their answers.
    :param candidates: the endpoints that could serve requests.
    :param reachability: which endpoints accept connections.
    :param scope: the services for which decisions under overload are made; None for
        none.
    :param sharing: shares scarce slots out among all VMs; None to share out none.
    """

    def __init__(
        self,
        context: Context,
        registry: InstanceRegistry,
        table: EndpointTable,
        cached_tokens_of: Callable[[ServiceName], int],
        vm_count: Callable[[], int],
        cold: ColdLimiter,
        rates: RateLimiter,
        announcements: EndpointAnnouncements,
        candidates: Candidates,
        reachability: Reachability,
        scope: OverloadScope | None = None,
        sharing: ScarceSlots | None = None,
    ) -> None:
        self.context = context
        self.registry = registry
        self.table = table
        self.candidates = candidates
        self.work = WorkTable()
        self.cached_tokens_of = cached_tokens_of
        self.vm_count = vm_count
        self.cold = cold
        self.rates = rates
        self.announcements = announcements
        self.limits = SendLimits(
            context,
            candidates,
            cold,
            rates,
            announcements.backoffs,
            announcements.places,
        )
        self.reachability = reachability
        self.engine_state = EngineState(context.hall, table, self.work)
        self.choice = EndpointChoice(table, self._engines)
        self.scope = scope or OverloadScope(Coverage.NEVER)
        self.sharing = sharing
        self.slots = SlotChoice(self.limits, self.choice, reachability, sharing)
        # The prompts that this VM has sent recently, by service.
        self.traffic: dict[ServiceName, PromptTraffic] = {}
        # Prompts whose answers have not begun, by the id of the grant.
        self.pending_prompts: dict[int, PendingPrompt] = {}
        # Called with each prompt that is sent.
        self.listeners: list[Callable[[PendingPrompt], None]] = []

    async def acquire(self, need: SlotRequest) -> Result[Grant, Refusal]:
        """Choose an endpoint for a request and take a slot there.

        :param need: the slot that is requested.
        :returns: the slot, or the reason why none is available.
        """
        service = ServiceName(need.target)
        found = self.candidates.of_request(need) or self.candidates.draining(need)
        if not found or self.reachability.are_down(found):
            return Error(no_endpoint(service))
        acquired = await self.slots.choose(need)
        if acquired.is_error():
            return acquired
        chosen, now = acquired.ok.endpoint, monotonic()
        ticket = acquired.ok.ticket
        self.limits.record_send(chosen, now)
        self.table.state_of(chosen.name).in_flight += 1
        if need.work is None:
            return Ok(Grant(chosen, now, WorkKind.QUICK, ticket=ticket))
        return Ok(self._record_prompt(Grant(chosen, now, WorkKind.PATIENT), need))

    def are_scarce(self, service: ServiceName) -> bool:
        """Return whether the slots of a service are shared out at present.

        :param service: the service.
        """
        return self.sharing is not None and self.sharing.are_scarce(service)

    def backoff_seconds(self, service: ServiceName) -> float:
        """Return the time until the first endpoint of a service ends its backoff.

        :param service: the service.
        :returns: seconds, limited to the longest time for which callers are sent away;
            0 if an endpoint does not back off.
        """
        now = monotonic()
        backoffs = self.limits.backoffs
        left = [
            backoffs.seconds_left(i.name, now)
            for i in self.candidates.of_service(service)
        ]
        return min([*left, MAX_RETRY_SECONDS]) if left else 0.0

    def mark_unreachable(self, grant: Grant, silent: bool) -> None:
        """Avoid an endpoint that cannot be connected to until it accepts connections.

        :param grant: a slot at the endpoint.
        :param silent: whether there was no response at all.
        """
        endpoint = grant.endpoint
        assert isinstance(endpoint, Instance)
        self.reachability.mark_unreachable(endpoint, silent)

    async def check_reachable(self, grant: Grant) -> bool:
        """Check whether a connection to a silent endpoint may still work.

        :param grant: a slot at the endpoint.
        """
        endpoint = grant.endpoint
        assert isinstance(endpoint, Instance)
        forwarded = grant.via is not None
        return await self.reachability.check_reachable(endpoint, forwarded)

    def _record_prompt(self, grant: Grant, need: SlotRequest) -> Grant:
        """Record that a prompt is sent to an engine, and notify the listeners."""
        assert need.work is not None
        work, now = need.work, grant.started
        service = ServiceName(need.target)
        kept = self.kept_seconds(service, now)
        wait = self.work.wait(grant.name, now)
        # How long it takes there, also for the VMs that are told.
        pace = self.table.state_of(grant.name).usual_pace(now)
        seconds = self.work.reading(grant.name, work, now, False, kept) * pace
        cached = self.work.has_cached(grant.name, work.beginning, now, kept)
        position = self.work.add(grant.name, seconds, work.beginning, now)
        name = EndpointName(grant.name)
        assert isinstance(grant.endpoint, Instance)
        hall = grant.endpoint.hall
        pending = PendingPrompt(work, name, hall, wait, seconds, cached, position)
        self.pending_prompts[id(grant)] = pending
        weight = priority_weight(need.priority)
        self._traffic_of(service).add(SentPrompt(now, work.tokens, seconds, weight))
        for listener in self.listeners:
            listener(pending)
        return grant

    def _traffic_of(self, service: ServiceName) -> PromptTraffic:
        return self.traffic.setdefault(service, PromptTraffic())

    def kept_seconds(self, service: ServiceName, now: float) -> float:
        """Return how long the engines of a service keep a prompt cached.

        :param service: the service.
        :param now: monotonic seconds.
        """
        engines = len(self.candidates.of_service(service))
        traffic = self._traffic_of(service)
        return traffic.kept_seconds(
            now, self.vm_count(), engines, self.cached_tokens_of(service)
        )

    def demand(self, service: ServiceName) -> Demand:
        """Return the current reading load of a service's engines.

        :param service: the service.
        """
        engines = len(self.candidates.of_service(service))
        return self._traffic_of(service).demand(monotonic(), self.vm_count(), engines)

    def engines_for(
        self, service: ServiceName, regions: frozenset[RegionName] | None = None
    ) -> PromptEngines | None:
        """Return the engines that a prompt could be sent to now, for a forecast.

        Those with a rate limit are left out, as they may not grant a permit.

        :param service: the service.
        :param regions: the regions in which the prompt may run; None for all.
        :returns: the engines; None if no endpoint may be sent the prompt now.
        """
        now = monotonic()
        found = self.candidates.of_service(service)
        allowed = filter_by_region(found, regions, self.candidates.region_of)
        remaining = self.reachability.exclude_unreachable(
            self.limits.unlimited(allowed, now)
        )
        open_ones = self.table.accepting(remaining, now, frozenset()) or remaining
        return self._engines(open_ones, service, now) if open_ones else None

    def reading_seconds_of(self, grant: Grant) -> float | None:
        """Return the reading time of the prompt that was sent with a grant.

        :param grant: the slot.
        :returns: seconds; None if no prompt is pending there.
        """
        pending = self.pending_prompts.get(id(grant))
        return None if pending is None else pending.seconds

    def apply_peer_prompt(self, update: WorkNews) -> None:
        """Apply an update about a prompt that another VM has sent.

        :param update: the other VM's message.
        """
        self.work.apply_peer_rate(update.model, update.rate)
        name = EndpointName(update.endpoint)
        if name in self.registry.known:
            self.work.add(name, update.seconds, update.beginning, monotonic())

    def expected_answer_seconds(self, grant: Grant) -> float:
        """Estimate the time until the answer begins.

        :param grant: the slot.
        :returns: seconds; 0 if unknown.
        """
        pending = self.pending_prompts.get(id(grant))
        if pending is None:
            return 0.0
        pace = self.table.state_of(grant.name).usual_pace(monotonic())
        reading = pending.work.tokens * self.work.rate(pending.work.model)
        return pending.wait + reading * pace

    def on_answer(self, grant: Grant, head: AnswerHead) -> None:
        """Learn what an endpoint tells of itself in the head of an answer.

        :param grant: the slot at the endpoint.
        :param head: the head.
        """
        endpoint = grant.endpoint
        assert isinstance(endpoint, Instance)
        self.announcements.on_answer(endpoint, head, grant.started)
        if head.running is not None:
            self.scope.on_load(endpoint.service, head.pace)
        if self.sharing is not None:
            self.sharing.on_answer(endpoint, head)
        if head.running is not None:
            load = head.running + head.waiting
            pace = head.pace if self.scope.uses_paces else None
            self.table.report(grant.name, load, "", monotonic(), pace)

    def answer_began(self, grant: Grant, seconds: float) -> None:
        """Update the reading estimates when an answer begins.

        :param grant: the slot.
        :param seconds: the time since the request was sent.
        """
        pending = self.pending_prompts.pop(id(grant), None)
        if pending is None:
            return
        # Engines read shorter prompts before longer ones, so only the longest pending
        # prompt proves that nothing ahead of it is left.
        others = [
            other
            for other in self.pending_prompts.values()
            if other.engine == grant.name
        ]
        if all(other.seconds <= pending.seconds for other in others):
            self.work.record_read(pending.engine, pending.position, monotonic())
        if pending.wait <= 0 and not pending.cached:
            self._learn_reading(grant, pending.work, seconds)

    def _learn_reading(self, grant: Grant, work: PromptWork, seconds: float) -> None:
        """Learn from a prompt that an engine read with no other known work."""
        now = monotonic()
        usual = work.tokens * self.work.rate(work.model)
        if usual > 0.0 and work.tokens >= MIN_SAMPLE_TOKENS:
            assert isinstance(grant.endpoint, Instance)
            name, service = EndpointName(grant.name), grant.endpoint.service
            self.table.learn_reading(name, service, seconds / usual, now)
        pace = self.table.state_of(grant.name).moment_pace(now)
        self.work.learn(work.model, work.tokens, seconds / pace)

    def _engines(
        self, engines: list[Instance], service: ServiceName, now: float
    ) -> PromptEngines:
        kept = self.kept_seconds(service, now)
        return PromptEngines(self.engine_state, engines, kept, now)

    def on_instance(self, name: EndpointName, instance: Instance | None) -> None:
        """Discard the state of an endpoint's start that is gone.

        :param name: the endpoint.
        :param instance: its entry; None if it has none, or if the entry of a later
            start is about to follow.
        """
        self.cold.on_instance(name, instance)
        self.rates.on_instance(name, instance)
        self.announcements.on_instance(name, instance)
        if instance is not None:
            return
        self.table.forget(name)
        self.work.forget(name)
        self.reachability.forget(name)
        for number, pending in list(self.pending_prompts.items()):
            if pending.engine == name:
                del self.pending_prompts[number]
        # Results of its last requests may have been recorded after it was removed.
        known = set(self.registry.known) | {name}
        self.table.forget_except(known)
        self.work.forget_except(known)

    def close(self) -> None:
        """Stop all probes, and issue no more permits."""
        self.reachability.close()
        self.rates.stop()
        self.announcements.stop()

    def release(self, grant: Grant) -> None:
        """Release a slot.

        :param grant: the slot.
        """
        self.pending_prompts.pop(id(grant), None)
        endpoint = grant.endpoint
        assert isinstance(endpoint, Instance)
        current = self.registry.known.get(endpoint.name)
        # Slots of an earlier start no longer count.
        if current is not None and current.is_same_start(endpoint):
            facts = self.table.state_of(grant.name)
            facts.in_flight = max(0, facts.in_flight - 1)
            self.limits.places.on_released(endpoint)
        if grant.ticket is not None and self.sharing is not None:
            self.sharing.release(grant.ticket, grant.took or 0.0)

    def full(self, grant: Grant) -> None:
        """Record that an endpoint refused a request although a slot was granted.

        :param grant: the slot.
        """
        self.table.full(grant.name, monotonic())
        assert isinstance(grant.endpoint, Instance)
        self.limits.places.on_rejected(grant.endpoint)
        if self.sharing is not None:
            self.sharing.on_rejected(grant.endpoint, grant.ticket)
