# Licensed under the Apache License 2.0: see LICENSE for details.

"""A sequential test of a version's bad outcomes against another's.

It is Wald's sequential probability ratio test (A. Wald, "Sequential Tests of
Statistical Hypotheses", 1945), taken on as long as the version runs: its score
does not sink without end, so that a version which turns bad later is found as
well.  What it is compared with is not known beforehand but counted beside it, so a
version is called bad only if the two also differ by a likelihood ratio of their
counts: both may fail for a reason that lies elsewhere.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from walnutquay.state.process.counts import RecentCounts

# The baseline is taken for known so well before anything has been seen of it.
BASELINE_WEIGHT = 50.0
# Outcomes of the other version from which on the two are compared.
MIN_COMPARED = 10
# Before that, a version is called bad if at least this share of its outcomes is, or
# if there have been many of them, for then the other has had its chance to run.
CLEAR_SHARE = 0.8
MIN_ALONE = 30
# Outcomes that the two are compared by; the counts of older ones shrink.
MAX_RECENT = 100.0
# Twice the logarithm of the likelihood ratio at which two shares differ: a chance
# result goes beyond it once in about 10,000 looks (chi-squared, one sided).
DIFFERENCE = 14.0
# The score sinks to this many times the bound at which a version is taken for good.
FLOOR = 2.0
# Shares that the test reckons with are no nearer to 1 than this.
MAX_SHARE = 0.98


class Verdict(Enum):
    """What a sequential test says."""

    UNDECIDED = "undecided"
    GOOD = "good"
    BAD = "bad"


@dataclass(frozen=True, slots=True)
class ErrorRates:
    """How often a test may err.

    :param false_alarm: share of good versions that are called bad.
    :param miss: share of bad versions that are called good.
    """

    false_alarm: float = 0.001
    miss: float = 0.01


@dataclass(frozen=True, slots=True)
class Contrast:
    """Which versions are good and which are bad, by the share of bad outcomes.

    :param usual: the share that is expected before anything is known.
    :param excess: a version is bad whose share is greater by this much than that
        of the version it is compared with.
    """

    usual: float
    excess: float


class SequentialTest:
    """Tells a bad version from a good one with as few outcomes as need be.

    :param contrast: what good and bad mean.
    :param rates: how often it may err.
    """

    def __init__(self, contrast: Contrast, rates: ErrorRates) -> None:
        self.contrast = contrast
        self.upper = math.log((1 - rates.miss) / rates.false_alarm)
        self.lower = math.log(rates.miss / (1 - rates.false_alarm))
        # The logarithm of how much likelier all outcomes are of a bad version.
        self.score = 0.0
        self.verdict = Verdict.UNDECIDED
        # All outcomes of the tested version and of the other, to be shown.
        self.good = 0
        self.bad = 0
        self.other_good = 0
        self.other_bad = 0
        # Those that the two are compared by.
        self.tested = RecentCounts(MAX_RECENT)
        self.other = RecentCounts(MAX_RECENT)

    @property
    def seen(self) -> int:
        """How many outcomes of the tested version there were."""
        return self.good + self.bad

    def take_other(self, good: int, bad: int) -> None:
        """Take in outcomes of the version to compare with.

        :param good: good ones.
        :param bad: bad ones.
        """
        self.other_good += good
        self.other_bad += bad
        self.other.take(good, bad)

    def baseline(self) -> float:
        """:returns: the share of bad outcomes that a good version has."""
        expected = self.contrast.usual * BASELINE_WEIGHT
        return (self.other.bad + expected) / (self.other.seen + BASELINE_WEIGHT)

    def take(self, good: int, bad: int) -> Verdict:
        """Take in outcomes of the version that is tested.

        :param good: good ones.
        :param bad: bad ones.
        :returns: what is known now; ``BAD`` once said stays.
        """
        self.good += good
        self.bad += bad
        self.tested.take(good, bad)
        share = min(self.baseline(), MAX_SHARE - self.contrast.excess)
        worse = share + self.contrast.excess
        self.score += bad * math.log(worse / share)
        self.score += good * math.log((1 - worse) / (1 - share))
        self.score = max(self.score, FLOOR * self.lower)
        if self.score >= self.upper:
            self.score = self.upper
            if self._differs():
                self.verdict = Verdict.BAD
        elif self.score <= self.lower and self.verdict is Verdict.UNDECIDED:
            self.verdict = Verdict.GOOD
        return self.verdict

    def _differs(self) -> bool:
        """Tell whether the version does worse than the other, by their counts."""
        tested, other = self.tested, self.other
        if other.seen < MIN_COMPARED:
            clear = tested.bad >= CLEAR_SHARE * tested.seen
            return clear or tested.seen >= MIN_ALONE
        if tested.bad * other.seen <= other.bad * tested.seen:
            return False
        apart = _log_likelihood(tested.good, tested.bad)
        apart += _log_likelihood(other.good, other.bad)
        together = _log_likelihood(tested.good + other.good, tested.bad + other.bad)
        return 2 * (apart - together) >= DIFFERENCE


def _log_likelihood(good: float, bad: float) -> float:
    """Give the logarithm of the counts' likelihood at their own share."""
    seen = good + bad
    return sum(count * math.log(count / seen) for count in (good, bad) if count)
