# Licensed under the Apache License 2.0: see LICENSE for details.

"""Versions on trial: who gets them, and what is thought of them."""

from __future__ import annotations

import itertools
import unittest

from walnutquay.state.process.ids import (
    EndpointName,
    RouteName,
    ServiceName,
    VersionName,
    VmName,
)
from walnutquay.state.store.orders import OrderState, RolloutOrder
from walnutquay.state.trials.counts import Measure, TrialCounts, TrialTally
from walnutquay.state.trials.hashing import is_assigned_to_new, session_hash
from walnutquay.state.trials.reports import TrialReport, Verdict
from walnutquay.state.trials.trial import RAMP_END, RAMP_START, Trial

SECONDS = 100.0
NEVER = float("-inf")
LIMIT = 0.15


def trial() -> Trial:
    """:returns: a trial that begins at 0."""
    order = RolloutOrder(
        "s", 1, ServiceName("s"), VersionName("v2"), SECONDS, OrderState.RUNNING
    )
    return Trial(order, 0.0, LIMIT)


def new_session(number: int = 0) -> str:
    """:returns: one of the sessions that get the new version at first."""
    share = trial().first_share
    names = (f"session-{n}" for n in itertools.count())
    found = (name for name in names if is_assigned_to_new(name, "v2", share))
    return next(itertools.islice(found, number, None))


def old_session() -> str:
    """:returns: a session that does not get the new version at first."""
    share = trial().first_share
    names = (f"session-{n}" for n in itertools.count())
    return next(name for name in names if not is_assigned_to_new(name, "v2", share))


def answers(good: int, bad: int, *endpoints: str, route: str = "r") -> TrialTally:
    """:returns: counts of so many answers of one route."""
    found = TrialTally()
    counts = TrialCounts(good, bad, frozenset(map(EndpointName, endpoints)))
    found.by_subject[Measure.FAILED, RouteName(route)] = counts
    return found


def slow_answers(good: int, bad: int, *endpoints: str) -> TrialTally:
    """:returns: counts of answers that were in time or far too slow."""
    found = TrialTally()
    counts = TrialCounts(good, bad, frozenset(map(EndpointName, endpoints)))
    found.by_subject[Measure.SLOW, RouteName("r")] = counts
    return found


def sluggish_answers(good: int, bad: int) -> TrialTally:
    """:returns: counts of answers that were as usual or somewhat slower."""
    found = TrialTally()
    found.by_subject[Measure.SLUGGISH, RouteName("r")] = TrialCounts(good, bad)
    return found


