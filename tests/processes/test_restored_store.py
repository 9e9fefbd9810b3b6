# Licensed under the Apache License 2.0: see LICENSE for details.

"""Our own interface over a store that is restored from a backup: real processes."""

from __future__ import annotations

from collections import Counter
from typing import Any

from tests.fleetcase import FleetCase


class RestoredStoreTest(FleetCase):
    """What VMs wrote after the backup is lost, while they run on."""

    vms = {"vm-a1": "hall-a", "vm-a2": "hall-a", "vm-b1": "hall-b"}

    async def control(self, path: str) -> dict[str, Any]:
        """Use a control path of the platform."""
        return await self.fleet.control(self.fleet.platform, path, {})

    async def restore(self, away: bool = True) -> set[str]:
        """Restore the store from the backup.

        :returns: the names of the values that it holds at that moment.
        """
        faults = {"refuse": 503} if away else {}
        await self.fleet.control(self.fleet.platform, "faults", faults)
        held = await self.control("restored")
        await self.fleet.control(self.fleet.platform, "faults", {})
        return set(held["values"])

    async def test_keys_run_again(self):
        for away in (True, False):
            with self.subTest(away=away):
                await self.control("backup")
                keys = [f"k{away}{number}" for number in range(6)]
                first = [await self.book("vm-a1", key, key=key) for key in keys]
                self.assertEqual({answer.status for answer in first}, {200})
                await self.restore(away)
                for key, before in zip(keys, first, strict=True):
                    await self.repeat_at_all(key, before.body)
                found = Counter(key for _, _, key, _ in await self.effects("service-1"))
                self.assertEqual({found[key] for key in keys}, {1})

    async def repeat_at_all(self, key: str, body: bytes) -> None:
        """Repeat a request at all VMs until it is answered; it is never run again."""
        for vm in self.vms:

            async def answered(vm: str = vm) -> bool:
                again = await self.book(vm, key, key=key)
                if again.status != 200:
                    self.assertIn(again.ran, ("unknown", "not_run"))
                    return False
                self.assertEqual(again.body, body)
                return True

            await self.until(answered, f"{vm} answers {key}")

    async def test_an_accepted_configuration_is_lost(self):
        await self.control("backup")
        content = self.content()
        content["pools"].append({"name": "added", "work": "quick"})
        revision = await self.fleet.apply(content)
        await self.restore()
        # A VM that starts now has only the store and the others to learn it from.
        await self.fleet.stop_process(self.vm("vm-a2").process)
        await self.fleet.start_vm("vm-a2", "hall-a")
        await self.fleet.wait_for_revision(revision)
        content["pools"].append({"name": "later", "work": "quick"})
        self.assertGreater(await self.fleet.apply(content), revision)

    async def test_bills_are_lost(self):
        await self.control("backup")
        answered = set()
        for number in range(6):
            for vm in self.vms:
                answer = await self.chat(vm, f"{vm} {number}", model="small-1")
                self.assertEqual(answer.status, 200)
                answered.add(answer.headers["x-walnutquay-request"])

        async def billed() -> Counter[str]:
            return Counter(record.request for record in await self.bill_records())

        async def all_billed() -> bool:
            return set(await billed()) == answered

        await self.until(all_billed, "all bills are stored")
        held = await self.restore()
        self.assertFalse([name for name in held if name.startswith("bills/")])
        await self.until(all_billed, "all bills are stored again")
        self.assertEqual(await billed(), Counter(answered))


class CutHallTest(RestoredStoreTest):
    """The same, while one data hall is cut off from the other and from the store."""

    def make_fleet(self):
        fleet = super().make_fleet()
        fleet.cuttable = True
        return fleet

    async def restore(self, away: bool = True) -> set[str]:
        """Restore the store while hall-b is cut off."""
        self.fleet.cut("hall-b")
        await self.fleet.cut_platform("vm-b1")
        held = await self.control("restored")
        self.fleet.cut("hall-b", cut=False)
        await self.fleet.cut_platform()
        return set(held["values"])
