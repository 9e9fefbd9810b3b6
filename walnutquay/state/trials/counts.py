# Licensed under the Apache License 2.0: see LICENSE for details.

"""Outcome counts of a version on trial, evaluated against the old version's."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from walnutquay.state.process.ids import EndpointName, RouteName

# Bad answers needed to reject a version if all come from one endpoint: the fault may
# be that endpoint's alone.
MIN_BAD_ONE_ENDPOINT = 8
# The new version is tolerated up to this multiple of the old version's bad share.
BASELINE_FACTOR = 2.0


class Measure(Enum):
    """A criterion by which answers are counted as good or bad."""

    FAILED = "failed"
    # Many times slower than the baseline.
    SLOW = "slow"
    # Somewhat slower than the baseline, as some answers of any version are.
    SLUGGISH = "sluggish"


# Bad answers that are enough to reject a version if they are a large share of all.
MIN_BAD = 3
# The share of sluggish answers that any version has.  Measured shares were 0.13 to
# 0.17; versions that are slow in part had 0.38 and 0.42.
BASELINE_SLUGGISH_SHARE = 0.15
# The number of answers from which the sluggish share is evaluated, the least share for
# which a version is rejected, and the number of standard deviations by which the share
# has to exceed the baseline.
MIN_SEEN = 12
MIN_SLUGGISH_SHARE = 0.3
SLUGGISH_DEVIATIONS = 2.5
# The same for the latest answers alone, as a version may be slow only under load.  The
# latest answers are at least this many and this share of all: answers delayed by a
# common cause come in bursts.
RECENT_SEEN = 20
RECENT_SHARE = 0.4
RECENT_DEVIATIONS = 4.0
# The share of bad answers for which a version is rejected.  It is higher for SLOW, as
# response times also vary without a fault.
BAD_SHARE = {Measure.FAILED: 0.15, Measure.SLOW: 0.25}

# With at least CLEAR_BAD failures, a version is rejected at a smaller share if that is
# CLEAR_FACTOR times the sum of the old version's share and CLEAR_SHARE, which is
# unlikely to happen by chance.
CLEAR_BAD = 6
CLEAR_FACTOR = 3.0
CLEAR_SHARE = 0.01

# The key of outcome counts.  It includes the route, as some versions fail on one only.
Subject = tuple[Measure, RouteName]


@dataclass(frozen=True, slots=True)
class TrialCounts:
    """The numbers of good and bad answers of a version, seen by one or more VMs.

    :param good: the number of good answers.
    :param bad: the number of bad answers by the measure that is counted.
    :param bad_endpoints: the endpoints that gave the bad answers.
    """

    good: int = 0
    bad: int = 0
    bad_endpoints: frozenset[EndpointName] = frozenset()

    def with_answer(self, bad: bool, endpoint: EndpointName) -> TrialCounts:
        """Add an answer.

        :param bad: whether the answer was bad.
        :param endpoint: the endpoint that gave it.
        :returns: the new counts.
        """
        if not bad:
            return TrialCounts(self.good + 1, self.bad, self.bad_endpoints)
        return TrialCounts(self.good, self.bad + 1, self.bad_endpoints | {endpoint})

    def __add__(self, other: TrialCounts) -> TrialCounts:
        return TrialCounts(
            self.good + other.good,
            self.bad + other.bad,
            self.bad_endpoints | other.bad_endpoints,
        )

    def since(self, earlier: TrialCounts) -> TrialCounts:
        """Subtract an earlier state of these counts.

        :param earlier: the earlier counts.
        :returns: the answers counted since then.
        """
        return TrialCounts(
            self.good - earlier.good, self.bad - earlier.bad, self.bad_endpoints
        )

    @property
    def seen(self) -> int:
        """The number of answers, good and bad."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """The share of bad answers; 0 if there are none."""
        return self.bad / (self.good + self.bad) if self.bad else 0.0


class TrialOutcomeCounts:
    """Outcome counts of a version by measure and route."""

    def __init__(self) -> None:
        self.by_subject: dict[Subject, TrialCounts] = {}

    def add(self, subject: Subject, bad: bool, endpoint: EndpointName) -> None:
        """Count an answer.

        :param subject: the measure and the answer's route.
        :param bad: whether the answer was bad by that measure.
        :param endpoint: the endpoint that gave it.
        """
        self.by_subject[subject] = self.counts_for(subject).with_answer(bad, endpoint)

    def counts_for(self, subject: Subject) -> TrialCounts:
        """Return the counts for one measure and route.

        :param subject: the measure and the route.
        :returns: the counts, which are zero if no answer was counted.
        """
        return self.by_subject.get(subject, TrialCounts())

    def total(self, measure: Measure) -> TrialCounts:
        """Sum the counts of all routes.

        :param measure: the measure to sum.
        :returns: the totals.
        """
        total = TrialCounts()
        for (counted_measure, _), counts in self.by_subject.items():
            if counted_measure is measure:
                total = total + counts
        return total

    @property
    def seen(self) -> int:
        """The number of answers, each counted once per measure."""
        return sum(counts.seen for counts in self.by_subject.values())

    def merged(self, others: Iterable[TrialOutcomeCounts]) -> TrialOutcomeCounts:
        """Combine these counts with others.

        :param others: the counts of other VMs.
        :returns: the sums.
        """
        found = TrialOutcomeCounts()
        for outcome_counts in (self, *others):
            for subject, counts in outcome_counts.by_subject.items():
                found.by_subject[subject] = found.counts_for(subject) + counts
        return found

    def frozen(self) -> tuple[tuple[Subject, TrialCounts], ...]:
        """Return an immutable copy of the current counts."""
        return tuple(self.by_subject.items())


def should_reject(measure: Measure, counts: TrialCounts, old: TrialCounts) -> bool:
    """Evaluate the answers of a new version against those of the old one.

    :param measure: the measure that was counted, FAILED or SLOW.
    :param counts: the new version's counts.
    :param old: the old version's counts.
    :returns: whether to reject the new version.
    """
    several = len(counts.bad_endpoints) > 1
    if measure is Measure.FAILED and several and counts.bad >= CLEAR_BAD:
        return counts.bad_share >= CLEAR_FACTOR * (old.bad_share + CLEAR_SHARE)
    limit = max(BAD_SHARE[measure], BASELINE_FACTOR * old.bad_share)
    needed = MIN_BAD if several else MIN_BAD_ONE_ENDPOINT
    return counts.bad >= needed and counts.bad_share >= limit


def is_sluggish(
    counts: TrialCounts, old: TrialCounts, deviations: float = SLUGGISH_DEVIATIONS
) -> bool:
    """Decide whether more answers are sluggish than chance explains.

    :param counts: the new version's counts.
    :param old: the old version's counts.
    :param deviations: the number of standard deviations by which the sluggish share has
        to exceed the baseline.
    :returns: whether it does.
    """
    baseline = max(BASELINE_SLUGGISH_SHARE, old.bad_share)
    if counts.seen < MIN_SEEN or counts.bad_share < MIN_SLUGGISH_SHARE:
        return False
    if len(counts.bad_endpoints) == 1 and counts.bad < MIN_BAD_ONE_ENDPOINT:
        return False
    deviation = math.sqrt(baseline * (1.0 - baseline) / counts.seen)
    return counts.bad_share - baseline >= deviations * deviation
