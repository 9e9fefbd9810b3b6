# Licensed under the Apache License 2.0: see LICENSE for details.

"""How much more larger models think of their answers, and how far opinions scatter.

Both follow from pairs of opinions on the same request.  One VM sees few of them, so
VMs tell each other what they have seen.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from walnutquay.state.process.ids import ModelName, VmName
from walnutquay.state.routed.confidence import (
    GUESS_COUNT,
    INITIAL_SCATTER,
    MEMORY,
    inside,
)


@dataclass(frozen=True, slots=True)
class ModelPair:
    """Two models that have answered the same request, one after the other.

    :param smaller: the first.
    :param larger: the second.
    """

    smaller: ModelName
    larger: ModelName


@dataclass(frozen=True, slots=True)
class GainCounts:
    """Differences of pairs of opinions, second less first, faded.

    :param count: how many pairs they stand for.
    :param total: their sum; points.
    :param squares: the sum of their squares.
    """

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def with_pair(self, difference: float) -> GainCounts:
        """:param difference: of one more pair.

        :returns: the counts with it; older pairs fade.
        """
        left = min(1.0, (MEMORY - 1.0) / self.count) if self.count else 1.0
        return GainCounts(
            self.count * left + 1.0,
            self.total * left + difference,
            self.squares * left + difference * difference,
        )

    @property
    def deviations(self) -> float:
        """The sum of the squared distances from their mean."""
        if not self.count:
            return 0.0
        return max(0.0, self.squares - self.total * self.total / self.count)


# What is known of a pair that was never seen.
NOTHING = GainCounts()


@dataclass(frozen=True, slots=True)
class GainRow:
    """What one VM has seen of two models.

    :param pair: the models.
    :param counts: what it has seen.
    """

    pair: ModelPair
    counts: GainCounts


class Gains:
    """What is known from pairs of opinions, of this VM and of the others."""

    def __init__(self) -> None:
        self.own: dict[ModelPair, GainCounts] = {}
        # What each other VM has told last; it stands in place of what it told before.
        self.told: dict[ModelPair, dict[VmName, GainCounts]] = {}

    def add(self, pair: ModelPair, first: float, second: float) -> None:
        """Learn from two opinions; those at the ends of the scale are cut off there.

        :param pair: the models.
        :param first: the smaller one's opinion.
        :param second: the larger one's.
        """
        if inside(first) and inside(second):
            before = self.own.get(pair, GainCounts())
            self.own[pair] = before.with_pair(second - first)

    def hear(self, vm: VmName, rows: Iterable[GainRow]) -> None:
        """Take in what another VM has seen.

        :param vm: the VM.
        :param rows: all that it has seen.
        """
        for told in self.told.values():
            told.pop(vm, None)
        for row in rows:
            self.told.setdefault(row.pair, {})[vm] = row.counts

    def rows(self) -> tuple[GainRow, ...]:
        """:returns: what this VM has seen itself."""
        return tuple(GainRow(pair, counts) for pair, counts in self.own.items())

    def gain(self, pair: ModelPair, guess: float) -> float:
        """:param pair: two models.

        :param guess: what is expected without any pair; points.
        :returns: how many points more the larger one thinks of its answers.
        """
        counts = self._counts(pair)
        return (guess * GUESS_COUNT + counts.total) / (GUESS_COUNT + counts.count)

    def scatter(self) -> float:
        """:returns: how far an opinion scatters; points.

        The difference of two scatters with the root of two of that.
        """
        pairs = self.own.keys() | self.told.keys()
        counts = [self._counts(pair) for pair in pairs]
        seen = sum(item.count for item in counts)
        deviations = sum(item.deviations for item in counts) / 2.0
        first = INITIAL_SCATTER * INITIAL_SCATTER * GUESS_COUNT
        return math.sqrt((first + deviations) / (GUESS_COUNT + seen))

    def _counts(self, pair: ModelPair) -> GainCounts:
        """Put together what all VMs have seen of a pair."""
        # By plain numbers: each request asks several times, and 90 VMs tell.
        own = self.own.get(pair, NOTHING)
        count, total, squares = own.count, own.total, own.squares
        for counts in self.told.get(pair, {}).values():
            count += counts.count
            total += counts.total
            squares += counts.squares
        return GainCounts(count, total, squares)
