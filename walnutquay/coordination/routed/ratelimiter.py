# Licensed under the Apache License 2.0: see LICENSE for details.

"""Obtains permits for requests to rate-limited endpoints, and issues them to others."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from typing import Protocol

import logbook

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.requests.slots import SlotRequest
from walnutquay.coordination.routed.issuers import IssuerRanking, Role
from walnutquay.coordination.routed.permits import PermitIssuers
from walnutquay.coordination.routed.ratelimits import RateLimits
from walnutquay.exceptions import PeerError
from walnutquay.protocol.messages import AskPermit, Envelope, Message, PermitIs
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, VmName
from walnutquay.state.routed.permits import MAX_WAIT_SECONDS, Decision, Verdict
from walnutquay.state.store.instances import Instance
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

MILLISECONDS = 1000.0
# An issuer answers within some milliseconds, besides the time that a request waits.
ANSWER_SECONDS = 0.15
# An issuer that has not answered is asked again after this time.
UNREACHABLE_SECONDS = 1.0
# Requests skip an endpoint for this long if no issuer could be asked.
NO_ISSUER_SECONDS = 0.3
# Times to ask again are spread by this factor at most, so that VMs that were rejected
# together do not return together.
SPREAD = 0.25
# The span over which the use of a limit is measured; seconds.
USE_SECONDS = 10.0


class Peers(Protocol):
    """The other entry VMs."""

    async def call(self, name: str, body: Message, timeout: float) -> Message:
        """Query one VM.

        :param name: the VM.
        :param body: the query.
        :param timeout: the seconds to wait for the answer.
        :raises PeerError: if the VM does not answer in time, or is not known.
        """


class RateLimiter:
    """Keeps the requests of all VMs together within the limits that endpoints name.

    :param context: the state shared within this process.
    :param limits: the rate limits of endpoints.
    :param ranking: which VM issues the permits.
    :param peers: the other VMs.
    """

    def __init__(
        self,
        context: Context,
        limits: RateLimits,
        ranking: IssuerRanking,
        peers: Peers,
    ) -> None:
        self.context = context
        self.limits = limits
        self.ranking = ranking
        self.peers = peers
        self.issuers = PermitIssuers()
        # Until when no permit of an endpoint is requested, by the priority of the
        # request that was rejected; monotonic seconds.
        self.rejected_until: defaultdict[EndpointName, dict[int, float]] = defaultdict(
            dict
        )
        # Until when an issuer that did not answer is not asked; monotonic seconds.
        self.unreachable_until: dict[VmName, float] = {}
        # When this VM got its last permits, by endpoint; monotonic seconds.
        self.permits: defaultdict[EndpointName, deque[float]] = defaultdict(deque)

    def listen(self, dispatcher: Dispatcher) -> None:
        """Register for the other VMs' messages.

        :param dispatcher: dispatches received messages.
        """
        self.limits.listen(dispatcher)
        dispatcher.on(AskPermit, self.answer)

    def start(self) -> None:
        """Start to learn and announce limits."""
        self.limits.start()

    def stop(self) -> None:
        """Stop announcing and issuing."""
        self.limits.stop()
        self.issuers.stop()

    def on_instance(self, name: EndpointName, instance: Instance | None) -> None:
        """Forget an endpoint that is gone, or its earlier start.

        :param name: the endpoint.
        :param instance: its entry; None if it has none, or if the entry of a later
            start is about to follow.
        """
        self.limits.on_instance(name, instance)
        if instance is None:
            self.issuers.forget(name)
            self.ranking.forget(name)
            self.rejected_until.pop(name, None)
            self.permits.pop(name, None)

    # Requests of this VM.

    @property
    def active(self) -> bool:
        """Whether any endpoint may be limited."""
        return bool(self.limits.table.limits)

    def rate(self, name: EndpointName, now: float) -> float | None:
        """Return the requests a second that all VMs together may send an endpoint.

        :param name: the endpoint.
        :param now: monotonic seconds.
        :returns: the rate; None if the endpoint is not limited.
        """
        return self.limits.table.rate(name, now)

    def needs_permit(self, name: EndpointName, now: float) -> bool:
        """Return whether a request to an endpoint needs a permit.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        return self.active and self.limits.table.needs_permit(name, now)

    def seconds_left(self, name: EndpointName, priority: int, now: float) -> float:
        """Return the time until this VM may request a permit again.

        A rejected request also holds back those that are less urgent.

        :param name: the endpoint.
        :param priority: the rank of the request, where 0 is the most urgent.
        :param now: monotonic seconds.
        :returns: seconds; 0 if a permit can be requested now, or is not needed.
        """
        rejected = self.rejected_until.get(name)
        if not rejected or not self.needs_permit(name, now):
            return 0.0
        until = [at for rank, at in rejected.items() if rank <= priority]
        return max(0.0, max(until, default=-math.inf) - now)

    async def permit(
        self, instance: Instance, need: SlotRequest, patience: float
    ) -> bool:
        """Obtain a permit to send one request to a limited endpoint.

        :param instance: the endpoint.
        :param need: the request.
        :param patience: the seconds that it can wait.
        :returns: whether it may be sent now.
        """
        name = instance.name
        limit = self.rate(name, monotonic())
        decision = await self._request(instance, need.priority, patience)
        now = monotonic()
        if decision.verdict is Verdict.GRANTED:
            self.context.metrics.count("rate_limit_permits")
            self._record_permit(name, now)
            return True
        wait = decision.wait * self.context.rng.uniform(1.0 - SPREAD, 1.0 + SPREAD)
        self.rejected_until[name][need.priority] = now + wait
        self.context.metrics.count("rate_limit_rejections")
        self.context.timeline.emit(
            EventKind.RATE_LIMITED,
            request=need.request,
            endpoint=name,
            limit=limit,
            wait_ms=round(wait * MILLISECONDS),
            priority=need.priority,
        )
        return False

    async def _request(
        self, instance: Instance, priority: int, patience: float
    ) -> Decision:
        """Request a permit of the primary issuer, or of the issuer of this hall."""
        end = monotonic() + patience
        primary = self.ranking.primary(instance)
        decision = await self._request_of(primary, instance, priority, patience)
        if decision is None:
            self.context.metrics.count("rate_limit_hall_requests")
            issuer = self.ranking.of_hall(instance)
            left = max(0.0, end - monotonic())
            decision = await self._request_of(issuer, instance, priority, left)
        return decision or Decision(Verdict.REJECTED, NO_ISSUER_SECONDS)

    async def _request_of(
        self, vm: VmName | None, instance: Instance, priority: int, patience: float
    ) -> Decision | None:
        """Request a permit of one VM.

        :returns: its decision; None if it cannot be reached, or issues none to this VM.
        """
        if vm is None:
            return None
        if vm == self.context.vm:
            return await self._issue(instance, priority, patience)
        if monotonic() < self.unreachable_until.get(vm, -math.inf):
            return None
        if instance.name not in self.limits.table.limits:
            return Decision(Verdict.GRANTED)
        body = AskPermit(self.limits.row(instance.name), priority, patience)
        try:
            answer = await self.peers.call(vm, body, patience + ANSWER_SECONDS)
        except PeerError as error:
            log.debug("an issuer of permits did not answer: {}", error)
            self.unreachable_until[vm] = monotonic() + UNREACHABLE_SECONDS
            return None
        if not isinstance(answer, PermitIs) or not answer.issuer:
            return None
        self.limits.apply([answer.limit], vm)
        if answer.granted:
            return Decision(Verdict.GRANTED)
        return Decision(Verdict.REJECTED, answer.wait)

    def _record_permit(self, name: EndpointName, now: float) -> None:
        times = self.permits[name]
        times.append(now)
        while times[0] <= now - USE_SECONDS:
            times.popleft()

    def use(self, name: EndpointName, now: float) -> float:
        """Return the requests a second that this VM has sent to a limited endpoint.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        recent = [at for at in self.permits.get(name, ()) if at > now - USE_SECONDS]
        return len(recent) / USE_SECONDS

    # Permits issued by this VM.

    async def _issue(
        self, instance: Instance, priority: int, patience: float
    ) -> Decision | None:
        """Issue a permit, if this VM is an issuer of the endpoint."""
        role = self.ranking.role(instance)
        if role is None:
            return None
        name = instance.name
        issuer = self.issuers.get(name, role.primary)
        return await issuer.request(priority, patience, lambda: self._rate(name, role))

    def _rate(self, name: EndpointName, role: Role) -> float | None:
        limit = self.rate(name, monotonic())
        return None if limit is None else role.rate(limit)

    async def answer(self, envelope: Envelope) -> PermitIs:
        """Answer another VM's request for a permit.

        :param envelope: the request.
        """
        body = envelope.body
        assert isinstance(body, AskPermit)
        self.limits.apply([body.limit], envelope.vm)
        name = body.limit.endpoint
        instance = self.limits.registry.known.get(name)
        decision = None
        if instance is not None:
            patience = min(body.patience, MAX_WAIT_SECONDS)
            decision = await self._issue(instance, body.priority, patience)
        if decision is None:
            return PermitIs(body.limit, granted=False, issuer=False, wait=0.0)
        known = name in self.limits.table.limits
        limit = self.limits.row(name) if known else body.limit
        granted = decision.verdict is Verdict.GRANTED
        return PermitIs(limit, granted, issuer=True, wait=decision.wait)
