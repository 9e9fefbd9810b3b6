# Licensed under the Apache License 2.0: see LICENSE for details.

"""Enforces this VM's part of the limit on requests to cold endpoints."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from walnutquay.coordination.process.context import Context
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


class Peers(Protocol):
    """The other entry VMs."""

    @property
    def known(self) -> Mapping[VmName, object]:
        """The address of each VM; a new object whenever the list changes."""

    def names_near(self, hall: HallName) -> Collection[VmName]:
        """Return the VMs of a data hall, or all VMs if it has none.

        :param hall: the data hall.
        """


class ColdLimiter:
    """Decides which endpoints this VM may send requests to while some are cold.

    :param context: the state shared within this process.
    :param registry: the listed endpoints.
    :param service_of: returns the configuration of a service; None if unknown.
    :param peers: the other VMs.
    :param cold_over: the multiple of a cold endpoint's rate that operators allow in a
        second.
    :param cold_extra: the number of requests that they allow in it in addition.
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
        # The cold time in the last entry of each endpoint; seconds.
        self.listed_seconds: dict[EndpointName, float] = {}
        # This VM's quota of each endpoint, for the list of VMs in ``quota_peers``; None
        # if only other VMs send to it.
        self.quotas: dict[EndpointName, Quota | None] = {}
        self.quota_peers: Mapping[VmName, object] | None = None

    def on_instance(self, name: EndpointName, instance: Instance | None) -> None:
        """Apply the cold time in an endpoint's entry, if it has changed.

        Entries are also rewritten for other reasons, with the same cold time.

        :param name: the endpoint.
        :param instance: its entry; None if it has none any more.
        """
        if instance is None:
            self.listed_seconds.pop(name, None)
            self.quotas.pop(name, None)
            self.endpoints.forget(name)
            return
        before = self.listed_seconds.get(name, 0.0)
        self.listed_seconds[name] = instance.cold_seconds
        if instance.cold_seconds != before:
            self._set_cold(instance, instance.cold_seconds, "its entry")

    def on_hall_back(self, hall: HallName) -> None:
        """Mark the endpoints of a hall that is back in use as cold.

        They were idle while the hall was emptied, and their entries say so only later.

        :param hall: the data hall.
        """
        for instance in self.registry.known.values():
            service = self.service_of(instance.service)
            if instance.hall == hall and service is not None:
                self._set_cold(instance, service.cold_seconds, "its hall was emptied")

    def _set_cold(self, instance: Instance, seconds: float, source: str) -> None:
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
            detail=f"{instance.service} in {instance.hall}: {source}",
            cold_ms=round(seconds * MILLISECONDS),
            sends=quota.count if quota is not None else 0,
            sends_ms=round(quota.seconds * MILLISECONDS) if quota is not None else None,
        )

    def limit_of(self, service: ServiceName) -> ColdLimit | None:
        """Return the request limit of a service's cold endpoints.

        :param service: the service.
        :returns: the limit of each endpoint; None if none is configured.
        """
        settings = self.service_of(service)
        if settings is None or settings.cold_per_second <= 0:
            return None
        per_second = settings.cold_per_second
        return ColdLimit(per_second, per_second * self.cold_over + self.cold_extra)

    def quota(self, instance: Instance) -> Quota | None:
        """Return the number of requests that this VM may send a cold endpoint.

        :param instance: the endpoint.
        :returns: the quota; None if this VM may send none.
        """
        if self.quota_peers is not self.peers.known:
            self.quota_peers = self.peers.known
            self.quotas.clear()
        if instance.name not in self.quotas:
            self.quotas[instance.name] = self._compute_quota(instance)
        return self.quotas[instance.name]

    def _compute_quota(self, instance: Instance) -> Quota | None:
        limit = self.limit_of(instance.service)
        vms = self.peers.names_near(instance.hall)
        if limit is None or not vms:
            return None
        count = sender_count(limit.total, len(vms))
        if self.context.vm not in assigned_senders(instance.name, vms, count):
            return None
        return sender_quota(limit.total, count)

    def is_limited(self, instance: Instance, now: float) -> bool:
        """Return whether an endpoint is cold and its service has a limit for that.

        :param instance: the endpoint.
        :param now: monotonic seconds.
        """
        if not self.endpoints.is_cold(instance.name, now):
            return False
        return self.limit_of(instance.service) is not None

    def seconds_left(self, instance: Instance, now: float) -> float:
        """Return the time until the limit lets this VM send an endpoint a request.

        :param instance: the endpoint.
        :param now: monotonic seconds.
        :returns: seconds; infinite if the VM has to wait until the endpoint is warm.
        """
        if not self.is_limited(instance, now):
            return 0.0
        quota = self.quota(instance)
        if quota is None:
            return math.inf
        return self.endpoints.seconds_left(instance.name, quota, now)

    def available(self, instances: list[Instance], now: float) -> list[Instance]:
        """Return the endpoints that this VM may send a request now.

        :param instances: the endpoints to choose from.
        :param now: monotonic seconds.
        """
        if now >= self.endpoints.any_cold_until:
            return instances
        found = [item for item in instances if self.seconds_left(item, now) <= 0]
        skipped = len(instances) - len(found)
        if skipped:
            self.context.metrics.count("cold_passed_over", skipped)
        return found

    def retry_after(self) -> float:
        """Return the time after which a refused request should be retried; seconds.

        Requests that are refused together return spread over the time in which the
        quotas of cold endpoints are renewed.
        """
        return LIMIT_WINDOW_SECONDS * (0.5 + self.context.rng.random())

    def record_send(self, instance: Instance, now: float) -> bool:
        """Count a request to an endpoint against its quota.

        :param instance: the endpoint.
        :param now: monotonic seconds.
        :returns: whether the endpoint is cold and limited.
        """
        if not self.is_limited(instance, now):
            return False
        quota = self.quota(instance)
        assert quota is not None
        self.endpoints.record_send(instance.name, quota.count, now)
        self.context.metrics.count("cold_sent")
        return True
