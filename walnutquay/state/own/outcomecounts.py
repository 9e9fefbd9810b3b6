# Licensed under the Apache License 2.0: see LICENSE for details.

"""Counts of good and bad outcomes, made by each VM and collected across the fleet."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

# The maximum number of rows in a message, so that it fits in one datagram.
ROWS_PER_MESSAGE = 16
# The number of rounds in which a changed row is sent, as datagrams may be lost.
SENDS_PER_CHANGE = 3
# The maximum number of rows; the ones that changed least recently are evicted first.
MAX_ROWS = 20_000


@dataclass(frozen=True, slots=True)
class OutcomeCount:
    """The outcomes that one VM has counted of one subject.

    :param vm: the VM that counts.
    :param incarnation: the VM's incarnation; each one counts from zero.
    :param subject: what is counted.
    :param good: the number of good outcomes so far.
    :param bad: the number of bad outcomes so far.
    """

    vm: str
    incarnation: str
    subject: str
    good: int
    bad: int

    @property
    def key(self) -> RowKey:
        """The key of this count."""
        return self.vm, self.incarnation, self.subject


RowKey = tuple[str, str, str]


class OutcomeCountTable:
    """The counts of this VM and those that it has received of other VMs.

    Each count has a single writer and never decreases, so rows may be lost, duplicated
    or reordered: the greater one is the newer one.

    :param vm: this VM's name.
    :param incarnation: this VM's incarnation.
    :param rng: the random number generator.
    """

    def __init__(self, vm: str, incarnation: str, rng: random.Random) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.rng = rng
        self.rows: dict[RowKey, OutcomeCount] = {}
        # The number of rounds in which each changed row is still to be sent.
        self.pending_sends: dict[RowKey, int] = {}

    def add(self, subject: str, good: int, bad: int) -> None:
        """Count outcomes that this VM has observed.

        :param subject: what is counted.
        :param good: the number of good outcomes.
        :param bad: the number of bad outcomes.
        """
        key = (self.vm, self.incarnation, subject)
        row = self.rows.get(key)
        if row is None:
            row = OutcomeCount(*key, 0, 0)
        self._put(OutcomeCount(*key, row.good + good, row.bad + bad))

    def receive(self, row: OutcomeCount) -> tuple[int, int]:
        """Apply another VM's count.

        :param row: the count, received from that VM or relayed by another one.
        :returns: the numbers of good and bad outcomes that were not known here yet.
        """
        if (row.vm, row.incarnation) == (self.vm, self.incarnation):
            return 0, 0
        known = self.rows.get(row.key)
        good = row.good - (known.good if known else 0)
        bad = row.bad - (known.bad if known else 0)
        if good < 0 or bad < 0 or not good + bad:
            return 0, 0
        self._put(row)
        return good, bad

    def _put(self, row: OutcomeCount) -> None:
        # Reinsert the row, as the dictionary is kept in the order of the last change.
        self.rows.pop(row.key, None)
        self.rows[row.key] = row
        self.pending_sends[row.key] = SENDS_PER_CHANGE
        if len(self.rows) > MAX_ROWS:
            oldest = next(iter(self.rows))
            del self.rows[oldest]
            self.pending_sends.pop(oldest, None)

    def rows_to_send(self) -> list[OutcomeCount]:
        """Choose the rows for the next message, this VM's own ones first.

        :returns: changed rows; none if all changes have been sent.
        """
        keys = list(self.pending_sends)
        if len(keys) > ROWS_PER_MESSAGE:
            own = [key for key in keys if key[0] == self.vm]
            others = [key for key in keys if key[0] != self.vm]
            self.rng.shuffle(own)
            self.rng.shuffle(others)
            keys = (
                own[: ROWS_PER_MESSAGE // 2] + others + own[ROWS_PER_MESSAGE // 2 :]
            )[:ROWS_PER_MESSAGE]
        for key in keys:
            self.pending_sends[key] -= 1
            if not self.pending_sends[key]:
                del self.pending_sends[key]
        return [self.rows[key] for key in keys]

    def forget(self, is_over: Callable[[str], bool]) -> None:
        """Drop counts that are no longer needed.

        :param is_over: returns whether the counts of a subject are no longer needed.
        """
        for key in [key for key in self.rows if is_over(key[2])]:
            del self.rows[key]
            self.pending_sends.pop(key, None)

    def totals(self, subjects: Iterable[str]) -> dict[str, tuple[int, int]]:
        """Sum the counts over all VMs.

        :param subjects: the subjects to sum.
        :returns: the numbers of good and bad outcomes by subject.
        """
        found = dict.fromkeys(subjects, (0, 0))
        for row in self.rows.values():
            if row.subject in found:
                good, bad = found[row.subject]
                found[row.subject] = good + row.good, bad + row.bad
        return found
