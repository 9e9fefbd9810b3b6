# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the permits for requests to rate-limited endpoints, and of their issuers."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from walnutquay.state.process.ids import EndpointName, VmName
from walnutquay.state.routed.permits import (
    BURST,
    FAIR_EVERY,
    MAX_WAIT_SECONDS,
    TOLERANCE_SECONDS,
    PermitQueue,
    Verdict,
    hall_issuer,
    hall_rate,
    primary_issuer,
    primary_rate,
    tolerated_requests,
)

E1 = EndpointName("e1")
VMS = [VmName(f"vm-{number}") for number in range(61)]
LIMITS = (0.0, 0.2, 0.5, 1.2, 1.9, 4.0, 8.0, 100.0)
URGENT, NORMAL = 0, 1


class IssuerTest(unittest.TestCase):
    """Which VM issues the permits of an endpoint."""

    def test_vms_with_the_same_list_agree(self):
        found = primary_issuer(E1, VMS)
        self.assertEqual(found, primary_issuer(E1, list(reversed(VMS))))

    def test_the_issuer_of_a_hall_is_another_vm(self):
        primary = primary_issuer(E1, VMS)
        self.assertNotIn(hall_issuer(E1, VMS, primary), (None, primary))

    def test_no_vm_is_known(self):
        self.assertIsNone(primary_issuer(E1, []))
        self.assertIsNone(hall_issuer(E1, VMS[:1], VMS[0]))


class RateTest(unittest.TestCase):
    """All issuers together stay within what an endpoint tolerates."""

    def in_span(self, rate: float) -> float:
        """Return the most permits of an issuer within a span of tolerance."""
        return rate * TOLERANCE_SECONDS + BURST if rate else 0.0

    def test_two_primary_issuers(self):
        for limit in LIMITS:
            both = 2.0 * self.in_span(primary_rate(limit))
            self.assertLessEqual(both, tolerated_requests(limit) + 1e-9)

    def test_the_primary_issuer_and_those_of_all_halls(self):
        for limit in LIMITS:
            for halls in (1, 2, 3, 4, 8):
                with self.subTest(limit=limit, halls=halls):
                    all_halls = halls * self.in_span(hall_rate(limit, halls))
                    total = self.in_span(primary_rate(limit)) + all_halls
                    self.assertLessEqual(total, tolerated_requests(limit) + 1e-9)

    def test_a_limit_is_used_and_not_exceeded(self):
        for limit in LIMITS[1:]:
            self.assertGreaterEqual(primary_rate(limit), 0.75 * limit)
            self.assertLessEqual(primary_rate(limit), limit)

    def test_a_hall_that_is_cut_off_gets_some(self):
        for limit in LIMITS[1:]:
            for halls in (1, 2, 3, 4):
                self.assertGreater(hall_rate(limit, halls), 0.0)


class PermitQueueTest(unittest.TestCase):
    """A token bucket with a queue."""

    def setUp(self) -> None:
        self.queue = PermitQueue(0.0)
        self.queue.set_rate(1.0, 0.0)

    def test_starts_empty(self):
        decision = self.queue.request(NORMAL, 0.0, 0.0)
        self.assertEqual(decision.verdict, Verdict.REJECTED)
        self.assertAlmostEqual(decision.wait, 1.0)

    def test_one_permit_at_a_time(self):
        self.assertEqual(self.queue.request(NORMAL, 0.0, 9.0).verdict, Verdict.GRANTED)
        self.assertEqual(self.queue.request(NORMAL, 0.0, 9.5).verdict, Verdict.REJECTED)
        self.assertEqual(self.queue.request(NORMAL, 0.0, 10.0).verdict, Verdict.GRANTED)

    def test_waits_only_if_a_permit_comes_in_time(self):
        first = self.queue.request(NORMAL, 1.5, 0.0)
        self.assertEqual(first.verdict, Verdict.QUEUED)
        self.assertEqual(self.queue.request(NORMAL, 1.5, 0.0).verdict, Verdict.REJECTED)
        self.assertEqual(self.queue.issue(0.9), [])
        self.assertEqual(self.queue.issue(1.0), [first.number])

    def test_the_more_urgent_go_first(self):
        normal = self.queue.request(NORMAL, 5.0, 0.0).number
        urgent = self.queue.request(URGENT, 5.0, 0.1).number
        self.assertEqual(self.queue.issue(1.0), [urgent])
        self.assertEqual(self.queue.issue(2.0), [normal])

    def test_the_less_urgent_are_not_starved(self):
        issued = []
        normal = self.queue.request(NORMAL, 99.0, 0.0).number
        for second in range(FAIR_EVERY + 1):
            self.queue.request(URGENT, 99.0, second + 0.1)
            issued += self.queue.issue(second + 1.0)
        self.assertIn(normal, issued)

    def test_those_that_leave_get_no_permit(self):
        first = self.queue.request(NORMAL, 5.0, 0.0).number
        second = self.queue.request(NORMAL, 5.0, 0.0).number
        self.queue.leave(first)
        self.assertEqual(self.queue.issue(1.0), [second])

    def test_waits_grow_with_the_rejected_and_are_bounded(self):
        waits = [self.queue.request(NORMAL, 0.0, 0.0).wait for _ in range(99)]
        self.assertEqual(waits, sorted(waits))
        self.assertGreater(waits[20], waits[0])
        self.assertEqual(waits[-1], MAX_WAIT_SECONDS)

    @given(
        st.lists(
            st.tuples(
                st.floats(0.0, 0.5),
                st.floats(0.0, 3.0),
                st.integers(0, 2),
                st.booleans(),
            ),
            max_size=80,
        ),
        st.floats(0.1, 8.0),
    )
    def test_no_span_gets_more_than_the_rate_and_the_burst(
        self, steps: list[tuple[float, float, int, bool]], rate: float
    ):
        queue = PermitQueue(0.0)
        queue.set_rate(rate, 0.0)
        now, times = 0.0, []
        for pause, patience, priority, issue in steps:
            now += pause
            if issue:
                times += [now] * len(queue.issue(now))
            elif queue.request(priority, patience, now).verdict is Verdict.GRANTED:
                times.append(now)
        for number, at in enumerate(times):
            in_span = sum(at <= one <= at + 4.0 for one in times[number:])
            self.assertLessEqual(in_span, rate * 4.0 + BURST + 1e-6)


if __name__ == "__main__":
    unittest.main()
