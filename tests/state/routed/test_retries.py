# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the retry window.

The fleet respects the platform's limit on retries, and a single VM of many still gets
the retries that it needs.
"""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from walnutquay.state.routed.retries import RetryWindow

SHARE = 0.83
WINDOW_SECONDS = 10.0
# The additional retries that the whole fleet may make in a window.
RESERVE = 396.0


@dataclass
class Traffic:
    """The times of first attempts and of retries; seconds."""

    first: list[float] = field(default_factory=list)
    repeated: list[float] = field(default_factory=list)

    def excess(self, reserve: float) -> float:
        """Return the largest number of retries above the limit in any window.

        The limit is based on the first attempts in the same window, in the previous
        one, or in the one that ends half a window earlier, whichever are most.
        """
        return max((self.excess_at(end, reserve) for end in self.repeated), default=0)

    def excess_at(self, end: float, reserve: float) -> float:
        """Return the number of retries above the limit in the window up to a time."""
        repeated = count_in_window(self.repeated, end)
        first = max(
            count_in_window(self.first, end - before)
            for before in (0.0, WINDOW_SECONDS / 2, WINDOW_SECONDS)
        )
        return repeated - SHARE * first - reserve


def count_in_window(times: list[float], end: float) -> int:
    """Return the number of times that lie in the window up to a given time."""
    return sum(end - WINDOW_SECONDS < at <= end for at in times)


class GiveBackTest(unittest.TestCase):
    """A retry that was allowed but not sent is not counted."""

    def test_once(self):
        window = RetryWindow(0.0, 1.0, WINDOW_SECONDS)
        self.assertTrue(window.take(0.0))
        self.assertFalse(window.take(1.0))
        window.give_back(1.0)
        self.assertTrue(window.take(1.0))

    def test_nothing_to_give_back(self):
        window = RetryWindow(0.0, 1.0, WINDOW_SECONDS)
        window.give_back(0.0)
        self.assertEqual(window.left(0.0), 1.0)


class LimitTest(unittest.TestCase):
    """No window exceeds the limit, whatever the arrival pattern."""

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(st.tuples(st.floats(0.0, 2.0), st.integers(0, 3)), max_size=150),
        st.floats(0.0, 8.0),
    )
    def test_the_limit_holds_for_one_vm(self, steps, reserve):
        window = RetryWindow(SHARE, reserve, WINDOW_SECONDS)
        traffic = Traffic()
        now = 100.0
        for pause, retries in steps:
            now += pause
            window.first_try(now)
            traffic.first.append(now)
            for _ in range(retries):
                if window.take(now):
                    traffic.repeated.append(now)
        self.assertLessEqual(traffic.excess(reserve), 0.0)


class FleetTest(unittest.TestCase):
    """A fleet of 195 VMs that each get 1.3 requests a second, some three at a time.

    Three in five requests are retried with a larger model.  A token bucket that holds
    this VM's part of the reserve, two retries, refuses 41 in 100 of them, and the part
    of the share that overflows the bucket is lost for later requests.
    """

    vms = 195
    per_second = 1.3
    burst_size = 3
    seconds = 40.0

    def simulate(self, retry_share: float) -> tuple[int, int, Traffic]:
        """Simulate the fleet.

        :param retry_share: the share of requests that are retried.
        :returns: the retries requested after the first 10 s, those of them that were
            refused, and all traffic.
        """
        rng = random.Random(5)
        traffic = Traffic()
        requested = refused = 0
        for _ in range(self.vms):
            window = RetryWindow(SHARE, RESERVE / self.vms, WINDOW_SECONDS)
            now = 0.0
            while True:
                now += rng.expovariate(self.per_second / self.burst_size)
                if now >= self.seconds:
                    break
                count = int(rng.expovariate(1.0 / self.burst_size)) + 1
                for _ in range(count):
                    window.first_try(now)
                    traffic.first.append(now)
                for _ in range(count):
                    if rng.random() >= retry_share:
                        continue
                    allowed = window.take(now)
                    if allowed:
                        traffic.repeated.append(now)
                    requested += now > WINDOW_SECONDS
                    refused += now > WINDOW_SECONDS and not allowed
        return requested, refused, traffic

    def test_few_retries_are_refused(self):
        requested, refused, _ = self.simulate(0.6)
        self.assertLess(refused, 0.05 * requested)

    def test_a_retry_storm_is_limited(self):
        _, refused, traffic = self.simulate(1.0)
        self.assertGreater(refused, 0)
        ends = [end for end in traffic.repeated if end > WINDOW_SECONDS]
        for end in ends[::97]:
            self.assertLessEqual(traffic.excess_at(end, RESERVE), 0.0)


class WindowTest(unittest.TestCase):
    """The requests that are counted, and for how long."""

    def test_first_attempts_count_for_one_window(self):
        window = RetryWindow(SHARE, 0.0, WINDOW_SECONDS)
        for _ in range(10):
            window.first_try(100.0)
        self.assertAlmostEqual(window.left(100.0), 10 * SHARE)
        self.assertAlmostEqual(window.left(100.0 + 0.9 * WINDOW_SECONDS), 10 * SHARE)
        self.assertEqual(window.left(100.0 + WINDOW_SECONDS), 0.0)

    def test_retries_are_available_again_after_a_window(self):
        window = RetryWindow(SHARE, 1.0, WINDOW_SECONDS)
        self.assertTrue(window.take(100.0))
        self.assertFalse(window.take(100.0 + WINDOW_SECONDS - 0.01))
        self.assertTrue(window.take(100.0 + 1.1 * WINDOW_SECONDS))

    def test_the_number_of_intervals_is_bounded(self):
        window = RetryWindow(SHARE, 1.0, WINDOW_SECONDS)
        for step in range(10_000):
            window.first_try(step * 0.1)
            window.left(step * 0.1)
        self.assertLess(len(window.intervals), 25)
