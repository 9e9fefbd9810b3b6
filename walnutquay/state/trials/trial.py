# Licensed under the Apache License 2.0: see LICENSE for details.

"""A new version on trial: who gets it, and whether it is good.

In the first half of its time a new version gets few sessions, all of them new
ones, so that a bad one harms few callers.  In the second half, if it is found
good, it gets more and more and at last all; sessions only ever move towards it.
"""

from __future__ import annotations

from dataclasses import replace

from walnutquay.state.process.ids import HallName, VmProcess
from walnutquay.state.store.orders import RolloutOrder
from walnutquay.state.trials.counts import Measure
from walnutquay.state.trials.evidence import LOST, TrialEvidence
from walnutquay.state.trials.hashing import HASH_SPAN, session_hash
from walnutquay.state.trials.kept import KeptSessions
from walnutquay.state.trials.reports import TrialReport, Verdict, summed

# The share of new sessions in the first half, of what a bad version may get.  The
# rest is left for the time in which it turns bad and is found out.
FIRST_SHARE_OF_LIMIT = 0.65
# When the second half begins to move sessions, as a part of the trial's time.
# The platform counts a move to the new version as one too early up to the half.
RAMP_START = 0.53
# When all sessions have been moved.
RAMP_END = 0.72
# When the order may be called done: old streams have ended by then.
DONE_AT = 0.84
# A version of which so little is known by then is taken for what it seems.
UNSURE_UNTIL = 0.7
# Bad answers that keep a version in doubt.
DOUBTFUL_BAD = 2
# Good answers after which a version with hardly any bad ones is trusted.
MIN_GOOD = 8
# Stands for a trial that may open at any moment; seconds.
MIN_OPENS_IN = 0.001
# What a version has to have little of to be trusted.
TRUSTED_BY = (Measure.FAILED, Measure.SLOW)


