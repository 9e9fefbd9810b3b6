# Licensed under the Apache License 2.0: see LICENSE for details.

"""The confidence gain of larger models, and the scatter of confidence.

Both are estimated from pairs of confidence values for the same request.  One VM alone
observes few of them, so VMs send their counts to each other.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from walnutquay.state.process.ids import ModelName, VmName
from walnutquay.state.routed.confidence import (
    GUESS_COUNT,
    INITIAL_SCATTER,
    MAX_COUNT,
    is_unclipped,
)


@dataclass(frozen=True, slots=True)
class ModelPair:
    """Two models that have answered the same request, one after the other.

    :param smaller: the model that answered first.
    :param larger: the model that answered second.
    """

    smaller: ModelName
    larger: ModelName


@dataclass(frozen=True, slots=True)
class GainCounts:
    """Faded sums over the differences in confidence, second minus first.

    :param count: the faded number of pairs.
    :param total: the sum of the differences; points.
    :param squares: the sum of the squared differences.
    """

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def with_pair(self, difference: float) -> GainCounts:
        """Return the counts with one more pair; older pairs fade.

        :param difference: the difference in confidence of the pair.
        """
        remaining = min(1.0, (MAX_COUNT - 1.0) / self.count) if self.count else 1.0
        return GainCounts(
            self.count * remaining + 1.0,
            self.total * remaining + difference,
            self.squares * remaining + difference * difference,
        )

    @property
    def deviations(self) -> float:
        """The sum of the squared deviations from the mean difference."""
        if not self.count:
            return 0.0
        return max(0.0, self.squares - self.total * self.total / self.count)


# The counts of two models for which no pair has been observed.
NO_PAIRS = GainCounts()


@dataclass(frozen=True, slots=True)
class GainRow:
    """The counts of one VM for two models.

    :param pair: the models.
    :param counts: the VM's counts for them.
    """

    pair: ModelPair
    counts: GainCounts


class Gains:
    """Estimates from the confidence pairs that this VM and its peers have observed."""

    def __init__(self) -> None:
        self.own: dict[ModelPair, GainCounts] = {}
        # The counts that each peer sent last; they replace its earlier ones.
        self.peer_counts: dict[ModelPair, dict[VmName, GainCounts]] = {}

    def add(self, pair: ModelPair, first: float, second: float) -> None:
        """Add a pair of confidence values; ignore it if either is clipped.

        Values at the ends of the scale are clipped there, so that their difference is
        not known.

        :param pair: the models.
        :param first: the smaller model's confidence.
        :param second: the larger model's confidence.
        """
        if is_unclipped(first) and is_unclipped(second):
            before = self.own.get(pair, GainCounts())
            self.own[pair] = before.with_pair(second - first)

    def apply_peer_rows(self, vm: VmName, rows: Iterable[GainRow]) -> None:
        """Replace the counts of a peer.

        :param vm: the peer.
        :param rows: all of its counts.
        """
        for counts_by_vm in self.peer_counts.values():
            counts_by_vm.pop(vm, None)
        for row in rows:
            self.peer_counts.setdefault(row.pair, {})[vm] = row.counts

    def rows(self) -> tuple[GainRow, ...]:
        """Return the counts that this VM has observed itself."""
        return tuple(GainRow(pair, counts) for pair, counts in self.own.items())

    def gain(self, pair: ModelPair, guess: float) -> float:
        """Return how much higher the larger model's confidence is; points.

        :param pair: two models.
        :param guess: the gain that is expected without observations; points.
        """
        counts = self._merged_counts(pair)
        return (guess * GUESS_COUNT + counts.total) / (GUESS_COUNT + counts.count)

    def scatter(self) -> float:
        """Return the standard deviation of a single confidence value; points.

        The difference of two values has the square root of two times that deviation.
        """
        pairs = self.own.keys() | self.peer_counts.keys()
        counts = [self._merged_counts(pair) for pair in pairs]
        seen = sum(item.count for item in counts)
        deviations = sum(item.deviations for item in counts) / 2.0
        initial = INITIAL_SCATTER * INITIAL_SCATTER * GUESS_COUNT
        return math.sqrt((initial + deviations) / (GUESS_COUNT + seen))

    def _merged_counts(self, pair: ModelPair) -> GainCounts:
        """Return the sum of the counts of all VMs for a pair of models."""
        # Adds plain numbers, because this is called several times for each request and
        # there are counts from 90 VMs.
        own = self.own.get(pair, NO_PAIRS)
        count, total, squares = own.count, own.total, own.squares
        for counts in self.peer_counts.get(pair, {}).values():
            count += counts.count
            total += counts.total
            squares += counts.squares
        return GainCounts(count, total, squares)
