# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of queues, fair shares, deadlines and the retry budget."""

from __future__ import annotations

import unittest
from collections import Counter

from walnutquay.state.own.admission import PoolQueue, QueuedRequest, RetryBudget
from walnutquay.state.process.ids import WorkKind
from walnutquay.state.requests.refusals import RefusalCode
from walnutquay.state.store.parts import Pool


def make_queue(length: int = 10) -> PoolQueue:
    """Return an empty queue."""
    return PoolQueue(Pool(name="p", work=WorkKind.PATIENT, queue_length=length))


def make_request(
    request: str,
    organisation: str = "org",
    weight: float = 1.0,
    deadline: float = 100.0,
    target: str = "v",
) -> QueuedRequest:
    """Return a request that waits."""
    return QueuedRequest(request, organisation, weight, deadline, target)


def can_always_run(_: QueuedRequest) -> bool:
    """Let any request run."""
    return True


class QueueTest(unittest.TestCase):
    """Queuing, immediate refusals, and the order of service."""

    def test_first_come_first_served_within_an_organisation(self):
        queue = make_queue()
        for name in "abc":
            self.assertIsNone(queue.offer(make_request(name), 0.0, 1))
        served = [queue.next(can_always_run, 0.0).request for _ in range(3)]
        self.assertEqual(served, ["a", "b", "c"])
        self.assertIsNone(queue.next(can_always_run, 0.0))
        self.assertEqual(queue.length, 0)

    def test_immediate_refusal_with_retry_after(self):
        full = make_queue(length=2)
        for name in "ab":
            full.offer(make_request(name), 0.0, 1)
        refusal = full.offer(make_request("c"), 0.0, 1)
        self.assertEqual(refusal.code, RefusalCode.QUEUE_FULL)
        self.assertAlmostEqual(refusal.retry_after, 3 * full.mean_seconds)
        late = make_queue().offer(make_request("d", deadline=0.1), 0.0, 1)
        self.assertEqual(late.code, RefusalCode.DEADLINE)
        self.assertGreater(late.retry_after, 0)

    def test_shares_follow_weights(self):
        queue = make_queue(length=1000)
        for number in range(200):
            for name, weight in (("large", 3.0), ("small", 1.0)):
                queue.offer(
                    make_request(f"{name}{number}", name, weight, 1e9), 0.0, 100
                )
        served = Counter(
            queue.next(can_always_run, 0.0).organisation for _ in range(100)
        )
        self.assertEqual(served, {"large": 75, "small": 25})

    def test_short_queue_is_served_soon_despite_a_long_one(self):
        queue = make_queue(length=1000)
        for number in range(100):
            queue.offer(make_request(f"l{number}", "large", 1.0, 1e9), 0.0, 100)
        for _ in range(50):
            queue.next(can_always_run, 0.0)
        queue.offer(make_request("s", "small", 1.0, 1e9), 0.0, 100)
        first_two = {queue.next(can_always_run, 0.0).organisation for _ in range(2)}
        self.assertIn("small", first_two)

    def test_one_organisation_cannot_crowd_out_the_others(self):
        queue = make_queue(length=10)
        queue.offer(make_request("s0", "small"), 0.0, 100)
        for number in range(20):
            queue.offer(make_request(f"l{number}", "large"), 0.0, 100)
        self.assertIsNone(queue.offer(make_request("s1", "small"), 0.0, 100))

    def queue_with(self, large: int, small: int) -> PoolQueue:
        """Return a queue with the given numbers of requests of two organisations."""
        queue = make_queue(length=1000)
        for name, count in (("large", large), ("small", small)):
            for number in range(count):
                queue.offer(make_request(f"{name}{number}", name, deadline=1e9), 0.0, 1)
        return queue

    def test_expected_wait_depends_on_the_organisations_share(self):
        mean = self.queue_with(0, 0).mean_seconds
        for large, small, name, requests in (
            (0, 0, "small", 1),
            (50, 0, "small", 2),
            (50, 3, "small", 8),
            (50, 3, "large", 54),
            (2, 50, "small", 53),
        ):
            with self.subTest(large=large, small=small, name=name):
                wait = self.queue_with(large, small).expected_wait(1, name, 1.0)
                self.assertAlmostEqual(wait, requests * mean)

    def test_long_queue_of_one_organisation_does_not_delay_others(self):
        queue = self.queue_with(50, 0)
        soon = 3 * queue.mean_seconds
        large = queue.offer(make_request("l", "large", deadline=soon), 0.0, 1)
        self.assertEqual(large.code, RefusalCode.DEADLINE)
        self.assertIsNone(
            queue.offer(make_request("s", "small", deadline=soon), 0.0, 1)
        )

    def test_expected_wait_follows_the_recent_interval(self):
        queue = self.queue_with(50, 50)
        now = 0.0
        for _ in range(40):
            now += 5.0
            queue.next(lambda item: item.organisation == "large", now)
        self.assertAlmostEqual(queue.expected_wait(1, "large", 1.0), 11 * 5.0)
        # The interval no longer counts once the organisation's queue has been empty.
        while queue.next(lambda item: item.organisation == "large", now):
            pass
        mean = queue.mean_seconds
        self.assertAlmostEqual(queue.expected_wait(1, "large", 1.0), 2 * mean)

    def test_latest_start_leaves_time_for_the_answer(self):
        queue = make_queue()
        for _ in range(100):
            queue.record_duration(2.0)
        self.assertAlmostEqual(queue.latest_start(10.0), 8.0, places=2)

    def test_request_that_cannot_run_is_skipped(self):
        queue = make_queue()
        queue.offer(make_request("a", target="busy"), 0.0, 1)
        queue.offer(make_request("b", target="free"), 0.0, 1)
        served = queue.next(lambda item: item.target == "free", 0.0)
        self.assertEqual(served.request, "b")
        self.assertIsNone(queue.next(lambda item: item.target == "free", 0.0))

    def test_remove(self):
        queue = make_queue()
        queue.offer(make_request("a"), 0.0, 1)
        self.assertTrue(queue.remove("a"))
        self.assertFalse(queue.remove("a"))
        self.assertEqual(queue.length, 0)


class RetryBudgetTest(unittest.TestCase):
    """Retries do not exceed a share of the first attempts plus a small reserve."""

    def test_retries_are_limited(self):
        budget = RetryBudget(share=0.1, reserve=10)
        retries = 0
        for _ in range(1000):
            budget.first_try()
            retries += budget.take()
        self.assertLessEqual(retries, 10 + 100)
        self.assertGreater(retries, 90)
