# Licensed under the Apache License 2.0: see LICENSE for details.

"""The trial of a new version: session assignment and verdict.

In the first half of the trial the new version gets few sessions, and only new ones, so
that a bad version affects few callers.  In the second half, if the verdict is good, its
share grows until it gets all sessions.  Sessions only ever move to the new version.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

from walnutquay.state.process.ids import HallName, VersionName, VmProcess
from walnutquay.state.store.orders import RolloutOrder
from walnutquay.state.trials.counts import Measure
from walnutquay.state.trials.evidence import LOST_VMS, TrialEvidence
from walnutquay.state.trials.hashing import HASH_RANGE, session_hash
from walnutquay.state.trials.kept import KeptSessions
from walnutquay.state.trials.reports import TrialReport, Verdict, sum_routes

# The share of new sessions in the first half, as a part of the limit for a bad version.
# The rest is reserved for the time between a version turning bad and its detection.
FIRST_SHARE_OF_LIMIT = 0.65
# The part of the trial's time after which the second half begins to move sessions.  It
# exceeds 0.5 because the platform counts a move before the half as too early.
RAMP_START = 0.53
# The part of the time after which all sessions have been moved.
RAMP_END = 0.72
# The part of the time after which the order may be marked as done.  Streams of the old
# version have ended by then.
DONE_AT = 0.84
# The part of the time after which a version whose verdict is still UNSURE is treated as
# good, or as bad if it has DOUBTFUL_BAD bad answers.
UNSURE_UNTIL = 0.7
# The number of bad answers from which an undecided version is doubtful.
DOUBTFUL_BAD = 2
# The number of good answers after which a version with hardly any bad ones is trusted.
MIN_GOOD = 8
# The reported time for a trial that may open at any moment, as 0 means that it is
# open; seconds.
MIN_OPENS_IN = 0.001
# The measures by which a version has to have few bad answers to be trusted.
TRUST_MEASURES = (Measure.FAILED, Measure.SLOW)


class Trial(TrialEvidence):
    """The state of one roll-out order's trial on one VM.

    :param order: the order.
    :param started: when the trial began; monotonic seconds, as the time of day may
        jump.
    :param share_limit: the share of requests that a bad version may get.
    :param start_observed: whether this VM received the order before its start had been
        recorded.
    """

    def __init__(
        self,
        order: RolloutOrder,
        started: float,
        share_limit: float,
        start_observed: bool = False,
    ) -> None:
        super().__init__()
        self.order = order
        self.started = started
        self.share_limit = share_limit
        self.start_observed = start_observed
        # Whether the new version gets sessions, and the earliest time at which it may;
        # monotonic seconds.  Until then VMs learn of the order and its endpoints, and
        # announce to each other the sessions that they keep.
        self.open = False
        self.opens_at = float("-inf")
        self.kept = KeptSessions()
        # Set once the first half has shown the version to be good.  From then on only
        # answers under higher load count.
        self.trusted = False
        # Set once the version is found to be bad.  This is final.
        self.rejected = False

    def progress(self, now: float) -> float:
        """Return the part of the trial's time that has passed.

        :param now: monotonic seconds.
        """
        return max(0.0, now - self.started) / max(1.0, self.order.seconds)

    def receive(self, vm: VmProcess, report: TrialReport, now: float) -> None:
        """Apply a report from another VM.

        :param vm: the VM's process.  Counts of an earlier process on the same VM are
            kept, as they are still valid.
        :param report: the report; its counts replace the previous ones.
        :param now: monotonic seconds.
        """
        self.receive_counts(vm, report)
        self.receive_decisions(report, now)

    def receive_from_hall(
        self, hall: HallName, report: TrialReport, now: float
    ) -> bool:
        """Apply a report for all VMs of another data hall.

        :param hall: the hall.
        :param report: the report; its counts replace the previous ones.
        :param now: monotonic seconds.
        :returns: whether the counts or a decision changed.
        """
        before = self.received_by_hall.get(hall)
        self.receive_hall_counts(hall, report)
        received = self.received_by_hall[hall]
        decided = self.rejected, self.trusted
        self.receive_decisions(report, now)
        if decided != (self.rejected, self.trusted):
            return True
        return before is None or before.by_subject != received.by_subject

    def join(self, report: TrialReport, now: float) -> None:
        """Adopt the state of the trial from a VM's response to a request for it.

        :param report: the VM's full report.  Its counts are ignored, as they follow
            with its updates.
        :param now: monotonic seconds.
        """
        self.opens_at = now + report.opens_in
        self.open = not report.opens_in
        self.receive_decisions(report, now)

    def receive_decisions(self, report: TrialReport, now: float) -> None:
        """Adopt what another VM has decided, so that no sessions move back.

        :param report: the report; its counts are ignored.
        :param now: monotonic seconds.
        """
        self.kept.receive(report.kept, now)
        if report.elapsed is not None:
            self._adopt_start(now - report.elapsed)
        if report.verdict is Verdict.BAD:
            self.rejected = True
        elif report.verdict is Verdict.GOOD:
            self._adopt_good_verdict(now)

    def _adopt_good_verdict(self, now: float) -> None:
        """Adopt another VM's verdict that the version is good.

        A VM that is unsure because of bad answers that it has seen itself would keep
        the first share while all others use a larger one, so sessions would move back.
        It adopts the verdict as well, but keeps its own counts, so that its bad answers
        still count against the version.
        """
        if self.verdict() is Verdict.BAD:
            return
        own = None if self._lacks_answers() else self.own
        self._trust(now)
        if own is not None and self.trusted:
            self.own = own

    def _adopt_start(self, started: float) -> None:
        """Adopt the time at which the first VM received the order.

        It replaces a start that was derived from the time of day.  Of two observed
        starts the earlier one applies, as updates can be late but never early.
        """
        if self.start_observed:
            started = min(started, self.started)
        self.started = started
        self.start_observed = True

    def _lacks_answers(self) -> bool:
        """Return whether the verdict is unsure only because there are few answers."""
        outcome_counts = self.outcome_counts()
        bad = sum(outcome_counts.total(measure).bad for measure in TRUST_MEASURES)
        return not bad and outcome_counts.total(Measure.FAILED).good < MIN_GOOD

    def report(self, now: float, whole: bool = False) -> TrialReport:
        """Return the report to send to other VMs.

        :param now: monotonic seconds.
        :param whole: whether to include the sessions that other VMs keep.
        """
        kept = self.kept.all() if whole else tuple(self.kept.own)
        return TrialReport(
            self.order.name,
            self.order.version,
            self.own.frozen(),
            () if self.may_move_sessions(now) else kept,
            self._effective_verdict(now),
            now - self.started if self.start_observed else None,
            self.opens_in(now),
            seen=self.outcome_counts().seen,
            old=sum_routes(self.old),
        )

    def report_of_hall(self, now: float) -> TrialReport:
        """Return the report on this data hall for the other halls.

        :param now: monotonic seconds.
        """
        counts = self.seen_in_hall().frozen()
        old = self.old_seen_in_hall()
        return replace(self.report(now), counts=counts, kept=(), old=old)

    def report_of_all(self, now: float) -> TrialReport:
        """Return the report on all VMs, to be written to the store.

        :param now: monotonic seconds.
        """
        return TrialReport(
            self.order.name,
            self.order.version,
            self.outcome_counts().frozen(),
            verdict=self._effective_verdict(now),
        )

    def recover(self, report: TrialReport, now: float) -> None:
        """Apply the stored state of VMs that were lost.

        :param report: their combined counts and verdict.
        :param now: monotonic seconds.
        """
        self.receive_decisions(report, now)
        self.receive_counts(LOST_VMS, report)

    def _effective_verdict(self, now: float) -> Verdict:
        """Return the verdict on which this VM already acts when it assigns sessions."""
        if self.rejected:
            return Verdict.BAD
        if self.trusted or (self.ramping(now) and self.verdict() is Verdict.GOOD):
            return Verdict.GOOD
        return Verdict.UNSURE

    def opens_in(self, now: float) -> float:
        """Return the time until the new version may get its first sessions.

        :param now: monotonic seconds.
        :returns: seconds, although it takes longer if this VM does not know its
            endpoints by then; 0 only if it gets sessions already.
        """
        return 0.0 if self.open else max(MIN_OPENS_IN, self.opens_at - now)

    # Sessions.

    def keep(self, session: str, now: float) -> bool:
        """Keep a session on the old version if its hash selects the new one.

        :param session: a session that this VM has sent to the old version.
        :param now: monotonic seconds.
        :returns: whether this has to be announced to the other VMs.
        """
        if self.rejected or self.ramping(now):
            return False
        hashed = session_hash(session, self.order.version)
        return hashed / HASH_RANGE < self.first_share and self.kept.keep(hashed, now)

    def must_stay_on_old(self, session: str, seen_on_new: float, now: float) -> bool:
        """Return whether a session has to stay on the old version.

        :param session: the session.
        :param seen_on_new: when this VM last saw the session on the new version;
            minus infinity if it has not.
        :param now: monotonic seconds.
        """
        if self.may_move_sessions(now):
            return False
        since = self.kept.since(session_hash(session, self.order.version))
        return since is not None and seen_on_new <= since

    def verdict(self) -> Verdict:
        """Return the current verdict on the version."""
        if self.rejected:
            return Verdict.BAD
        if self.fault() is not None:
            return Verdict.BAD
        if self.trusted:
            return Verdict.GOOD
        outcome_counts = self.outcome_counts()
        trusted = all(
            self.is_acceptable(outcome_counts, measure) for measure in TRUST_MEASURES
        )
        enough = outcome_counts.total(Measure.FAILED).good >= MIN_GOOD
        return Verdict.GOOD if trusted and enough else Verdict.UNSURE

    def advance(self, now: float) -> None:
        """Reset the counts as the second half begins, if the verdict is good.

        Some versions fail only under load, which their good answers from the first half
        would hide.

        :param now: monotonic seconds.
        """
        if self.progress(now) < RAMP_END:
            self.record_sluggish()
        else:
            # The new version's engines now serve all requests, those of the old version
            # served a part, so times are not comparable.  Good versions temporarily had
            # 14 of 22 and 28 of 78 answers sluggish at this point.
            self.sluggish_history.clear()
        if self.trusted or not self.ramping(now):
            return
        if self.verdict() is Verdict.GOOD:
            self._trust(now)

    def _trust(self, now: float) -> None:
        if self.trusted or not self.ramping(now):
            return
        self.trusted = True
        self.reset_counts()

    def ramping(self, now: float) -> bool:
        """Return whether the second half has begun.

        :param now: monotonic seconds.
        """
        return self.progress(now) >= RAMP_START

    def is_bad(self, now: float) -> bool:
        """Return whether the version has to be withdrawn.

        This includes a version that is still doubtful late in its trial because of bad
        answers, not for a lack of answers: accepting a bad version would affect all
        callers.

        :param now: monotonic seconds.
        """
        verdict = self.verdict()
        if verdict is Verdict.BAD:
            return True
        late = self.progress(now) >= UNSURE_UNTIL
        bad = sum(
            self.outcome_counts().total(measure).bad for measure in TRUST_MEASURES
        )
        doubtful = bad >= DOUBTFUL_BAD
        return late and verdict is Verdict.UNSURE and doubtful

    @property
    def first_share(self) -> float:
        """The share of sessions that the new version gets in the first half."""
        return FIRST_SHARE_OF_LIMIT * self.share_limit

    def share(self, now: float) -> float:
        """Return the share of sessions that the new version gets.

        :param now: monotonic seconds.
        """
        if self.rejected:
            return 0.0
        first = self.first_share
        progress = self.progress(now)
        verdict = self.verdict()
        trusted = verdict is Verdict.GOOD or (
            verdict is Verdict.UNSURE and progress >= UNSURE_UNTIL
        )
        if progress < RAMP_START or not trusted:
            return first
        start = RAMP_START if verdict is Verdict.GOOD else UNSURE_UNTIL
        part = (progress - start) / (RAMP_END - RAMP_START)
        return min(1.0, max(first, part))

    def may_move_sessions(self, now: float) -> bool:
        """Return whether sessions of the old version may move to the new one.

        :param now: monotonic seconds.
        """
        return self.ramping(now)

    def ready_to_end(self, now: float, running: Collection[VersionName]) -> bool:
        """Return whether the order is done, as far as this VM can tell.

        The old version's endpoints are stopped then, so the new one must run, and must
        have answered if there was anything to answer.

        :param now: monotonic seconds.
        :param running: the versions of the service that have endpoints.
        """
        if self.share(now) < 1.0 or self.progress(now) < DONE_AT:
            return False
        return self.order.version in running and (
            self.trusted
            or self.outcome_counts().total(Measure.FAILED).good > 0
            or not self.old_total(Measure.FAILED).seen
        )
