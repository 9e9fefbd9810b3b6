# Licensed under the Apache License 2.0: see LICENSE for details.

"""Bill records and the batches that they are kept in.

A record is named by the incarnation of the VM that made it and a number that
counts up.  Batches are objects ``bills/<incarnation>/<first number>``, made only
where none of that name exists, each beginning where the one before ends.  So
whoever writes for an incarnation, itself or a peer, once or twice, finds what
is there and goes on behind it: no record can be written twice.
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
    """What one request costs its organisation.

    :param number: its number within the incarnation, from 0.
    :param request: the request.
    :param organisation: who pays.
    :param at: seconds of Unix time.
    :param lines: one line a step that ran.
    """

    number: int
    request: RequestId
    organisation: OrganisationName
    at: float
    lines: tuple[CostLine, ...]

    def plain(self) -> list:
        """:returns: the record as lists, numbers and strings."""
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
        """:param plain: what :meth:`plain` made."""
        number, request, organisation, at, lines = plain
        return cls(
            number, request, organisation, at, tuple(CostLine(*line) for line in lines)
        )


def batch_name(incarnation: Incarnation, first: int) -> str:
    """:param incarnation: whose batch it is.

    :param first: the number of its first record.
    :returns: the object's name; names sort by number.
    """
    return f"{BILL_PREFIX}{incarnation}/{first:0{NUMBER_DIGITS}d}"


def encode_records(records: list[BillRecord]) -> bytes:
    """:param records: records in order.

    :returns: a batch or copy as bytes.
    """
    return orjson.dumps([record.plain() for record in records])


def decode_records(data: bytes) -> list[BillRecord]:
    """:param data: what :func:`encode_records` wrote."""
    return [BillRecord.from_plain(plain) for plain in orjson.loads(data)]


@dataclass(slots=True)
class BillLog:
    """The records of one incarnation that are not known to be stored.

    :param incarnation: whose they are.
    :param records: by number.
    :param next_batch: the number at which the next batch begins.
    :param end: the first number from ``next_batch`` on that has no record.
    """

    incarnation: Incarnation
    records: dict[int, BillRecord] = field(default_factory=dict)
    next_batch: int = 0
    end: int = 0

    def add(self, record: BillRecord) -> None:
        """:param record: a record; one that is stored already is left out."""
        if record.number >= self.next_batch:
            self.records[record.number] = record
            self._advance_end()

    def _advance_end(self) -> None:
        while self.end in self.records:
            self.end += 1

    def has_gap(self) -> bool:
        """:returns: whether a record before the last one is missing."""
        return self.end - self.next_batch < len(self.records)

    def records_from(self, number: int) -> list[BillRecord]:
        """:param number: a record's number.

        :returns: the unstored records from that number on, up to the first gap.
        """
        first = max(number, self.next_batch)
        return [self.records[n] for n in range(first, self.end)]

    def batch(self, limit: int) -> list[BillRecord]:
        """List what the next batch holds.

        :param limit: records at the most.
        :returns: records without a gap from ``next_batch`` on; empty if none.
        """
        end = min(self.end, self.next_batch + limit)
        return [self.records[n] for n in range(self.next_batch, end)]

    def mark_stored(self, records: list[BillRecord]) -> None:
        """Note a batch that stands in the platform, whoever wrote it.

        The log may have moved on while the batch was being written or read.

        :param records: its records.
        """
        self.mark_stored_below(records[-1].number + 1)

    def mark_stored_below(self, number: int) -> None:
        """Note that all records below a number are stored.

        :param number: where the next batch begins.
        """
        if number <= self.next_batch:
            return
        self.next_batch = number
        for stored in [n for n in self.records if n < number]:
            del self.records[stored]
        self.end = max(self.end, number)
        self._advance_end()
