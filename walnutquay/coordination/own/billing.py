# Licensed under the Apache License 2.0: see LICENSE for details.

"""Billing: records, their copies at a peer, and their batches in the platform."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from dataclasses import dataclass

import logbook

from walnutquay.coordination.own.members import Members
from walnutquay.coordination.own.platform import Platform
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.exceptions import (
    PeerError,
    PlatformConflictError,
    PlatformError,
)
from walnutquay.platform.values import ABSENT
from walnutquay.protocol.messages import Envelope
from walnutquay.protocol.ownmessages import BillCopy, BillStored, BillTaken
from walnutquay.state.fleet.membership import Distance, distance, rendezvous
from walnutquay.state.own.bills import (
    BillLog,
    BillRecord,
    batch_name,
    decode_records,
    encode_records,
)
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
# A peer that failed to take a copy is not asked again for so long.
AVOID_SECONDS = 2.0
# Records that one batch or copy holds at the most; far below a megabyte.
BATCH_RECORDS = 2000
FLUSH_SECONDS = 1.0
# Flushes of the whole fleet stay near this many a second.
FLEET_FLUSHES = 50
# A VM that has been silent for this long is flushed for by its peer.
DEAD_SECONDS = 8.0
ADOPT_SECONDS = 2.0


@dataclass(slots=True)
class _Copied:
    """A record whose copy is waited for."""

    record: BillRecord
    done: asyncio.Future[bool]


class Billing:
    """Makes bill records and sees to it that each is stored once.

    :param context: what this process shares.
    :param platform: the store of values.
    :param members: the other VMs.
    :param dispatcher: where copies come from.
    """

    def __init__(
        self,
        context: Context,
        platform: Platform,
        members: Members,
        dispatcher: Dispatcher,
    ) -> None:
        self.context = context
        self.platform = platform
        self.members = members
        self.next_number = 0
        self.log = BillLog(context.incarnation)
        # Logs that are kept for other incarnations, by incarnation.
        self.kept: dict[Incarnation, BillLog] = {}
        # Which VM each kept incarnation is, or was.
        self.vm_of: dict[Incarnation, str] = {}
        self.waiting: list[_Copied] = []
        self.copy_wanted = asyncio.Event()
        self.tasks = Tasks()
        self.flushing = asyncio.Lock()
        self.last_flush = monotonic()
        # When a peer last failed to take a copy.
        self.failed_at: dict[str, float] = {}
        # The peer that has copies of all that is not stored.
        self.copy_peer = ""
        dispatcher.on(BillCopy, self.on_copy)
        dispatcher.on(BillStored, self.on_stored)

    def start(self) -> None:
        """Begin to copy, to flush, and to flush for dead peers."""
        self.tasks.forever("bill-copy", self._copy_forever)
        self.context.timers.every("bill-flush", FLUSH_SECONDS, self.flush_when_due)
        self.context.timers.every("bill-adopt", ADOPT_SECONDS, self.flush_for_dead)

    def stop(self) -> None:
        """End all tasks."""
        self.tasks.stop()

    # Making records.

    async def add(
        self,
        request: RequestId,
        organisation: OrganisationName,
        lines: Iterable[CostLine],
    ) -> BillRecord:
        """Bill a request; returns once a second VM, or the platform, has it.

        :param request: the request.
        :param organisation: who pays.
        :param lines: what its steps cost.
        """
        record = BillRecord(
            self.next_number, request, organisation, time.time(), tuple(lines)
        )
        self.next_number += 1
        self.log.add(record)
        copied = _Copied(record, asyncio.get_running_loop().create_future())
        self.waiting.append(copied)
        self.copy_wanted.set()
        self.context.timeline.emit(EventKind.BILLED, request=request)
        # The caller may go away; the record is made all the same.
        safe = await asyncio.shield(copied.done)
        if not safe:
            self.context.metrics.count("bills_without_copy")
        return record

    async def _copy_forever(self) -> None:
        while True:
            await self.copy_wanted.wait()
            self.copy_wanted.clear()
            batch, self.waiting = self.waiting, []
            if not batch:
                continue
            safe = False
            try:
                safe = await self._copy([item.record for item in batch])
            finally:
                for item in batch:
                    item.done.set_result(safe)

    async def _copy(self, records: list[BillRecord]) -> bool:
        """Have records kept elsewhere.

        :returns: whether a peer or the platform has them.
        """
        for peer in self._keepers():
            wanted = records
            if peer != self.copy_peer:
                # A new keeper gets all that is not stored, not just the newest.
                wanted = list(self.log.records.values())
            if await self._copy_to(peer, wanted):
                self.copy_peer = peer
                return True
            self.failed_at[peer] = monotonic()
        self.copy_peer = ""
        await self.flush()
        return all(record.number < self.log.next_batch for record in records)

    def _keepers(self) -> list[str]:
        """Choose who may keep copies, one of each distance, the best one first."""
        now = monotonic()
        alive = self.members.table.alive(now)
        found = []
        for wanted in Distance:
            names = [
                member.news.vm
                for member in alive
                if distance(self.context.hall, self.context.region, member.news)
                is wanted
                and now - self.failed_at.get(member.news.vm, 0.0) > AVOID_SECONDS
            ]
            found.extend(rendezvous(f"bills/{self.context.vm}", names)[:1])
        return found

    async def _copy_to(self, peer: str, records: list[BillRecord]) -> bool:
        for start in range(0, len(records), BATCH_RECORDS):
            chunk = records[start : start + BATCH_RECORDS]
            message = BillCopy(
                self.context.incarnation, encode_records(chunk), self.log.next_batch
            )
            try:
                await self.members.call(peer, message, COPY_SECONDS)
            except PeerError as error:
                log.debug("bills cannot be copied: {}", error)
                return False
        return True

    # Storing records.

    async def flush_when_due(self) -> None:
        """Flush at a pace that keeps the whole fleet within its rate."""
        fleet = len(self.members.table.members) + 1
        pace = max(FLUSH_SECONDS, fleet / FLEET_FLUSHES)
        if monotonic() - self.last_flush >= pace * 0.9:
            await self.flush()

    async def flush(self) -> None:
        """Store all records of this incarnation that are not stored."""
        async with self.flushing:
            self.last_flush = monotonic()
            before = self.log.next_batch
            await self._flush_log(self.log)
            if self.log.next_batch > before:
                stored = BillStored(self.context.incarnation, self.log.next_batch)
                self.members.tell_all(stored)

    async def _flush_log(self, bill_log: BillLog) -> None:
        """Store batch after batch, until nothing is left or something fails."""
        while bill_log.records:
            batch = bill_log.batch(BATCH_RECORDS)
            name = batch_name(bill_log.incarnation, bill_log.next_batch)
            try:
                if batch:
                    batch = await self._store_batch(name, batch)
                else:
                    # Somebody has stored what comes before these records.
                    batch = await self._stored_batch(name)
            except PlatformError as error:
                log.debug("bills cannot be stored now: {}", error)
                return
            if not batch:
                return
            bill_log.stored(batch)

    async def _store_batch(
        self, name: str, batch: list[BillRecord]
    ) -> list[BillRecord]:
        """Store a batch, or learn what stands under its name.

        The name is taken where somebody else has flushed for this incarnation,
        or where an earlier answer was lost.

        :returns: the records that stand there.
        """
        try:
            await self.platform.write(name, encode_records(batch), ABSENT)
        except PlatformConflictError:
            return await self._stored_batch(name)
        self.context.metrics.count("bills_stored", len(batch))
        return batch

    async def _stored_batch(self, name: str) -> list[BillRecord]:
        stored = await self.platform.read(name)
        return decode_records(stored.value) if stored.version else []

    # Keeping copies for others.

    def on_copy(self, envelope: Envelope) -> BillTaken:
        """Keep copies of a peer's records.

        :param envelope: the message that came.
        """
        assert isinstance(envelope.body, BillCopy)
        incarnation = Incarnation(envelope.body.incarnation)
        kept = self.kept.get(incarnation)
        if kept is None:
            kept = self.kept[incarnation] = BillLog(incarnation)
        self.vm_of[incarnation] = envelope.vm
        kept.skip_to(envelope.body.next_batch)
        for record in decode_records(envelope.body.records):
            kept.add(record)
        return BillTaken()

    def on_stored(self, envelope: Envelope) -> None:
        """Drop copies of what is stored.

        :param envelope: the message that came.
        """
        assert isinstance(envelope.body, BillStored)
        kept = self.kept.get(Incarnation(envelope.body.incarnation))
        if kept is not None:
            kept.skip_to(envelope.body.next_batch)

    def _is_dead(self, incarnation: Incarnation) -> bool:
        member = self.members.table.members.get(self.vm_of[incarnation])
        if member is None or member.news.incarnation > incarnation:
            return True
        now = monotonic()
        if self.members.table.state_of(member, now) is MemberState.ALIVE:
            return False
        return now - member.heard_at > DEAD_SECONDS

    async def flush_for_dead(self) -> None:
        """Store what is kept for VMs that are gone.

        A VM that only slept finds its batches' names taken when it wakes, and
        goes on behind them.
        """
        for incarnation, kept in list(self.kept.items()):
            if not self._is_dead(incarnation):
                continue
            await self._flush_log(kept)
            if not kept.records:
                del self.kept[incarnation]
                del self.vm_of[incarnation]
