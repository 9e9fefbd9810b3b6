# Licensed under the Apache License 2.0: see LICENSE for details.

"""Counts of good and bad outcomes, each VM's own, gathered over the fleet."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

# Rows that one message carries; it stays within one datagram.
ROWS_PER_MESSAGE = 16
# A row that changed is told of in so many rounds, since datagrams get lost.
TELLINGS = 3
# Rows that are kept; the ones that changed longest ago go first.
MAX_ROWS = 20_000


@dataclass(frozen=True, slots=True)
class OutcomeCount:
    """How one count of one VM stands.

    :param vm: the VM that counts.
    :param incarnation: which start of it; a new one counts from nothing.
    :param subject: what is counted.
    :param good: good outcomes so far.
    :param bad: bad outcomes so far.
    """

    vm: str
    incarnation: str
    subject: str
    good: int
    bad: int

    @property
    def key(self) -> RowKey:
        """What tells this count from all others."""
        return self.vm, self.incarnation, self.subject


RowKey = tuple[str, str, str]


class OutcomeCountTable:
    """The counts of one VM and what it has heard of those of others.

    Each count only ever grows and has one writer, so rows may be lost, come
    twice, or come in any order: the greater one is the newer.

    :param vm: this VM's name.
    :param incarnation: this start of it.
    :param rng: the source of chance.
    """

    def __init__(self, vm: str, incarnation: str, rng: random.Random) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.rng = rng
        self.rows: dict[RowKey, OutcomeCount] = {}
        # How often each row that has changed is still to be told.
        self.untold: dict[RowKey, int] = {}

    def add(self, subject: str, good: int, bad: int) -> None:
        """Count outcomes that this VM has seen.

        :param subject: what is counted.
        :param good: good ones.
        :param bad: bad ones.
        """
        key = (self.vm, self.incarnation, subject)
        row = self.rows.get(key)
        if row is None:
            row = OutcomeCount(*key, 0, 0)
        self._put(OutcomeCount(*key, row.good + good, row.bad + bad))

    def receive(self, row: OutcomeCount) -> tuple[int, int]:
        """Take in another VM's count.

        :param row: the count, from that VM or passed on.
        :returns: the good and the bad outcomes that are news.
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
        # Anew, so that the dictionary's order is that of the last change.
        self.rows.pop(row.key, None)
        self.rows[row.key] = row
        self.untold[row.key] = TELLINGS
        if len(self.rows) > MAX_ROWS:
            oldest = next(iter(self.rows))
            del self.rows[oldest]
            self.untold.pop(oldest, None)

    def rows_to_send(self) -> list[OutcomeCount]:
        """Choose what this round's message carries, own counts first.

        :returns: rows that have changed; none where all is told.
        """
        keys = list(self.untold)
        if len(keys) > ROWS_PER_MESSAGE:
            own = [key for key in keys if key[0] == self.vm]
            others = [key for key in keys if key[0] != self.vm]
            self.rng.shuffle(own)
            self.rng.shuffle(others)
            keys = (
                own[: ROWS_PER_MESSAGE // 2] + others + own[ROWS_PER_MESSAGE // 2 :]
            )[:ROWS_PER_MESSAGE]
        for key in keys:
            self.untold[key] -= 1
            if not self.untold[key]:
                del self.untold[key]
        return [self.rows[key] for key in keys]

    def forget(self, is_over: Callable[[str], bool]) -> None:
        """Forget counts that nobody asks for any more.

        :param is_over: tells it of a subject.
        """
        for key in [key for key in self.rows if is_over(key[2])]:
            del self.rows[key]
            self.untold.pop(key, None)

    def totals(self, subjects: Iterable[str]) -> dict[str, tuple[int, int]]:
        """Add the counts of all VMs up.

        :param subjects: what to add up.
        :returns: good and bad outcomes by subject.
        """
        found = dict.fromkeys(subjects, (0, 0))
        for row in self.rows.values():
            if row.subject in found:
                good, bad = found[row.subject]
                found[row.subject] = good + row.good, bad + row.bad
        return found
