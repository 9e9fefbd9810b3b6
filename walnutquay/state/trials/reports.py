# Licensed under the Apache License 2.0: see LICENSE for details.

"""Reports about a version on trial, as exchanged between VMs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from walnutquay.state.process.ids import RouteName, VersionName
from walnutquay.state.trials.baseline import BaselineTime
from walnutquay.state.trials.counts import (
    Measure,
    Subject,
    TrialCounts,
    TrialOutcomeCounts,
)


class Verdict(Enum):
    """The result of evaluating a version on trial."""

    UNSURE = "unsure"
    GOOD = "good"
    BAD = "bad"


# The route name of counts that are summed over all routes.
ALL_ROUTES = RouteName("")
# An immutable copy of the outcome counts of a version.
AnswerCounts = tuple[tuple[Subject, TrialCounts], ...]


@dataclass(frozen=True, slots=True)
class TrialReport:
    """The state of a trial that one VM sends to the others.

    :param order: the name of the roll-out order.
    :param version: the new version.
    :param counts: the sender's outcome counts of the new version by measure and route.
    :param kept: the hashes of sessions that stay on the old version.
    :param verdict: GOOD or BAD if the sender has acted on that verdict, else UNSURE.
    :param elapsed: the seconds since the first VM received the order; None if the
        sender derived this from the time of day, which may differ between VMs.
    :param opens_in: the least number of seconds until the sender assigns the first
        sessions to the new version; 0 if it does so already.
    :param usual: the sender's measured answer times of the old version.
    :param old: the sender's outcome counts of the old version during the trial, summed
        over routes.
    :param seen: the number of answers of the new version that the sender knows of,
        from all VMs.
    """

    order: str
    version: VersionName
    counts: AnswerCounts
    kept: tuple[int, ...] = ()
    verdict: Verdict = Verdict.UNSURE
    elapsed: float | None = None
    opens_in: float = 0.0
    usual: tuple[BaselineTime, ...] = ()
    seen: int = 0
    old: AnswerCounts = ()

    def outcome_counts(self) -> TrialOutcomeCounts:
        """Return the report's counts of the new version."""
        return _to_outcome_counts(self.counts)

    def old_outcome_counts(self) -> TrialOutcomeCounts:
        """Return the report's counts of the old version."""
        return _to_outcome_counts(self.old)


def _to_outcome_counts(counts: AnswerCounts) -> TrialOutcomeCounts:
    found = TrialOutcomeCounts()
    found.by_subject.update(counts)
    return found


def sum_routes(outcome_counts: TrialOutcomeCounts) -> AnswerCounts:
    """Sum outcome counts over all routes, and leave out the endpoints.

    :param outcome_counts: the counts by measure and route.
    :returns: the sums by measure.
    """
    totals = ((measure, outcome_counts.total(measure)) for measure in Measure)
    return tuple(
        ((measure, ALL_ROUTES), TrialCounts(total.good, total.bad))
        for measure, total in totals
        if total.seen
    )
