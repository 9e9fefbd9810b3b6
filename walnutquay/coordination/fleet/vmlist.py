# Licensed under the Apache License 2.0: see LICENSE for details.

"""The list of entry VMs: how this VM enters it, and how it hears of the others.

Calls to the store have a price, so it is written once for each VM that is new, and
read by the VMs that watch it.  The others ask these, and whoever comes or goes says so
to all.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from dataclasses import dataclass

import logbook

from walnutquay.coordination.fleet.absentees import AbsenceMonitor
from walnutquay.coordination.fleet.bootstrap import Bootstrap
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
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# All VMs of a fleet start within 0.3 s, and the list of them is read when they have.
FIRST_READ_SECONDS = 0.8
# The list is read again so soon after the first time, when the slowest VMs of a fleet
# that starts have entered it too, and then at longer intervals.
SECOND_READ_SECONDS = 2.0
READ_SECONDS = 10.0
RETRY_SECONDS = 1.0
# How long the seeds are asked for the first list, where they had none as this VM
# started: they read it in the store, and so do the others then.
FIRST_LIST_SECONDS = 0.4
FIRST_LIST_PAUSE = 0.05
# How long what a VM says of itself goes before lists: these are read every 10 s, by two
# VMs one after the other, and the store may give one that is some seconds old.
NEWS_SECONDS = 2.0 * READ_SECONDS + 5.0


@dataclass(frozen=True, slots=True)
class Heard:
    """What a VM has said of itself.

    :param at: when; monotonic seconds.
    :param place: where it is, or was.
    :param left: the process that has left, if one has.
    """

    at: float
    place: VmLocation
    left: str | None = None


class VmList:
    """Keeps this VM in the list of VMs, and what is known of the others up to date.

    :param context: what this process shares.
    :param peers: the other VMs.
    :param register: the list in the store.
    :param watchers: which VMs watch the store.
    :param starting: what another VM tells this one as it starts.
    :param first_start: whether the whole fleet starts for the first time: nobody has
        a list yet.
    """

    def __init__(
        self,
        context: Context,
        peers: FleetPeers,
        register: Register,
        watchers: Watchers,
        starting: Bootstrap,
        first_start: bool,
    ) -> None:
        self.context = context
        self.peers = peers
        self.register = register
        self.watchers = watchers
        self.starting = starting
        self.first_start = first_start
        # What VMs have said of themselves lately, which lists may not show yet.
        self.news: dict[VmName, Heard] = {}
        # When this VM last wrote its entry; monotonic seconds.
        self.entered_at = float("-inf")
        self.absentees = AbsenceMonitor(context, peers, register)
        self.tasks = Tasks()

    def start(self) -> None:
        """Enter this VM into the list, and keep reading it."""
        self.tasks.forever("list of VMs", self._keep_up)
        self.absentees.start()

    async def stop(self) -> None:
        """Take this VM out of the list."""
        self.tasks.stop()
        self.absentees.stop()
        self._tell(leaving=True)
        try:
            await self.register.leave(self.context.vm)
        except PlatformError as error:
            log.warn("this VM's entry is left behind: {}", error)

    @property
    def own(self) -> VmLocation:
        """Where this VM is reached."""
        return VmLocation(self.peers.own, self.context.hall)

    # What the other VMs ask and tell.

    def answer(self, envelope: Envelope) -> VmsAre:
        """:param envelope: a question for the list.

        :returns: what is known here.
        """
        body = envelope.body
        assert isinstance(body, AskVms)
        if body.digest and body.digest == self.peers.digest:
            return VmsAre()
        return VmsAre(self.peers.packed())

    def receive(self, envelope: Envelope) -> None:
        """Take in that a VM has come or goes.

        :param envelope: what it says of itself.
        """
        body = envelope.body
        assert isinstance(body, VmNews)
        left = body.incarnation if body.leaving else None
        self._note(body.row.vm, Heard(monotonic(), body.row.place, left))
        if envelope.vm == body.row.vm:
            self.peers.relay(body.row.place.hall, body)

    def detect_restart(self, envelope: Envelope) -> None:
        """Take in that a VM lives which is held to have left: it has started again.

        What it says of that may be lost, and it would be told no news until the list
        is believed again.

        :param envelope: any message of it.
        """
        heard = self.news.get(VmName(envelope.vm))
        if heard is None or heard.left in (None, envelope.incarnation):
            return
        self._note(VmName(envelope.vm), Heard(monotonic(), heard.place))

    def _note(self, vm: VmName, heard: Heard) -> None:
        self.news[vm] = heard
        if self.peers.known:
            self.apply(self.peers.known)

    # Keeping up.

    async def _keep_up(self) -> None:
        if self.first_start:
            await self._enter_if_missing()
            await asyncio.sleep(FIRST_READ_SECONDS)
        from_store = await self._read()
        await self._enter_if_missing()
        if from_store and not self.first_start:
            # The others may hold that it has left though its entry is there, which
            # stays where the store could not be told.  Their own lists would lack it.
            self._tell(leaving=False)
        for seconds in self._pauses():
            await asyncio.sleep(seconds)
            await self._read()
            await self._enter_if_missing()

    def _pauses(self) -> Iterator[float]:
        yield SECOND_READ_SECONDS
        # Not all at once, for they ask the same few VMs.
        yield from itertools.repeat(READ_SECONDS * self.context.rng.uniform(0.8, 1.0))

    async def _read(self) -> bool:
        """Read the list, at a VM that knows it or in the store.

        :returns: whether it comes from the store.
        """
        if await self._hear_list():
            return False
        try:
            self.apply(await self.register.read())
        except PlatformError as error:
            log.debug("the list of VMs could not be read: {}", error)
            return False
        return True

    async def _hear_list(self) -> bool:
        """Ask a VM that reads the store for the list.

        :returns: whether there is one now.
        """
        if self.peers.known:
            if self.watchers.includes_this():
                return False
            answer = await self.watchers.query_near(AskVms(self.peers.digest))
            return isinstance(answer, VmsAre) and self._take_told(answer.data)
        if self.peers.is_seed or not self.peers.seeds:
            return False
        told = await self.starting.get()
        if told is not None and told.vms:
            return self._take_told(told.vms)
        end = monotonic() + FIRST_LIST_SECONDS
        while monotonic() < end:
            answer = await self.peers.query_any(AskVms())
            if isinstance(answer, VmsAre) and answer.data:
                return self._take_told(answer.data)
            await asyncio.sleep(FIRST_LIST_PAUSE)
        return False

    def _take_told(self, data: bytes) -> bool:
        """Take over another VM's list, unless it is the same.

        :returns: whether it could be read.
        """
        if not data:
            return True
        try:
            self.apply(unpack_places(data))
        except MessageError as error:
            log.warn("a peer's list of VMs is not taken over: {}", error)
            return False
        return True

    async def _enter_if_missing(self) -> None:
        """Write this VM's entry, unless the others have it as it is."""
        if self.peers.known.get(self.context.vm) == self.own:
            return
        if monotonic() < self.entered_at + NEWS_SECONDS:
            # It was written; the lists that were read are older.
            return
        while True:
            try:
                await self.register.enter(self.context.vm, self.own)
                break
            except PlatformError as error:
                log.debug("this VM is not in the list yet: {}", error)
                await asyncio.sleep(RETRY_SECONDS)
        self.entered_at = monotonic()
        self._note(self.context.vm, Heard(self.entered_at, self.own))
        if self.peers.known:
            self._tell(leaving=False)

    def _tell(self, leaving: bool) -> None:
        """Tell all VMs that this one comes or goes."""
        row = VmRow(self.context.vm, self.own)
        self.peers.broadcast_by_relays(VmNews(row, leaving, self.context.incarnation))

    def apply(self, listed: dict[VmName, VmLocation]) -> None:
        """Take over a list, but for what VMs have said of themselves since.

        :param listed: where each VM is.
        """
        now = monotonic()
        self.news = {
            vm: heard
            for vm, heard in self.news.items()
            if now < heard.at + NEWS_SECONDS
        }
        merged = dict(listed)
        for vm, heard in self.news.items():
            if heard.left is None:
                merged[vm] = heard.place
            else:
                merged.pop(vm, None)
        self.peers.listed.set()
        before = self.peers.known
        if merged == before:
            return
        self.peers.known = merged
        came = sorted(merged.keys() - before.keys())
        went = sorted(before.keys() - merged.keys())
        self.context.timeline.emit(
            EventKind.MEMBER, detail=f"came: {came}, went: {went}, now {len(merged)}"
        )
