# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that end engines, in whole fleets in simulated time.

Seeds are fixed; more, larger fleets and other ways are played by hand with
``python -m lab.crashes.costs``.
"""

from __future__ import annotations

import unittest

from lab.crashes.costs import SIZES
from lab.crashes.fleet import CrashFleet, Moment
from walnutquay.state.requests.attribution import CRASHES_TO_BLOCK

# Sends of a blocked request that may come after a time in which VMs are in touch.
SENDS_AFTER = 3


class CrashFleetTest(unittest.TestCase):
    """Callers bring them again, through any VM, beside others' requests."""

    def play(
        self, seed: int, crashing: int, copies: int, moment: Moment = Moment.FIRST
    ) -> CrashFleet:
        """:returns: a small fleet that has been played."""
        size = SIZES[6]
        fleet = CrashFleet(
            seed,
            size.vms,
            size.engines,
            size.slots,
            size.rate,
            crashing,
            copies,
            moment=moment,
        )
        fleet.run()
        return fleet

    def test_one_ends_three_engines_and_others_are_served(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                found = self.play(seed, 1, 1).found
                self.assertEqual(list(found.ended.values()), [CRASHES_TO_BLOCK])
                self.assertEqual((found.refused, found.lost), (0, 0))
                self.assertGreater(found.hit, 0)

    def test_whenever_it_ends_them(self):
        for moment in Moment:
            for seed in range(3):
                with self.subTest(moment=moment.value, seed=seed):
                    found = self.play(seed, 1, 1, moment).found
                    self.assertEqual(list(found.ended.values()), [CRASHES_TO_BLOCK])
                    self.assertEqual(found.refused, 0)

    def test_many_copies_at_once(self):
        found = self.play(1, 1, 4).found
        self.assertLessEqual(max(found.ended.values()), SIZES[6].engines)
        self.assertLessEqual(max(found.sent_after.values(), default=0), SENDS_AFTER)
        self.assertEqual(found.refused, 0)

    def test_three_requests_at_once(self):
        found = self.play(1, 3, 1).found
        self.assertLessEqual(max(found.sent_after.values(), default=0), SENDS_AFTER)
        self.assertLess(found.refused, 3)
