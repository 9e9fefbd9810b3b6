# Licensed under the Apache License 2.0: see LICENSE for details.

"""What one VM knows of the load of services."""

from __future__ import annotations

import unittest

from tests.slotworld import SERVICE, SlotWorld
from walnutquay.coordination.routed.slotsigns import MAX_LOADS
from walnutquay.transport.timers import monotonic


class UntoldLoadsTest(unittest.TestCase):
    """The loads that go with questions to keepers."""

    def test_more_than_one_question_holds(self) -> None:
        world = SlotWorld(vms=1, slots=(1,) * (2 * MAX_LOADS + 1))
        signs = world.keeper().sharing.signs
        now = monotonic()
        for endpoint in world.endpoints.values():
            signs.on_answer(endpoint.instance, endpoint.head(), now)
        told: list[str] = []
        for _ in range(3):
            loads = signs.take_untold(SERVICE, now)
            self.assertLessEqual(len(loads), MAX_LOADS)
            told += [load.endpoint for load in loads]
        self.assertEqual(sorted(told), sorted(world.endpoints))
        self.assertEqual(signs.take_untold(SERVICE, now), ())
