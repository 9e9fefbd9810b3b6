# Licensed under the Apache License 2.0: see LICENSE for details.

"""Retries in a span: the fleet keeps to its bound, one VM of many is not starved."""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from walnutquay.state.routed.retries import RetryWindow

SHARE = 0.83
SPAN = 10.0
# The retries that a whole fleet may make besides in a span.
RESERVE = 396.0


@dataclass
class Traffic:
    """When requests came first, and when they were sent once more; seconds."""

    first: list[float] = field(default_factory=list)
    repeated: list[float] = field(default_factory=list)

    def excess(self, reserve: float) -> float:
        """:returns: the most by which a span holds more retries than it may.

        The first tries that count are those of the span, of the one before, or of the
        one half a span before, whichever are most.
        """
        return max((self.excess_at(end, reserve) for end in self.repeated), default=0)

    def excess_at(self, end: float, reserve: float) -> float:
        """:returns: by how much the span up to a time holds more than it may."""
        repeated = within(self.repeated, end)
        first = max(
            within(self.first, end - before) for before in (0.0, SPAN / 2, SPAN)
        )
        return repeated - SHARE * first - reserve


def within(times: list[float], end: float) -> int:
    """:returns: how many times lie in the span up to one."""
    return sum(end - SPAN < at <= end for at in times)


class BoundTest(unittest.TestCase):
    """No span holds more retries than it may, whatever comes."""

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(st.tuples(st.floats(0.0, 2.0), st.integers(0, 3)), max_size=150),
        st.floats(0.0, 8.0),
    )
    def test_one_vm(self, steps, reserve):
        window = RetryWindow(SHARE, reserve, SPAN)
        traffic = Traffic()
        now = 100.0
        for pause, tries in steps:
            now += pause
            window.first_try(now)
            traffic.first.append(now)
            for _ in range(tries):
                if window.take(now):
                    traffic.repeated.append(now)
        self.assertLessEqual(traffic.excess(reserve), 0.0)


class ManyVmsTest(unittest.TestCase):
    """One of 195 VMs gets 1.3 requests a second, some three at a time.

    Three of five are sent on to a larger model.  A bucket that holds this VM's part of
    the reserve, two retries, refuses 41 in 100 of these, and no later request makes use
    of the share that it could not hold.
    """

    vms = 195
    per_second = 1.3
    at_once = 3
    seconds = 40.0

    def play(self, share_repeated: float) -> tuple[int, int, Traffic]:
        """:returns: retries that were wanted after 10 s, and refused; all traffic."""
        rng = random.Random(5)
        traffic = Traffic()
        wanted = refused = 0
        for _ in range(self.vms):
            window = RetryWindow(SHARE, RESERVE / self.vms, SPAN)
            now = 0.0
            while True:
                now += rng.expovariate(self.per_second / self.at_once)
                if now >= self.seconds:
                    break
                count = int(rng.expovariate(1.0 / self.at_once)) + 1
                for _ in range(count):
                    window.first_try(now)
                    traffic.first.append(now)
                for _ in range(count):
                    if rng.random() >= share_repeated:
                        continue
                    taken = window.take(now)
                    if taken:
                        traffic.repeated.append(now)
                    wanted += now > SPAN
                    refused += now > SPAN and not taken
        return wanted, refused, traffic

    def test_few_are_refused(self):
        wanted, refused, _ = self.play(0.6)
        self.assertLess(refused, 0.05 * wanted)

    def test_a_storm_is_bounded(self):
        _, refused, traffic = self.play(1.0)
        self.assertGreater(refused, 0)
        ends = [end for end in traffic.repeated if end > SPAN]
        for end in ends[::97]:
            self.assertLessEqual(traffic.excess_at(end, RESERVE), 0.0)


class SpanTest(unittest.TestCase):
    """What is counted, and for how long."""

    def test_first_tries_count_for_a_span(self):
        window = RetryWindow(SHARE, 0.0, SPAN)
        for _ in range(10):
            window.first_try(100.0)
        self.assertAlmostEqual(window.left(100.0), 10 * SHARE)
        self.assertAlmostEqual(window.left(100.0 + 0.9 * SPAN), 10 * SHARE)
        self.assertEqual(window.left(100.0 + SPAN), 0.0)

    def test_retries_are_given_back_after_a_span(self):
        window = RetryWindow(SHARE, 1.0, SPAN)
        self.assertTrue(window.take(100.0))
        self.assertFalse(window.take(100.0 + SPAN - 0.01))
        self.assertTrue(window.take(100.0 + 1.1 * SPAN))

    def test_what_is_kept_is_bounded(self):
        window = RetryWindow(SHARE, 1.0, SPAN)
        for step in range(10_000):
            window.first_try(step * 0.1)
            window.left(step * 0.1)
        self.assertLess(len(window.slots), 25)
