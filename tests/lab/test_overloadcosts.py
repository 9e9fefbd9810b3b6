# Licensed under the Apache License 2.0: see LICENSE for details.

"""The costs of shared slots are put together as the messages go."""

from __future__ import annotations

import unittest

from lab.overload.costs import (
    BOUNDS,
    MAX_BYTES,
    MAX_CORE,
    Cost,
    Keeper,
    request_costs,
    telling_bytes,
    verdict,
)
from walnutquay.coordination.routed.slotkeeper import tell_seconds

NAMES = (
    "AskSlot",
    "SlotIs, granted",
    "SlotIs, waiting",
    "SlotIs, denied",
    "SlotNews",
    "SlotReleased",
)


class CostsTest(unittest.TestCase):
    """Costs of messages, requests and VMs."""

    def test_each_course_counts_its_messages(self):
        ten = {name: Cost(10.0**n, 1.0, 2.0) for n, name in enumerate(NAMES)}
        courses = request_costs(ten)
        sizes = {name: cost.size for name, cost in courses.items()}
        self.assertEqual(sizes["granted at once"], 100_011)
        self.assertEqual(sizes["waits, then granted"], 110_202)
        self.assertEqual(sizes["refused"], 1_001)
        self.assertEqual(courses["refused"].keeper, 4.0)

    def test_limits(self):
        self.assertEqual(verdict(MAX_BYTES, MAX_CORE), "within")
        self.assertEqual(verdict(2 * MAX_BYTES, 0.0), "OVER: bytes 2.0 times")

    def test_larger_fleets_tell_by_relays(self):
        self.assertEqual(telling_bytes(6, 100.0), 5 * 200.0)
        # The other 9 VMs of the hall, and 2 relays of each of 3 others.
        self.assertEqual(telling_bytes(40, 100.0), 15 * 100.0 / tell_seconds(40))

    def test_slots_are_full_under_twice_the_load(self):
        keeper = Keeper(6, BOUNDS.endpoints)
        for _ in range(200):
            keeper.step(2.0)
        slots = BOUNDS.endpoints * BOUNDS.slots
        self.assertGreaterEqual(len(keeper.running), slots)
        self.assertGreater(sum(keeper.queue.denials.values()), 20)
