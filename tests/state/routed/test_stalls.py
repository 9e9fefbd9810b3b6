# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the decisions about work that waits in vain at an endpoint."""

from __future__ import annotations

import unittest
from dataclasses import replace

from walnutquay.state.routed.pauses import READS_PER_PART, PauseMeter
from walnutquay.state.routed.retrypauses import (
    MAX_SHARE,
    SPREAD,
    QuickFailure,
    retry_pause,
)
from walnutquay.state.routed.stalls import (
    ANSWER_MARGIN_SECONDS,
    MIN_FRESH,
    Action,
    HeadWait,
    MoveLimit,
    StreamGap,
    StreamPace,
    Turnover,
    answer_margin,
    judge_gap,
    judge_head,
    judge_pace,
)
from walnutquay.state.routed.usualtimes import (
    MAX_AGE_SECONDS,
    MAX_ANSWERS,
    MAX_KINDS,
    MIN_ANSWERS,
    Duration,
    RecentTimes,
    Usual,
)

USUAL = Usual(middle=0.1, high=0.2, age=0.1, fresh=9)
WAIT = HeadWait(
    waited=1.0,
    seconds_left=4.0,
    allowed=5.0,
    objective=1.0,
    movable=True,
    begun=False,
    turnover=Turnover.SILENT,
)


class HeadTest(unittest.TestCase):
    """One endpoint of several begins a request late or never."""

    def action(self, usual: Usual | None = USUAL, **changes: object) -> Action:
        return judge_head(replace(WAIT, **changes), usual).action

    def test_wait_in_vain_is_moved(self):
        self.assertIs(self.action(), Action.MOVE)
        self.assertIs(self.action(begun=True), Action.MOVE)

    def test_usual_wait_is_kept(self):
        self.assertIs(self.action(waited=0.25), Action.KEEP)
        self.assertIs(self.action(waited=0.35), Action.KEEP)

    def test_an_endpoint_that_begins_later_requests_is_given_less_time(self):
        limits = [
            judge_head(replace(WAIT, turnover=turnover), USUAL).limit
            for turnover in (Turnover.PASSED_OVER, Turnover.SILENT, Turnover.QUEUED)
        ]
        self.assertEqual(limits, sorted(set(limits)))

    def test_nothing_is_moved_where_all_are_slow(self):
        # The others' times have grown as the wait has, or they answer nothing.
        slow = Usual(middle=0.8, high=1.5, age=0.1, fresh=9)
        self.assertIs(self.action(slow, waited=2.5), Action.KEEP)
        silent = replace(USUAL, fresh=MIN_FRESH - 1)
        self.assertIs(self.action(silent), Action.KEEP)

    def test_nothing_is_moved_where_nothing_is_known(self):
        self.assertIs(self.action(None), Action.KEEP)

    def test_a_long_prompt_may_take_longer(self):
        self.assertIs(self.action(forecast=0.8), Action.KEEP)
        self.assertIs(self.action(forecast=0.4), Action.MOVE)

    def test_a_second_attempt_must_be_worth_it(self):
        self.assertIs(self.action(reading=0.6), Action.KEEP)
        self.assertIs(self.action(reading=0.4), Action.MOVE)

    def test_a_second_attempt_must_end_before_the_deadline(self):
        self.assertIs(self.action(seconds_left=0.09), Action.KEEP)
        self.assertIs(self.action(seconds_left=0.11), Action.MOVE)

    def test_unsafe_work_is_never_moved(self):
        for turnover in Turnover:
            for waited in (0.1, 1.0, 9.0):
                with self.subTest(turnover=turnover, waited=waited):
                    action = self.action(
                        movable=False, waited=waited, turnover=turnover
                    )
                    self.assertIs(action, Action.KEEP)

    def test_a_caller_is_told_before_its_deadline(self):
        left = ANSWER_MARGIN_SECONDS
        for movable in (False, True):
            for usual in (None, USUAL):
                with self.subTest(movable=movable, usual=usual):
                    action = self.action(usual, movable=movable, seconds_left=left)
                    self.assertIs(action, Action.END)

    def test_a_stream_that_has_begun_is_not_ended(self):
        left = ANSWER_MARGIN_SECONDS
        action = self.action(begun=True, movable=False, seconds_left=left)
        self.assertIs(action, Action.KEEP)

    def test_a_short_time_keeps_most_of_it(self):
        self.assertAlmostEqual(answer_margin(0.1), 0.01)
        self.assertEqual(answer_margin(5.0), ANSWER_MARGIN_SECONDS)