class VerdictTest(unittest.TestCase):
    """What the counts of all VMs say."""

    def test_nothing_known(self):
        self.assertIs(trial().verdict(), Verdict.UNSURE)

    def test_good(self):
        found = trial()
        found.own = answers(4, 0)
        found.received["vm-2"] = answers(4, 0)
        self.assertIs(found.verdict(), Verdict.GOOD)

    def test_bad_over_several_vms(self):
        found = trial()
        found.own = answers(2, 1, "a")
        found.received = {"vm-2": answers(3, 1, "b"), "vm-3": answers(2, 1, "b")}
        self.assertIs(found.verdict(), Verdict.BAD)

    def test_bad_on_one_route_only(self):
        found = trial()
        found.own = answers(3, 3, "a", "b", route="r1")
        found.own.by_subject |= answers(30, 0, route="r2").by_subject
        self.assertIs(found.verdict(), Verdict.BAD)

    def test_some_bad_answers_are_no_good_sign(self):
        found = trial()
        found.own = answers(20, 2, "a", "b")
        self.assertIs(found.verdict(), Verdict.UNSURE)
        self.assertLess(found.share(0.6 * SECONDS), LIMIT)

    def test_lasting_doubt_is_enough_in_the_end(self):
        found = trial()
        found.own = answers(20, 2, "a", "b")
        self.assertFalse(found.is_bad(0.6 * SECONDS))
        self.assertTrue(found.is_bad(0.8 * SECONDS))
        found.own = answers(3, 0)
        self.assertFalse(found.is_bad(0.8 * SECONDS))

    def test_what_fails_under_load_is_not_hidden_by_the_first_half(self):
        found = trial()
        found.own = answers(100, 0)
        found.advance(0.6 * SECONDS)
        found.own.by_subject |= answers(10, 4, "a", "b").by_subject
        self.assertIs(found.verdict(), Verdict.BAD)

    def test_a_small_share_is_enough_if_it_is_clear(self):
        found = trial()
        found.old = answers(400, 1, "x")
        found.own = answers(150, 7, "a", "b")
        self.assertIs(found.verdict(), Verdict.BAD)

    def test_one_ill_endpoint_is_no_bad_version(self):
        found = trial()
        found.own = answers(9, 4, "a")
        self.assertIs(found.verdict(), Verdict.UNSURE)
        found.own = answers(9, 9, "a")
        self.assertIs(found.verdict(), Verdict.BAD)

    def test_slow_answers_of_one_route_alone_are_no_slow_version(self):
        found = trial()
        found.own = slow_answers(9, 6, "a", "b")
        self.assertIs(found.verdict(), Verdict.BAD)
        found.own.by_subject[Measure.SLOW, RouteName("r2")] = TrialCounts(40)
        self.assertIs(found.verdict(), Verdict.UNSURE)

    def test_a_version_that_is_slow_in_part(self):
        # sluggish answers of the new version, and of the old one, of how many
        for bad, seen, old_bad, old_seen in (
            (8, 21, 35, 233),
            (18, 48, 6, 36),
            (10, 20, 3, 45),
        ):
            with self.subTest(bad=bad, seen=seen):
                found = trial()
                found.own = sluggish_answers(seen - bad, bad)
                found.old = sluggish_answers(old_seen - old_bad, old_bad)
                self.assertIs(found.verdict(), Verdict.BAD)

    def test_chance_and_busy_times_make_no_version_slow_in_part(self):
        for bad, seen, old_bad, old_seen in (
            (0, 11, 18, 268),
            (3, 48, 45, 638),
            (6, 21, 30, 268),
            (8, 21, 90, 268),
            (18, 143, 15, 124),
            (5, 10, 0, 100),
        ):
            with self.subTest(bad=bad, seen=seen):
                found = trial()
                found.own = sluggish_answers(seen - bad, bad)
                found.old = sluggish_answers(old_seen - old_bad, old_bad)
                self.assertIs(found.verdict(), Verdict.UNSURE)

    def test_a_version_that_turns_slow_as_it_gets_more_requests(self):
        # It had 4 sluggish answers of its first 29 in the second half of its trial, as
        # its engines had little to do, and 10 of the next 20; the old version's VMs saw
        # none of 47.  All its answers together tell of it too late: a version that is
        # slow under load gets more requests than a bad one may.
        found = trial()
        found.trusted = True
        found.old = sluggish_answers(47, 0)
        for bad, seen in ((4, 29), (14, 49)):
            found.received[VmName("vm-2")] = sluggish_answers(seen - bad, bad)
            found.all_seen = None
            found.advance(60.0)
        self.assertIs(found.verdict(), Verdict.BAD)

    def test_a_busy_moment_makes_no_good_version_slow(self):
        # Answers that are late by one cause come together: 20 of the latest 32 were
        # sluggish, of 194 in all 33, and of the old version's 76 of 548.
        found = trial()
        found.trusted = True
        found.old = sluggish_answers(472, 76)
        for bad, seen in ((11, 133), (13, 155), (13, 162), (20, 172), (33, 194)):
            found.received[VmName("vm-2")] = sluggish_answers(seen - bad, bad)
            found.all_seen = None
            found.advance(60.0)
        self.assertIs(found.verdict(), Verdict.GOOD)

    def test_engines_that_have_just_got_all_requests_are_no_slow_version(self):
        # The old version's had a part of them: there is nothing to compare with.  On a
        # calm day 28 of 78 answers of a good version were sluggish then, and it was
        # taken back.
        found = trial()
        found.trusted = True
        found.old = sluggish_answers(472, 76)
        for bad, seen in ((10, 110), (38, 188)):
            found.received[VmName("vm-2")] = sluggish_answers(seen - bad, bad)
            found.all_seen = None
            found.advance(RAMP_END * SECONDS)
        self.assertIs(found.verdict(), Verdict.GOOD)

    def test_few_answers_of_the_old_version_here_are_not_all(self):
        # One of six VMs saw 2 of 39 answers of the old version sluggish, the others 45
        # of 203: it was the one that took the new version back.
        found = trial()
        found.own = sluggish_answers(42, 18)
        found.old = sluggish_answers(37, 2)
        self.assertIs(found.verdict(), Verdict.BAD)
        old = (((Measure.SLUGGISH, RouteName("")), TrialCounts(158, 45)),)
        found.receive("vm-2", TrialReport("s", VersionName("v2"), (), old=old), 0.0)
        self.assertIs(found.verdict(), Verdict.UNSURE)

    def test_no_worse_than_the_old_one(self):
        found = trial()
        found.old = answers(85, 15, "x", "y")
        found.own = answers(15, 4, "a", "b")
        self.assertIs(found.verdict(), Verdict.GOOD)

    def test_a_brake_is_final(self):
        found = trial()
        found.rejected = True
        found.own = answers(100, 0)
        self.assertIs(found.verdict(), Verdict.BAD)
        self.assertEqual(found.share(SECONDS), 0.0)


