# Licensed under the Apache License 2.0: see LICENSE for details.

"""Compares ways to share brittle endpoints' slots: ``python -m lab.brittle.costs``.

Events in virtual time: requests come at VMs, are sent to endpoints that run some at
once and reject the others, and end.  An endpoint that rejects more than it survives in
a second crashes with what it runs, and is back after some seconds.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

import click

from walnutquay.state.process.ids import EndpointName, VmName
from walnutquay.state.routed.places import PlaceLedger, PlaceRequest, own_share

ENDPOINTS = 4
SLOTS = 12
WORK_SECONDS = 0.1
AWAY_SECONDS = 4.0
SECONDS = 20.0
# The time between two VMs, one way.
HOP_SECONDS = 0.0015
# How long a request tries to get a place.
PATIENCE_SECONDS = 0.2
POLL_SECONDS = 0.05


class Way(Enum):
    """How VMs decide whether an endpoint has room."""

    # Each VM sends, and skips an endpoint for 0.1 s that has rejected a request.
    REACT = "react"
    # As before, and a rejection holds all VMs back for half a second.
    TELL = "tell"
    # Each VM keeps to its even share of the slots.
    SHARE = "share"
    # One VM counts the requests of all.
    LEDGER = "ledger"


@dataclass
class Endpoint:
    """An endpoint of the simulation."""

    name: EndpointName
    ledger: PlaceLedger = field(default_factory=PlaceLedger)
    running: int = 0
    start: int = 0
    back_at: float = 0.0
    rejections: deque[float] = field(default_factory=deque)


@dataclass
class Result:
    """What a run has counted."""

    requests: int = 0
    served: int = 0
    rejected: int = 0
    falls: int = 0
    messages: int = 0


class Fleet:
    """A fleet of VMs in front of brittle endpoints.

    :param way: how VMs share the slots.
    :param vms: how many.
    :param load: the load, as a part of what the endpoints bear.
    :param borne: rejections a second that an endpoint survives.
    :param uneven: whether a tenth of the VMs has half of the callers.
    :param lost: the part of messages that is lost.
    :param seed: of all chance.
    :param named: the slots that the endpoints' entries name.
    """

    def __init__(
        self,
        way: Way,
        vms: int,
        load: float,
        borne: int,
        uneven: bool,
        lost: float,
        seed: int,
        named: int = SLOTS,
    ) -> None:
        self.way = way
        self.named = named
        self.names = [VmName(f"vm-{number}") for number in range(vms)]
        self.rate = load * ENDPOINTS * SLOTS / WORK_SECONDS
        self.borne = borne
        self.uneven = uneven
        self.lost = lost
        self.rng = random.Random(seed)
        self.endpoints = [Endpoint(EndpointName(f"e{n}")) for n in range(ENDPOINTS)]
        self.held = {(vm, one.name): 0 for vm in self.names for one in self.endpoints}
        # Those of them that wait for the issuer's answer.
        self.asking = dict(self.held)
        self.shares = {
            (vm, one.name): own_share(one.name, vm, self.names, named)
            for vm in self.names
            for one in self.endpoints
        }
        self.denied_until: dict[tuple[VmName, EndpointName], float] = {}
        self.numbers = itertools.count(1)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.now = 0.0
        self.result = Result()

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something after some seconds."""
        entry = (self.now + seconds, next(self.numbers), action)
        heapq.heappush(self.events, entry)

    def run(self) -> Result:
        """Play the time through."""
        self._arrive()
        while self.events and self.events[0][0] < SECONDS:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.result

    def _arrive(self) -> None:
        self.at(self.rng.expovariate(self.rate), self._arrive)
        self.result.requests += 1
        busy = self.names[: max(1, len(self.names) // 10)]
        few = self.uneven and self.rng.random() < 0.5
        vm = self.rng.choice(busy if few else self.names)
        self._try(vm, self.now + PATIENCE_SECONDS)

    def _try(self, vm: VmName, until: float) -> None:
        open_ones = [
            one
            for one in self.endpoints
            if self.now >= one.back_at
            and self.now >= self.denied_until.get((vm, one.name), 0.0)
        ]
        if not open_ones:
            self._later(vm, until)
            return
        pair = self.rng.sample(open_ones, min(2, len(open_ones)))
        chosen = min(pair, key=lambda one: self.held[vm, one.name])
        held = self.held[vm, chosen.name]
        if self.way is Way.SHARE and held >= self.shares[vm, chosen.name]:
            self.denied_until[vm, chosen.name] = self.now + POLL_SECONDS / 2.0
            self._try(vm, until)
            return
        if self.way is Way.LEDGER:
            self.result.messages += 2
            self.held[vm, chosen.name] += 1
            self.asking[vm, chosen.name] += 1
            running = self._running(vm, chosen)
            asked = PlaceRequest(vm, held + 1, running, next(self.numbers))
            self.at(HOP_SECONDS, lambda: self._ask(asked, chosen, until))
            return
        self.held[vm, chosen.name] += 1
        self.at(HOP_SECONDS, lambda: self._reach(vm, chosen, until))

    def _later(self, vm: VmName, until: float) -> None:
        if self.now + POLL_SECONDS < until:
            self.at(POLL_SECONDS, lambda: self._try(vm, until))

    def _running(self, vm: VmName, one: Endpoint) -> int:
        return self.held[vm, one.name] - self.asking[vm, one.name]

    def _ask(self, asked: PlaceRequest, one: Endpoint, until: float) -> None:
        wait = one.ledger.request(asked, self.named, self.borne, self.now)
        self.at(HOP_SECONDS, lambda: self._answered(asked.vm, one, wait, until))

    def _answered(self, vm: VmName, one: Endpoint, wait: float, until: float) -> None:
        self.asking[vm, one.name] -= 1
        if wait <= 0.0:
            self.at(HOP_SECONDS, lambda: self._reach(vm, one, until))
            return
        self.held[vm, one.name] -= 1
        self.denied_until[vm, one.name] = self.now + wait
        self._try(vm, until)

    def _reach(self, vm: VmName, one: Endpoint, until: float) -> None:
        if self.now < one.back_at:
            self._released(vm, one)
            self._later(vm, until)
        elif one.running < SLOTS:
            one.running += 1
            start = one.start
            seconds = self.rng.uniform(0.5, 1.5) * WORK_SECONDS
            self.at(seconds, lambda: self._end(vm, one, start))
        else:
            self._reject(vm, one)
            self._later(vm, until)

    def _end(self, vm: VmName, one: Endpoint, start: int) -> None:
        self._released(vm, one)
        if one.start == start:
            one.running -= 1
            self.result.served += 1

    def _released(self, vm: VmName, one: Endpoint) -> None:
        self.held[vm, one.name] -= 1
        if self.way is Way.LEDGER:
            self.result.messages += 1
            if self.rng.random() >= self.lost:
                used = self.held[vm, one.name]
                running = self._running(vm, one)
                number = next(self.numbers)
                one.ledger.record(vm, used, running, number, self.now)

    def _reject(self, vm: VmName, one: Endpoint) -> None:
        self._released(vm, one)
        self.result.rejected += 1
        self.denied_until[vm, one.name] = self.now + 0.1
        if self.way is Way.LEDGER:
            one.ledger.on_rejected(self.now)
        if self.way in (Way.TELL, Way.LEDGER):
            for other in self.names:
                self.result.messages += 1
                if self.rng.random() >= self.lost:
                    self.denied_until[other, one.name] = self.now + 0.5
        one.rejections.append(self.now)
        while one.rejections[0] <= self.now - 1.0:
            one.rejections.popleft()
        if len(one.rejections) > self.borne:
            self.result.falls += 1
            one.start += 1
            one.running = 0
            one.ledger = PlaceLedger()
            one.rejections.clear()
            one.back_at = self.now + AWAY_SECONDS


def total_of(runs: Iterable[Result]) -> Result:
    """Add up what runs have counted."""
    total = Result()
    for run in runs:
        for name, value in vars(run).items():
            setattr(total, name, getattr(total, name) + value)
    return total


@click.command()
@click.option("--sizes", default="6,61,195", help="Entry VMs of the fleets.")
@click.option("--borne", default=1, help="Rejections a second that are survived.")
@click.option("--lost", default=0.01, help="The part of messages that is lost.")
@click.option("--named", default=SLOTS, help="Slots that their entries name.")
@click.option("--seeds", default=5, help="Runs for each line.")
def main(sizes: str, borne: int, lost: float, named: int, seeds: int) -> None:
    """Print a table of all ways, sizes and loads."""
    print("way, VMs, load, callers, falls, rejected, served, messages a request")
    cases = itertools.product(
        map(int, sizes.split(",")), (0.85, 1.5), (False, True), Way
    )
    for vms, load, uneven, way in cases:
        total = total_of(
            Fleet(way, vms, load, borne, uneven, lost, seed, named).run()
            for seed in range(seeds)
        )
        callers = "uneven" if uneven else "even"
        rejected = total.rejected / total.requests
        served = total.served / total.requests
        messages = total.messages / total.requests
        print(
            f"{way.value}, {vms}, {load}, {callers}, {total.falls / seeds:.1f}, "
            f"{rejected:.4f}, {served:.3f}, {messages:.1f}"
        )


if __name__ == "__main__":
    main()
