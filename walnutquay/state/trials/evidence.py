# Licensed under the Apache License 2.0: see LICENSE for details.

"""Outcome counts from all VMs for a version on trial, and fault detection."""

from __future__ import annotations

from collections import deque
from enum import Enum

from walnutquay.state.process.ids import HallName, VmProcess
from walnutquay.state.trials.counts import (
    BASELINE_FACTOR,
    RECENT_DEVIATIONS,
    RECENT_SEEN,
    RECENT_SHARE,
    Measure,
    TrialCounts,
    TrialOutcomeCounts,
    is_sluggish,
    should_reject,
)
from walnutquay.state.trials.reports import AnswerCounts, TrialReport, sum_routes

# The source under which the recovered counts of all lost VMs are stored.
LOST_VMS = VmProcess("")
# The bad share that a trusted version may have on top of the old version's, which is
# first multiplied by BASELINE_FACTOR.
TRUSTED_BAD_SHARE = {Measure.FAILED: 0.04, Measure.SLOW: 0.1}


class Fault(Enum):
    """A reason to reject a version."""

    FAILS = "too many answers fail"
    SLOW = "too many answers are slow"
    SLUGGISH = "more answers are sluggish than usual"
    RECENTLY_SLUGGISH = "of the latest answers more are sluggish than usual"


