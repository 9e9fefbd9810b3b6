# Licensed under the Apache License 2.0: see LICENSE for details.

"""Stories of VMs that share slots, and what must hold of them."""

from __future__ import annotations

import unittest

from tests.slotworld import SERVICE, WORK, Result, SlotVm, SlotWorld
from walnutquay.transport.timers import monotonic

# The slots of all endpoints serve 40 requests a second.
FULL_INTERVAL = WORK / 4
TWICE = FULL_INTERVAL / 2
REQUESTS = 200
# A keeper sends endpoints one request more than they have slots, so that these do not
# idle; one more is on its way while loads are told.
EXTRA = 2
# Without one keeper for all, VMs do not know of each other's requests.
EXTRA_APART = 3


class SlotCase(unittest.TestCase):
    """Stories of VMs that share slots."""

    def check(self, world: SlotWorld, extra: int = EXTRA) -> None:
        """Check that all requests have ended in time, and left nothing behind."""
        for result in world.results:
            self.assertTrue(result.granted or result.refusal, result)
            self.assertLessEqual(result.decided, result.deadline)
        for endpoint in world.endpoints.values():
            self.assertLessEqual(endpoint.peak, endpoint.instance.slots + extra)
        for vm in world.vms.values():
            self.assertEqual(vm.sharing.asks.waiting, {})
            self.assertEqual(vm.sharing.under_way, {})
            self.assertEqual(vm.sharing.held.slots, {})
            for kept in vm.sharing.keeper.kept.values():
                self.assertEqual(kept.queue.waiting, {})

    def granted(self, vm: SlotVm) -> int:
        """Return the slots that a keeper counts as used."""
        kept = vm.sharing.keeper.kept.get(SERVICE)
        return 0 if kept is None else kept.queue.summary(monotonic()).granted_count

    def served(self, results: list[Result]) -> int:
        return sum(result.served for result in results)
