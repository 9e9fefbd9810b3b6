# Licensed under the Apache License 2.0: see LICENSE for details.

"""Trials: verdicts, shares of sessions, and decisions received from other VMs."""

from __future__ import annotations

import itertools
import unittest

from tests.revisions import revision_at
from walnutquay.state.process.ids import (
    EndpointName,
    RouteName,
    ServiceName,
    VersionName,
    VmName,
)
from walnutquay.state.store.orders import OrderState, RolloutOrder
from walnutquay.state.trials.counts import Measure, TrialCounts, TrialOutcomeCounts
from walnutquay.state.trials.hashing import is_assigned_to_new, session_hash
from walnutquay.state.trials.reports import TrialReport, Verdict
from walnutquay.state.trials.trial import RAMP_END, RAMP_START, Trial

SECONDS = 100.0
NEVER = float("-inf")
LIMIT = 0.15


def make_trial() -> Trial:
    """Return a trial that begins at 0."""
    order = RolloutOrder(
        "s",
        revision_at(1),
        ServiceName("s"),
        VersionName("v2"),
        SECONDS,
        OrderState.RUNNING,
    )
    return Trial(order, 0.0, LIMIT)


def new_session(number: int = 0) -> str:
    """Return a session that is assigned to the new version in the first half."""
    share = make_trial().first_share
    names = (f"session-{n}" for n in itertools.count())
    matching = (name for name in names if is_assigned_to_new(name, "v2", share))
    return next(itertools.islice(matching, number, None))


def old_session() -> str:
    """Return a session that is not assigned to the new version in the first half."""
    share = make_trial().first_share
    names = (f"session-{n}" for n in itertools.count())
    return next(name for name in names if not is_assigned_to_new(name, "v2", share))


# The versions that have endpoints.
RUNNING = {"v1", "v2"}


def answers(
    good: int, bad: int, *endpoints: str, route: str = "r"
) -> TrialOutcomeCounts:
    """Return counts of successful and failed answers for one route."""
    result = TrialOutcomeCounts()
    counts = TrialCounts(good, bad, frozenset(map(EndpointName, endpoints)))
    result.by_subject[Measure.FAILED, RouteName(route)] = counts
    return result


def slow_answers(good: int, bad: int, *endpoints: str) -> TrialOutcomeCounts:
    """Return counts of answers that were in time or far too slow."""
    result = TrialOutcomeCounts()
    counts = TrialCounts(good, bad, frozenset(map(EndpointName, endpoints)))
    result.by_subject[Measure.SLOW, RouteName("r")] = counts
    return result


def sluggish_answers(good: int, bad: int) -> TrialOutcomeCounts:
    """Return counts of answers that were as fast as the baseline or sluggish."""
    result = TrialOutcomeCounts()
    result.by_subject[Measure.SLUGGISH, RouteName("r")] = TrialCounts(good, bad)
    return result


