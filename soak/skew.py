# Licensed under the Apache License 2.0: see LICENSE for details.

"""Most new connections at one VM, which is slow meanwhile."""

from __future__ import annotations

import asyncio
import random
import signal
import time

from soak.callers import Callers, Kind
from soak.fleet import SoakFleet, Vm

# How long it lasts, how many connections a second come, and for how long the VM's
# process stands still and runs by turns; seconds.
LASTS_SECONDS = (2.0, 4.0)
RATE = (40.0, 80.0)
PAUSED_SECONDS = 0.25
RUNS_SECONDS = 0.1
# A VM is given so long to read what came meanwhile.
WAKE_SECONDS = 1.0


class Skew:
    """Hands most new connections to a VM that gets a third of a processor.

    :param fleet: what it is played on.
    :param callers: who send requests.
    :param rng: of all chance here.
    """

    def __init__(self, fleet: SoakFleet, callers: Callers, rng: random.Random) -> None:
        self.fleet = fleet
        self.callers = callers
        self.rng = rng

    async def play(self) -> None:
        """Let callers connect to one VM, whose process is paused again and again."""
        vm = self.rng.choice(self.fleet.vms)
        seconds = self.rng.uniform(*LASTS_SECONDS)
        since = time.monotonic()
        spans = (vm.disturbed, vm.interrupted)
        for span in spans:
            span.append((since, since + seconds + WAKE_SECONDS))
        pausing = asyncio.ensure_future(_pause(vm))
        connections = self.callers.connections[vm.name]
        connections.fresh = True
        try:
            rate = self.rng.uniform(*RATE)
            await self.callers.burst(list(Kind), seconds, rate, vm)
        finally:
            connections.fresh = False
            pausing.cancel()
            vm.signal(signal.SIGCONT)


async def _pause(vm: Vm) -> None:
    while True:
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSED_SECONDS)
        vm.signal(signal.SIGCONT)
        await asyncio.sleep(RUNS_SECONDS)
