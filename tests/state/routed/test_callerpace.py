# Licensed under the Apache License 2.0: see LICENSE for details.

"""How long a caller keeps its answer waiting."""

from __future__ import annotations

import unittest

from walnutquay.state.routed.callerpace import (
    CAUGHT_UP_SECONDS,
    HOLD_SECONDS,
    CallerPace,
)

SOON = 0.01


class CallerPaceTest(unittest.TestCase):
    """A break is the caller's after a hold, until the answer is up to date again."""

    def setUp(self) -> None:
        self.now = 100.0
        self.pace = CallerPace(self.now)

    def part(self, wait: float, hold: float) -> None:
        """Receive a part after some time, and pass it on."""
        self.now += wait
        self.pace.received(self.now)
        self.now += hold
        self.pace.passed_on(self.now)

    def test_a_caller_who_reads(self):
        for _ in range(1000):
            self.part(SOON, SOON)
        self.assertFalse(self.pace.explains_break())

    def test_after_a_hold(self):
        self.part(SOON, HOLD_SECONDS)
        self.assertTrue(self.pace.explains_break())
        # What the endpoint had sent before it gave up still comes.
        self.part(SOON, SOON)
        self.assertTrue(self.pace.explains_break())

    def test_once_the_endpoint_was_waited_for(self):
        self.part(SOON, HOLD_SECONDS)
        self.part(CAUGHT_UP_SECONDS, SOON)
        self.assertFalse(self.pace.explains_break())

    def test_holds_are_not_the_endpoints_time(self):
        self.part(SOON, 2.0)
        self.part(SOON, 3.0)
        self.assertAlmostEqual(self.pace.held, 5.0)