class GapTest(unittest.TestCase):
    """A stream falls silent while others go on."""

    gap = StreamGap(silent=2.0, seconds_left=5.0, pause=1.0)
    gaps = Usual(middle=0.1, high=0.3, age=0.1, fresh=9)

    def action(self, usual: Usual | None = None, **changes: object) -> Action:
        gap = replace(self.gap, **changes)
        return judge_gap(gap, usual or self.gaps, USUAL).action

    def test_long_silence_is_moved(self):
        self.assertIs(self.action(), Action.MOVE)

    def test_usual_silence_is_kept(self):
        self.assertIs(self.action(silent=0.5), Action.KEEP)

    def test_silence_of_all_is_kept(self):
        self.assertIs(self.action(replace(self.gaps, high=3.0)), Action.KEEP)
        self.assertIs(self.action(replace(self.gaps, fresh=0)), Action.KEEP)

    def test_a_prompt_that_takes_long_to_read_again_is_kept(self):
        self.assertIs(self.action(reading=1.5), Action.KEEP)

    def test_unknown_times_move_nothing(self):
        self.assertIs(judge_gap(self.gap, None, USUAL).action, Action.KEEP)
        self.assertIs(judge_gap(self.gap, self.gaps, None).action, Action.KEEP)


class PaceTest(unittest.TestCase):
    """A stream crawls at an engine while others of its kind end in time."""

    pace = StreamPace(pause=0.5, events=10, seconds_left=5.0)
    pauses = Usual(middle=0.04, high=0.08, age=0.1, fresh=9)
    lengths = Usual(middle=60.0, high=90.0, age=0.1, fresh=9)

    def action(self, pauses: Usual | None = None, **changes: object) -> Action:
        pace = replace(self.pace, **changes)
        return judge_pace(pace, pauses or self.pauses, self.lengths, USUAL).action

    def test_crawling_stream_is_moved(self):
        self.assertIs(self.action(), Action.MOVE)

    def test_stream_that_ends_in_time_is_kept(self):
        self.assertIs(self.action(seconds_left=30.0), Action.KEEP)
        self.assertIs(self.action(events=55), Action.KEEP)

    def test_stream_beyond_the_usual_length_is_kept(self):
        self.assertIs(self.action(events=61), Action.KEEP)

    def test_nothing_is_moved_where_all_crawl(self):
        slow = Usual(middle=0.3, high=0.5, age=0.1, fresh=9)
        self.assertIs(self.action(slow), Action.KEEP)
        self.assertIs(self.action(replace(self.pauses, fresh=0)), Action.KEEP)

    def test_stream_that_ends_in_time_nowhere_is_kept(self):
        self.assertIs(self.action(seconds_left=2.0), Action.KEEP)


class MoveLimitTest(unittest.TestCase):
    """A slow moment of a whole service does not move all its requests."""

    def test_a_small_share_is_moved(self):
        limit = MoveLimit()
        moved = sum(limit.take(100, now / 100) for now in range(200))
        # The burst of one second, and two seconds at a fifth of the requests.
        self.assertLessEqual(moved, 20 + 2 * 20)
        self.assertGreater(moved, 20)

    def test_a_vm_with_few_requests_moves_one(self):
        limit = MoveLimit()
        self.assertTrue(limit.take(1, 10.0))
        self.assertFalse(limit.take(1, 10.1))
        self.assertTrue(limit.take(1, 12.2))


