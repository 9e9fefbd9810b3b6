# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which new connections are taken while one VM gets most of them."""

from __future__ import annotations

import unittest

from walnutquay.state.fleet.connectiongate import (
    BUSY_SECONDS,
    KNOWN_SECONDS,
    LEAST_SHARE,
    MEASURED_CONNECTIONS,
    STEP_SECONDS,
    ConnectionGate,
    VmArrivals,
)
from walnutquay.state.process.ids import VmName

LONG, SHORT = 2 * BUSY_SECONDS, 0.1 * BUSY_SECONDS
# Connections a second here, and at VMs that are handed few.
MANY, FEW = 100, 5.0


class ConnectionGateTest(unittest.TestCase):
    """A gate that sees connections at even intervals."""

    def setUp(self) -> None:
        self.gate = ConnectionGate()
        self.now = 100.0

    def connect(self, seconds: float, wait: float, others: VmArrivals | None) -> None:
        """Let connections come for some time, while others tell of themselves."""
        for _ in range(round(seconds * MANY)):
            self.now += 1 / MANY
            if others is not None:
                self.gate.hear(VmName("vm-2"), others, self.now)
            self.gate.takes(wait, 0.0, self.now)

    def test_shed_where_others_are_idle(self):
        self.connect(4.0, LONG, VmArrivals(FEW, SHORT))
        self.assertAlmostEqual(self.gate.share, LEAST_SHARE)
        self.assertTrue(self.gate.takes(LONG, LEAST_SHARE / 2, self.now))
        self.assertFalse(self.gate.takes(LONG, 2 * LEAST_SHARE, self.now))

    def test_all_taken_where_all_are_equally_busy(self):
        for others in (VmArrivals(MANY, LONG), VmArrivals(MANY, SHORT)):
            self.connect(2.0, LONG, others)
            self.assertEqual(self.gate.share, 1.0)

    def test_all_taken_where_others_wait_too(self):
        self.connect(2.0, LONG, VmArrivals(FEW, LONG))
        self.assertEqual(self.gate.share, 1.0)

    def test_all_taken_where_nobody_tells_anything(self):
        self.connect(2.0, LONG, None)
        self.assertEqual(self.gate.share, 1.0)

    def test_old_news_do_not_count(self):
        self.gate.hear(VmName("vm-2"), VmArrivals(FEW, SHORT), self.now)
        self.now += KNOWN_SECONDS
        self.connect(1.0, LONG, None)
        self.assertEqual(self.gate.share, 1.0)

    def test_all_taken_while_nobody_waits(self):
        self.connect(2.0, SHORT, VmArrivals(FEW, SHORT))
        self.assertEqual(self.gate.share, 1.0)

    def test_taken_again_once_nobody_waits(self):
        self.connect(2.0, LONG, VmArrivals(FEW, SHORT))
        self.connect(40 * STEP_SECONDS, SHORT, VmArrivals(FEW, SHORT))
        self.assertEqual(self.gate.share, 1.0)

    def test_taken_at_once_where_few_come_after_a_storm(self):
        self.connect(2.0, LONG, VmArrivals(FEW, SHORT))
        self.assertLess(self.gate.share, 1.0)
        self.now += 5.0
        for _ in range(MEASURED_CONNECTIONS - 1):
            self.assertTrue(self.gate.takes(LONG, 1.0, self.now))

    def test_wait_is_measured_for_many_connections_only(self):
        for _ in range(MEASURED_CONNECTIONS - 1):
            self.gate.takes(SHORT, 0.0, self.now)
        self.assertFalse(self.gate.needs_wait(self.now))
        self.gate.takes(SHORT, 0.0, self.now)
        self.assertTrue(self.gate.needs_wait(self.now))
        self.assertFalse(self.gate.needs_wait(self.now + 2.0))
