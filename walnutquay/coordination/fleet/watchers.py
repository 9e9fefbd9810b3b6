# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which VMs watch the store for the others, and how these ask them."""

from __future__ import annotations

import asyncio

import logbook

from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.coordination.process.context import Context
from walnutquay.exceptions import PeerError
from walnutquay.protocol.messages import AskChanges, ChangesAre, Message
from walnutquay.state.fleet.membership import VmLocation, rendezvous
from walnutquay.state.process.ids import HallName, VmName
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# Up to so many VMs each watches the store itself.
SMALL_FLEET = 3
# VMs of each data hall that watch the store.  Where it is lost or frozen the others of
# the hall ask another hall's until the next in line has noticed.
WATCHERS_OF_HALL = 1
# Watchers of other data halls that are asked where the own ones do not answer; those
# of all halls are where each one answers that the store does not serve it.
FAR_WATCHERS = 1
# A watcher answers so much later at the most; else another is asked: also where two in
# a row are frozen a change is known within the two seconds that the platform allows.
ANSWER_SECONDS = 0.4
# A VM that did not answer is left out of the choice of watchers for so long.
SILENT_SECONDS = 3.0
# A VM that starts waits no longer for the list of VMs, which tells whom to ask.
VMS_SECONDS = 2.0
# Every VM ranks alike by this.
DUTY = "watch the store"


class Watchers:
    """Knows which VMs watch the store, and asks them for changes.

    :param context: what this process shares.
    :param peers: the other VMs.
    """

    def __init__(self, context: Context, peers: FleetPeers) -> None:
        self.context = context
        self.peers = peers
        # Until when VMs that did not answer are left out; monotonic seconds.
        self.silent_until: dict[VmName, float] = {}
        # The VMs of each data hall in their rank for the duty, and the list of VMs that
        # this was made of: a VM asks some ten times a second.
        self.ranked: dict[HallName, list[VmName]] = {}
        self.made_of: dict[VmName, VmLocation] | None = None

    def includes_this(self) -> bool:
        """:returns: whether this VM is to watch the store itself."""
        if self.peers.size <= SMALL_FLEET:
            return True
        return self.context.vm in self._watching(self.context.hall)

    def _watching(self, hall: HallName) -> list[VmName]:
        """:returns: the VMs of a data hall that are to watch the store."""
        return self._of(hall)[:WATCHERS_OF_HALL]

    def _of(self, hall: HallName) -> list[VmName]:
        """Rank the VMs of a data hall for the duty."""
        now = monotonic()
        own = self.context.vm
        silent = self.silent_until
        return [
            vm
            for vm in self._ranks().get(hall, [])
            if vm == own or silent.get(vm, 0.0) <= now
        ]

    def _ranks(self) -> dict[HallName, list[VmName]]:
        """Rank the VMs of all data halls, those that are silent too."""
        known = self.peers.known
        if self.made_of is not known:
            self.made_of = known
            names: dict[HallName, set[VmName]] = {self.context.hall: {self.context.vm}}
            for vm, place in known.items():
                names.setdefault(place.hall, set()).add(vm)
            self.ranked = {
                hall: [VmName(name) for name in rendezvous(DUTY, found)]
                for hall, found in names.items()
            }
        return self.ranked

    def _asked(self) -> tuple[list[VmName], list[VmName]]:
        """Give whom to ask: in this data hall, and in the others."""
        near = self._watching(self.context.hall)
        others = sorted(self._ranks().keys() - {self.context.hall})
        far = [vm for hall in others for vm in self._of(hall)[:1]]
        self.context.rng.shuffle(far)
        return [vm for vm in near if vm != self.context.vm], far

    async def query(
        self, kind: str, revision: int, seconds: float
    ) -> ChangesAre | None:
        """Wait for changes at a watcher that has them from the store.

        :param kind: the kind of objects.
        :param revision: the revision that is known here.
        :param seconds: how long to wait for a change.
        :returns: its answer; one that failed only if all do; None if none answers.
        """
        failing = None
        silent = False
        near, far = self._asked()
        for number, vm in enumerate(near + far):
            if silent and number >= len(near) + FAR_WATCHERS:
                break
            # Whether the others have an answer from the store is told at once.
            wait = seconds if failing is None else 0.0
            answer = await self._ask_one(vm, AskChanges(kind, revision, wait))
            if answer is None or not answer.direct:
                silent = silent or answer is None
                continue
            if not answer.failing:
                return answer
            failing = answer
        return failing

    async def query_near(self, question: Message) -> Message | None:
        """Ask the VM of this data hall that watches the store.

        :param question: what it is asked, which it answers at once.
        :returns: its answer, or None.
        """
        near, _ = self._asked()
        for vm in near:
            answer = await self._call(vm, question, ANSWER_SECONDS)
            if answer is not None:
                return answer
        return None

    async def wait_for_vms(self) -> None:
        """Wait until it is known which VMs there are, but not for long."""
        if self.peers.listed.is_set() or not self.peers.seeds:
            return
        try:
            async with asyncio.timeout(VMS_SECONDS):
                await self.peers.listed.wait()
        except TimeoutError:
            log.info("there is no list of VMs yet; the store is watched from here")

    async def _ask_one(self, vm: VmName, question: AskChanges) -> ChangesAre | None:
        answer = await self._call(vm, question, question.seconds + ANSWER_SECONDS)
        return answer if isinstance(answer, ChangesAre) else None

    async def _call(
        self, vm: VmName, question: Message, limit: float
    ) -> Message | None:
        """Ask a watcher; one that does not answer is left out for a while."""
        place = self.peers.known.get(vm)
        if place is None:
            return None
        try:
            return await self.peers.node.call(place.address, question, limit, vm)
        except PeerError as error:
            self.context.metrics.count("watchers_silent")
            self.silent_until[vm] = monotonic() + SILENT_SECONDS
            log.debug("a watcher of the store does not answer: {}", error)
            return None
