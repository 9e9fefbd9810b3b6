# Licensed under the Apache License 2.0: see LICENSE for details.

"""The stand-in fleet: what it tells the platform is in order."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from standins.fleet import Fleet, Vm


class SlowLists:
    """In place of the connection to the platform: the first list is on its way long.

    ``list`` is what the platform shows in the end.
    """

    def __init__(self) -> None:
        self.puts = 0
        self.list: list[str] = []

    def put(self, url: str, json: dict) -> SlowLists.Put:
        """Take a list, as the session of a fleet does."""
        self.puts += 1
        return self.Put(self, json, slow=self.puts == 1)

    class Put:
        """One list on its way."""

        def __init__(self, lists: SlowLists, body: dict, slow: bool) -> None:
            self.lists = lists
            self.body = body
            self.slow = slow

        async def __aenter__(self) -> SimpleNamespace:
            for _ in range(10 if self.slow else 1):
                await asyncio.sleep(0)
            self.lists.list = [row["name"] for row in self.body["vms"]]
            return SimpleNamespace(raise_for_status=lambda: None)

        async def __aexit__(self, *error: object) -> None:
            pass


class PublishTest(unittest.IsolatedAsyncioTestCase):
    """VMs that start at once are all on the list in the end.

    CI once failed on this: the list of an earlier moment overtook the last one,
    and a VM was never listed (`wait_for_members` timed out).
    """

    async def test_an_earlier_list_does_not_overtake_a_later_one(self):
        fleet = Fleet(platform="http://platform")
        fleet.session = SlowLists()
        running = SimpleNamespace(running=True, ports={"peers": 1})

        async def start(name: str) -> None:
            fleet.vms[name] = Vm(name, "hall-a", running)
            await fleet.publish_vms()

        await asyncio.gather(start("vm-1"), start("vm-2"), start("vm-3"))
        self.assertEqual(fleet.session.list, ["vm-1", "vm-2", "vm-3"])
