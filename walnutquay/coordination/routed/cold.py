# Licensed under the Apache License 2.0: see LICENSE for details.

"""Keeps this VM's part of the bound on what cold endpoints get."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.requests.places import Need
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, HallName, ServiceName, VmName
from walnutquay.state.routed.cold import (
    LIMIT_WINDOW_SECONDS,
    ColdEndpoints,
    ColdLimit,
    Quota,
    assigned_senders,
    sender_count,
    sender_quota,
)
from walnutquay.state.store.catalogue import RoutedService
from walnutquay.state.store.instances import Instance, InstanceRegistry
from walnutquay.transport.timers import monotonic

MILLISECONDS = 1000.0
# A request waits for a cold endpoint for this part of its aim at the most.
PATIENCE = 0.5
# Those that wait look again after so long at the soonest.
LOOK_SECONDS = 0.02


class Peers(Protocol):
    """The other entry VMs."""

    @property
    def known(self) -> Mapping[VmName, object]:
        """Where each VM is; another object whenever the list changes."""

    def names_near(self, hall: HallName) -> Collection[VmName]:
        """:param hall: a data hall.

        :returns: its VMs; all that there are where it has none.
        """


class ColdGate:
    """Says which endpoints this VM may send to, as some are cold.

    :param context: what this process shares.
    :param registry: the endpoints.
    :param service_of: gives a service as operators have set it; None for unknown ones.
    :param peers: the other VMs.
    :param cold_over: so many times what an endpoint bears operators allow in a second.
    :param cold_extra: requests that they allow in it besides.
    """

    def __init__(
        self,
        context: Context,
        registry: InstanceRegistry,
        service_of: Callable[[ServiceName], RoutedService | None],
        peers: Peers,
        cold_over: float,
        cold_extra: float,
    ) -> None:
        self.context = context
        self.registry = registry
        self.service_of = service_of
        self.peers = peers
        self.cold_over = cold_over
        self.cold_extra = cold_extra
        self.endpoints = ColdEndpoints()
        # How long endpoints were to stay cold by the last entry of each; seconds.
        self.told: dict[EndpointName, float] = {}
        # This VM's part of what each endpoint may get, by the list of VMs that it was
        # made of; None where others keep it.
        self.quotas: dict[EndpointName, Quota | None] = {}
        # Requests that wait until they may be sent to a cold endpoint, by rank.
        self.waiting: Counter[int] = Counter()
        self.made_of: Mapping[VmName, object] | None = None

    def on_instance(self, name: EndpointName, instance: Instance | None) -> None:
        """Take in what an endpoint's entry says.

        An entry is written anew for other reasons too, and says the same then.

        :param name: the endpoint.
        :param instance: its entry; None where it has none any more.
        """
        if instance is None:
            self.told.pop(name, None)
            self.quotas.pop(name, None)
            self.endpoints.forget(name)
            return
        before = self.told.get(name, 0.0)
        self.told[name] = instance.cold_seconds
        if instance.cold_seconds != before:
            self._turn(instance, instance.cold_seconds, "its entry")

    def on_hall_back(self, hall: HallName) -> None:
        """Take the endpoints of a hall that was emptied for cold.

        They had nothing to do, and their entries tell of it some time later.

        :param hall: the data hall.
        """
        for instance in self.registry.known.values():
            service = self.service_of(instance.service)
            if instance.hall == hall and service is not None:
                self._turn(instance, service.cold_seconds, "its hall was emptied")

    def _turn(self, instance: Instance, seconds: float, source: str) -> None:
        now = monotonic()
        if not self.endpoints.set_cold_seconds(instance.name, seconds, now):
            return
        if seconds <= 0:
            self.context.timeline.emit(
                EventKind.ENDPOINT_WARM, endpoint=instance.name, detail=source
            )
            return
        quota = self.quota(instance)
        self.context.timeline.emit(
            EventKind.ENDPOINT_COLD,
            endpoint=instance.name,
            detail=f"{instance.service} in {instance.hall}, by {source}",
            cold_ms=round(seconds * MILLISECONDS),
            sends=quota.count if quota is not None else 0,
            sends_ms=round(quota.seconds * MILLISECONDS) if quota is not None else None,
        )

    def limit_of(self, service: ServiceName) -> ColdLimit | None:
        """:param service: a service.

        :returns: what each of its cold endpoints may get; None where nothing is said.
        """
        known = self.service_of(service)
        if known is None or known.cold_per_second <= 0:
            return None
        per_second = known.cold_per_second
        return ColdLimit(per_second, per_second * self.cold_over + self.cold_extra)

    def quota(self, instance: Instance) -> Quota | None:
        """:param instance: an endpoint.

        :returns: what this VM may send it while it is cold; None for nothing.
        """
        if self.made_of is not self.peers.known:
            self.made_of = self.peers.known
            self.quotas.clear()
        if instance.name not in self.quotas:
            self.quotas[instance.name] = self._quota(instance)
        return self.quotas[instance.name]

    def _quota(self, instance: Instance) -> Quota | None:
        limit = self.limit_of(instance.service)
        vms = self.peers.names_near(instance.hall)
        if limit is None or not vms:
            return None
        count = sender_count(limit.total, len(vms))
        if self.context.vm not in assigned_senders(instance.name, vms, count):
            return None
        return sender_quota(limit.total, count)

    def is_bound(self, instance: Instance, now: float) -> bool:
        """:param instance: an endpoint.

        :param now: monotonic seconds.
        :returns: whether it is cold, and operators bound what it gets then.
        """
        if not self.endpoints.is_cold(instance.name, now):
            return False
        return self.limit_of(instance.service) is not None

    def seconds_left(self, instance: Instance, now: float) -> float:
        """:param instance: an endpoint.

        :param now: monotonic seconds.
        :returns: seconds until this VM may send it a request, by its coldness alone;
            infinite where it may not until the endpoint is warm.
        """
        if not self.is_bound(instance, now):
            return 0.0
        quota = self.quota(instance)
        if quota is None:
            return math.inf
        return self.endpoints.seconds_left(instance.name, quota, now)

    def open(self, instances: list[Instance], now: float) -> list[Instance]:
        """:param instances: some endpoints.

        :param now: monotonic seconds.
        :returns: those that this VM may send a request now.
        """
        if now >= self.endpoints.any_cold_until:
            return instances
        found = [item for item in instances if self.seconds_left(item, now) <= 0]
        passed_over = len(instances) - len(found)
        if passed_over:
            self.context.metrics.count("cold_passed_over", passed_over)
        return found

    async def wait_for(
        self, find: Callable[[], list[Instance]], need: Need
    ) -> list[Instance]:
        """Wait until a request may be sent to some endpoint, but not for long.

        The more urgent go first, and what would hardly be in time then is not held.

        :param find: gives the endpoints that could serve it, whether cold or not.
        :param need: the request.
        :returns: the endpoints that may be sent it now; none if it is to be refused.
        """
        end = min(need.since + PATIENCE * need.aim, need.deadline)
        while True:
            now = monotonic()
            found = find()
            open_ones = self.open(found, now)
            warm = any(not self.is_bound(item, now) for item in open_ones)
            if warm or (open_ones and self._goes_first(need.priority)):
                return open_ones
            left = min(
                (self.seconds_left(item, now) for item in found), default=math.inf
            )
            if now + left > end or now >= end:
                return []
            self.waiting[need.priority] += 1
            try:
                await asyncio.sleep(max(left, LOOK_SECONDS))
            finally:
                self.waiting[need.priority] -= 1

    def _goes_first(self, priority: int) -> bool:
        """Whether no more urgent request waits here."""
        return not any(
            count and rank < priority for rank, count in self.waiting.items()
        )

    def retry_after(self) -> float:
        """:returns: seconds after which one that is refused should come back.

        Those who are refused together return spread over the time in which what each
        cold endpoint may get comes anew.
        """
        return LIMIT_WINDOW_SECONDS * (0.5 + self.context.rng.random())

    def sent(self, instance: Instance, now: float) -> bool:
        """Note that this VM sends an endpoint a request.

        :param instance: the endpoint.
        :param now: monotonic seconds.
        :returns: whether the endpoint is cold.
        """
        if not self.is_bound(instance, now):
            return False
        quota = self.quota(instance)
        assert quota is not None
        self.endpoints.record_send(instance.name, quota.count, now)
        self.context.metrics.count("cold_sent")
        return True
