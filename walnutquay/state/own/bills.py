# Licensed under the Apache License 2.0: see LICENSE for details.

"""Bill records and the batches in which they are stored.

A record is identified by the incarnation of the VM that made it and a consecutive
number.  Batches are objects named ``bills/<incarnation>/<first number>``.  A batch is
created only if no object has its name, and starts where the previous batch ends.  So a
VM that writes batches for an incarnation, its own or a peer's, finds the existing ones
and continues after them, even if it writes twice: no record is stored twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import orjson

from walnutquay.state.process.ids import Incarnation, OrganisationName, RequestId
from walnutquay.state.requests.stages import CostLine

BILL_PREFIX = "bills/"
NUMBER_DIGITS = 12


@dataclass(frozen=True, slots=True)
class BillRecord:
    """The cost of one request to its organisation.

    :param number: the record's number within the incarnation, from 0.
    :param request: the request's id.
    :param organisation: the organisation that is billed.
    :param at: Unix time of the record in seconds.
    :param lines: one line for each step that ran.
    """

    number: int
    request: RequestId
    organisation: OrganisationName
    at: float
    lines: tuple[CostLine, ...]

    def plain(self) -> list:
        """Convert the record to lists, numbers and strings, as it is encoded."""
        lines = [
            [
                line.version,
                line.endpoint,
                line.input_tokens,
                line.output_tokens,
                line.cost,
            ]
            for line in self.lines
        ]
        return [self.number, self.request, self.organisation, self.at, lines]

    @classmethod
    def from_plain(cls, plain: list) -> BillRecord:
        """Create a record from the result of :meth:`plain`."""
        number, request, organisation, at, lines = plain
        return cls(
            number, request, organisation, at, tuple(CostLine(*line) for line in lines)
        )


def batch_name(incarnation: Incarnation, first: int) -> str:
    """Return the name of a batch's object; names sort by number.

    :param incarnation: the incarnation whose records the batch contains.
    :param first: the number of its first record.
    """
    return f"{BILL_PREFIX}{incarnation}/{first:0{NUMBER_DIGITS}d}"


def encode_records(records: list[BillRecord]) -> bytes:
    """Encode records for a batch or for a copy at a peer.

    :param records: records in ascending order.
    """
    return orjson.dumps([record.plain() for record in records])


def decode_records(data: bytes) -> list[BillRecord]:
    """Decode the result of :func:`encode_records`."""
    return [BillRecord.from_plain(plain) for plain in orjson.loads(data)]


@dataclass(slots=True)
class BillLog:
    """The records of one incarnation that are not known to be stored.

    :param incarnation: the incarnation that made the records.
    :param records: the records by number.
    :param next_batch: the number of the first record of the next batch.
    :param end: the first number from ``next_batch`` on that has no record.
    """

    incarnation: Incarnation
    records: dict[int, BillRecord] = field(default_factory=dict)
    next_batch: int = 0
    end: int = 0

    def add(self, record: BillRecord) -> None:
        """Add a record, unless it is already stored."""
        if record.number >= self.next_batch:
            self.records[record.number] = record
            self._advance_end()

    def _advance_end(self) -> None:
        while self.end in self.records:
            self.end += 1

    def has_gap(self) -> bool:
        """Return whether a record before the last one is missing."""
        return self.end - self.next_batch < len(self.records)

    def records_from(self, number: int) -> list[BillRecord]:
        """Return the unstored records from a number on, up to the first gap.

        :param number: the number of the first record to return.
        """
        first = max(number, self.next_batch)
        return [self.records[n] for n in range(first, self.end)]

    def batch(self, limit: int) -> list[BillRecord]:
        """Return the records of the next batch.

        :param limit: maximum number of records.
        :returns: records from ``next_batch`` on, up to the first gap; may be empty.
        """
        end = min(self.end, self.next_batch + limit)
        return [self.records[n] for n in range(self.next_batch, end)]

    def mark_stored(self, records: list[BillRecord]) -> None:
        """Record that a batch is stored in the platform, by this VM or another.

        The log may have advanced while the batch was being written or read.

        :param records: the batch's records.
        """
        self.mark_stored_below(records[-1].number + 1)

    def mark_stored_below(self, number: int) -> None:
        """Record that all records below a number are stored.

        :param number: the number of the first record of the next batch.
        """
        if number <= self.next_batch:
            return
        self.next_batch = number
        for stored in [n for n in self.records if n < number]:
            del self.records[stored]
        self.end = max(self.end, number)
        self._advance_end()