class VerdictTest(unittest.TestCase):
    """Verdicts from the combined counts of all VMs."""

    def test_unsure_without_answers(self):
        self.assertIs(make_trial().verdict(), Verdict.UNSURE)

    def test_good_answers_of_several_vms(self):
        trial = make_trial()
        trial.own = answers(4, 0)
        trial.received["vm-2"] = answers(4, 0)
        self.assertIs(trial.verdict(), Verdict.GOOD)

    def test_bad_answers_of_several_vms(self):
        trial = make_trial()
        trial.own = answers(2, 1, "a")
        trial.received = {"vm-2": answers(3, 1, "b"), "vm-3": answers(2, 1, "b")}
        self.assertIs(trial.verdict(), Verdict.BAD)

    def test_failures_on_one_route_only(self):
        trial = make_trial()
        trial.own = answers(3, 3, "a", "b", route="r1")
        trial.own.by_subject |= answers(30, 0, route="r2").by_subject
        self.assertIs(trial.verdict(), Verdict.BAD)

    def test_unsure_with_some_bad_answers(self):
        trial = make_trial()
        trial.own = answers(20, 2, "a", "b")
        self.assertIs(trial.verdict(), Verdict.UNSURE)
        self.assertLess(trial.share(0.6 * SECONDS), LIMIT)

    def test_doubtful_version_is_withdrawn_late(self):
        trial = make_trial()
        trial.own = answers(20, 2, "a", "b")
        self.assertFalse(trial.is_bad(0.6 * SECONDS))
        self.assertTrue(trial.is_bad(0.8 * SECONDS))
        trial.own = answers(3, 0)
        self.assertFalse(trial.is_bad(0.8 * SECONDS))

    def test_failures_under_load_after_a_good_first_half(self):
        trial = make_trial()
        trial.own = answers(100, 0)
        trial.advance(0.6 * SECONDS)
        trial.own.by_subject |= answers(10, 4, "a", "b").by_subject
        self.assertIs(trial.verdict(), Verdict.BAD)

    def test_small_share_clearly_above_the_old_versions(self):
        trial = make_trial()
        trial.old = answers(400, 1, "x")
        trial.own = answers(150, 7, "a", "b")
        self.assertIs(trial.verdict(), Verdict.BAD)

    def test_failures_of_one_endpoint_need_more_evidence(self):
        trial = make_trial()
        trial.own = answers(9, 4, "a")
        self.assertIs(trial.verdict(), Verdict.UNSURE)
        trial.own = answers(9, 9, "a")
        self.assertIs(trial.verdict(), Verdict.BAD)

    def test_slow_answers_are_not_evaluated_by_route(self):
        trial = make_trial()
        trial.own = slow_answers(9, 6, "a", "b")
        self.assertIs(trial.verdict(), Verdict.BAD)
        trial.own.by_subject[Measure.SLOW, RouteName("r2")] = TrialCounts(40)
        self.assertIs(trial.verdict(), Verdict.UNSURE)

    def test_partly_slow_version_is_bad(self):
        # Sluggish answers and all answers: of the new version, then of the old one.
        for bad, seen, old_bad, old_seen in (
            (8, 21, 35, 233),
            (18, 48, 6, 36),
            (10, 20, 3, 45),
        ):
            with self.subTest(bad=bad, seen=seen):
                trial = make_trial()
                trial.own = sluggish_answers(seen - bad, bad)
                trial.old = sluggish_answers(old_seen - old_bad, old_bad)
                self.assertIs(trial.verdict(), Verdict.BAD)

    def test_sluggish_by_chance_or_under_load_is_not_bad(self):
        for bad, seen, old_bad, old_seen in (
            (0, 11, 18, 268),
            (3, 48, 45, 638),
            (6, 21, 30, 268),
            (8, 21, 90, 268),
            (18, 143, 15, 124),
            (5, 10, 0, 100),
        ):
            with self.subTest(bad=bad, seen=seen):
                trial = make_trial()
                trial.own = sluggish_answers(seen - bad, bad)
                trial.old = sluggish_answers(old_seen - old_bad, old_bad)
                self.assertIs(trial.verdict(), Verdict.UNSURE)

    def test_version_that_becomes_slow_under_load(self):
        # Guards against a late verdict on a version that is slow only under load, which
        # would get more requests than a bad version may.  In the second half 4 of its
        # first 29 answers were sluggish, as its engines had little load, then 10 of the
        # next 20; the old version had none of 47.  The total shows this too late.
        trial = make_trial()
        trial.trusted = True
        trial.old = sluggish_answers(47, 0)
        for bad, seen in ((4, 29), (14, 49)):
            trial.received[VmName("vm-2")] = sluggish_answers(seen - bad, bad)
            trial.combined = None
            trial.advance(60.0)
        self.assertIs(trial.verdict(), Verdict.BAD)

    def test_burst_of_sluggish_answers_is_not_bad(self):
        # Guards against withdrawing a good version after a burst: answers delayed by a
        # common cause come together.  20 of the latest 32 answers were sluggish, 33 of
        # all 194, and 76 of 548 of the old version.
        trial = make_trial()
        trial.trusted = True
        trial.old = sluggish_answers(472, 76)
        for bad, seen in ((11, 133), (13, 155), (13, 162), (20, 172), (33, 194)):
            trial.received[VmName("vm-2")] = sluggish_answers(seen - bad, bad)
            trial.combined = None
            trial.advance(60.0)
        self.assertIs(trial.verdict(), Verdict.GOOD)

    def test_latest_sluggish_answers_after_the_ramp_are_ignored(self):
        # Guards against withdrawing a good version when its engines have just got all
        # requests.  The old version's engines served only a part, so there is nothing
        # to compare with.  In calm conditions 28 of 78 answers of a good version were
        # sluggish at this point, and it was withdrawn.
        trial = make_trial()
        trial.trusted = True
        trial.old = sluggish_answers(472, 76)
        for bad, seen in ((10, 110), (38, 188)):
            trial.received[VmName("vm-2")] = sluggish_answers(seen - bad, bad)
            trial.combined = None
            trial.advance(RAMP_END * SECONDS)
        self.assertIs(trial.verdict(), Verdict.GOOD)

    def test_old_versions_answers_of_other_vms_count(self):
        # Guards against a verdict from too few answers of the old version.  One of six
        # VMs saw 2 of 39 sluggish, the others 45 of 203; that one VM withdrew the new
        # version.
        trial = make_trial()
        trial.own = sluggish_answers(42, 18)
        trial.old = sluggish_answers(37, 2)
        self.assertIs(trial.verdict(), Verdict.BAD)
        old = (((Measure.SLUGGISH, RouteName("")), TrialCounts(158, 45)),)
        trial.receive("vm-2", TrialReport("s", VersionName("v2"), (), old=old), 0.0)
        self.assertIs(trial.verdict(), Verdict.UNSURE)

    def test_good_if_no_worse_than_the_old_version(self):
        trial = make_trial()
        trial.old = answers(85, 15, "x", "y")
        trial.own = answers(15, 4, "a", "b")
        self.assertIs(trial.verdict(), Verdict.GOOD)

    def test_rejection_is_final(self):
        trial = make_trial()
        trial.rejected = True
        trial.own = answers(100, 0)
        self.assertIs(trial.verdict(), Verdict.BAD)
        self.assertEqual(trial.share(SECONDS), 0.0)