class ShareTest(unittest.TestCase):
    """How many sessions the new version gets."""

    def test_few_in_the_first_half_however_good(self):
        found = trial()
        found.own = answers(1000, 0)
        for now in (0.0, 25.0, 50.0):
            self.assertLess(found.share(now), LIMIT)
            self.assertFalse(found.may_move_sessions(now))

    def test_all_in_the_end(self):
        found = trial()
        found.own = answers(1000, 0)
        shares = [found.share(now) for now in range(101)]
        self.assertEqual(shares, sorted(shares))
        self.assertEqual(found.share(RAMP_END * SECONDS), 1.0)
        self.assertFalse(found.ready_to_end(RAMP_END * SECONDS))
        self.assertTrue(found.ready_to_end(0.9 * SECONDS))

    def test_a_bad_one_never_grows(self):
        found = trial()
        found.own = answers(2, 3, "a", "b")
        self.assertLess(found.share(0.9 * SECONDS), LIMIT)

    def test_sessions_only_move_towards_it(self):
        sessions = [f"session-{number}" for number in range(500)]
        before: set[str] = set()
        for share in (0.0, 0.1, 0.3, 0.6, 1.0):
            new = {s for s in sessions if is_assigned_to_new(s, "v2", share)}
            self.assertLessEqual(before, new)
            before = new
        self.assertEqual(before, set(sessions))

    def test_it_begins_late_enough(self):
        self.assertGreater(RAMP_START, 0.5)


