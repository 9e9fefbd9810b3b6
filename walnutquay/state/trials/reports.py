# Licensed under the Apache License 2.0: see LICENSE for details.

"""What VMs tell each other of a version on trial."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from walnutquay.state.process.ids import RouteName, VersionName
from walnutquay.state.trials.baseline import BaselineTime
from walnutquay.state.trials.counts import Measure, Subject, TrialCounts, TrialTally


class Verdict(Enum):
    """What is thought of a version on trial."""

    UNSURE = "unsure"
    GOOD = "good"
    BAD = "bad"


# Stands for all routes, where counts are told of them together.
ALL_ROUTES = RouteName("")
# Answers of a version that some VMs have seen, as they stood at one moment.
AnswerCounts = tuple[tuple[Subject, TrialCounts], ...]


@dataclass(frozen=True, slots=True)
class TrialReport:
    """What one VM tells the others of a version on trial.

    :param order: the order's name.
    :param version: the new version.
    :param counts: what it has seen, by measure and route.
    :param kept: numbers of sessions that stay on the old version.
    :param verdict: good or bad where that is decided for good, else unsure.
    :param elapsed: seconds since a VM saw the order first; None where the sender has
        this from the time of day only, which may differ between VMs.
    :param opens_in: seconds until the sender gives the new version its first sessions
        at the earliest; 0 where it does already.
    :param usual: how long answers of the old version take, by what it has seen.
    :param old: what it has seen of the old version meanwhile, all routes together.
    :param seen: how many answers of the new version it knows of, of all VMs.
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

    def outcome_counts(self) -> TrialTally:
        """:returns: its counts of the new version."""
        return _tally(self.counts)

    def old_tally(self) -> TrialTally:
        """:returns: its counts of the old version."""
        return _tally(self.old)


def _tally(counts: AnswerCounts) -> TrialTally:
    found = TrialTally()
    found.by_subject.update(counts)
    return found


def summed(outcome_counts: TrialTally) -> AnswerCounts:
    """:param outcome_counts: counts of answers.

    :returns: those of all routes together, without the endpoints.
    """
    totals = ((measure, outcome_counts.total(measure)) for measure in Measure)
    return tuple(
        ((measure, ALL_ROUTES), TrialCounts(total.good, total.bad))
        for measure, total in totals
        if total.seen
    )
