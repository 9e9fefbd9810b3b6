# Licensed under the Apache License 2.0: see LICENSE for details.

"""Storing of bill records in the platform, in batches."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

import logbook

from walnutquay.coordination.own.platform import Platform
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.exceptions import PlatformConflictError, PlatformError
from walnutquay.platform.values import ABSENT
from walnutquay.state.own.bills import (
    BillLog,
    BillRecord,
    batch_name,
    decode_records,
    encode_records,
)
from walnutquay.state.process.revisions import Era
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# Maximum number of records in a batch or copy, which keeps it far below 1 MB.
BATCH_RECORDS = 2000
# A restored store may have lost the batches of this time; at most so many are kept.
BACKUP_SECONDS = 600.0
MAX_STORED = 1000
RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class StoredBatch:
    """A batch that this VM has stored.

    :param name: its name.
    :param data: its records, encoded.
    :param at: when it was stored; monotonic seconds.
    """

    name: str
    data: bytes
    at: float


class BillBatches:
    """Stores the records of bill logs in batches.

    :param context: the state shared by this process.
    :param platform: the client of the platform's value store.
    """

    def __init__(self, context: Context, platform: Platform) -> None:
        self.context = context
        self.platform = platform
        # The batches that were stored last, and when; monotonic seconds.
        self.stored: deque[StoredBatch] = deque(maxlen=MAX_STORED)
        self.tasks = Tasks()
        platform.eras.restore_listeners.append(self._on_restored)

    def stop(self) -> None:
        """Stop writing batches again."""
        self.tasks.stop()

    def _on_restored(self, era: Era) -> None:
        self.tasks.spawn(self.write_again())

    async def write_again(self) -> None:
        """Store the recent batches again that a restored store may have lost."""
        oldest = monotonic() - BACKUP_SECONDS
        for batch in [batch for batch in self.stored if batch.at >= oldest]:
            await self._write_again(batch)

    async def _write_again(self, batch: StoredBatch) -> None:
        while True:
            try:
                await self.platform.write(batch.name, batch.data, ABSENT)
            except PlatformConflictError:
                return
            except PlatformError as error:
                log.debug("a lost batch cannot be stored again yet: {}", error)
                await asyncio.sleep(RETRY_SECONDS)
            else:
                self.context.metrics.count("bill_batches_restored")
                return

    async def flush(self, bill_log: BillLog) -> bool:
        """Store all records of a log in batches, stopping at the first failure.

        :param bill_log: the log of one incarnation.
        :returns: False if a request to the platform failed; otherwise True, even if
            records after a gap are left.
        """
        while bill_log.records:
            batch = bill_log.batch(BATCH_RECORDS)
            name = batch_name(bill_log.incarnation, bill_log.next_batch)
            try:
                if batch:
                    batch = await self._store_batch(name, batch)
                else:
                    # The log starts with a gap: another VM has stored that batch.
                    batch = await self._stored_batch(name)
            except PlatformError as error:
                log.debug("bills cannot be stored now; will be retried: {}", error)
                return False
            if not batch:
                return True
            bill_log.mark_stored(batch)
        return True

    async def _store_batch(
        self, name: str, batch: list[BillRecord]
    ) -> list[BillRecord]:
        """Store a batch, or read the batch that already has its name.

        The name exists if another VM has flushed for this incarnation, or if the
        response to an earlier write was lost.

        :returns: the records stored under the name.
        """
        try:
            data = encode_records(batch)
            await self.platform.write(name, data, ABSENT)
            self.stored.append(StoredBatch(name, data, monotonic()))
        except PlatformConflictError:
            return await self._stored_batch(name)
        self.context.metrics.count("bills_stored", len(batch))
        return batch

    async def _stored_batch(self, name: str) -> list[BillRecord]:
        stored = await self.platform.read(name)
        return decode_records(stored.value) if stored.version else []