class Trial(TrialEvidence):
    """One order to bring in a version, as one VM sees it.

    :param order: the order.
    :param started: when it began; monotonic seconds, as the time of day may jump.
    :param share_limit: the share of requests that a bad version may get.
    :param start_observed: whether this VM saw the order before any had noted its
        beginning.
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
        # Whether the new version gets sessions, and when it may at the earliest;
        # monotonic seconds.  Until then VMs learn of the order and of its endpoints,
        # and tell each other which sessions are kept.
        self.open = False
        self.opens_at = float("-inf")
        self.kept = KeptSessions()
        # Set when the first half has shown the version to be good; from then on
        # only answers under more load count.
        self.trusted = False
        # Set when the version was found bad here: it is final.
        self.rejected = False

    def progress(self, now: float) -> float:
        """:param now: monotonic seconds.

        :returns: the part of the trial's time that is over.
        """
        return max(0.0, now - self.started) / max(1.0, self.order.seconds)

    def receive(self, vm: VmProcess, report: TrialReport, now: float) -> None:
        """Take in what another VM has seen and decided.

        :param vm: its process: what an earlier one has seen there is still true.
        :param report: its counts stand in place of those that it told before.
        :param now: monotonic seconds.
        """
        self.hear_counts(vm, report)
        self.receive_decisions(report, now)

    def receive_from_hall(
        self, hall: HallName, report: TrialReport, now: float
    ) -> bool:
        """Take in what the VMs of another data hall have seen and decided.

        :param hall: the hall.
        :param report: its counts stand in place of those that were told of it before.
        :param now: monotonic seconds.
        :returns: whether there was anything new.
        """
        before = self.received_by_hall.get(hall)
        self.hear_counts_of_hall(hall, report)
        told = self.received_by_hall[hall]
        decided = self.rejected, self.trusted
        self.receive_decisions(report, now)
        if decided != (self.rejected, self.trusted):
            return True
        return before is None or before.by_subject != told.by_subject

    def join(self, report: TrialReport, now: float) -> None:
        """Take over where the trial stands from a VM that was asked.

        :param report: all that it knows; its counts are left out, as they come again
            with its news.
        :param now: monotonic seconds.
        """
        self.opens_at = now + report.opens_in
        self.open = not report.opens_in
        self.receive_decisions(report, now)

    def receive_decisions(self, report: TrialReport, now: float) -> None:
        """Take over what another VM has decided for all: sessions must not go back.

        :param report: what it tells; its counts are left out.
        :param now: monotonic seconds.
        """
        self.kept.receive(report.kept, now)
        if report.elapsed is not None:
            self._take_start(now - report.elapsed)
        if report.verdict is Verdict.BAD:
            self.rejected = True
        elif report.verdict is Verdict.GOOD:
            self._follow(now)

    def _follow(self, now: float) -> None:
        """Take over that another VM has found the version good.

        One that doubts it for bad answers of its own would give it the first share
        while all others give it more, and have sessions go back.  It keeps its counts,
        which still tell against the version.
        """
        if self.verdict() is Verdict.BAD:
            return
        own = None if self._knows_little() else self.own
        self._trust(now)
        if own is not None and self.trusted:
            self.own = own

    def _take_start(self, started: float) -> None:
        """Count from when the first VM saw the order; news are late, never early."""
        if self.start_observed:
            started = min(started, self.started)
        self.started = started
        self.start_observed = True

    def _knows_little(self) -> bool:
        """Whether this VM is unsure for want of answers only, not for bad ones."""
        outcome_counts = self.outcome_counts()
        bad = sum(outcome_counts.total(measure).bad for measure in TRUSTED_BY)
        return not bad and outcome_counts.total(Measure.FAILED).good < MIN_GOOD

    def report(self, now: float, whole: bool = False) -> TrialReport:
        """:param now: monotonic seconds.

        :param whole: whether to tell of the sessions that other VMs keep, too.
        :returns: what to tell the other VMs.
        """
        kept = self.kept.all() if whole else tuple(self.kept.own)
        return TrialReport(
            self.order.name,
            self.order.version,
            self.own.frozen(),
            () if self.may_move_sessions(now) else kept,
            self._acted_on(now),
            now - self.started if self.start_observed else None,
            self.opens_in(now),
            seen=self.outcome_counts().seen,
            old=summed(self.old),
        )

    def report_of_hall(self, now: float) -> TrialReport:
        """:param now: monotonic seconds.

        :returns: what to tell other data halls of all VMs of this one.
        """
        counts = self.seen_in_hall().frozen()
        old = self.old_of_hall()
        return replace(self.report(now), counts=counts, kept=(), old=old)

    def report_of_all(self, now: float) -> TrialReport:
        """:param now: monotonic seconds.

        :returns: what all VMs have seen and decided, to be kept.
        """
        return TrialReport(
            self.order.name,
            self.order.version,
            self.outcome_counts().frozen(),
            verdict=self._acted_on(now),
        )

    def recover(self, report: TrialReport, now: float) -> None:
        """Take in what was kept of VMs that are lost.

        :param report: what they had seen and decided.
        :param now: monotonic seconds.
        """
        self.receive_decisions(report, now)
        self.hear_counts(LOST, report)

    def _acted_on(self, now: float) -> Verdict:
        """Give the verdict by which this VM moves sessions already."""
        if self.rejected:
            return Verdict.BAD
        if self.trusted or (self.ramping(now) and self.verdict() is Verdict.GOOD):
            return Verdict.GOOD
        return Verdict.UNSURE

    def opens_in(self, now: float) -> float:
        """:param now: monotonic seconds.

        :returns: seconds until the new version gets its first sessions, unless its
            endpoints are not known yet; 0 only where it gets them already.
        """
        return 0.0 if self.open else max(MIN_OPENS_IN, self.opens_at - now)

    # Sessions.

    def keep(self, session: str, now: float) -> bool:
        """Leave a session on the old version, where the new one would be its.

        :param session: a session that this VM has sent to the old version.
        :param now: monotonic seconds.
        :returns: whether the other VMs have to be told.
        """
        if self.rejected or self.ramping(now):
            return False
        number = session_hash(session, self.order.version)
        return number / HASH_SPAN < self.first_share and self.kept.keep(number, now)

    def must_stay_on_old(self, session: str, seen_on_new: float, now: float) -> bool:
        """:param session: a session.

        :param seen_on_new: when this VM last saw it on the new version; minus infinity
            where it has not.
        :param now: monotonic seconds.
        :returns: whether it has to stay on the old version.
        """
        if self.may_move_sessions(now):
            return False
        since = self.kept.since(session_hash(session, self.order.version))
        return since is not None and seen_on_new <= since

    def verdict(self) -> Verdict:
        """:returns: what is thought of the version now."""
        if self.rejected:
            return Verdict.BAD
        if self.fault() is not None:
            return Verdict.BAD
        if self.trusted:
            return Verdict.GOOD
        outcome_counts = self.outcome_counts()
        trusted = all(
            self.is_harmless(outcome_counts, measure) for measure in TRUSTED_BY
        )
        enough = outcome_counts.total(Measure.FAILED).good >= MIN_GOOD
        return Verdict.GOOD if trusted and enough else Verdict.UNSURE

    def advance(self, now: float) -> None:
        """Begin the second half with new counts, if the first one was good.

        Some versions fail under load only: their good answers of the first half
        would hide it.

        :param now: monotonic seconds.
        """
        if self.progress(now) < RAMP_END:
            self.note_sluggish()
        else:
            # Its engines have all requests now, and the old version's had a part: good
            # versions had 14 of 22 and 28 of 78 answers sluggish then for a while.
            self.sluggish.clear()
        if self.trusted or not self.ramping(now):
            return
        if self.verdict() is Verdict.GOOD:
            self._trust(now)

    def _trust(self, now: float) -> None:
        if self.trusted or not self.ramping(now):
            return
        self.trusted = True
        self.begin_anew()

    def ramping(self, now: float) -> bool:
        """:param now: monotonic seconds.

        :returns: whether the second half has begun.
        """
        return self.progress(now) >= RAMP_START

    def is_bad(self, now: float) -> bool:
        """Decide whether the version is to be taken back.

        One that is still in doubt late, for its bad answers and not for want of
        answers, is taken back too: the other error would harm all callers.

        :param now: monotonic seconds.
        """
        verdict = self.verdict()
        if verdict is Verdict.BAD:
            return True
        late = self.progress(now) >= UNSURE_UNTIL
        bad = sum(self.outcome_counts().total(measure).bad for measure in TRUSTED_BY)
        doubtful = bad >= DOUBTFUL_BAD
        return late and verdict is Verdict.UNSURE and doubtful

    @property
    def first_share(self) -> float:
        """The share of sessions that the new version gets in the first half."""
        return FIRST_SHARE_OF_LIMIT * self.share_limit

    def share(self, now: float) -> float:
        """:param now: monotonic seconds.

        :returns: the share of sessions that the new version gets.
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
        """:param now: monotonic seconds.

        :returns: whether sessions of the old version may move to the new one.
        """
        return self.ramping(now)

    def ready_to_end(self, now: float) -> bool:
        """:param now: monotonic seconds.

        :returns: whether the order is done, as far as this VM can tell.
        """
        return self.share(now) >= 1.0 and self.progress(now) >= DONE_AT
