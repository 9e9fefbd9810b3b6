# Licensed under the Apache License 2.0: see LICENSE for details.

"""How long bytes wait for a VM's link."""

from __future__ import annotations

import unittest

from walnutquay.state.process.linkload import (
    COUNTED_SECONDS,
    FlowRate,
    LinkLoad,
    bytes_per_second,
)

CAPACITY = 1000.0


class LinkLoadTest(unittest.TestCase):
    """What was sent and not yet carried waits."""

    def setUp(self) -> None:
        self.load = LinkLoad(CAPACITY)

    def test_nothing_waits_at_first(self):
        self.assertEqual(self.load.wait(5.0), 0.0)

    def test_what_is_sent_at_once_waits_for_the_link(self):
        self.load.send(500, 1.0)
        self.assertAlmostEqual(self.load.wait(1.0), 0.5)
        self.assertAlmostEqual(self.load.wait(1.3), 0.2)
        self.assertEqual(self.load.wait(2.0), 0.0)

    def test_a_link_that_keeps_up_has_no_queue(self):
        for step in range(100):
            self.load.send(10, step * 0.02)
        self.assertLess(self.load.wait(2.0), 0.02)

    def test_an_idle_time_is_not_saved_up(self):
        self.load.send(500, 100.0)
        self.assertAlmostEqual(self.load.wait(100.0), 0.5)

    def test_nothing_is_estimated_where_the_speed_is_not_known(self):
        load = LinkLoad()
        load.send(10**9, 1.0)
        self.assertEqual(load.wait(1.0), 0.0)

    def test_speed(self):
        self.assertEqual(bytes_per_second(8.0), 1_000_000.0)


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
