# Licensed under the Apache License 2.0: see LICENSE for details.

"""What operators are shown of scarce slots."""

from __future__ import annotations

import unittest
from dataclasses import replace

from walnutquay.commands.fleetstate import (
    VmState,
    read_figures,
    state_of,
    states_text,
)
from walnutquay.commands.slotstate import SlotGrants, SlotWaiting, slots_text

WAITING = 'service="plain",organisation="org-a",priority="0",hall="hall-a"'
GRANTS = 'service="plain",endpoint="p1"'
TEXT = f"""walnutquay_ready 1
walnutquay_slots_denied_total 4
walnutquay_slots_denied_no_room_total 4
walnutquay_slot_waiting{{{WAITING}}} 2
walnutquay_slot_oldest_wait_seconds{{{WAITING}}} 0.25
walnutquay_slot_grants{{{GRANTS}}} 3
walnutquay_slot_capacity{{{GRANTS}}} 4
walnutquay_slot_oldest_grant_seconds{{{GRANTS}}} 1.5
"""


class SlotStateTest(unittest.TestCase):
    """Figures of VMs, as they are read and shown."""

    def state(self) -> VmState:
        return state_of("a:1", read_figures(TEXT))

    def test_figures_are_read(self) -> None:
        state = self.state()
        waiting = SlotWaiting("plain", "org-a", 0, "hall-a", 2, 0.25)
        self.assertEqual(state.slot_waiting, (waiting,))
        grants = SlotGrants("plain", "p1", 4, 3, 1.5)
        self.assertEqual(state.slot_grants, (grants,))
        self.assertEqual(state.slots_denied, {"no_room": 4})

    def test_callers_without_a_key_are_named_so(self) -> None:
        waiting = SlotWaiting("plain", "", 0, "hall-a", 2, 0.25)
        [line] = slots_text([replace(self.state(), slot_waiting=(waiting,))])[1:2]
        self.assertIn("2 of (no key) for plain", line)

    def test_vms_are_added_up(self) -> None:
        text = "\n".join(slots_text([self.state(), self.state()]))
        self.assertIn("waiting for slots: 4 of org-a for plain, priority 0", text)
        self.assertIn("in hall-a, the oldest for 0.2 s", text)
        self.assertIn("refused for want of slots: 8, no room", text)
        self.assertIn("plain at p1: 3 of 4 granted, the oldest for 1.5 s", text)

    def test_it_is_shown_with_the_fleet(self) -> None:
        self.assertIn("waiting for slots", states_text([self.state()]))

    def test_nothing_is_shown_without_scarce_slots(self) -> None:
        self.assertEqual(slots_text([VmState("a:1")]), [])
