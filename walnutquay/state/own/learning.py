# Licensed under the Apache License 2.0: see LICENSE for details.

"""Learning which step of a cascade to start at, by class of request.

Ratings show how often each version's answers reach the required quality.  A cascade
starts at the step from which reaching that quality has the lowest expected cost.  The
choice accounts for uncertainty by Thompson sampling: each success probability is drawn
from its posterior distribution given the ratings (W. R. Thompson, "On the likelihood
that one unknown probability exceeds another", 1933).  So a step with few ratings is
still tried occasionally, and one that is known to fail is not.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from walnutquay.state.process.counts import LatestTable, RecentCounts
from walnutquay.state.store.parts import Version

# A step is not skipped until its version has at least this many ratings.
MIN_RATINGS = 20
# Earlier ratings count as at most this many, so that new ones still have an effect.
MAX_COUNTED_RATINGS = 400.0
# The minimum weight of a new request in the running mean of its class's tokens.
TOKENS_WEIGHT = 0.05
# The lower bound of a success probability, because costs are divided by it.
MIN_PROBABILITY = 0.01
# The maximum number of entries of each table, because callers choose the class names.
MAX_ENTRIES = 5000
TOKENS_PER_PRICE = 1000


@dataclass(frozen=True, slots=True)
class QualityKey:
    """The key under which ratings are counted.

    :param cascade: the cascade, because it determines the required quality.
    :param request_class: the caller's class of request.
    :param version: the version that answered.
    """

    cascade: str
    request_class: str
    version: str


@dataclass(slots=True)
class _Tokens:
    """The running means of the tokens of a class's requests."""

    input: float = 0.0
    output: float = 0.0
    seen: int = 0


class StepLearner:
    """Learns from ratings at which step a cascade should start.

    :param rng: the random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        # How many answers of each version reached and missed the required quality.
        self.quality_counts: LatestTable[QualityKey, RecentCounts] = LatestTable(
            MAX_ENTRIES, lambda: RecentCounts(MAX_COUNTED_RATINGS)
        )
        self.tokens: LatestTable[str, _Tokens] = LatestTable(MAX_ENTRIES, _Tokens)

    def record_ratings(self, key: QualityKey, reached: int, missed: int) -> None:
        """Record ratings made by this VM or another.

        :param key: the key under which the ratings are counted.
        :param reached: number of answers that reached the required quality.
        :param missed: number of answers that did not.
        """
        self.quality_counts.touch(key).take(reached, missed)

    def record_tokens(self, request_class: str, inputs: int, outputs: int) -> None:
        """Record the size of a request.

        :param request_class: the request's class.
        :param inputs: its number of input tokens.
        :param outputs: its number of output tokens.
        """
        mean = self.tokens.touch(request_class)
        mean.seen += 1
        weight = max(TOKENS_WEIGHT, 1 / mean.seen)
        mean.input += weight * (inputs - mean.input)
        mean.output += weight * (outputs - mean.output)

    def cost(self, request_class: str, version: Version) -> float:
        """Return the expected cost of a version's answer to a request of a class.

        :param request_class: the class of request.
        :param version: the version.
        """
        mean = self.tokens.get(request_class) or _Tokens(1.0, 1.0)
        price = mean.input * version.price_input + mean.output * version.price_output
        return price / TOKENS_PER_PRICE

    def first_step(
        self, cascade: str, request_class: str, steps: Sequence[Version]
    ) -> int:
        """Choose the step to start at if later steps follow an insufficient answer.

        :param cascade: the cascade's name.
        :param request_class: the caller's class of request.
        :param steps: the versions to try, in order.
        :returns: the index of the step to start at.
        """
        counts_by_step = self._quality_counts(cascade, request_class, steps)
        chosen = len(steps) - 1
        # No step follows the last one: an answer that misses costs another attempt.
        probability = max(MIN_PROBABILITY, self._draw(counts_by_step[chosen]))
        lowest_cost = self.cost(request_class, steps[chosen]) / probability
        for index in range(chosen - 1, -1, -1):
            cost = self.cost(request_class, steps[index])
            expected = cost + (1 - self._draw(counts_by_step[index])) * lowest_cost
            if expected <= lowest_cost or self._has_few_ratings(counts_by_step[index]):
                chosen, lowest_cost = index, min(expected, lowest_cost)
        return chosen

    def only_step(
        self, cascade: str, request_class: str, steps: Sequence[Version], reach: float
    ) -> int:
        """Choose the only step for an answer that cannot be replaced, as a stream's.

        :param cascade: the cascade's name.
        :param request_class: the caller's class of request.
        :param steps: the versions to choose from, in order.
        :param reach: the share of answers that should reach the required quality.
        :returns: the index of the first version that is good enough, or of the last.
        """
        counts_by_step = self._quality_counts(cascade, request_class, steps)
        for index, step_counts in enumerate(counts_by_step[:-1]):
            if self._has_few_ratings(step_counts) or self._draw(step_counts) >= reach:
                return index
        return len(steps) - 1

    def _quality_counts(
        self, cascade: str, request_class: str, steps: Sequence[Version]
    ) -> list[RecentCounts]:
        keys = [QualityKey(cascade, request_class, v.name) for v in steps]
        return [
            self.quality_counts.get(key) or RecentCounts(MAX_COUNTED_RATINGS)
            for key in keys
        ]

    def _draw(self, step_counts: RecentCounts) -> float:
        """Draw a success probability from its posterior distribution."""
        return self.rng.betavariate(1 + step_counts.good, 1 + step_counts.bad)

    @staticmethod
    def _has_few_ratings(step_counts: RecentCounts) -> bool:
        return step_counts.seen < MIN_RATINGS
