# Licensed under the Apache License 2.0: see LICENSE for details.

"""Repair of the list of VMs in the store after a restore from a backup.

Entries that were written since the backup are gone, and entries that were removed since
are back.  The VM that watches the store for its data hall knows the VMs of the hall, so
it corrects their entries: one list for each hall, and one write for each difference.
"""

from __future__ import annotations

import asyncio

import logbook

from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.coordination.fleet.register import Register
from walnutquay.coordination.fleet.watchers import Watchers
from walnutquay.coordination.process.context import Context
from walnutquay.exceptions import PlatformError
from walnutquay.state.fleet.membership import VmLocation
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import VmName

log = logbook.Logger(__name__)

RETRY_SECONDS = 1.0
# The pause between two writes, so that all halls together stay within the store's rate.
WRITE_PAUSE_SECONDS = 0.05


class EntryRepair:
    """Corrects the entries of this data hall's VMs after a restore of the store.

    :param context: the state shared by this process.
    :param peers: the other VMs.
    :param register: the list in the store.
    :param watchers: the VMs that watch the store.
    """

    def __init__(
        self,
        context: Context,
        peers: FleetPeers,
        register: Register,
        watchers: Watchers,
    ) -> None:
        self.context = context
        self.peers = peers
        self.register = register
        self.watchers = watchers

    async def run(self, own: VmLocation, left: frozenset[VmName]) -> None:
        """Correct the entries, until the store has taken all of them.

        :param own: the location of this VM, which is entered in any case.
        :param left: the VMs that are known to have left.
        """
        expected = {self.context.vm: own}
        if self.watchers.includes_this():
            known = self.peers.known.items()
            hall = self.context.hall
            expected |= {vm: place for vm, place in known if place.hall == hall}
        elif self.peers.known:
            return
        while True:
            try:
                await self._correct(expected, left)
                return
            except PlatformError as error:
                log.debug("the list of VMs could not be corrected yet: {}", error)
                await asyncio.sleep(RETRY_SECONDS)

    async def _correct(
        self, expected: dict[VmName, VmLocation], left: frozenset[VmName]
    ) -> None:
        listed = await self.register.read(fresh=True)
        entered = [vm for vm, place in expected.items() if listed.get(vm) != place]
        for vm in entered:
            await self.register.enter(vm, expected[vm])
            await asyncio.sleep(WRITE_PAUSE_SECONDS)
        hall = self.context.hall
        removed = [vm for vm in left if vm in listed and listed[vm].hall == hall]
        for vm in removed:
            await self.register.leave(vm)
            await asyncio.sleep(WRITE_PAUSE_SECONDS)
        if entered or removed:
            self.context.timeline.emit(
                EventKind.MEMBER,
                detail=f"written again: {sorted(entered)}, removed again: "
                f"{sorted(removed)}, as the store was restored",
            )