class TrialEvidence:
    """The outcome counts of a new version, from this VM and the others."""

    def __init__(self) -> None:
        # Counted by this VM: the new version, and the old one during the trial.
        self.own = TrialOutcomeCounts()
        self.old = TrialOutcomeCounts()
        # The new version's counts received from other VMs.  In large fleets only the
        # VMs of this data hall send their own; each other hall sends combined counts.
        self.received: dict[VmProcess, TrialOutcomeCounts] = {}
        self.received_by_hall: dict[HallName, TrialOutcomeCounts] = {}
        # The same for the old version during the trial, summed over routes, and their
        # combination, which is cached.
        self.old_received: dict[VmProcess, TrialOutcomeCounts] = {}
        self.old_received_by_hall: dict[HallName, TrialOutcomeCounts] = {}
        self.old_combined: TrialOutcomeCounts | None = None
        # The cached combination of the new version's counts, with the own counts that
        # went into it; see :meth:`outcome_counts`.
        self.combined: tuple[AnswerCounts, TrialOutcomeCounts] | None = None
        # The new version's sluggish counts at successive evaluations.  The first entry
        # is the count before the latest answers.
        self.sluggish_history: deque[TrialCounts] = deque()

    def outcome_counts(self) -> TrialOutcomeCounts:
        """Return the new version's combined counts from all VMs.

        The result is cached until counts change, as it is needed for each request:
        combining the counts of 194 other VMs took 3.5 ms each time.
        """
        own = self.own.frozen()
        if self.combined is not None and self.combined[0] == own:
            return self.combined[1]
        others = [*self.received.values(), *self.received_by_hall.values()]
        seen = self.own.merged(others)
        self.combined = (own, seen)
        return seen

    def old_total(self, measure: Measure) -> TrialCounts:
        """Return the old version's counts from all VMs since the trial began.

        One VM alone sees too few of them.  If one in five answers is sluggish, a tenth
        of VMs sees at most one sluggish answer among 20, and would mistake the normal
        share for a slow version.

        :param measure: the measure to sum over all routes.
        """
        if self.old_combined is None:
            others = [*self.old_received.values(), *self.old_received_by_hall.values()]
            self.old_combined = TrialOutcomeCounts().merged(others)
        return self.old.total(measure) + self.old_combined.total(measure)

    def receive_counts(self, vm: VmProcess, report: TrialReport) -> None:
        """Replace the counts of another VM by those of its latest report.

        :param vm: the VM's process.  Counts of an earlier process on the same VM are
            kept, as they are still valid.
        :param report: the report.
        """
        self.received[vm] = report.outcome_counts()
        self.old_received[vm] = report.old_outcome_counts()
        self.combined = self.old_combined = None

    def receive_hall_counts(self, hall: HallName, report: TrialReport) -> None:
        """Replace the combined counts of another data hall by those of a report.

        :param hall: the hall.
        :param report: the report for all its VMs.
        """
        self.received_by_hall[hall] = report.outcome_counts()
        self.old_received_by_hall[hall] = report.old_outcome_counts()
        self.combined = self.old_combined = None

    def old_seen_in_hall(self) -> AnswerCounts:
        """Return the old version's counts from the VMs of this data hall."""
        others = [
            outcome_counts
            for vm, outcome_counts in self.old_received.items()
            if vm != LOST_VMS
        ]
        return sum_routes(self.old.merged(others))

    def fault(self) -> Fault | None:
        """Return the reason to reject the version, or None."""
        outcome_counts = self.outcome_counts()
        if self._fails_too_often(outcome_counts):
            return Fault.FAILS
        return self._slowness_fault(outcome_counts)

    def _fails_too_often(self, outcome_counts: TrialOutcomeCounts) -> bool:
        """Return whether too many answers fail, on all routes together or on one."""
        failed = Measure.FAILED
        if should_reject(failed, outcome_counts.total(failed), self.old_total(failed)):
            return True
        return any(
            should_reject(failed, counts, self.old.counts_for(subject))
            for subject, counts in outcome_counts.by_subject.items()
            if subject[0] is failed
        )

    def _slowness_fault(self, outcome_counts: TrialOutcomeCounts) -> Fault | None:
        """Return the fault if too many answers are slow or sluggish.

        Routes are not evaluated separately.  Engines of a new version have little
        cached, so a few answers of a single route are slow by chance; evaluating
        single routes withdrew good versions.
        """
        slow = Measure.SLOW
        if should_reject(slow, outcome_counts.total(slow), self.old_total(slow)):
            return Fault.SLOW
        sluggish = outcome_counts.total(Measure.SLUGGISH)
        old = self.old_total(Measure.SLUGGISH)
        if is_sluggish(sluggish, old):
            return Fault.SLUGGISH
        return (
            Fault.RECENTLY_SLUGGISH
            if self._is_recently_sluggish(sluggish, old)
            else None
        )

    def _is_recently_sluggish(self, sluggish: TrialCounts, old: TrialCounts) -> bool:
        """Return whether too many of the latest answers are sluggish.

        The total hides this if a version is slow only under load.
        """
        if not self.sluggish_history:
            return False
        latest = sluggish.since(self.sluggish_history[0])
        enough = max(RECENT_SEEN, RECENT_SHARE * sluggish.seen)
        return latest.seen >= enough and is_sluggish(latest, old, RECENT_DEVIATIONS)

    def record_sluggish(self) -> None:
        """Record the sluggish counts, from which the latest answers are derived."""
        now = self.outcome_counts().total(Measure.SLUGGISH)
        if self.sluggish_history and now.seen < self.sluggish_history[-1].seen:
            # A VM has replaced earlier counts by smaller ones.
            self.sluggish_history.clear()
        if not self.sluggish_history or now.seen > self.sluggish_history[-1].seen:
            self.sluggish_history.append(now)
        latest = max(RECENT_SEEN, RECENT_SHARE * now.seen)
        while (
            len(self.sluggish_history) > 1
            and now.seen - self.sluggish_history[1].seen >= latest
        ):
            self.sluggish_history.popleft()

    def is_acceptable(
        self, outcome_counts: TrialOutcomeCounts, measure: Measure
    ) -> bool:
        """Return whether the bad share hardly exceeds the old version's."""
        baseline = BASELINE_FACTOR * self.old_total(measure).bad_share
        return (
            outcome_counts.total(measure).bad_share
            <= TRUSTED_BAD_SHARE[measure] + baseline
        )

    def reset_counts(self) -> None:
        """Reset the new version's counts."""
        self.own = TrialOutcomeCounts()
        self.received.clear()
        self.received_by_hall.clear()
        self.combined = None
        self.sluggish_history.clear()

    def seen_in_hall(self) -> TrialOutcomeCounts:
        """Return the new version's combined counts from the VMs of this data hall."""
        # The recovered counts of lost VMs do not belong to this hall alone.
        others = [
            outcome_counts
            for vm, outcome_counts in self.received.items()
            if vm != LOST_VMS
        ]
        return self.own.merged(others)
