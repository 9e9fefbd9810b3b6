# Licensed under the Apache License 2.0: see LICENSE for details.

"""Removal of permanently lost VMs from the list of VMs.

A VM that stops removes its own entry, but one that loses power does not.  A fleet of
640 VMs loses some 39 a day: within a month the list would have more lost VMs than live
ones, and each of them would be sent all updates, queried for lists and chosen to watch
the store.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import logbook

from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.coordination.fleet.register import Register
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.exceptions import PeerError, PlatformError
from walnutquay.protocol.messages import AskVms
from walnutquay.state.fleet.membership import rendezvous
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import VmName
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# The interval at which a VM checks whether its assigned VMs are alive.
CHECK_SECONDS = 30.0
# Peers of the same data hall answer within a few milliseconds.
ANSWER_SECONDS = 1.0
# A VM that has been unreachable for this long is removed.  Restarts, and network faults
# in its data hall, take less time.  If it is still alive, it adds its entry again.
ABSENT_SECONDS = 300.0
# The number of VMs of the same data hall that check a VM.  Some of them may be lost
# too, but the loss of all three at the same time as the VM itself is rare.
CHECKERS = 3


@dataclass(slots=True)
class Absence:
    """A VM that does not answer.

    :param since: the time of its first failed check; monotonic seconds.
    :param checks: the number of failed checks in a row.
    """

    since: float
    checks: int = 0


class AbsenceMonitor:
    """Checks some VMs of this data hall, and removes those that are lost from the list.

    :param context: the state shared by this process.
    :param peers: the other VMs.
    :param register: the list of VMs in the store.
    """

    def __init__(self, context: Context, peers: FleetPeers, register: Register) -> None:
        self.context = context
        self.peers = peers
        self.register = register
        self.absent: dict[VmName, Absence] = {}
        self.tasks = Tasks()

    def start(self) -> None:
        """Start the periodic checks."""
        self.tasks.spawn_loop("absent VMs", self._keep_checking)

    def stop(self) -> None:
        """Stop the periodic checks."""
        self.tasks.stop()

    async def _keep_checking(self) -> None:
        while True:
            # The jitter spreads the checks of VMs that started together.
            await asyncio.sleep(CHECK_SECONDS * self.context.rng.uniform(0.8, 1.2))
            await self.check()

    def assigned(self) -> list[VmName]:
        """Return the VMs that this one checks; all VMs of the hall agree on them."""
        hall = self.context.hall
        names = [vm for vm, place in self.peers.known.items() if place.hall == hall]
        return [
            vm
            for vm in names
            if vm != self.context.vm and self.context.vm in _checkers(vm, names)
        ]

    async def check(self) -> None:
        """Check the assigned VMs, and remove those that were absent for too long."""
        assigned = self.assigned()
        answers = await asyncio.gather(*(self._is_alive(vm) for vm in assigned))
        now = monotonic()
        before, self.absent = self.absent, {}
        for vm, alive in zip(assigned, answers, strict=True):
            if not alive:
                absence = self.absent[vm] = before.get(vm, Absence(now))
                absence.checks += 1
        # If no VM answers, this VM itself is the one that is cut off.
        if any(answers):
            for vm in [vm for vm in self.absent if self._is_lost(vm, now)]:
                await self._remove(vm, now)

    async def _is_alive(self, vm: VmName) -> bool:
        try:
            # The matching digest spares the peer from answering with its list.
            await self.peers.call(vm, AskVms(self.peers.digest), ANSWER_SECONDS)
        except PeerError as error:
            log.debug("{} does not answer: {}", vm, error)
            return False
        return True

    def _is_lost(self, vm: VmName, now: float) -> bool:
        absence = self.absent[vm]
        # After a suspension of this VM, it may have made a single check in this time.
        enough_checks = absence.checks > ABSENT_SECONDS / CHECK_SECONDS / 2.0
        return enough_checks and now - absence.since >= ABSENT_SECONDS

    async def _remove(self, vm: VmName, now: float) -> None:
        absence = self.absent.pop(vm)
        try:
            await self.register.leave(vm)
        except PlatformError as error:
            log.debug("{} could not be removed from the list of VMs: {}", vm, error)
            self.absent[vm] = absence
            return
        self.context.metrics.count("vms_taken_out")
        self.context.timeline.emit(
            EventKind.MEMBER,
            detail=f"{vm} is removed from the list of VMs: it does not answer",
            asked=absence.checks,
            absent_ms=round((now - absence.since) * 1000.0),
        )


def _checkers(vm: VmName, names: list[VmName]) -> list[str]:
    """Choose the VMs of a data hall that check a VM of it.

    :param vm: the VM to check.
    :param names: all VMs of the data hall.
    """
    others = [name for name in names if name != vm]
    return rendezvous(f"check {vm}", others)[:CHECKERS]
