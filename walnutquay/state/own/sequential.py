# Licensed under the Apache License 2.0: see LICENSE for details.

"""A sequential test of the share of a version's bad outcomes against a baseline.

The test is Wald's sequential probability ratio test (A. Wald, "Sequential Tests of
Statistical Hypotheses", 1945), continued for as long as the version runs.  Its score
has a lower limit, so that a version that turns bad later is detected as well.

The baseline share is not known in advance but estimated from the outcomes of another
version that runs at the same time.  A version is therefore called bad only if a
likelihood-ratio test (G-test) of the two versions' counts also finds it worse: both
versions may fail for a common cause.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from walnutquay.state.process.counts import RecentCounts

# The number of outcomes of the baseline version that the prior share counts as.
PRIOR_WEIGHT = 50.0
# The number of outcomes of the baseline version from which the two are compared.
MIN_BASELINE_SEEN = 10
# With fewer, a version is called bad if at least CLEAR_SHARE of its outcomes are bad or
# if it has MIN_SEEN_WITHOUT_BASELINE outcomes, as the baseline version has then had
# the chance to run too.
CLEAR_SHARE = 0.8
MIN_SEEN_WITHOUT_BASELINE = 30
# The maximum total of the counts that are compared; older outcomes are scaled down.
MAX_RECENT = 100.0
# Twice the logarithm of the likelihood ratio from which two shares are taken to differ.
# By chance it is exceeded in about one of 10,000 evaluations (chi-squared, one-sided).
MIN_G_STATISTIC = 14.0
# The lower limit of the score, as a multiple of the bound at which a version is called
# good.
MIN_SCORE_FACTOR = 2.0
# The upper limit of the shares that the test uses, as it needs the logarithm of one
# minus the share.
MAX_SHARE = 0.98


class Verdict(Enum):
    """The result of a sequential test."""

    UNDECIDED = "undecided"
    GOOD = "good"
    BAD = "bad"


@dataclass(frozen=True, slots=True)
class ErrorRates:
    """The accepted error rates of a test.

    :param false_alarm: the share of good versions that are called bad.
    :param miss: the share of bad versions that are called good.
    """

    false_alarm: float = 0.001
    miss: float = 0.01


@dataclass(frozen=True, slots=True)
class Hypotheses:
    """The shares of bad outcomes by which a version is good or bad.

    :param prior_share: the baseline share that is assumed before any outcomes.
    :param excess: the difference from the baseline share at which a version is bad.
    """

    prior_share: float
    excess: float


class SequentialTest:
    """Distinguishes a bad version from a good one with as few outcomes as possible.

    :param hypotheses: the shares by which a version is good or bad.
    :param rates: the accepted error rates.
    """

    def __init__(self, hypotheses: Hypotheses, rates: ErrorRates) -> None:
        self.hypotheses = hypotheses
        self.reject_bound = math.log((1 - rates.miss) / rates.false_alarm)
        self.accept_bound = math.log(rates.miss / (1 - rates.false_alarm))
        # The log-likelihood ratio of the outcomes: bad version against good version.
        self.score = 0.0
        self.verdict = Verdict.UNDECIDED
        # The outcomes of the tested version and of the baseline, for display only.
        self.good = 0
        self.bad = 0
        self.baseline_good = 0
        self.baseline_bad = 0
        # The recent outcomes, by which the two versions are compared.
        self.tested = RecentCounts(MAX_RECENT)
        self.baseline = RecentCounts(MAX_RECENT)

    @property
    def seen(self) -> int:
        """The number of outcomes of the tested version."""
        return self.good + self.bad

    def record_baseline(self, good: int, bad: int) -> None:
        """Add outcomes of the baseline version.

        :param good: the number of good outcomes.
        :param bad: the number of bad outcomes.
        """
        self.baseline_good += good
        self.baseline_bad += bad
        self.baseline.take(good, bad)

    def baseline_share(self) -> float:
        """Return the share of bad outcomes that is expected of a good version."""
        expected = self.hypotheses.prior_share * PRIOR_WEIGHT
        return (self.baseline.bad + expected) / (self.baseline.seen + PRIOR_WEIGHT)

    def record(self, good: int, bad: int) -> Verdict:
        """Add outcomes of the tested version.

        :param good: the number of good outcomes.
        :param bad: the number of bad outcomes.
        :returns: the verdict, which stays ``BAD`` once it is.
        """
        self.good += good
        self.bad += bad
        self.tested.take(good, bad)
        good_share = min(self.baseline_share(), MAX_SHARE - self.hypotheses.excess)
        bad_share = good_share + self.hypotheses.excess
        self.score += bad * math.log(bad_share / good_share)
        self.score += good * math.log((1 - bad_share) / (1 - good_share))
        self.score = max(self.score, MIN_SCORE_FACTOR * self.accept_bound)
        if self.score >= self.reject_bound:
            self.score = self.reject_bound
            if self._is_worse():
                self.verdict = Verdict.BAD
        elif self.score <= self.accept_bound and self.verdict is Verdict.UNDECIDED:
            self.verdict = Verdict.GOOD
        return self.verdict

    def _is_worse(self) -> bool:
        """Return whether the counts show the tested version to be worse."""
        tested, baseline = self.tested, self.baseline
        if baseline.seen < MIN_BASELINE_SEEN:
            is_clear = tested.bad >= CLEAR_SHARE * tested.seen
            return is_clear or tested.seen >= MIN_SEEN_WITHOUT_BASELINE
        if tested.bad * baseline.seen <= baseline.bad * tested.seen:
            return False
        separate = _log_likelihood(tested.good, tested.bad)
        separate += _log_likelihood(baseline.good, baseline.bad)
        pooled = _log_likelihood(tested.good + baseline.good, tested.bad + baseline.bad)
        return 2 * (separate - pooled) >= MIN_G_STATISTIC


def _log_likelihood(good: float, bad: float) -> float:
    """Return the maximum log-likelihood of the counts."""
    seen = good + bad
    return sum(count * math.log(count / seen) for count in (good, bad) if count)
