# Licensed under the Apache License 2.0: see LICENSE for details.

"""What VMs tell each other of a version on trial."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from walnutquay.state.ids import VersionName
from walnutquay.state.trialcounts import Subject, TrialCounts, TrialTally


class Verdict(Enum):
    """What is thought of a version on trial."""

    UNSURE = "unsure"
    GOOD = "good"
    BAD = "bad"


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
    """

    order: str
    version: VersionName
    counts: AnswerCounts
    kept: tuple[int, ...] = ()
    verdict: Verdict = Verdict.UNSURE
    elapsed: float | None = None
    opens_in: float = 0.0

    def tally(self) -> TrialTally:
        """:returns: its counts."""
        found = TrialTally()
        found.by_subject.update(self.counts)
        return found
