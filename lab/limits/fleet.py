# Licensed under the Apache License 2.0: see LICENSE for details.

"""A fleet in simulated time before one endpoint that names a rate limit.

Every request asks for this endpoint; one that may not be sent there is served by
another endpoint, or refused.  All VMs know of the limit from the beginning.
"""

from __future__ import annotations

import bisect
import random
from dataclasses import dataclass
from enum import Enum

from lab.limits.ways import Network, View, Way
from walnutquay.state.process.ids import VmName
from walnutquay.state.routed.permits import TOLERANCE_SECONDS, tolerated_requests

SECONDS = 60.0
# What is sent before this is not counted as use: issuers begin with no permits.
SETTLED_SECONDS = 5.0
# How often permits that are due are issued; seconds.
STEP_SECONDS = 0.02
# The share of the requests that the busiest VM of an uneven fleet gets.
BUSY_SHARE = 0.8
# The share of VMs with an older list, and of the VMs that are missing or gone in it.
OLD_LISTS = 0.3
OLD_PART = 0.2
LOST_SHARE = 0.03
# When a data hall is cut off, and for how long.
CUT_AT = 20.0
CUT_SECONDS = 20.0
# The mean time between two restarts of a VM anywhere in the fleet.
RESTART_SECONDS = 2.0


class Case(Enum):
    """What is special about a run."""

    EVEN = "even load"
    UNEVEN = "one busy VM"
    LISTS = "older lists"
    CUT = "a hall cut off"
    OWN_CUT = "its hall cut off"
    RESTARTS = "restarts"
    ALL = "all of it"


@dataclass(frozen=True)
class Size:
    """A fleet.

    :param vms: the number of VMs.
    :param halls: the number of data halls.
    """

    vms: int
    halls: int


SIZES = {6: Size(6, 3), 61: Size(61, 3), 195: Size(195, 5), 640: Size(640, 4)}


@dataclass
class Findings:
    """What a run has shown.

    :param worst: the most requests in a span of tolerance.
    :param tolerated: the requests that the endpoint tolerates in it.
    :param used: the share of the limit that was used.
    :param cut_used: the share that the cut-off hall used while it was cut off.
    :param messages: questions and answers a second in the whole fleet.
    :param busiest: the same of the busiest VM.
    """

    worst: int
    tolerated: float
    used: float
    cut_used: float
    messages: float
    busiest: float


class LimitedFleet:
    """Simulates one case with one way.

    :param seed: the source of all chance.
    :param size: the fleet.
    :param case: what is special.
    :param way: how the VMs share the limit.
    :param limit: requests a second that the endpoint names.
    :param patience: the seconds that a request can wait.
    :param load: requests that ask for the endpoint, as a multiple of its limit.
    """

    def __init__(
        self,
        seed: int,
        size: Size,
        case: Case,
        way: type[Way],
        limit: float,
        patience: float,
        load: float,
    ) -> None:
        self.rng = random.Random(seed)
        self.size = size
        self.case = case
        self.way = way
        self.limit = limit
        self.patience = patience
        self.load = load
        self.network = Network(self.rng)
        if case in (Case.LISTS, Case.ALL):
            self.network.lost = LOST_SHARE
        self.names = [VmName(f"vm-{n}") for n in range(size.vms)]
        self.vms: dict[VmName, Way] = {}
        for number in range(size.vms):
            self._start(number)
        # When requests were sent, and by the VMs of which hall.
        self.sent: list[tuple[float, int]] = []

    def _is(self, case: Case) -> bool:
        return self.case in (case, Case.ALL)

    def _start(self, number: int) -> None:
        name, hall = self.names[number], number % self.size.halls
        self.network.halls[name] = hall
        old = self._is(Case.LISTS) and self.rng.random() < OLD_LISTS
        listed = self._older(name) if old else self.names
        halls = self.size.halls
        vms = [[vm for vm in listed if self._hall(vm) == one] for one in range(halls)]
        view = View(name, hall, vms, self.limit)
        self.vms[name] = self.way(view, self.network, self.vms)

    def _hall(self, vm: VmName) -> int:
        return int(vm.rpartition("-")[2]) % self.size.halls

    def _older(self, own: VmName) -> list[VmName]:
        """Return a VM's list that lacks other VMs and has some that are gone."""
        changed = max(1, round(OLD_PART * self.size.vms))
        others = [name for name in self.names if name != own]
        kept = [own, *self.rng.sample(others, max(0, len(others) - changed))]
        return kept + [VmName(f"gone-{n}") for n in range(changed)]

    def run(self) -> Findings:
        """Run the simulation."""
        now, next_request = 0.0, 0.0
        next_restart = RESTART_SECONDS
        while now < SECONDS:
            now += STEP_SECONDS
            self._cut(now)
            while next_request <= now:
                self._request(next_request)
                next_request += self.rng.expovariate(self.limit * self.load)
            for name, vm in self.vms.items():
                self.sent += [(now, self._hall(name))] * vm.issue(now)
            if self._is(Case.RESTARTS) and now >= next_restart:
                next_restart += RESTART_SECONDS
                self._start(self.rng.randrange(self.size.vms))
        return self._findings()

    def _cut(self, now: float) -> None:
        if CUT_AT <= now < CUT_AT + CUT_SECONDS:
            if self._is(Case.CUT):
                self.network.cut.add(1)
            if self._is(Case.OWN_CUT):
                self.network.cut.add(0)
        else:
            self.network.cut.clear()

    def _request(self, now: float) -> None:
        uneven = self._is(Case.UNEVEN) and self.rng.random() < BUSY_SHARE
        # The busy VM is neither an issuer nor in the endpoint's hall.
        name = self.names[1] if uneven else self.rng.choice(self.names)
        if self.vms[name].may_send(self.patience, now):
            self.sent.append((now, self._hall(name)))

    def _findings(self) -> Findings:
        times = sorted(at for at, _ in self.sent)
        worst = max(
            (
                bisect.bisect(times, at + TOLERANCE_SECONDS) - number
                for number, at in enumerate(times)
            ),
            default=0,
        )
        settled = [at for at in times if at >= SETTLED_SECONDS]
        cut = [
            at
            for at, hall in self.sent
            if hall in (0, 1) and CUT_AT + 2.0 <= at < CUT_AT + CUT_SECONDS
        ]
        messages = self.network.messages
        return Findings(
            worst,
            tolerated_requests(self.limit),
            len(settled) / (SECONDS - SETTLED_SECONDS) / self.limit,
            len(cut) / (CUT_SECONDS - 2.0) / self.limit,
            sum(messages.values()) / SECONDS,
            max(messages.values(), default=0) / SECONDS,
        )