class ShareTest(unittest.TestCase):
    """The share of sessions that the new version gets."""

    def test_share_stays_below_the_limit_in_the_first_half(self):
        trial = make_trial()
        trial.own = answers(1000, 0)
        for now in (0.0, 25.0, 50.0):
            self.assertLess(trial.share(now), LIMIT)
            self.assertFalse(trial.may_move_sessions(now))

    def test_share_grows_to_all_sessions(self):
        trial = make_trial()
        trial.own = answers(1000, 0)
        shares = [trial.share(now) for now in range(101)]
        self.assertEqual(shares, sorted(shares))
        self.assertEqual(trial.share(RAMP_END * SECONDS), 1.0)
        self.assertFalse(trial.ready_to_end(RAMP_END * SECONDS, RUNNING))
        self.assertTrue(trial.ready_to_end(0.9 * SECONDS, RUNNING))

    def test_share_of_a_bad_version_does_not_grow(self):
        trial = make_trial()
        trial.own = answers(2, 3, "a", "b")
        self.assertLess(trial.share(0.9 * SECONDS), LIMIT)

    def test_sessions_only_move_to_the_new_version(self):
        sessions = [f"session-{number}" for number in range(500)]
        before: set[str] = set()
        for share in (0.0, 0.1, 0.3, 0.6, 1.0):
            new = {s for s in sessions if is_assigned_to_new(s, "v2", share)}
            self.assertLessEqual(before, new)
            before = new
        self.assertEqual(before, set(sessions))

    def test_ramp_starts_after_the_half(self):
        self.assertGreater(RAMP_START, 0.5)


