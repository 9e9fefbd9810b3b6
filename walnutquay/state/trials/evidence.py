# Licensed under the Apache License 2.0: see LICENSE for details.

"""What VMs have seen of a version on trial, and what it tells against the version."""

from __future__ import annotations

from collections import deque
from enum import Enum

from walnutquay.state.process.ids import HallName, VmProcess
from walnutquay.state.trials.counts import (
    BASE_FACTOR,
    RECENT_DEVIATIONS,
    RECENT_SEEN,
    RECENT_SHARE,
    Measure,
    TrialCounts,
    TrialTally,
    condemned,
    is_sluggish,
)
from walnutquay.state.trials.reports import AnswerCounts, TrialReport, summed

# Stands for all VMs that were lost together.
LOST = VmProcess("")
# The share that a version which is trusted may have beyond the old one's.
TRUSTED_BAD_SHARE = {Measure.FAILED: 0.04, Measure.SLOW: 0.1}


class Fault(Enum):
    """What tells against a version."""

    FAILS = "too many answers fail"
    SLOW = "too many answers are slow"
    SLUGGISH = "more answers are sluggish than usual"
    TURNS_SLOW = "of the latest answers more are sluggish than usual"


class TrialEvidence:
    """The answers of a new version, as this VM and others have seen them."""

    def __init__(self) -> None:
        # What this VM has seen of the new version, and of the old at that time.
        self.own = TrialTally()
        self.old = TrialTally()
        # What other VMs have told of the new version; in large fleets those of this
        # data hall, and of the other halls what all their VMs have seen together.
        self.received: dict[VmProcess, TrialTally] = {}
        self.received_by_hall: dict[HallName, TrialTally] = {}
        # The same of the old version meanwhile, all routes together, and its sum.
        self.old_told: dict[VmProcess, TrialTally] = {}
        self.old_told_by_hall: dict[HallName, TrialTally] = {}
        self.old_seen: TrialTally | None = None
        # All of it together, with what it was made of; see :meth:`outcome_counts`.
        self.all_seen: tuple[AnswerCounts, TrialTally] | None = None
        # How many answers of the new version were sluggish as it was looked at: the
        # first of these tells how many were before the latest ones.
        self.sluggish: deque[TrialCounts] = deque()

    def outcome_counts(self) -> TrialTally:
        """Give what all VMs together have seen of the new version.

        Each request asks for it, so it is put together only where something has come:
        of 194 other VMs that took 3.5 ms each time.
        """
        own = self.own.frozen()
        if self.all_seen is not None and self.all_seen[0] == own:
            return self.all_seen[1]
        told = [*self.received.values(), *self.received_by_hall.values()]
        seen = self.own.merged(told)
        self.all_seen = (own, seen)
        return seen

    def old_total(self, measure: Measure) -> TrialCounts:
        """Give what all VMs have seen of the old version since the trial began.

        One VM alone has seen few of its answers: of 20, with one in five sluggish, a
        tenth of VMs sees one or none, and takes what is usual for a slow version.

        :param measure: what answers are judged by.
        """
        if self.old_seen is None:
            told = [*self.old_told.values(), *self.old_told_by_hall.values()]
            self.old_seen = TrialTally().merged(told)
        return self.old.total(measure) + self.old_seen.total(measure)

    def hear_counts(self, vm: VmProcess, report: TrialReport) -> None:
        """Take in what another VM has seen, in place of what it told before.

        :param vm: its process: what an earlier one has seen there is still true.
        :param report: what it tells.
        """
        self.received[vm] = report.outcome_counts()
        self.old_told[vm] = report.old_tally()
        self.all_seen = self.old_seen = None

    def hear_counts_of_hall(self, hall: HallName, report: TrialReport) -> None:
        """Take in what the VMs of another data hall have seen.

        :param hall: the hall.
        :param report: what is told, in place of what was told of it before.
        """
        self.received_by_hall[hall] = report.outcome_counts()
        self.old_told_by_hall[hall] = report.old_tally()
        self.all_seen = self.old_seen = None

    def old_of_hall(self) -> AnswerCounts:
        """:returns: what the VMs of this data hall have seen of the old version."""
        told = [
            outcome_counts for vm, outcome_counts in self.old_told.items() if vm != LOST
        ]
        return summed(self.old.merged(told))

    def fault(self) -> Fault | None:
        """:returns: what tells against the version; None if nothing does."""
        outcome_counts = self.outcome_counts()
        if self._fails(outcome_counts):
            return Fault.FAILS
        return self._slowness(outcome_counts)

    def _fails(self, outcome_counts: TrialTally) -> bool:
        """Whether too many answers fail, on all routes or on one."""
        failed = Measure.FAILED
        if condemned(failed, outcome_counts.total(failed), self.old_total(failed)):
            return True
        return any(
            condemned(failed, counts, self.old.of(subject))
            for subject, counts in outcome_counts.by_subject.items()
            if subject[0] is failed
        )

    def _slowness(self, outcome_counts: TrialTally) -> Fault | None:
        """Tell whether too many answers are slow, or more are sluggish than usual.

        Of one route alone a few are slow by chance, as engines have little cached
        when a version is new: judged by it, good versions were taken back.
        """
        slow = Measure.SLOW
        if condemned(slow, outcome_counts.total(slow), self.old_total(slow)):
            return Fault.SLOW
        sluggish = outcome_counts.total(Measure.SLUGGISH)
        old = self.old_total(Measure.SLUGGISH)
        if is_sluggish(sluggish, old):
            return Fault.SLUGGISH
        return Fault.TURNS_SLOW if self._turns_slow(sluggish, old) else None

    def _turns_slow(self, sluggish: TrialCounts, old: TrialCounts) -> bool:
        """Whether too many of the latest answers are sluggish.

        All together hide it where a version is slow only under load.
        """
        if not self.sluggish:
            return False
        latest = sluggish.since(self.sluggish[0])
        enough = max(RECENT_SEEN, RECENT_SHARE * sluggish.seen)
        return latest.seen >= enough and is_sluggish(latest, old, RECENT_DEVIATIONS)

    def note_sluggish(self) -> None:
        """Note how many answers were sluggish until now."""
        now = self.outcome_counts().total(Measure.SLUGGISH)
        if self.sluggish and now.seen < self.sluggish[-1].seen:
            # A VM that had told of some has told anew since.
            self.sluggish.clear()
        if not self.sluggish or now.seen > self.sluggish[-1].seen:
            self.sluggish.append(now)
        latest = max(RECENT_SEEN, RECENT_SHARE * now.seen)
        while len(self.sluggish) > 1 and now.seen - self.sluggish[1].seen >= latest:
            self.sluggish.popleft()

    def is_harmless(self, outcome_counts: TrialTally, measure: Measure) -> bool:
        """Whether there are hardly more bad answers than the old version gives."""
        usual = BASE_FACTOR * self.old_total(measure).bad_share
        return (
            outcome_counts.total(measure).bad_share
            <= TRUSTED_BAD_SHARE[measure] + usual
        )

    def begin_anew(self) -> None:
        """Count only what is seen from now on."""
        self.own = TrialTally()
        self.received.clear()
        self.received_by_hall.clear()
        self.all_seen = None
        self.sluggish.clear()

    def seen_in_hall(self) -> TrialTally:
        """:returns: what the VMs of this data hall have seen together."""
        # What was kept of lost VMs is not this hall's.
        told = [
            outcome_counts for vm, outcome_counts in self.received.items() if vm != LOST
        ]
        return self.own.merged(told)
