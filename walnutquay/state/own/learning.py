# Licensed under the Apache License 2.0: see LICENSE for details.

"""What each version's answers are worth, learnt from ratings, by class of request.

With it a cascade begins at the step from which the quality that is asked for is
expected to cost the least.  The uncertainty of what has been learnt counts: the
chances are drawn from what the ratings leave open (W. R. Thompson, "On the
likelihood that one unknown probability exceeds another", 1933), so a step that
is hardly known is tried now and then, and one that is known to fail is not.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from walnutquay.state.process.counts import LruTable, RecentCounts
from walnutquay.state.store.parts import Version

# No step is left out before its version has been rated so often.
MIN_RATED = 20
# What was learnt counts as so many ratings at the most, so that news gets through.
MAX_WEIGHT = 400.0
# The weight of each new request in the mean size of its class.
TOKENS_WEIGHT = 0.05
# A chance is taken to be at least this, for costs are divided by it.
MIN_CHANCE = 0.01
# Classes are named by callers, so the number of what is learnt is bounded.
MAX_LEARNT = 5000
TOKENS_PER_PRICE = 1000


@dataclass(frozen=True, slots=True)
class WorthKey:
    """What a worth is learnt of.

    :param cascade: the cascade, for it says which quality is asked for.
    :param request_class: the caller's class of request.
    :param version: the version that answered.
    """

    cascade: str
    request_class: str
    version: str


@dataclass(slots=True)
class _Tokens:
    """The running means of a class's tokens."""

    input: float = 0.0
    output: float = 0.0
    seen: int = 0


class StepLearner:
    """Learns from ratings, and says where a cascade begins.

    :param rng: the source of chance.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        # How often each version's answers had the quality that was asked for.
        self.worths: LruTable[WorthKey, RecentCounts] = LruTable(
            MAX_LEARNT, lambda: RecentCounts(MAX_WEIGHT)
        )
        self.tokens: LruTable[str, _Tokens] = LruTable(MAX_LEARNT, _Tokens)

    def take(self, key: WorthKey, reached: int, missed: int) -> None:
        """Take in ratings, of this VM or of others.

        :param key: whose.
        :param reached: how many reached the quality that is asked for.
        :param missed: how many did not.
        """
        self.worths.touch(key).record(reached, missed)

    def take_tokens(self, request_class: str, inputs: int, outputs: int) -> None:
        """Take in how large a request of a class was.

        :param request_class: the class.
        :param inputs: its input tokens.
        :param outputs: its output tokens.
        """
        mean = self.tokens.touch(request_class)
        mean.seen += 1
        weight = max(TOKENS_WEIGHT, 1 / mean.seen)
        mean.input += weight * (inputs - mean.input)
        mean.output += weight * (outputs - mean.output)

    def cost(self, request_class: str, version: Version) -> float:
        """:param request_class: a class of request.

        :param version: a version.
        :returns: what an answer of it to such a request is expected to cost.
        """
        mean = self.tokens.get(request_class) or _Tokens(1.0, 1.0)
        price = mean.input * version.price_input + mean.output * version.price_output
        return price / TOKENS_PER_PRICE

    def first_step(
        self, cascade: str, request_class: str, steps: Sequence[Version]
    ) -> int:
        """Say where to begin, if answers below the quality go on to later steps.

        :param cascade: the cascade.
        :param request_class: the caller's class of request.
        :param steps: the versions to try, in order.
        :returns: the index of the step to begin with.
        """
        known = self._worths(cascade, request_class, steps)
        best = len(steps) - 1
        # The last step has no other behind it: what it misses costs another try.
        chance = max(MIN_CHANCE, self._draw(known[best]))
        least = self.cost(request_class, steps[best]) / chance
        for index in range(best - 1, -1, -1):
            cost = self.cost(request_class, steps[index])
            expected = cost + (1 - self._draw(known[index])) * least
            if expected <= least or self._hardly_known(known[index]):
                best, least = index, min(expected, least)
        return best

    def only_step(
        self, cascade: str, request_class: str, steps: Sequence[Version], reach: float
    ) -> int:
        """Choose a version whose answer cannot be taken back, as of a stream.

        :param cascade: the cascade.
        :param request_class: the caller's class of request.
        :param steps: the versions to choose from, in order.
        :param reach: the share of answers that is to have the quality.
        :returns: the index of the first that is good enough, or of the last.
        """
        known = self._worths(cascade, request_class, steps)
        for index, worth in enumerate(known[:-1]):
            if self._hardly_known(worth) or self._draw(worth) >= reach:
                return index
        return len(steps) - 1

    def _worths(
        self, cascade: str, request_class: str, steps: Sequence[Version]
    ) -> list[RecentCounts]:
        keys = [WorthKey(cascade, request_class, v.name) for v in steps]
        return [self.worths.get(key) or RecentCounts(MAX_WEIGHT) for key in keys]

    def _draw(self, worth: RecentCounts) -> float:
        """Draw a chance to reach the quality, as likely as the ratings make it."""
        return self.rng.betavariate(1 + worth.good, 1 + worth.bad)

    @staticmethod
    def _hardly_known(worth: RecentCounts) -> bool:
        return worth.seen < MIN_RATED
