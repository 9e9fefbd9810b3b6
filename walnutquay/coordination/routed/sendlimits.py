# Licensed under the Apache License 2.0: see LICENSE for details.

"""Decides which endpoints may be sent a request now, by all limits on them."""

from __future__ import annotations

import asyncio
import math
from collections import Counter, defaultdict

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.requests.slots import Grant, SlotRequest
from walnutquay.coordination.routed.backoffs import EndpointBackoffs
from walnutquay.coordination.routed.candidates import Candidates
from walnutquay.coordination.routed.cold import ColdLimiter
from walnutquay.coordination.routed.places import Places
from walnutquay.coordination.routed.ratelimiter import RateLimiter
from walnutquay.state.process.ids import ServiceName
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.routed.backoffs import RECOVERY_INTERVAL_SECONDS
from walnutquay.state.store.instances import Instance
from walnutquay.transport.timers import monotonic

# The part of a request's objective for which it waits for a limited endpoint at most.
MAX_WAIT_SHARE = 0.5
# The shortest and longest interval at which waiting requests check again: another
# endpoint may be listed meanwhile.
MIN_POLL_SECONDS = 0.02
MAX_POLL_SECONDS = 0.25
# The shortest and longest time after which a refused caller is told to return; seconds.
MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 10.0
# Retry-After when no endpoint runs: one that starts is listed within a second.
NO_ENDPOINT_RETRY_SECONDS = 1.0
# Times to return are spread by this factor at most.
RETRY_SPREAD = 0.25


def no_endpoint(service: ServiceName) -> Refusal:
    """Return the refusal of a request that there is no endpoint for.

    :param service: the service.
    """
    reason = f"no endpoint of {service} can be asked now"
    return Refusal(RefusalCode.NO_ENDPOINT, reason, NO_ENDPOINT_RETRY_SECONDS)


