# Licensed under the Apache License 2.0: see LICENSE for details.

"""How many requests an issuer lets VMs have at a brittle endpoint."""

from __future__ import annotations

import unittest

from walnutquay.state.process.ids import VmName
from walnutquay.state.routed.places import (
    PROOF_SECONDS,
    RAISE_SECONDS,
    PlaceLedger,
    PlaceRequest,
)

NAMED_SLOTS = 8
SLOTS = 6
BORNE = 1
VMS = [VmName(f"vm-{number}") for number in range(4)]
# Long enough for all slots to be tried one after the other.
STEPS = 2 * NAMED_SLOTS


class LedgerCase(unittest.TestCase):
    """VMs that send as many requests as an issuer lets them."""

    def setUp(self) -> None:
        self.ledger = PlaceLedger()
        self.number = 0
        self.now = 1.0
        self.there = dict.fromkeys(VMS, 0)
        # When the endpoint has rejected requests.
        self.rejected_at: list[float] = []

    def send(self, vm: VmName, borne: int = BORNE) -> bool:
        """Ask for a place, and get one or not."""
        self.number += 1
        running = self.there[vm]
        asked = PlaceRequest(vm, running + 1, running, self.number)
        granted = not self.ledger.request(asked, NAMED_SLOTS, borne, self.now)
        self.there[vm] += granted
        return granted

    def tell(self, vm: VmName) -> None:
        """Tell how many requests a VM has there."""
        self.number += 1
        running = self.there[vm]
        self.ledger.record(vm, running, running, self.number, self.now)

    def fill(self, slots: int, steps: int = STEPS, borne: int = BORNE) -> int:
        """Send as many requests as are granted; the endpoint rejects those too many.

        :param slots: the slots that the endpoint has.
        :param steps: how often all VMs ask until no more are granted.
        :returns: the requests that are there then.
        """
        for _ in range(steps):
            while any([self.send(vm, borne) for vm in VMS]):
                while sum(self.there.values()) > slots:
                    self.reject()
            self.now += PROOF_SECONDS
        return sum(self.there.values())

    def reject(self, told_first: bool = False) -> None:
        """Reject a request of the VM that has the most there."""
        vm = max(VMS, key=self.there.__getitem__)
        self.there[vm] -= 1
        if told_first:
            self.tell(vm)
        self.rejected_at.append(self.now)
        self.ledger.on_rejected(self.now)
        if not told_first:
            self.tell(vm)


class CapacityTest(LedgerCase):
    """Rejections show that an endpoint takes fewer requests than its entry names."""

    def test_after_rejections_no_more_are_sent_than_fit(self):
        self.assertEqual(self.fill(SLOTS), SLOTS)
        self.assertEqual(self.ledger.capacity, SLOTS)
        self.now += 0.1
        self.assertFalse(any(self.send(vm) for vm in VMS))

    def test_without_rejections_the_entry_counts(self):
        self.assertEqual(self.fill(NAMED_SLOTS, NAMED_SLOTS), NAMED_SLOTS)
        self.assertFalse(any(self.send(vm) for vm in VMS))

    def test_one_more_is_tried_after_some_time(self):
        self.fill(SLOTS)
        self.now += RAISE_SECONDS
        for vm in VMS:
            self.tell(vm)
        self.now += PROOF_SECONDS
        self.assertEqual(sum(self.send(vm) for vm in VMS), 1)

    def test_one_place_is_left_in_any_case(self):
        self.ledger.on_rejected(1.0)
        self.ledger.on_rejected(1.0)
        self.assertTrue(self.send(VMS[0]))

    def test_a_slot_is_lost_where_the_end_is_told_before_the_rejection(self):
        for told_first in (False, True):
            with self.subTest(told_first=told_first):
                self.setUp()
                self.fill(SLOTS, SLOTS)
                self.assertEqual(sum(self.send(vm) for vm in VMS), 1)
                self.reject(told_first)
                self.assertEqual(self.ledger.capacity, SLOTS)


class ProofTest(LedgerCase):
    """No more unproved requests are sent than the endpoint survives rejecting."""

    def test_overstated_slots_are_all_filled_at_once(self):
        for borne, at_once in ((0, 1), (1, 1), (2, 1), (6, 3)):
            with self.subTest(borne=borne):
                self.setUp()
                self.assertEqual(self.fill(NAMED_SLOTS, 1, borne), at_once)
                self.fill(SLOTS, STEPS, borne)
                self.assertLessEqual(len(self.rejected_at), max(1, borne))

    def test_requests_from_before_are_taken_for_unproved(self):
        self.there = dict.fromkeys(VMS, 1)
        self.assertFalse(any([self.send(vm) for vm in VMS]))
        self.now += PROOF_SECONDS
        self.assertTrue(self.send(VMS[0]))

    def test_requests_that_only_ask_count_as_proof(self):
        for vm in VMS:
            self.number += 1
            self.ledger.record(vm, 2, 0, self.number, self.now)
        self.now += PROOF_SECONDS
        for vm in VMS:
            self.tell(vm)
        self.assertEqual(sum(self.send(vm) for vm in VMS), 1)
