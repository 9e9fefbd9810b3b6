# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of what a VM sends while it reaches no slot keeper."""

from __future__ import annotations

import random
import unittest

from walnutquay.state.routed.ownslots import OwnSlots

SLOTS, VMS, WORK_SECONDS = 18, 70, 0.25


class OwnSlotsTest(unittest.TestCase):
    """VMs that lose the keeper together stay within the slots."""

    def sends(self, vms: int, until: float, start: float = 0.0) -> list[float]:
        """Return when VMs send that have a request ready at any time."""
        found = []
        for number in range(vms):
            own, now = OwnSlots(random.Random(number)), start
            while now < until:
                wait = own.next_send(SLOTS, vms, WORK_SECONDS, now)
                now += wait
                if wait <= 0.0:
                    own.record_send(now)
                    found.append(now)
                    now += 1e-6
        return sorted(time for time in found if time < until)

    def test_never_a_burst(self):
        for vms in (6, VMS, 640):
            sent = self.sends(vms, 10.0)
            for at in sent:
                within = sum(at <= other < at + WORK_SECONDS for other in sent)
                # A slot more may be asked for than there is, for each that waits.
                self.assertLessEqual(within, 2 * SLOTS)

    def test_the_slots_are_used(self):
        for vms in (6, VMS, 640):
            sent = self.sends(vms, 20.0)
            borne = SLOTS / WORK_SECONDS * 20.0
            self.assertLessEqual(len(sent), borne)
            self.assertGreaterEqual(len(sent), 0.5 * borne)

    def test_a_second_loss_is_spread_too(self):
        vms = [OwnSlots(random.Random(number)) for number in range(VMS)]
        for own in vms:
            own.next_send(SLOTS, VMS, WORK_SECONDS, 0.0)
            own.record_send(1.0)
        waits = [own.next_send(SLOTS, VMS, WORK_SECONDS, 100.0) for own in vms]
        self.assertLessEqual(sum(wait < WORK_SECONDS for wait in waits), SLOTS + 6)

    def test_absurd_figures(self):
        own = OwnSlots(random.Random(1))
        for slots, vms, work in ((0, 0, 0.0), (-1, -1, -1.0), (1, 1, 1e12)):
            wait = own.next_send(slots, vms, work, 0.0)
            self.assertGreaterEqual(wait, 0.0)
            self.assertLess(wait, 1e6)