class SendLimits:
    """All limits on what endpoints may be sent; the strictest holds.

    :param context: the state shared within this process.
    :param candidates: the endpoints that could serve requests.
    :param cold: limits the requests that cold endpoints receive.
    :param rates: the rate limits that endpoints name.
    :param backoffs: the backoffs that endpoints ask this VM for.
    :param places: the places at brittle endpoints.
    """

    def __init__(
        self,
        context: Context,
        candidates: Candidates,
        cold: ColdLimiter,
        rates: RateLimiter,
        backoffs: EndpointBackoffs,
        places: Places,
    ) -> None:
        self.context = context
        self.candidates = candidates
        self.cold = cold
        self.rates = rates
        self.backoffs = backoffs
        self.places = places
        # The number of requests that wait for a limited endpoint, by priority.
        self.waiting: defaultdict[ServiceName, Counter[int]] = defaultdict(Counter)
        # When the last refused caller of a service returns; monotonic seconds.
        self.last_return: dict[ServiceName, float] = {}
        # The same of callers that were refused for a backoff, by their priority.
        self.last_returns: defaultdict[ServiceName, dict[int, float]] = defaultdict(
            dict
        )

    def is_limited(self, instance: Instance, now: float) -> bool:
        """Return whether an endpoint is limited in any way.

        :param instance: the endpoint.
        :param now: monotonic seconds.
        """
        name = instance.name
        if self.needs_permit(instance) or self.backoffs.is_limited(name, now):
            return True
        return self.cold.is_limited(instance, now)

    def seconds_left(self, instance: Instance, priority: int, now: float) -> float:
        """Return the time until this VM may send an endpoint a request.

        :param instance: the endpoint.
        :param priority: the rank of the request, where 0 is the most urgent.
        :param now: monotonic seconds.
        :returns: seconds; infinite if the VM has to wait until the endpoint is warm.
        """
        return max(
            self.cold.seconds_left(instance, now),
            self.rates.seconds_left(instance.name, priority, now),
            self.backoffs.seconds_left(instance.name, now),
            self.places.seconds_left(instance.name, now),
        )

    def permitted(self, instances: list[Instance], now: float) -> list[Instance]:
        """Return the endpoints that may be sent a request, apart from rate limits.

        :param instances: the endpoints to choose from.
        :param now: monotonic seconds.
        """
        found = self.backoffs.available(self.cold.available(instances, now), now)
        if not self.places.brittle:
            return found
        return [item for item in found if self.places.seconds_left(item.name, now) <= 0]

    def record_send(self, instance: Instance, now: float) -> None:
        """Count a request that is sent to an endpoint.

        :param instance: the endpoint.
        :param now: monotonic seconds.
        """
        self.cold.record_send(instance, now)
        self.backoffs.record_send(instance, now)

    def available(
        self, instances: list[Instance], priority: int, now: float
    ) -> list[Instance]:
        """Return the endpoints that may be sent a request, given a permit.

        :param instances: the endpoints to choose from.
        :param priority: the rank of the request.
        :param now: monotonic seconds.
        """
        found = self.permitted(instances, now)
        if not self.rates.active:
            return found
        return [
            item
            for item in found
            if self.rates.seconds_left(item.name, priority, now) <= 0
        ]

    def unlimited(self, instances: list[Instance], now: float) -> list[Instance]:
        """Return the endpoints that may be sent a request without a permit.

        :param instances: the endpoints to choose from.
        :param now: monotonic seconds.
        """
        found = self.permitted(instances, now)
        if not self.rates.active:
            return found
        return [item for item in found if not self.rates.needs_permit(item.name, now)]

    def draining(self, need: SlotRequest) -> list[Instance]:
        """Return the draining endpoints that a request may be sent to.

        Only for a request that no other endpoint can serve.

        :param need: the request.
        """
        return self.available(
            self.candidates.draining(need), need.priority, monotonic()
        )

    def may_send(self, instance: Instance, need: SlotRequest) -> bool:
        """Return whether a request may be sent to an endpoint, apart from rate limits.

        :param instance: the endpoint.
        :param need: the request.
        """
        found = self.candidates.of_request(need) or self.candidates.draining(need)
        return instance in self.permitted(found, monotonic())

    def still_allowed(self, grant: Grant) -> bool:
        """Return whether a request may still be sent, now that it has a connection.

        :param grant: the slot that it was granted.
        """
        endpoint = grant.endpoint
        assert isinstance(endpoint, Instance)
        backoff = self.backoffs.table.backoffs.get(endpoint.name)
        if backoff is not None and monotonic() < backoff.until:
            self.context.metrics.count("withheld_backoff")
            return False
        if self.candidates.is_withdrawn(endpoint):
            self.context.metrics.count("withheld_draining")
            return False
        return True

    async def wait_for(self, need: SlotRequest) -> list[Instance]:
        """Wait for a limited time until a request may be sent to some endpoint.

        More urgent requests go first.  A request that could hardly be answered in time
        after the wait is refused at once.  None waits while a draining endpoint may be
        sent it.

        :param need: the slot that is requested.
        :returns: the endpoints that may be sent the request now; empty to refuse it.
        """
        end = self._end(need)
        waited = False
        while True:
            now = monotonic()
            found = self.candidates.of_request(need)
            open_ones = self.available(found, need.priority, now)
            free = any(not self.is_limited(item, now) for item in open_ones)
            if free or (open_ones and self._is_most_urgent(need)):
                return open_ones
            draining = self.draining(need)
            if draining:
                return draining
            remaining = min(
                (self.seconds_left(item, need.priority, now) for item in found),
                default=math.inf,
            )
            if not waited:
                remaining += self._seconds_ahead(found, need)
            if now + remaining > end or now >= end:
                return []
            waited = True
            waiting = self.waiting[ServiceName(need.target)]
            waiting[need.priority] += 1
            try:
                pause = min(remaining, MAX_POLL_SECONDS)
                await asyncio.sleep(max(pause, MIN_POLL_SECONDS))
            finally:
                waiting[need.priority] -= 1

    def _seconds_ahead(self, found: list[Instance], need: SlotRequest) -> float:
        """Return the time that endpoints which recover need for what waits already.

        :param found: the endpoints that could serve a request.
        :param need: the request; what is less urgent is not counted.
        """
        now = monotonic()
        if not all(self.backoffs.is_limited(item.name, now) for item in found):
            return 0.0
        waiting = self.waiting[ServiceName(need.target)]
        ahead = sum(n for rank, n in waiting.items() if rank <= need.priority)
        return ahead * RECOVERY_INTERVAL_SECONDS / max(1, len(found))

    def _end(self, need: SlotRequest) -> float:
        """Return the time until which a request waits at most; monotonic seconds."""
        return min(need.since + MAX_WAIT_SHARE * need.aim, need.deadline)

    def _is_most_urgent(self, need: SlotRequest) -> bool:
        """Return whether no more urgent request waits here for the same service."""
        waiting = self.waiting[ServiceName(need.target)]
        return not any(n and rank < need.priority for rank, n in waiting.items())

    def needs_permit(self, instance: Instance) -> bool:
        """Return whether a request to an endpoint needs a permit.

        :param instance: the endpoint.
        """
        name = instance.name
        return self.rates.needs_permit(name, monotonic()) or self.places.needs_place(
            name
        )

    async def permit(
        self, chosen: Instance, open_ones: list[Instance], need: SlotRequest
    ) -> bool:
        """Obtain the permit to send a request to an endpoint that needs one.

        The request waits for it only if all endpoints are limited.

        :param chosen: the endpoint.
        :param open_ones: all endpoints that may be sent the request.
        :param need: the request.
        :returns: whether it may be sent now.
        """
        now = monotonic()
        free = any(not self.is_limited(item, now) for item in open_ones)
        patience = 0.0 if free else max(0.0, self._end(need) - now)
        if self.rates.needs_permit(chosen.name, now) and not await self.rates.permit(
            chosen, need, patience
        ):
            return False
        return not self.places.needs_place(chosen.name) or await self.places.acquire(
            chosen
        )

    def refusal(self, need: SlotRequest) -> Refusal:
        """Return the refusal of a request that no endpoint may be sent in time.

        :param need: the request.
        """
        now = monotonic()
        found = self.candidates.of_request(need)
        service = ServiceName(need.target)
        if not found:
            return no_endpoint(service)
        wait = min(self.seconds_left(item, need.priority, now) for item in found)
        limited = [i.name for i in found if self.rates.needs_permit(i.name, now)]
        if limited:
            names = ", ".join(sorted(limited))
            reason = f"the endpoints of {service} are at their rate limits: {names}"
            retry_after = self._retry_after(need, wait)
            return Refusal(RefusalCode.RATE_LIMITED, reason, retry_after)
        overloaded = [
            i.name
            for i in found
            if self.backoffs.is_limited(i.name, now) or self.places.needs_place(i.name)
        ]
        if overloaded:
            names = ", ".join(sorted(overloaded))
            reason = f"the endpoints of {service} are overloaded: {names}"
            retry_after = self._retry_after_backoff(need, wait)
            return Refusal(RefusalCode.OVERLOADED, reason, retry_after)
        reason = f"the endpoints of {service} are cold, and have what they may get"
        return Refusal(RefusalCode.NO_ENDPOINT, reason, self.cold.retry_after())

    def _retry_after_backoff(self, need: SlotRequest, wait: float) -> float:
        """Return the time after which a refused caller should return; seconds.

        No caller returns before the earliest end of a backoff.  From then on they
        return one after the other, behind those that are as urgent or more.

        :param need: the request.
        :param wait: the time until a request may be sent.
        """
        now = monotonic()
        latest = self.last_returns[ServiceName(need.target)]
        ahead = [at for rank, at in latest.items() if rank <= need.priority]
        last = max(ahead, default=-math.inf)
        earliest = now + max(MIN_RETRY_SECONDS, wait)
        returns = max(earliest, last + RECOVERY_INTERVAL_SECONDS)
        returns = min(returns, now + MAX_RETRY_SECONDS)
        latest[need.priority] = returns
        return returns - now

    def _retry_after(self, need: SlotRequest, wait: float) -> float:
        """Return the time after which a refused caller should return; seconds.

        Callers return one after the other, as permits are likely to be issued, and not
        all at once.

        :param need: the request.
        :param wait: the time until this VM may request a permit again.
        """
        now = monotonic()
        service = ServiceName(need.target)
        interval = max(MIN_RETRY_SECONDS, min(wait, MAX_RETRY_SECONDS))
        earliest = now + interval
        last = self.last_return.get(service, -math.inf)
        returns = min(max(earliest, last + interval / 2.0), now + MAX_RETRY_SECONDS)
        self.last_return[service] = returns
        spread = self.context.rng.uniform(1.0 - RETRY_SPREAD, 1.0)
        return (returns - now) * spread
