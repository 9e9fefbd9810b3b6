# Licensed under the Apache License 2.0: see LICENSE for details.

"""Billing: records, their copies at a peer, and their batches in the platform."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

import logbook

from walnutquay.coordination.own.billbatches import BillBatches
from walnutquay.coordination.own.billkeepers import BillKeepers
from walnutquay.coordination.own.members import Members
from walnutquay.coordination.own.platform import Platform
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.exceptions import PeerError
from walnutquay.protocol.messages import Envelope
from walnutquay.protocol.ownmessages import (
    BillCopy,
    BillsMissing,
    BillStored,
    BillTaken,
)
from walnutquay.state.fleet.membership import SILENT_SECONDS
from walnutquay.state.own.bills import BillLog, BillRecord, decode_records
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import (
    Incarnation,
    MemberState,
    OrganisationName,
    RequestId,
)
from walnutquay.state.requests.stages import CostLine
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

COPY_SECONDS = 0.3
# Each failed round of copying doubles the timeout, at most this many times.
MAX_COPY_DOUBLINGS = 2
# Attempts to copy to one peer: if it lacks earlier records, they are sent again.
COPY_TRIES = 2
# Pause before a failed round is retried; doubles with each failure up to the maximum.
COPY_PAUSE_SECONDS = 0.1
MAX_COPY_PAUSE_SECONDS = 1.0
# Maximum time that an answer waits until its record is copied or stored: the time
# after which peers that do not respond count as silent.
COPY_WAIT_SECONDS = SILENT_SECONDS
FLUSH_SECONDS = 1.0
# Approximate number of flushes of the whole fleet per second.
FLEET_FLUSHES = 50
# Once a VM has been silent for this long, its peer stores the records kept for it.
DEAD_SECONDS = 8.0
ADOPT_SECONDS = 2.0
# A dead VM's log that starts with a gap is dropped after this many flushes, which leave
# other VMs time to store the missing records if they have copies.
MAX_GAP_FLUSHES = 30


@dataclass(slots=True)
class _Waiter:
    """An answer that waits until its bill record is copied or stored.

    :param number: the record's number.
    :param safe: resolves to whether the record is copied or stored.
    """

    number: int
    safe: asyncio.Future[bool]


class Billing:
    """Creates bill records and ensures that each is stored once.

    :param context: the state shared by this process.
    :param platform: the client of the platform's value store.
    :param members: the other VMs.
    :param dispatcher: delivers copies and notices of stored records.
    """

    def __init__(
        self,
        context: Context,
        platform: Platform,
        members: Members,
        dispatcher: Dispatcher,
    ) -> None:
        self.context = context
        self.batches = BillBatches(context, platform)
        self.members = members
        self.next_number = 0
        self.log = BillLog(context.incarnation)
        # Logs that are kept for other incarnations, by incarnation.
        self.kept: dict[Incarnation, BillLog] = {}
        # The VM of each kept incarnation.
        self.vm_of: dict[Incarnation, str] = {}
        # Number of flushes of each dead VM's log that stopped at a gap.
        self.gap_flushes: Counter[Incarnation] = Counter()
        self.waiting: list[_Waiter] = []
        self.copy_wanted = asyncio.Event()
        # Number of consecutive failed rounds of copying.
        self.copy_failures = 0
        self.tasks = Tasks()
        self.flushing = asyncio.Lock()
        self.last_flush = monotonic()
        self.keepers = BillKeepers(context, members)
        # The peer that has copies of all unstored records below ``copied_below``.
        self.copy_peer = ""
        self.copied_below = 0
        # The peer's incarnation when it took the copies; None if unknown.
        self.copy_incarnation: Incarnation | None = None
        dispatcher.on(BillCopy, self.on_copy)
        dispatcher.on(BillStored, self.on_stored)

    def start(self) -> None:
        """Start copying, flushing, and flushing for dead peers."""
        self.tasks.spawn_loop("bill-copy", self._copy_forever)
        self.context.timers.every("bill-flush", FLUSH_SECONDS, self.flush_when_due)
        self.context.timers.every("bill-keeper", FLUSH_SECONDS, self.check_keeper)
        self.context.timers.every("bill-adopt", ADOPT_SECONDS, self.flush_for_dead)

    def stop(self) -> None:
        """Stop all tasks."""
        self.tasks.stop()
        self.batches.stop()

    # Making records.

    async def add(
        self,
        request: RequestId,
        organisation: OrganisationName,
        lines: Iterable[CostLine],
    ) -> BillRecord:
        """Bill a request; return once a second VM or the platform has the record.

        If neither can be reached, it returns without a copy, after at most
        ``COPY_WAIT_SECONDS``, and the record is copied or stored later, as soon as
        one of them can be reached.

        :param request: the request.
        :param organisation: the organisation that is billed.
        :param lines: the cost of each step.
        """
        record = BillRecord(
            self.next_number, request, organisation, time.time(), tuple(lines)
        )
        self.next_number += 1
        self.log.add(record)
        self.context.timeline.emit(EventKind.BILLED, request=request)
        started_at = monotonic()
        if not await self._wait_until_safe(record.number):
            self.context.metrics.count("bills_without_copy")
            self.context.timeline.emit(
                EventKind.BILL_UNCOPIED,
                request=request,
                detail="no peer took a copy, and the platform has not stored it",
                waited_ms=round((monotonic() - started_at) * 1000.0),
                alive=len(self.keepers.choose()),
            )
        return record

    async def _wait_until_safe(self, number: int) -> bool:
        """Wait until a record is copied or stored.

        :param number: the record's number.
        :returns: whether it is; False if the wait was abandoned.
        """
        waiter = _Waiter(number, asyncio.get_running_loop().create_future())
        self.waiting.append(waiter)
        self.copy_wanted.set()
        try:
            async with asyncio.timeout(COPY_WAIT_SECONDS):
                return await waiter.safe
        except TimeoutError:
            return False

    async def _copy_forever(self) -> None:
        pause: float | None = None
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self.copy_wanted.wait()
            self.copy_wanted.clear()
            if await self._copy(self.log.records_from(self.copied_below)):
                pause = None
                self.copy_failures = 0
            else:
                pause = 2 * pause if pause else COPY_PAUSE_SECONDS
                pause = min(pause, MAX_COPY_PAUSE_SECONDS)
                self.copy_failures += 1
            self._release_waiters()

    def _release_waiters(self) -> None:
        """Release answers whose records are safe, or all if no peer is alive."""
        stored = self.log.next_batch
        safe_below = max(self.copied_below, stored) if self.copy_peer else stored
        no_peers = not self.keepers.choose()
        waiting, self.waiting = self.waiting, []
        for waiter in waiting:
            if waiter.safe.done():
                continue
            if waiter.number < safe_below or no_peers:
                waiter.safe.set_result(waiter.number < safe_below)
            else:
                self.waiting.append(waiter)

    async def _copy(self, records: list[BillRecord]) -> bool:
        """Copy records to a peer, or store them if no peer takes a copy.

        :returns: whether a peer or the platform has them.
        """
        if not records:
            return True
        for peer in self.keepers.choose():
            if await self._copy_to(peer):
                return True
            self.keepers.record_failure(peer)
        self._reset_copy_peer()
        await self.flush()
        return all(record.number < self.log.next_batch for record in records)

    def _reset_copy_peer(self) -> None:
        self.copy_peer = ""
        self.copied_below = self.log.next_batch

    async def _copy_to(self, peer: str) -> bool:
        """Send a peer the unstored records that it does not have yet.

        :param peer: the peer's name.
        :returns: whether the peer has all of them.
        """
        first = self.copied_below if peer == self.copy_peer else self.log.next_batch
        timeout = COPY_SECONDS * 2 ** min(self.copy_failures, MAX_COPY_DOUBLINGS)
        for _ in range(COPY_TRIES):
            records = self.log.records_from(first)
            try:
                missing = await self.keepers.send(peer, self.log, records, timeout)
            except PeerError as error:
                log.debug("bills cannot be copied to a peer: {}", error)
                return False
            if missing is None:
                self.copy_peer = peer
                self.copy_incarnation = self.keepers.incarnation_of(peer)
                self.copied_below = records[-1].number + 1 if records else first
                return True
            log.warn("peer {} lacks bill records from number {} on", peer, missing)
            self.context.metrics.count("bill_copies_lost")
            first = missing
        return False

    def check_keeper(self) -> None:
        """Copy unstored records again if their keeper is gone or has restarted."""
        if not self.log.records:
            return
        if not self.keepers.is_alive(self.copy_peer, self.copy_incarnation):
            self._reset_copy_peer()
            self.copy_wanted.set()

    async def leave_to_peer(self) -> bool:
        """Copy unstored records to a peer before this VM stops.

        This includes the records kept for other VMs, since these may be the only
        copies.

        :returns: whether all records are safe: stored, copied to a peer, or owned by
            a VM that is alive.
        """
        safe = await self._copy(self.log.records_from(self.log.next_batch))
        for incarnation, kept in list(self.kept.items()):
            copied = not kept.records or await self._copy_kept(kept)
            # A VM that is alive copies or stores its records itself.
            alive = self._seconds_silent(incarnation) <= SILENT_SECONDS
            safe = safe and (copied or alive)
        return safe

    async def _copy_kept(self, kept: BillLog) -> bool:
        """Copy the records kept for another VM to a peer.

        :param kept: the log of that VM.
        :returns: whether a peer took the copies.
        """
        for peer in self.keepers.choose():
            records = [kept.records[number] for number in sorted(kept.records)]
            try:
                missing = await self.keepers.send(peer, kept, records, COPY_SECONDS)
            except PeerError as error:
                log.debug("bills kept for a VM cannot be copied: {}", error)
                continue
            # The peer lacks what this VM lacks, but keeps the rest.
            if missing is None or kept.has_gap():
                return True
        return False

    # Storing records.

    async def flush_when_due(self) -> None:
        """Flush at an interval that keeps the whole fleet within its rate."""
        fleet = len(self.members.table.members) + 1
        interval = max(FLUSH_SECONDS, fleet / FLEET_FLUSHES)
        if monotonic() - self.last_flush >= interval * 0.9:
            await self.flush()

    async def flush(self) -> None:
        """Store all records of this incarnation that are not stored."""
        async with self.flushing:
            self.last_flush = monotonic()
            before = self.log.next_batch
            await self.batches.flush(self.log)
            if self.log.next_batch > before:
                self._release_waiters()
                stored = BillStored(self.context.incarnation, self.log.next_batch)
                self.members.broadcast(stored)

    # Keeping copies for others.

    def on_copy(self, envelope: Envelope) -> BillTaken | BillsMissing:
        """Keep copies of a peer's records, and request any missing earlier records.

        Records after a gap cannot be stored, because each batch begins where the
        previous one ends.

        :param envelope: the received message.
        :returns: a confirmation, or the number of the first missing record.
        """
        assert isinstance(envelope.body, BillCopy)
        incarnation = Incarnation(envelope.body.incarnation)
        kept = self.kept.get(incarnation)
        if kept is None:
            kept = self.kept[incarnation] = BillLog(incarnation)
        if envelope.incarnation == incarnation or incarnation not in self.vm_of:
            self.vm_of[incarnation] = envelope.vm
        kept.mark_stored_below(envelope.body.next_batch)
        for record in decode_records(envelope.body.records):
            kept.add(record)
        return BillsMissing(kept.end) if kept.has_gap() else BillTaken()

    def on_stored(self, envelope: Envelope) -> None:
        """Drop copies of stored records.

        :param envelope: the received message.
        """
        assert isinstance(envelope.body, BillStored)
        kept = self.kept.get(Incarnation(envelope.body.incarnation))
        if kept is not None:
            kept.mark_stored_below(envelope.body.next_batch)

    def _seconds_silent(self, incarnation: Incarnation) -> float:
        """Get the time for which an incarnation has been silent.

        :param incarnation: an incarnation whose records are kept.
        :returns: seconds since its last message; 0 while it counts as alive, infinity
            if it is unknown or has been replaced.
        """
        vm = self.vm_of.get(incarnation, "")
        member = self.members.table.members.get(vm)
        if member is None or member.latest.incarnation > incarnation:
            return math.inf
        now = monotonic()
        if self.members.table.state_of(member, now) is MemberState.ALIVE:
            return 0.0
        return now - member.last_seen_at

    async def flush_for_dead(self) -> None:
        """Store the records that are kept for dead VMs.

        A VM that was only suspended finds on resuming that its batches' names exist,
        and continues after these batches.
        """
        for incarnation, kept in list(self.kept.items()):
            if self._seconds_silent(incarnation) <= DEAD_SECONDS:
                continue
            platform_answered = await self.batches.flush(kept)
            if self.kept.get(incarnation) is not kept:
                # A concurrent flush has dropped the log already.
                continue
            if kept.records and platform_answered:
                self.gap_flushes[incarnation] += 1
            if not kept.records or self.gap_flushes[incarnation] > MAX_GAP_FLUSHES:
                self._drop_kept(incarnation)

    def _drop_kept(self, incarnation: Incarnation) -> None:
        """Drop a kept log; records left in it cannot be stored and count as lost."""
        lost = len(self.kept.pop(incarnation).records)
        del self.vm_of[incarnation]
        del self.gap_flushes[incarnation]
        if lost:
            self.context.metrics.count("bills_lost", lost)
            log.error(
                "dropped {} bills of {}: earlier ones are missing", lost, incarnation
            )
