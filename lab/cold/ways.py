# Licensed under the Apache License 2.0: see LICENSE for details.

"""Ways in which VMs keep cold endpoints from what would knock them over."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass, field

from walnutquay.state.process.ids import EndpointName, VmName
from walnutquay.state.routed.cold import (
    ColdEndpoints,
    ColdLimit,
    assigned_senders,
    sender_count,
    sender_quota,
)


@dataclass(frozen=True)
class Fleet:
    """What a VM believes of the fleet.

    :param size: VMs of the whole fleet, by its list.
    :param vms: those of the endpoint's data hall.
    :param limit: what a cold endpoint may get.
    """

    size: int
    vms: tuple[VmName, ...]
    limit: ColdLimit


class ColdWay(ABC):
    """One VM's part in a way.

    :param vm: the VM.
    :param fleet: what it believes.
    :param rng: its source of chance.
    """

    name = ""

    def __init__(self, vm: VmName, fleet: Fleet, rng: random.Random) -> None:
        self.vm = vm
        self.fleet = fleet
        self.rng = rng

    @abstractmethod
    def may_send(self, endpoint: EndpointName, now: float) -> bool:
        """:param endpoint: a cold endpoint.

        :param now: seconds.
        """

    @abstractmethod
    def sent(self, endpoint: EndpointName, now: float) -> None:
        """:param endpoint: a cold endpoint that this VM sends a request.

        :param now: seconds.
        """


class Nothing(ColdWay):
    """Cold endpoints are like any others."""

    name = "nothing"

    def may_send(self, endpoint: EndpointName, now: float) -> bool:
        """:returns: always that it may."""
        return True

    def sent(self, endpoint: EndpointName, now: float) -> None:
        """Count nothing."""


class EqualParts(ColdWay):
    """Each VM has the same part of the rate, by the number of VMs that it knows.

    A VM's first request waits for a random part of the time that one takes, so that
    all do not send at once.
    """

    name = "equal parts"

    def __init__(self, vm: VmName, fleet: Fleet, rng: random.Random) -> None:
        super().__init__(vm, fleet, rng)
        self.next: dict[EndpointName, float] = {}

    def may_send(self, endpoint: EndpointName, now: float) -> bool:
        """:returns: whether the time that one request takes has passed."""
        apart = self.fleet.size / self.fleet.limit.total
        if endpoint not in self.next:
            self.next[endpoint] = now + self.rng.random() * apart
        return now >= self.next[endpoint]

    def sent(self, endpoint: EndpointName, now: float) -> None:
        """Let the time pass that one request takes."""
        self.next[endpoint] = now + self.fleet.size / self.fleet.limit.total


class Keepers(ColdWay):
    """A few VMs, chosen alike by all, have all of the rate: the product's own code."""

    name = "keepers"

    def __init__(self, vm: VmName, fleet: Fleet, rng: random.Random) -> None:
        super().__init__(vm, fleet, rng)
        total = fleet.limit.total
        self.count = sender_count(total, len(fleet.vms))
        self.quota = sender_quota(total, self.count)
        self.cold = ColdEndpoints()

    def may_send(self, endpoint: EndpointName, now: float) -> bool:
        """:returns: whether this VM is a keeper, and has not sent its part."""
        if self.vm not in assigned_senders(endpoint, self.fleet.vms, self.count):
            return False
        return self.cold.seconds_left(endpoint, self.quota, now) <= 0

    def sent(self, endpoint: EndpointName, now: float) -> None:
        """Count it."""
        self.cold.set_cold_seconds(endpoint, 1.0, now)
        self.cold.record_send(endpoint, self.quota.count, now)


@dataclass
class Relay:
    """Grants of one VM of a data hall, which the others ask for.

    :param limit: what a cold endpoint may get.
    :param granted: when it last granted something, by endpoint.
    """

    limit: ColdLimit
    granted: dict[EndpointName, deque[float]] = field(default_factory=dict)

    def grants(self, endpoint: EndpointName, now: float) -> bool:
        """:returns: whether a request may be sent; it is then counted."""
        times = self.granted.setdefault(endpoint, deque())
        while times and times[0] <= now - 1.0:
            times.popleft()
        if len(times) >= self.limit.total:
            return False
        times.append(now)
        return True


class Granted(ColdWay):
    """One VM of the data hall grants each request; some questions are lost.

    VMs whose lists differ may ask different ones.
    """

    name = "grants of a relay"
    # Questions or answers that are lost, so that nothing is sent.
    LOST = 0.02

    def __init__(
        self,
        vm: VmName,
        fleet: Fleet,
        rng: random.Random,
        relays: dict[VmName, Relay],
    ) -> None:
        super().__init__(vm, fleet, rng)
        chosen = assigned_senders(EndpointName("grants"), fleet.vms, 1)[0]
        self.relay = relays.setdefault(chosen, Relay(fleet.limit))

    def may_send(self, endpoint: EndpointName, now: float) -> bool:
        """:returns: whether the relay grants it."""
        if self.rng.random() < self.LOST:
            return False
        return self.relay.grants(endpoint, now)

    def sent(self, endpoint: EndpointName, now: float) -> None:
        """Count nothing: the relay has."""


WAYS: tuple[type[ColdWay], ...] = (Nothing, EqualParts, Keepers, Granted)
