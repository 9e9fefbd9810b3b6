# Licensed under the Apache License 2.0: see LICENSE for details.

"""Batches of bills that a restored store has lost."""

from __future__ import annotations

import asyncio
from unittest import mock

from tests.coordination.own.test_billing import COST_LINES, BillingCase
from walnutquay.coordination.own import billbatches
from walnutquay.state.process.revisions import Era


class RestoredStoreTest(BillingCase):
    """The store loses batches that were stored after its backup."""

    async def test_lost_batches_are_stored_again_once(self):
        self.fleet.platform.available = True
        for number in range(3):
            await self.owner.add(f"r{number}", "org", COST_LINES)
            await self.owner.flush()
        self.assertEqual(len(self.fleet.platform.objects), 3)
        for name in sorted(self.fleet.platform.objects)[1:]:
            del self.fleet.platform.objects[name]
        self.fleet.platform.eras.observe(Era(2))
        await self.until(lambda: len(self.fleet.platform.objects) == 3)
        counts = self.fleet.platform.bill_counts()
        self.assertEqual(counts, {f"r{number}": 1 for number in range(3)})

    async def test_they_are_stored_as_soon_as_the_store_takes_calls(self):
        self.fleet.platform.available = True
        await self.owner.add("r0", "org", COST_LINES)
        await self.owner.flush()
        self.fleet.platform.objects.clear()
        self.fleet.platform.available = False
        with mock.patch.object(billbatches, "RETRY_SECONDS", 0.01):
            self.fleet.platform.eras.observe(Era(2))
            await asyncio.sleep(0.03)
            self.fleet.platform.available = True
            await self.until(lambda: len(self.fleet.platform.objects) == 1)
