# Licensed under the Apache License 2.0: see LICENSE for details.

"""A fleet in simulated time whose endpoints are cold: one, those of a hall, or all.

Each data hall has VMs and endpoints; callers come to VMs drawn at random, some at a
time.  A VM sends to the endpoint that it believes to have the least to do, of its own
hall if it can: what the endpoint last reported, and what the VM itself has sent since.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum

from lab.cold.ways import ColdWay, Fleet, Granted, Relay
from walnutquay.state.process.ids import EndpointName, VmName
from walnutquay.state.routed.cold import ColdLimit

SECONDS = 4.0
# When endpoints turn cold, and for how long they stay so.
COLD_AT = 0.5
COLD_SECONDS = 3.0
# Each endpoint: requests at once, and the mean time of one.
SLOTS = 12
WORK_SECONDS = 0.45
# Callers come so many at a time.
CLUMP = 3
# Reports of load are so old when they are read.
REPORT_SECONDS = 0.2
# VMs learn that an endpoint is cold within so long, but for late ones.
LEARNT_SECONDS = 0.3
LATE_SHARE = 0.05
LATE_SECONDS = 1.0
# VMs that have an older list of VMs, and what part of the VMs differs in it.
OLD_LISTS = 0.3
OLD_PART = 0.2
# A request for which no endpoint can be asked waits so long at the most, and looks
# again so often.
PATIENCE_SECONDS = 0.5
LOOK_SECONDS = 0.05
# What a request in another data hall counts as more.
FAR_REQUESTS = 4


class Case(Enum):
    """Which endpoints are cold."""

    ONE = "one endpoint"
    HALL = "a hall's"
    ALL = "all"


@dataclass(frozen=True)
class Size:
    """A fleet: VMs, data halls, endpoints, requests a second."""

    vms: int
    halls: int
    endpoints: int
    rate: float


SIZES = {
    6: Size(6, 3, 9, 53.0),
    61: Size(61, 3, 70, 330.0),
    195: Size(195, 5, 39, 186.0),
    640: Size(640, 4, 680, 3500.0),
}


@dataclass
class Findings:
    """What a run has shown.

    :param most: requests that reached a cold endpoint within a second, at the most.
    :param by_cold: requests that cold endpoints were sent, each second of a cold time.
    :param refused: requests for which no endpoint could be asked in time.
    :param waiting: the longest that one waited for an endpoint; seconds.
    :param served: all others.
    :param waited: the mean of what endpoints had running as they were sent one more.
    """

    most: int = 0
    by_cold: float = 0.0
    refused: int = 0
    waiting: float = 0.0
    served: int = 0
    waited: float = 0.0


@dataclass
class Endpoint:
    """One endpoint.

    :param name: its name.
    :param hall: its data hall.
    :param cold: whether it turns cold.
    :param running: requests that it has.
    :param arrivals: when it was sent requests while it was cold.
    :param reports: when its number of requests changed, and to what.
    """

    name: EndpointName
    hall: int
    cold: bool
    running: int = 0
    arrivals: list[float] = field(default_factory=list)
    reports: deque[tuple[float, int]] = field(default_factory=deque)

    def reported(self, now: float) -> int:
        """:returns: what it had some time ago."""
        while len(self.reports) > 1 and self.reports[1][0] <= now - REPORT_SECONDS:
            self.reports.popleft()
        return self.reports[0][1] if self.reports else 0


@dataclass
class Vm:
    """One VM: its way with cold endpoints in each hall, and what it has sent lately."""

    name: VmName
    hall: int
    ways: list[ColdWay]
    knows_at: dict[EndpointName, float]
    own: Counter[EndpointName] = field(default_factory=Counter)


class ColdFleet:
    """Simulates one case with one way.

    :param seed: the source of all chance.
    :param size: the fleet.
    :param case: which endpoints are cold.
    :param way: how VMs deal with that.
    :param limit: what a cold endpoint may get.
    """

    def __init__(
        self, seed: int, size: Size, case: Case, way: type[ColdWay], limit: ColdLimit
    ) -> None:
        self.rng = random.Random(seed)
        self.size = size
        self.limit = limit
        self.endpoints = [
            Endpoint(EndpointName(f"e{n}"), n % size.halls, self._cold(n, case))
            for n in range(size.endpoints)
        ]
        self.relays: dict[VmName, Relay] = {}
        self.way = way
        self.vms = [self._vm(n) for n in range(size.vms)]
        self.found = Findings()
        self.numbers = itertools.count()

    def _cold(self, number: int, case: Case) -> bool:
        if case is Case.ONE:
            return number == 0
        return case is Case.ALL or number % self.size.halls == 0

    def _vm(self, number: int) -> Vm:
        name = VmName(f"vm-{number}")
        ways = [self._way(name, hall) for hall in range(self.size.halls)]
        knows = {one.name: self._learnt() for one in self.endpoints if one.cold}
        return Vm(name, number % self.size.halls, ways, knows)

    def _way(self, name: VmName, hall: int) -> ColdWay:
        """Give a VM its part of the way, by the list of VMs that it has."""
        names = [VmName(f"vm-{n}") for n in range(self.size.vms)]
        there = [vm for n, vm in enumerate(names) if n % self.size.halls == hall]
        size = self.size.vms
        if self.rng.random() < OLD_LISTS:
            there = self._older(there)
            size = round(size * (1.0 - OLD_PART))
        fleet = Fleet(max(1, size), tuple(there), self.limit)
        if self.way is Granted:
            return Granted(name, fleet, self.rng, self.relays)
        return self.way(name, fleet, self.rng)

    def _older(self, names: list[VmName]) -> list[VmName]:
        """Give a list in which some VMs are missing, and as many are gone since."""
        changed = max(1, round(OLD_PART * len(names)))
        kept = self.rng.sample(names, max(1, len(names) - changed))
        return kept + [VmName(f"gone-{n}") for n in range(changed)]

    def _learnt(self) -> float:
        late = LATE_SECONDS if self.rng.random() < LATE_SHARE else 0.0
        return COLD_AT + self.rng.random() * LEARNT_SECONDS + late

    def run(self) -> Findings:
        """:returns: what was seen."""
        ends: list[tuple[float, int, Endpoint, Vm]] = []
        looks = self._arrivals()
        while looks:
            now, number, came, vm = heapq.heappop(looks)
            self._end_before(ends, now)
            if self._place(ends, vm, now):
                self.found.waiting = max(self.found.waiting, now - came)
            elif now + LOOK_SECONDS > came + PATIENCE_SECONDS:
                self.found.refused += 1
            else:
                heapq.heappush(looks, (now + LOOK_SECONDS, number, came, vm))
        self._count()
        return self.found

    def _arrivals(self) -> list[tuple[float, int, float, Vm]]:
        """Draw the requests, each with when its VM looks for a place first."""
        now = 0.0
        looks = []
        while now < SECONDS:
            now += self.rng.expovariate(self.size.rate / CLUMP)
            for _ in range(CLUMP):
                looks.append((now, len(looks), now, self.rng.choice(self.vms)))
        return looks

    def _end_before(self, ends: list, now: float) -> None:
        while ends and ends[0][0] <= now:
            at, _, endpoint, vm = heapq.heappop(ends)
            endpoint.running -= 1
            endpoint.reports.append((at, endpoint.running))
            vm.own[endpoint.name] -= 1

    def _place(self, ends: list, vm: Vm, now: float) -> bool:
        """Send a request to an endpoint, if there is one."""
        chosen = self._chosen(vm, now)
        if chosen is None:
            return False
        if self._is_cold(chosen, now):
            chosen.arrivals.append(now)
            if now >= vm.knows_at[chosen.name]:
                vm.ways[chosen.hall].sent(chosen.name, now)
        self.found.served += 1
        self.found.waited += chosen.running
        chosen.running += 1
        chosen.reports.append((now, chosen.running))
        vm.own[chosen.name] += 1
        over = max(1.0, chosen.running / SLOTS)
        end = now + self.rng.expovariate(1.0 / WORK_SECONDS) * over
        heapq.heappush(ends, (end, next(self.numbers), chosen, vm))
        return True

    def _chosen(self, vm: Vm, now: float) -> Endpoint | None:
        """Choose the least busy endpoint; of cold ones, if this VM may send there."""

        def load(one: Endpoint) -> float:
            far = 0 if one.hall == vm.hall else FAR_REQUESTS
            known = max(one.reported(now), vm.own[one.name])
            return known + far + self.rng.random()

        for one in sorted(self.endpoints, key=load):
            known = now >= vm.knows_at.get(one.name, 0.0)
            if not self._is_cold(one, now) or not known:
                return one
            if vm.ways[one.hall].may_send(one.name, now):
                return one
        return None

    def _is_cold(self, one: Endpoint, now: float) -> bool:
        return one.cold and COLD_AT <= now < COLD_AT + COLD_SECONDS

    def _count(self) -> None:
        cold = [one for one in self.endpoints if one.cold]
        total = 0
        for one in cold:
            total += len(one.arrivals)
            window: deque[float] = deque()
            for at in one.arrivals:
                window.append(at)
                while window[0] <= at - 1.0:
                    window.popleft()
                self.found.most = max(self.found.most, len(window))
        self.found.by_cold = total / COLD_SECONDS / len(cold)
        self.found.waited /= max(1, self.found.served)