class RecentTimesTest(unittest.TestCase):
    """What is usual is learnt from recent answers of other endpoints."""

    def filled(self, values: list[float], endpoint: str = "a") -> RecentTimes:
        times = RecentTimes()
        for value in values:
            times.learn("kind", Duration(endpoint, value, 10.0, 10.0 + value))
        return times

    def test_quantiles(self):
        times = self.filled([n / 20 for n in range(1, 21)])
        usual = times.elsewhere("kind", {"b"}, 5.0, 11.0)
        self.assertEqual((usual.middle, usual.high, usual.fresh), (0.55, 1.0, 20))

    def test_own_answers_do_not_count(self):
        times = self.filled([0.1] * MIN_ANSWERS)
        self.assertIsNone(times.elsewhere("kind", {"a"}, 5.0, 11.0))

    def test_too_few_and_old_answers_do_not_count(self):
        few = self.filled([0.1] * (MIN_ANSWERS - 1))
        self.assertIsNone(few.elsewhere("kind", set(), 5.0, 11.0))
        many = self.filled([0.1] * MIN_ANSWERS)
        late = 11.0 + MAX_AGE_SECONDS
        self.assertIsNone(many.elsewhere("kind", set(), 5.0, late))

    def test_answers_of_earlier_requests_are_not_fresh(self):
        times = self.filled([0.1] * MIN_ANSWERS)
        self.assertEqual(times.elsewhere("kind", set(), 10.05, 11.0).fresh, 0)

    def test_answers_given_meanwhile(self):
        times = self.filled([0.1])
        times.learn("kind", Duration("a", 0.1, 10.05, 10.15))
        self.assertEqual(times.answered_since("kind", "a", 10.02), [False, True])
        self.assertEqual(times.answered_since("kind", "b", 10.02), [])

    def test_memory_is_bounded(self):
        times = self.filled([0.1] * 1000)
        self.assertEqual(len(times.kinds.entries["kind"]), MAX_ANSWERS)
        for number in range(2 * MAX_KINDS):
            times.learn(f"model-{number}", Duration("a", 0.1, 1.0, 1.1))
        self.assertEqual(len(times.kinds.entries), MAX_KINDS)


class PauseMeterTest(unittest.TestCase):
    """Pauses are the endpoint's, not the caller's."""

    def test_a_caller_that_reads_slowly(self):
        meter, now = PauseMeter(0.0), 0.0
        for number in range(1, READS_PER_PART + 1):
            now += 0.5
            part = meter.received(2, now)
            self.assertEqual(part is None, number < READS_PER_PART)
            now += 9.0
            meter.passed_on(now)
        self.assertAlmostEqual(part.mean, 0.25)
        self.assertAlmostEqual(part.longest, 0.5)


class RetryPauseTest(unittest.TestCase):
    """Endpoints reset each connection for some seconds."""

    failure = QuickFailure(
        attempts=1,
        took=0.02,
        age=0.1,
        seconds_left=17.0,
        objective=3.0,
        expected=0.3,
    )

    def pause(self, chance: float = 0.0, **changes: object) -> float:
        return retry_pause(replace(self.failure, **changes), chance)

    def test_pauses_grow_up_to_a_small_part_of_the_objective(self):
        pauses = [self.pause(attempts=n) for n in (1, 2, 3, 9)]
        self.assertLess(0.0, pauses[0])
        self.assertLess(pauses[0], pauses[1])
        self.assertLessEqual(max(pauses), MAX_SHARE * self.failure.objective)

    def test_chance_spreads_them(self):
        longest = self.pause()
        self.assertAlmostEqual(self.pause(chance=1.0), longest * (1.0 - SPREAD))

    def test_a_slow_failure_is_retried_at_once(self):
        self.assertEqual(self.pause(took=0.4), 0.0)

    def test_no_wait_misses_the_objective(self):
        self.assertEqual(self.pause(age=2.65), 0.0)
        self.assertEqual(self.pause(age=4.0), 0.0)

    def test_no_wait_misses_the_deadline(self):
        self.assertEqual(self.pause(seconds_left=0.5), 0.0)

    def test_a_stream_that_has_begun_does_not_wait(self):
        self.assertEqual(self.pause(begun=True), 0.0)
