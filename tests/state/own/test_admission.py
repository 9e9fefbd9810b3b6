# Licensed under the Apache License 2.0: see LICENSE for details.

"""Queues, fair shares, deadlines and the retry budget."""

from __future__ import annotations

import unittest
from collections import Counter

from walnutquay.state.own.admission import PoolQueue, QueuedRequest, RetryBudget
from walnutquay.state.process.ids import WorkKind
from walnutquay.state.requests.refusals import RefusalCode
from walnutquay.state.store.parts import Pool


def queue(length: int = 10) -> PoolQueue:
    """:returns: an empty queue."""
    return PoolQueue(Pool(name="p", work=WorkKind.PATIENT, queue_length=length))


def waiting(
    request: str,
    organisation: str = "org",
    weight: float = 1.0,
    deadline: float = 100.0,
    target: str = "v",
) -> QueuedRequest:
    """:returns: a request that waits."""
    return QueuedRequest(request, organisation, weight, deadline, target)


def anything(_: QueuedRequest) -> bool:
    """Room for everything."""
    return True


class QueueTest(unittest.TestCase):
    """What joins, what is refused at once, and who is next."""

    def test_first_come_first_served_within_an_organisation(self):
        line = queue()
        for name in "abc":
            self.assertIsNone(line.offer(waiting(name), 0.0, 1))
        served = [line.next(anything, 0.0).request for _ in range(3)]
        self.assertEqual(served, ["a", "b", "c"])
        self.assertIsNone(line.next(anything, 0.0))
        self.assertEqual(line.length, 0)

    def test_refused_at_once_with_when_to_come_back(self):
        full = queue(length=2)
        for name in "ab":
            full.offer(waiting(name), 0.0, 1)
        refusal = full.offer(waiting("c"), 0.0, 1)
        self.assertEqual(refusal.code, RefusalCode.QUEUE_FULL)
        self.assertAlmostEqual(refusal.retry_after, 3 * full.mean_seconds)
        late = queue().offer(waiting("d", deadline=0.1), 0.0, 1)
        self.assertEqual(late.code, RefusalCode.DEADLINE)
        self.assertGreater(late.retry_after, 0)

    def test_shares_follow_weights(self):
        line = queue(length=1000)
        for number in range(200):
            for name, weight in (("large", 3.0), ("small", 1.0)):
                line.offer(waiting(f"{name}{number}", name, weight, 1e9), 0.0, 100)
        served = Counter(line.next(anything, 0.0).organisation for _ in range(100))
        self.assertEqual(served, {"large": 75, "small": 25})

    def test_a_newcomer_is_not_made_to_wait_behind_a_long_line(self):
        line = queue(length=1000)
        for number in range(100):
            line.offer(waiting(f"l{number}", "large", 1.0, 1e9), 0.0, 100)
        for _ in range(50):
            line.next(anything, 0.0)
        line.offer(waiting("s", "small", 1.0, 1e9), 0.0, 100)
        first_two = {line.next(anything, 0.0).organisation for _ in range(2)}
        self.assertIn("small", first_two)

    def test_one_organisation_cannot_fill_the_queue_against_the_rest(self):
        line = queue(length=10)
        line.offer(waiting("s0", "small"), 0.0, 100)
        for number in range(20):
            line.offer(waiting(f"l{number}", "large"), 0.0, 100)
        self.assertIsNone(line.offer(waiting("s1", "small"), 0.0, 100))

    def lines(self, large: int, small: int) -> PoolQueue:
        """:returns: a queue in which two organisations have so many waiting."""
        line = queue(length=1000)
        for name, count in (("large", large), ("small", small)):
            for number in range(count):
                line.offer(waiting(f"{name}{number}", name, deadline=1e9), 0.0, 1)
        return line

    def test_the_wait_is_that_of_the_organisations_turns(self):
        each = self.lines(0, 0).mean_seconds
        for large, small, name, before in (
            (0, 0, "small", 1),
            (50, 0, "small", 2),
            (50, 3, "small", 8),
            (50, 3, "large", 54),
            (2, 50, "small", 53),
        ):
            with self.subTest(large=large, small=small, name=name):
                wait = self.lines(large, small).expected_wait(1, name, 1.0)
                self.assertAlmostEqual(wait, before * each)

    def test_a_long_line_of_one_refuses_no_other_its_deadline(self):
        line = self.lines(50, 0)
        soon = 3 * line.mean_seconds
        large = line.offer(waiting("l", "large", deadline=soon), 0.0, 1)
        self.assertEqual(large.code, RefusalCode.DEADLINE)
        self.assertIsNone(line.offer(waiting("s", "small", deadline=soon), 0.0, 1))

    def test_what_it_got_lately_says_how_long_it_waits(self):
        line = self.lines(50, 50)
        now = 0.0
        for _ in range(40):
            now += 5.0
            line.next(lambda item: item.organisation == "large", now)
        self.assertAlmostEqual(line.expected_wait(1, "large", 1.0), 11 * 5.0)
        # Once its line is empty the past says nothing.
        while line.next(lambda item: item.organisation == "large", now):
            pass
        each = line.mean_seconds
        self.assertAlmostEqual(line.expected_wait(1, "large", 1.0), 2 * each)

    def test_a_start_that_is_too_late_for_the_answer_is_none(self):
        line = queue()
        for _ in range(100):
            line.record_duration(2.0)
        self.assertAlmostEqual(line.latest_start(10.0), 8.0, places=2)

    def test_what_has_no_room_lets_others_pass(self):
        line = queue()
        line.offer(waiting("a", target="busy"), 0.0, 1)
        line.offer(waiting("b", target="free"), 0.0, 1)
        served = line.next(lambda item: item.target == "free", 0.0)
        self.assertEqual(served.request, "b")
        self.assertIsNone(line.next(lambda item: item.target == "free", 0.0))

    def test_removal(self):
        line = queue()
        line.offer(waiting("a"), 0.0, 1)
        self.assertTrue(line.remove("a"))
        self.assertFalse(line.remove("a"))
        self.assertEqual(line.length, 0)


class RetryBudgetTest(unittest.TestCase):
    """Retries never exceed a share of the first tries, and a small reserve."""

    def test_bound(self):
        budget = RetryBudget(share=0.1, reserve=10)
        taken = 0
        for _ in range(1000):
            budget.first_try()
            taken += budget.take()
        self.assertLessEqual(taken, 10 + 100)
        self.assertGreater(taken, 90)
