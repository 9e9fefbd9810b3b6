# Licensed under the Apache License 2.0: see LICENSE for details.

"""Answers of a version on trial: counted, and judged beside the old version's."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from walnutquay.state.process.ids import EndpointName, RouteName

# One endpoint may be ill by itself: so many are needed where only it fails.
MIN_BAD_OF_ONE = 8
# The old version's own bad answers, by which the new one's are excused.
BASE_FACTOR = 2.0


class Measure(Enum):
    """What answers are judged by."""

    FAILED = "failed"
    # Many times as long as usual.
    SLOW = "slow"
    # Somewhat longer than usual, as some answers of any version are.
    SLUGGISH = "sluggish"


# Bad answers that condemn a version, if they are a large share of all.
MIN_BAD = 3
# The share of sluggish answers that any version has: 0.13 to 0.17 were seen;
# versions that are slow in part had 0.38 and 0.42.
USUAL_SLUGGISH_SHARE = 0.15
# Answers from which on the share is judged, the least share that condemns, and by how
# many standard deviations it has to be above the usual one.
MIN_SEEN = 12
MIN_SLUGGISH_SHARE = 0.3
SLUGGISH_DEVIATIONS = 2.5
# The same for the latest answers alone: a version may be slow under load only.  They
# are so many, and this part of all: answers that are late by one cause come together.
RECENT_SEEN = 20
RECENT_SHARE = 0.4
RECENT_DEVIATIONS = 4.0
# The share of bad answers that condemns a version.  Times vary by themselves.
BAD_SHARE = {Measure.FAILED: 0.15, Measure.SLOW: 0.25}

# So many failures condemn a version at a smaller share already, if it is so many
# times that of the old version and a little more: chance does not do that.
CLEAR_BAD = 6
CLEAR_FACTOR = 3.0
CLEAR_SHARE = 0.01

# What counts are kept for: some versions fail on one route only.
Subject = tuple[Measure, RouteName]


@dataclass(frozen=True, slots=True)
class TrialCounts:
    """Answers of a version, as one VM or several have seen them.

    :param good: answers that were good.
    :param bad: answers that failed or were far too slow.
    :param bad_endpoints: endpoints that gave the bad ones.
    """

    good: int = 0
    bad: int = 0
    bad_endpoints: frozenset[EndpointName] = frozenset()

    def with_answer(self, bad: bool, endpoint: EndpointName) -> TrialCounts:
        """:param bad: whether an answer was bad.

        :param endpoint: who gave it.
        :returns: the counts with it.
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
        """:param earlier: the counts as they were.

        :returns: what has come since.
        """
        return TrialCounts(
            self.good - earlier.good, self.bad - earlier.bad, self.bad_endpoints
        )

    @property
    def seen(self) -> int:
        """All answers, good and bad."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """The share of bad answers; 0 where there are none at all."""
        return self.bad / (self.good + self.bad) if self.bad else 0.0


class TrialTally:
    """Answers of a version, by what they are judged by and by route."""

    def __init__(self) -> None:
        self.by_subject: dict[Subject, TrialCounts] = {}

    def add(self, subject: Subject, bad: bool, endpoint: EndpointName) -> None:
        """:param subject: what an answer is judged by, and its route.

        :param bad: whether it was bad by that.
        :param endpoint: who gave it.
        """
        self.by_subject[subject] = self.of(subject).with_answer(bad, endpoint)

    def of(self, subject: Subject) -> TrialCounts:
        """:param subject: a measure and a route.

        :returns: its counts.
        """
        return self.by_subject.get(subject, TrialCounts())

    def total(self, measure: Measure) -> TrialCounts:
        """:param measure: what answers are judged by.

        :returns: the counts of all routes together.
        """
        total = TrialCounts()
        for (judged_by, _), counts in self.by_subject.items():
            if judged_by is measure:
                total = total + counts
        return total

    @property
    def seen(self) -> int:
        """All answers, each as often as it was judged by something."""
        return sum(counts.seen for counts in self.by_subject.values())

    def merged(self, others: Iterable[TrialTally]) -> TrialTally:
        """:param others: what other VMs have seen.

        :returns: all together.
        """
        found = TrialTally()
        for outcome_counts in (self, *others):
            for subject, counts in outcome_counts.by_subject.items():
                found.by_subject[subject] = found.of(subject) + counts
        return found

    def frozen(self) -> tuple[tuple[Subject, TrialCounts], ...]:
        """:returns: the counts as they are now."""
        return tuple(self.by_subject.items())


def condemned(measure: Measure, counts: TrialCounts, old: TrialCounts) -> bool:
    """Judge the answers of a new version beside those of the old one.

    :param measure: what they are judged by.
    :param counts: the new version's.
    :param old: the old version's.
    """
    several = len(counts.bad_endpoints) > 1
    if measure is Measure.FAILED and several and counts.bad >= CLEAR_BAD:
        return counts.bad_share >= CLEAR_FACTOR * (old.bad_share + CLEAR_SHARE)
    limit = max(BAD_SHARE[measure], BASE_FACTOR * old.bad_share)
    needed = MIN_BAD if several else MIN_BAD_OF_ONE
    return counts.bad >= needed and counts.bad_share >= limit


def is_sluggish(
    counts: TrialCounts, old: TrialCounts, deviations: float = SLUGGISH_DEVIATIONS
) -> bool:
    """Judge whether more answers are sluggish than chance makes.

    :param counts: the new version's.
    :param old: the old version's, as this VM has seen them.
    :param deviations: by how many standard deviations.
    """
    usual = max(USUAL_SLUGGISH_SHARE, old.bad_share)
    if counts.seen < MIN_SEEN or counts.bad_share < MIN_SLUGGISH_SHARE:
        return False
    if len(counts.bad_endpoints) == 1 and counts.bad < MIN_BAD_OF_ONE:
        return False
    deviation = math.sqrt(usual * (1.0 - usual) / counts.seen)
    return counts.bad_share - usual >= deviations * deviation
