# Licensed under the Apache License 2.0: see LICENSE for details.

"""Takes VMs that were lost for good out of the list of VMs.

One that stops takes itself out; one that loses power does not.  Some 39 a day are lost
in a fleet of 640: within a month the list would hold more of these than live ones, each
of them told all news, asked for lists and chosen to watch the store.
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

# How often a VM asks those that it checks whether they live.
CHECK_SECONDS = 30.0
# A peer of the same data hall answers within some milliseconds.
ANSWER_SECONDS = 1.0
# One that was not reached for so long is taken out: it is back sooner from a restart or
# a fault of the network in its data hall.  Should it live it enters again by itself.
ABSENT_SECONDS = 300.0
# VMs of its data hall that check a VM: some of these may be lost too, and three of them
# at once with it are rare.
CHECKERS = 3


@dataclass(slots=True)
class Absence:
    """A VM that does not answer.

    :param since: when it first did not; monotonic seconds.
    :param asked: how often it was asked since.
    """

    since: float
    asked: int = 0


class AbsenceMonitor:
    """Checks some VMs of this data hall, and takes out of the list those that are gone.

    :param context: what this process shares.
    :param peers: the other VMs.
    :param register: the list in the store.
    """

    def __init__(self, context: Context, peers: FleetPeers, register: Register) -> None:
        self.context = context
        self.peers = peers
        self.register = register
        self.absent: dict[VmName, Absence] = {}
        self.tasks = Tasks()

    def start(self) -> None:
        """Begin to check."""
        self.tasks.forever("absent VMs", self._keep_checking)

    def stop(self) -> None:
        """Check no more."""
        self.tasks.stop()

    async def _keep_checking(self) -> None:
        while True:
            # Not all at once: VMs start together.
            await asyncio.sleep(CHECK_SECONDS * self.context.rng.uniform(0.8, 1.2))
            await self.check()

    def checked(self) -> list[VmName]:
        """:returns: the VMs that this one checks; all VMs of the hall choose alike."""
        hall = self.context.hall
        names = [vm for vm, place in self.peers.known.items() if place.hall == hall]
        return [
            vm
            for vm in names
            if vm != self.context.vm and self.context.vm in _checkers(vm, names)
        ]

    async def check(self) -> None:
        """Ask those that this VM checks, and take out who was gone for long."""
        checked = self.checked()
        answers = await asyncio.gather(*(self._lives(vm) for vm in checked))
        now = monotonic()
        before, self.absent = self.absent, {}
        for vm, lives in zip(checked, answers, strict=True):
            if not lives:
                absence = self.absent[vm] = before.get(vm, Absence(now))
                absence.asked += 1
        # Where nobody answers this VM is the one that is cut off.
        if any(answers):
            for vm in [vm for vm in self.absent if self._is_gone(vm, now)]:
                await self._take_out(vm, now)

    async def _lives(self, vm: VmName) -> bool:
        try:
            # Its own list is not wanted, so it is told that it is known.
            await self.peers.call(vm, AskVms(self.peers.digest), ANSWER_SECONDS)
        except PeerError as error:
            log.debug("{} does not answer: {}", vm, error)
            return False
        return True

    def _is_gone(self, vm: VmName, now: float) -> bool:
        absence = self.absent[vm]
        # After a suspension of this VM one question may be all that it has asked.
        often = absence.asked > ABSENT_SECONDS / CHECK_SECONDS / 2.0
        return often and now - absence.since >= ABSENT_SECONDS

    async def _take_out(self, vm: VmName, now: float) -> None:
        absence = self.absent.pop(vm)
        try:
            await self.register.leave(vm)
        except PlatformError as error:
            log.debug("{} cannot be taken out of the list: {}", vm, error)
            self.absent[vm] = absence
            return
        self.context.metrics.count("vms_taken_out")
        self.context.timeline.emit(
            EventKind.MEMBER,
            detail=f"{vm} is taken out of the list: it does not answer",
            asked=absence.asked,
            absent_ms=round((now - absence.since) * 1000.0),
        )


def _checkers(vm: VmName, names: list[VmName]) -> list[str]:
    """Choose the VMs of a data hall that check one of them."""
    others = [name for name in names if name != vm]
    return rendezvous(f"check {vm}", others)[:CHECKERS]
