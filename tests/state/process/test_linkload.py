# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a VM's link carries, and how late other VMs answer."""

from __future__ import annotations

import unittest

from walnutquay.state.process.linkload import COUNTED_SECONDS, FlowRate, LinkLoad
from walnutquay.state.process.roundtrips import (
    GIVE_UP_SECONDS,
    VALID_SECONDS,
    RoundTrips,
)


class FlowRateTest(unittest.TestCase):
    """Bytes a second, over the last second or so."""

    def test_even_flow(self):
        rate = FlowRate()
        for step in range(1000):
            rate.add(10, step * 0.01)
        self.assertAlmostEqual(rate.per_second(10.0), 1000.0, delta=30.0)

    def test_old_bytes_do_not_count(self):
        rate = FlowRate()
        rate.add(1000, 1.0)
        self.assertEqual(rate.per_second(1.0 + COUNTED_SECONDS), 0.0)

    def test_both_directions(self):
        load = LinkLoad()
        load.send(10, 1.0)
        load.receive(20, 1.0)
        self.assertEqual(load.sent.per_second(1.0), 10.0)
        self.assertEqual(load.received.per_second(1.0), 20.0)


class RoundTripsTest(unittest.TestCase):
    """Each round of questions is timed by its first answer."""

    def setUp(self) -> None:
        self.trips = RoundTrips()

    def answered(self, sent_at: float, took: float) -> None:
        """Play a round with one answer."""
        self.trips.end(self.trips.begin(sent_at), sent_at + took)

    def test_nothing_is_known_at_first(self):
        self.trips.begin(1.0)
        self.assertEqual(self.trips.wait(1.0), 0.0)
        self.assertEqual(self.trips.wait(2.0), 0.0)

    def test_first_answer_counts(self):
        number = self.trips.begin(1.0)
        self.trips.end(number, 1.01)
        self.trips.end(number, 1.9)
        self.assertAlmostEqual(self.trips.wait(1.9), 0.01)

    def test_first_answer_of_all_may_come_late(self):
        number = self.trips.begin(1.0)
        self.trips.wait(1.5)
        self.trips.end(number, 2.0)
        self.assertAlmostEqual(self.trips.wait(2.0), 1.0)

    def test_round_under_way_counts_once_it_takes_longer(self):
        self.answered(1.0, 0.01)
        self.trips.begin(1.1)
        self.assertAlmostEqual(self.trips.wait(1.6), 0.5)

    def test_lost_round_does_not_count_once_a_later_one_is_answered(self):
        self.answered(1.0, 0.01)
        self.trips.begin(1.1)
        self.answered(1.2, 0.01)
        self.assertAlmostEqual(self.trips.wait(1.3), 0.01)

    def test_old_result_does_not_count(self):
        self.answered(1.0, 0.5)
        self.assertEqual(self.trips.wait(1.6 + VALID_SECONDS), 0.0)

    def test_nothing_is_known_where_the_others_have_fallen_silent(self):
        self.answered(1.0, 0.01)
        self.trips.begin(1.1)
        self.assertEqual(self.trips.wait(1.2 + GIVE_UP_SECONDS), 0.0)

    def test_answers_of_older_vms_and_twice_are_ignored(self):
        self.trips.begin(1.0)
        self.trips.end(0, 1.5)
        self.trips.end(7, 1.5)
        self.assertEqual(self.trips.wait(1.5), 0.0)

    def test_memory_is_bounded(self):
        self.answered(1.0, 0.01)
        for step in range(1000):
            self.trips.begin(2.0 + step)
            self.trips.wait(2.0 + step)
        self.assertLess(len(self.trips.unanswered), 10)