class DecidedByOthersTest(unittest.TestCase):
    """Decisions of other VMs are adopted, and own decisions are reported."""

    def report(self, **more: object) -> TrialReport:
        """Return a report from another VM that has counted no answers."""
        return TrialReport("s", VersionName("v2"), (), **more)

    def test_kept_sessions_stay_in_the_first_half(self):
        trial = make_trial()
        name = new_session()
        trial.receive("vm-2", self.report(kept=(session_hash(name, "v2"),)), 1.0)
        self.assertTrue(trial.must_stay_on_old(name, NEVER, 2.0))
        self.assertFalse(trial.must_stay_on_old(new_session(1), NEVER, 2.0))
        self.assertFalse(trial.must_stay_on_old(name, NEVER, RAMP_START * SECONDS))

    def test_later_request_on_the_new_version_overrides_a_kept_session(self):
        trial = make_trial()
        name = new_session()
        trial.receive("vm-2", self.report(kept=(session_hash(name, "v2"),)), 1.0)
        self.assertFalse(trial.must_stay_on_old(name, 1.5, 2.0))
        self.assertTrue(trial.must_stay_on_old(name, 0.5, 2.0))

    def test_only_sessions_assigned_to_the_new_version_are_kept(self):
        trial = make_trial()
        self.assertFalse(trial.keep(old_session(), 1.0))
        self.assertTrue(trial.keep(new_session(), 1.0))
        self.assertFalse(trial.keep(new_session(1), RAMP_START * SECONDS))
        trial.rejected = True
        self.assertFalse(trial.keep(new_session(2), 1.0))

    def test_bad_verdict_is_adopted(self):
        trial = make_trial()
        trial.receive("vm-2", self.report(verdict=Verdict.BAD), 1.0)
        self.assertTrue(trial.rejected)

    def test_good_verdict_is_adopted(self):
        # Guards against sessions moving back to the old version.  A VM that was unsure
        # because of bad answers did not adopt the verdict, while all others increased
        # the new version's share.
        for at, own, trusted in (
            (RAMP_START, answers(3, 0), True),
            # Before the second half, no verdict is adopted.
            (RAMP_START - 0.1, answers(3, 0), False),
            # A VM with bad answers of its own adopts the verdict and keeps its counts.
            (RAMP_START, answers(3, 1, "a"), True),
            # A VM whose own verdict is BAD does not adopt it.
            (RAMP_START, answers(0, 12, "a", "b", "c"), False),
        ):
            with self.subTest(at=at, own=own.by_subject):
                trial = make_trial()
                trial.own = own
                report = self.report(verdict=Verdict.GOOD)
                trial.receive("vm-2", report, at * SECONDS)
                self.assertIs(trial.trusted, trusted)
                bad = own.total(Measure.FAILED).bad
                self.assertEqual(trial.own.total(Measure.FAILED).bad, bad)

    def test_start_is_adopted(self):
        for start_observed, elapsed, started in (
            # A start of 0 derived from the time of day is replaced by the received one.
            (False, 30.0, 20.0),
            (False, None, 0.0),
            # Updates can be late, so the earlier of two observed starts applies.
            (True, 60.0, -10.0),
            (True, 30.0, 0.0),
        ):
            with self.subTest(start_observed=start_observed, elapsed=elapsed):
                trial = make_trial()
                trial.start_observed = start_observed
                trial.receive("vm-2", self.report(elapsed=elapsed), 50.0)
                self.assertEqual(trial.started, started)

    def test_join_adopts_whether_the_trial_is_open(self):
        for opens_in, is_open in ((0.0, True), (0.4, False)):
            with self.subTest(opens_in=opens_in):
                trial = make_trial()
                trial.join(self.report(opens_in=opens_in), 10.0)
                self.assertIs(trial.open, is_open)
                self.assertEqual(trial.opens_at, 10.0 + opens_in)

    def test_report_contents(self):
        trial = make_trial()
        trial.kept.keep(1, 0.0)
        trial.kept.receive([2], 0.0)
        report = trial.report(5.0)
        self.assertEqual((report.kept, report.verdict), ((1,), Verdict.UNSURE))
        self.assertIsNone(report.elapsed)
        self.assertGreater(report.opens_in, 0.0)
        trial.start_observed = trial.open = trial.trusted = True
        report = trial.report(5.0, whole=True)
        self.assertEqual((report.kept, report.verdict), ((1, 2), Verdict.GOOD))
        self.assertEqual((report.elapsed, report.opens_in), (5.0, 0.0))
        trial.rejected = True
        self.assertIs(trial.report(5.0).verdict, Verdict.BAD)

    def test_verdict_is_reported_once_sessions_move_by_it(self):
        trial = make_trial()
        trial.own = answers(20, 0)
        for at, expected in (
            (RAMP_START - 0.1, Verdict.UNSURE),
            (RAMP_END, Verdict.GOOD),
        ):
            with self.subTest(at=at):
                self.assertIs(trial.report(at * SECONDS).verdict, expected)
        self.assertFalse(trial.trusted)
