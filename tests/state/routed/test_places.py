# Licensed under the Apache License 2.0: see LICENSE for details.

"""How many requests an issuer lets VMs have at a brittle endpoint."""

from __future__ import annotations

import unittest

from walnutquay.state.process.ids import VmName
from walnutquay.state.routed.places import RAISE_SECONDS, PlaceLedger

NAMED_SLOTS = 8
SLOTS = 6
VMS = [VmName(f"vm-{number}") for number in range(4)]


class CapacityTest(unittest.TestCase):
    """Rejections show that an endpoint takes fewer requests than its entry names."""

    def setUp(self) -> None:
        self.ledger = PlaceLedger()
        self.number = 0
        self.there = dict.fromkeys(VMS, 0)

    def send(self, vm: VmName, now: float) -> bool:
        """Ask for a place, and get one or not."""
        self.number += 1
        wanted = self.there[vm] + 1
        granted = not self.ledger.request(vm, wanted, self.number, NAMED_SLOTS, now)
        self.there[vm] += granted
        return granted

    def fill(self, now: float) -> int:
        """Send as many requests as are granted; the endpoint rejects those too many.

        :returns: the requests that are there then.
        """
        while any([self.send(vm, now) for vm in VMS]):
            while sum(self.there.values()) > SLOTS:
                self.ledger.on_rejected(now)
                vm = max(VMS, key=self.there.__getitem__)
                self.there[vm] -= 1
                self.number += 1
                self.ledger.record(vm, self.there[vm], self.number, now)
        return sum(self.there.values())

    def test_after_rejections_no_more_are_sent_than_fit(self):
        self.assertEqual(self.fill(1.0), SLOTS)
        self.assertEqual(self.ledger.capacity, SLOTS)
        self.assertFalse(any(self.send(vm, 1.1) for vm in VMS))

    def test_without_rejections_the_entry_counts(self):
        granted = sum(self.send(vm, 1.0) for vm in VMS * 3)
        self.assertEqual(granted, NAMED_SLOTS)

    def test_one_more_is_tried_after_some_time(self):
        self.fill(1.0)
        later = 1.0 + RAISE_SECONDS
        for vm in VMS:
            self.number += 1
            self.ledger.record(vm, self.there[vm], self.number, later)
        self.assertEqual(sum(self.send(vm, later) for vm in VMS), 1)

    def test_one_place_is_left_in_any_case(self):
        self.ledger.on_rejected(1.0)
        self.ledger.on_rejected(1.0)
        self.assertTrue(self.send(VMS[0], 1.0))
