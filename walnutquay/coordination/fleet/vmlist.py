# Licensed under the Apache License 2.0: see LICENSE for details.

"""The list of entry VMs: this VM's entry in it, and updates on the other VMs.

The store charges for each call.  Therefore each new VM writes its entry once, and only
the VMs that watch the store read the list.  The others query these VMs, and each VM
that joins or leaves announces it to all.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from dataclasses import dataclass

import logbook

from walnutquay.coordination.fleet.absentees import AbsenceMonitor
from walnutquay.coordination.fleet.bootstrap import Bootstrap
from walnutquay.coordination.fleet.entryrepair import EntryRepair
from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.coordination.fleet.register import Register
from walnutquay.coordination.fleet.watchers import Watchers
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.exceptions import MessageError, PlatformError
from walnutquay.protocol.lists import unpack_places
from walnutquay.protocol.messages import AskVms, Envelope, VmNews, VmRow, VmsAre
from walnutquay.state.fleet.membership import VmLocation
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import VmName
from walnutquay.state.process.revisions import Era
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# All VMs of a fleet start within 0.3 s; the list is first read after that.
FIRST_READ_SECONDS = 0.8
# The interval between the first and the second read, by which the slowest VMs of a
# starting fleet have entered the list too; then that between later reads.
SECOND_READ_SECONDS = 2.0
READ_SECONDS = 10.0
RETRY_SECONDS = 1.0
# The time for which the seeds are queried for the first list, if they had none when
# this VM started.  They read it from the store; after this time, so does this VM.
FIRST_LIST_SECONDS = 0.4
FIRST_LIST_PAUSE = 0.05
# The time for which a VM's announcement takes precedence over lists.  A list is read
# every 10 s, passes through two VMs, and may be some seconds old in the store.
ANNOUNCEMENT_SECONDS = 2.0 * READ_SECONDS + 5.0


@dataclass(frozen=True, slots=True)
class Announcement:
    """An announcement of a VM that it has joined or left.

    :param at: the time at which it was received; monotonic seconds.
    :param location: the current or last location of the VM.
    :param left: the incarnation that has left; None if the VM is in the fleet.
    """

    at: float
    location: VmLocation
    left: str | None = None


class VmList:
    """Keeps this VM in the list of VMs, and its own copy of the list up to date.

    :param context: the state shared by this process.
    :param peers: the other VMs.
    :param register: the list in the store.
    :param watchers: the VMs that watch the store.
    :param bootstrap: the lists of another VM at the start of this one.
    :param first_start: whether the whole fleet starts for the first time, so that no
        VM has a list yet.
    """

    def __init__(
        self,
        context: Context,
        peers: FleetPeers,
        register: Register,
        watchers: Watchers,
        bootstrap: Bootstrap,
        first_start: bool,
    ) -> None:
        self.context = context
        self.peers = peers
        self.register = register
        self.watchers = watchers
        self.bootstrap = bootstrap
        self.first_start = first_start
        # Recent announcements of VMs, which lists may not include yet.
        self.announcements: dict[VmName, Announcement] = {}
        # The time at which this VM last wrote its entry; monotonic seconds.
        self.entered_at = float("-inf")
        self.absence_monitor = AbsenceMonitor(context, peers, register)
        self.repair = EntryRepair(context, peers, register, watchers)
        self.tasks = Tasks()

    def start(self) -> None:
        """Add this VM to the list, and start reading the list periodically."""
        self.tasks.spawn_loop("list of VMs", self._keep_updated)
        self.absence_monitor.start()

    async def stop(self) -> None:
        """Remove this VM from the list, and announce that it leaves."""
        self.tasks.stop()
        self.absence_monitor.stop()
        self._announce(leaving=True)
        try:
            await self.register.leave(self.context.vm)
        except PlatformError as error:
            log.warn("this VM's entry could not be removed from the list: {}", error)

    def on_restored(self, era: Era) -> None:
        """Keep the list, and correct the store's, which was restored from a backup.

        :param era: the store's era.
        """
        now = monotonic()
        for vm, location in self.peers.known.items():
            self.announcements.setdefault(vm, Announcement(now, location))
        left = frozenset(
            vm for vm, told in self.announcements.items() if told.left is not None
        )
        self.tasks.spawn(self.repair.run(self.own, left))

    @property
    def own(self) -> VmLocation:
        """The location of this VM."""
        return VmLocation(self.peers.own, self.context.hall)

    # Messages of other VMs.

    def answer(self, envelope: Envelope) -> VmsAre:
        """Answer a query for the list.

        :param envelope: the query.
        :returns: the list, or an empty message if the sender has the same one.
        """
        body = envelope.body
        assert isinstance(body, AskVms)
        if body.digest and body.digest == self.peers.digest:
            return VmsAre()
        return VmsAre(self.peers.packed())

    def receive(self, envelope: Envelope) -> None:
        """Apply an announcement of a VM that has joined or is leaving.

        :param envelope: the announcement.
        """
        body = envelope.body
        assert isinstance(body, VmNews)
        left = body.incarnation if body.leaving else None
        self._record(body.row.vm, Announcement(monotonic(), body.row.place, left))
        if envelope.vm == body.row.vm:
            self.peers.relay(body.row.place.hall, body)

    def detect_restart(self, envelope: Envelope) -> None:
        """Add a VM again that is treated as having left, but has been restarted.

        Its announcement may be lost.  Without this, it would be sent no updates until
        the list takes precedence again.

        :param envelope: any message of the VM.
        """
        announcement = self.announcements.get(VmName(envelope.vm))
        if announcement is None or announcement.left in (None, envelope.incarnation):
            return
        self._record(
            VmName(envelope.vm), Announcement(monotonic(), announcement.location)
        )

    def _record(self, vm: VmName, announcement: Announcement) -> None:
        self.announcements[vm] = announcement
        if self.peers.listed.is_set():
            self.apply(self.peers.known)

    # Updates of the list.

    async def _keep_updated(self) -> None:
        if self.first_start:
            await self._enter_if_missing()
            await asyncio.sleep(FIRST_READ_SECONDS)
        from_store = await self._read()
        await self._enter_if_missing()
        if from_store and not self.first_start:
            # The entry remains if this VM could not remove it from the store when it
            # stopped.  The others may then still treat this VM as having left, and
            # lack it in their lists.
            self._announce(leaving=False)
        for seconds in self._pauses():
            await asyncio.sleep(seconds)
            await self._read()
            await self._enter_if_missing()

    def _pauses(self) -> Iterator[float]:
        yield SECOND_READ_SECONDS
        # Intervals differ between VMs, because all of them query the same few VMs.
        yield from itertools.repeat(READ_SECONDS * self.context.rng.uniform(0.8, 1.0))

    async def _read(self) -> bool:
        """Read the list from another VM, or from the store.

        :returns: whether it was read from the store.
        """
        if await self._read_from_peers():
            return False
        try:
            self.apply(await self.register.read())
        except PlatformError as error:
            log.debug("the list of VMs could not be read from the store: {}", error)
            return False
        return True

    async def _read_from_peers(self) -> bool:
        """Query a VM that reads the store for the list.

        :returns: whether there is an up-to-date list now.
        """
        if self.peers.known:
            if self.watchers.includes_this():
                return False
            answer = await self.watchers.query_near(AskVms(self.peers.digest))
            return isinstance(answer, VmsAre) and self._apply_packed(answer.data)
        if self.peers.is_seed or not self.peers.seeds:
            return False
        lists = await self.bootstrap.get()
        if lists is not None and lists.vms:
            return self._apply_packed(lists.vms)
        end = monotonic() + FIRST_LIST_SECONDS
        while monotonic() < end:
            answer = await self.peers.query_any(AskVms())
            if isinstance(answer, VmsAre) and answer.data:
                return self._apply_packed(answer.data)
            await asyncio.sleep(FIRST_LIST_PAUSE)
        return False

    def _apply_packed(self, data: bytes) -> bool:
        """Apply another VM's list; it is empty if it is the same as this VM's.

        :returns: whether it could be decoded.
        """
        if not data:
            return True
        try:
            self.apply(unpack_places(data))
        except MessageError as error:
            log.warn(
                "a peer's list of VMs could not be decoded; it is ignored: {}", error
            )
            return False
        return True

    async def _enter_if_missing(self) -> None:
        """Write this VM's entry, unless the list has it already."""
        if self.peers.known.get(self.context.vm) == self.own:
            return
        if monotonic() < self.entered_at + ANNOUNCEMENT_SECONDS:
            # The entry has been written; the lists read since then are older.
            return
        while True:
            try:
                await self.register.enter(self.context.vm, self.own)
                break
            except PlatformError as error:
                log.debug("this VM could not be added to the list; retrying: {}", error)
                await asyncio.sleep(RETRY_SECONDS)
        self.entered_at = monotonic()
        self._record(self.context.vm, Announcement(self.entered_at, self.own))
        if self.peers.known:
            self._announce(leaving=False)

    def _announce(self, leaving: bool) -> None:
        """Announce to all VMs that this one has joined or is leaving."""
        row = VmRow(self.context.vm, self.own)
        self.peers.broadcast_by_relays(VmNews(row, leaving, self.context.incarnation))

    def apply(self, listed: dict[VmName, VmLocation]) -> None:
        """Apply a list, corrected by the recent announcements of VMs.

        :param listed: the location of each VM.
        """
        now = monotonic()
        self.announcements = {
            vm: announcement
            for vm, announcement in self.announcements.items()
            if now < announcement.at + ANNOUNCEMENT_SECONDS
        }
        merged = dict(listed)
        for vm, announcement in self.announcements.items():
            if announcement.left is None:
                merged[vm] = announcement.location
            else:
                merged.pop(vm, None)
        self.peers.listed.set()
        before = self.peers.known
        if merged == before:
            return
        self.peers.known = merged
        joined = sorted(merged.keys() - before.keys())
        left = sorted(before.keys() - merged.keys())
        self.context.timeline.emit(
            EventKind.MEMBER,
            detail=f"joined: {joined}, left: {left}, now {len(merged)}",
        )