class DecidedByOthersTest(unittest.TestCase):
    """What another VM has decided for all is taken over."""

    def report(self, **more: object) -> TrialReport:
        """:returns: news of another VM that has seen nothing."""
        return TrialReport("s", VersionName("v2"), (), **more)

    def test_kept_sessions_stay_in_the_first_half(self):
        found = trial()
        name = new_session()
        found.receive("vm-2", self.report(kept=(session_hash(name, "v2"),)), 1.0)
        self.assertTrue(found.must_stay_on_old(name, NEVER, 2.0))
        self.assertFalse(found.must_stay_on_old(new_session(1), NEVER, 2.0))
        self.assertFalse(found.must_stay_on_old(name, NEVER, RAMP_START * SECONDS))

    def test_a_later_request_on_the_new_version_counts(self):
        found = trial()
        name = new_session()
        found.receive("vm-2", self.report(kept=(session_hash(name, "v2"),)), 1.0)
        self.assertFalse(found.must_stay_on_old(name, 1.5, 2.0))
        self.assertTrue(found.must_stay_on_old(name, 0.5, 2.0))

    def test_only_sessions_that_fall_to_the_new_version_are_kept(self):
        found = trial()
        self.assertFalse(found.keep(old_session(), 1.0))
        self.assertTrue(found.keep(new_session(), 1.0))
        self.assertFalse(found.keep(new_session(1), RAMP_START * SECONDS))
        found.rejected = True
        self.assertFalse(found.keep(new_session(2), 1.0))

    def test_bad(self):
        found = trial()
        found.receive("vm-2", self.report(verdict=Verdict.BAD), 1.0)
        self.assertTrue(found.rejected)

    def test_good(self):
        # A VM that doubted the version did not follow once: sessions went back there to
        # the old version, while all others gave the new one more and more.
        for at, own, trusted in (
            (RAMP_START, answers(3, 0), True),
            # Before its time, nothing is decided.
            (RAMP_START - 0.1, answers(3, 0), False),
            # One that has seen bad answers follows too, and goes on counting them.
            (RAMP_START, answers(3, 1, "a"), True),
            # One that has found it bad does not.
            (RAMP_START, answers(0, 12, "a", "b", "c"), False),
        ):
            with self.subTest(at=at, own=own.by_subject):
                found = trial()
                found.own = own
                report = self.report(verdict=Verdict.GOOD)
                found.receive("vm-2", report, at * SECONDS)
                self.assertIs(found.trusted, trusted)
                bad = own.total(Measure.FAILED).bad
                self.assertEqual(found.own.total(Measure.FAILED).bad, bad)

    def test_the_beginning(self):
        for start_observed, elapsed, started in (
            # By the time of day it began at 0; another VM knows better.
            (False, 30.0, 20.0),
            (False, None, 0.0),
            # News are late, so the earliest beginning is the truest.
            (True, 60.0, -10.0),
            (True, 30.0, 0.0),
        ):
            with self.subTest(start_observed=start_observed, elapsed=elapsed):
                found = trial()
                found.start_observed = start_observed
                found.receive("vm-2", self.report(elapsed=elapsed), 50.0)
                self.assertEqual(found.started, started)

    def test_joining(self):
        for opens_in, is_open in ((0.0, True), (0.4, False)):
            with self.subTest(opens_in=opens_in):
                found = trial()
                found.join(self.report(opens_in=opens_in), 10.0)
                self.assertIs(found.open, is_open)
                self.assertEqual(found.opens_at, 10.0 + opens_in)

    def test_what_is_told(self):
        found = trial()
        found.kept.keep(1, 0.0)
        found.kept.receive([2], 0.0)
        told = found.report(5.0)
        self.assertEqual((told.kept, told.verdict), ((1,), Verdict.UNSURE))
        self.assertIsNone(told.elapsed)
        self.assertGreater(told.opens_in, 0.0)
        found.start_observed = found.open = found.trusted = True
        told = found.report(5.0, whole=True)
        self.assertEqual((told.kept, told.verdict), ((1, 2), Verdict.GOOD))
        self.assertEqual((told.elapsed, told.opens_in), (5.0, 0.0))
        found.rejected = True
        self.assertIs(found.report(5.0).verdict, Verdict.BAD)

    def test_a_verdict_is_told_as_soon_as_sessions_are_moved_by_it(self):
        found = trial()
        found.own = answers(20, 0)
        for at, told in ((RAMP_START - 0.1, Verdict.UNSURE), (RAMP_END, Verdict.GOOD)):
            with self.subTest(at=at):
                self.assertIs(found.report(at * SECONDS).verdict, told)
        self.assertFalse(found.trusted)
