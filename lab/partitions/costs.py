# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tunnels and queries of partitioned fleets: ``python -m lab.partitions.costs``.

In virtual time, requests come at VMs that are cut off from the endpoints.  These ask
other VMs and send each request through one of them.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import click

from walnutquay.coordination.routed.linkqueries import ASKED_VMS
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    ServiceName,
    VersionName,
    VmName,
)
from walnutquay.state.routed.links import Helper, LostLink, asked_vms
from walnutquay.state.store.instances import Instance

HALLS = 3
ENDPOINTS_A_VM = 2
# Requests a second at each VM, and how long their answers take.
RATE = 10.0
WORK_SECONDS = 2.0
SECONDS = 12.0
# The longest queue of attempts after which a request is given up.
MAX_ATTEMPTS = 4


@dataclass
class Result:
    """What a run has counted.

    :param requests: requests at VMs that are cut off.
    :param forwarded: those of them that another VM forwarded.
    :param queries: questions to other VMs.
    :param most: the most connections that one VM forwarded at a time.
    :param mean: the mean of that most over all VMs that could forward.
    """

    requests: int = 0
    forwarded: int = 0
    queries: int = 0
    most: int = 0
    mean: float = 0.0


@dataclass
class Vm:
    """A VM of the simulation."""

    name: VmName
    hall: HallName
    cut: bool = False
    tunnels: int = 0
    most: int = 0
    lost: dict[EndpointName, LostLink] = field(default_factory=dict)


class Fleet:
    """A fleet, some of whose VMs are cut off from all endpoints.

    :param vms: how many VMs.
    :param is_cut: returns whether a VM is cut off, by its number and hall.
    :param seed: of all chance.
    """

    def __init__(self, vms: int, is_cut: Callable[[int, int], bool], seed: int) -> None:
        self.rng = random.Random(seed)
        self.vms = {}
        for number in range(vms):
            hall = number % HALLS
            name = VmName(f"vm-{number}")
            cut = is_cut(number, hall)
            self.vms[name] = Vm(name, HallName(f"hall-{hall}"), cut)
        self.endpoints = [
            Instance(
                EndpointName(f"e{n}"),
                ServiceName("s"),
                "",
                HallName(f"hall-{n % HALLS}"),
                VersionName("v"),
                8,
            )
            for n in range(vms * ENDPOINTS_A_VM)
        ]
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.now = 0.0
        self.result = Result()

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something after some seconds."""
        heapq.heappush(self.events, (self.now + seconds, next(self.numbers), action))

    def run(self) -> Result:
        """Play the time through."""
        for vm in self.vms.values():
            if vm.cut:
                self._arrive(vm)
        while self.events and self.events[0][0] < SECONDS:
            self.now, _, action = heapq.heappop(self.events)
            action()
        helpers = [vm.most for vm in self.vms.values() if not vm.cut]
        self.result.most = max(helpers, default=0)
        self.result.mean = sum(helpers) / max(1, len(helpers))
        return self.result

    def _arrive(self, vm: Vm) -> None:
        self.at(self.rng.expovariate(RATE), lambda: self._arrive(vm))
        self.result.requests += 1
        for _ in range(MAX_ATTEMPTS):
            if self._forward(vm, self.rng.choice(self.endpoints)):
                self.result.forwarded += 1
                return

    def _forward(self, vm: Vm, endpoint: Instance) -> bool:
        lost = vm.lost.setdefault(endpoint.name, LostLink(endpoint, None))
        if lost.is_due(self.now):
            self._ask(vm, lost)
        for helper in lost.ranked(vm.hall)[:1]:
            other = self.vms[helper.vm]
            other.tunnels += 1
            other.most = max(other.most, other.tunnels)
            tunnels = other.tunnels
            lost.helpers[helper.vm] = Helper(helper.vm, other.hall, tunnels)
            lost.asked_at = self.now
            self.at(WORK_SECONDS, partial(self._end, other))
            return True
        return False

    def _end(self, vm: Vm) -> None:
        vm.tunnels -= 1

    def _ask(self, vm: Vm, lost: LostLink) -> None:
        halls = {name: one.hall for name, one in self.vms.items() if name != vm.name}
        shuffled = self.rng.sample(list(halls), len(halls))
        hall = lost.endpoint.hall
        asked = asked_vms(halls, vm.hall, hall, shuffled, ASKED_VMS)
        self.result.queries += len(asked)
        lost.helpers = {
            name: Helper(name, self.vms[name].hall, self.vms[name].tunnels)
            for name in asked
            if not self.vms[name].cut
        }
        lost.asked_at = self.now


CUTS: dict[str, Callable[[int], Callable[[int, int], bool]]] = {
    "a third": lambda vms: lambda number, hall: number % 3 == number // 3 % 3,
    "half": lambda vms: lambda number, hall: number % 2 == 0,
    "a hall": lambda vms: lambda number, hall: hall == 0,
    "all but one of six": lambda vms: lambda number, hall: number % 6 != 0,
    "all": lambda vms: lambda number, hall: True,
}


@click.command()
@click.option("--sizes", default="6,61,195", help="Entry VMs of the fleets.")
@click.option("--seed", default=1, help="Of all chance.")
def main(sizes: str, seed: int) -> None:
    """Print a table of cuts and sizes."""
    print("cut off, VMs, forwarded, queries a second a VM, most tunnels, their mean")
    for vms in map(int, sizes.split(",")):
        for name, cut in CUTS.items():
            result = Fleet(vms, cut(vms), seed).run()
            share = result.forwarded / max(1, result.requests)
            cut_off = sum(cut(vms)(n, n % HALLS) for n in range(vms))
            queries = result.queries / SECONDS / max(1, cut_off)
            print(
                f"{name}, {vms}, {share:.3f}, {queries:.1f}, "
                f"{result.most}, {result.mean:.1f}"
            )


if __name__ == "__main__":
    main()
