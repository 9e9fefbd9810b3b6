# Licensed under the Apache License 2.0: see LICENSE for details.

"""A store that turns away those VMs that watch it for the others."""

from __future__ import annotations

import asyncio
import random
import unittest

from tests.coordination.store.relayedfleet import Fleet, Way
from tests.virtualtime import play
from walnutquay.state.process.ids import VmName
from walnutquay.transport.timers import monotonic

# In force within so long, and what a store that does not serve all VMs may add.
CONFIG_SECONDS, OUTER_SECONDS = 2.0, 5.0
SIZES = (6, 61, 195)
STARTED_SECONDS = 6.0
NOTICED_SECONDS = 0.5
AWAY = tuple(way for way in Way if way not in (Way.SERVED, Way.SLOW))


async def story(
    size: int, seed: int, way: Way, away: float, first: bool, dead: int = 0
) -> tuple[Fleet, dict[VmName, float]]:
    """Change an object while some VMs are not served.

    :param away: the share of VMs that are not served.
    :param first: whether those that watch the store are among them; else by chance.
    :param dead: how many of the next VMs in the ranking are lost as well.
    :returns: the fleet, and seconds until the change was in force at each served VM.
    """
    fleet = Fleet(size, seed)
    await fleet.start(STARTED_SECONDS)
    order = fleet.ranked()
    if not first:
        order = random.Random(seed).sample(order, len(order))
    count = max(1, int(away * size))
    fleet.dead = set(order[count : count + dead])
    fleet.store.treat(order[:count], way)
    await asyncio.sleep(NOTICED_SECONDS)
    fleet.store.change()
    acknowledged = monotonic()
    await asyncio.sleep(CONFIG_SECONDS + OUTER_SECONDS)
    served = order[count + dead :]
    return fleet, {vm: at - acknowledged for vm, at in fleet.late(served).items()}


class TurnedAwayTest(unittest.TestCase):
    """Each VM that the store serves learns of changes, whatever its watchers say.

    Guards against healthy VMs that keep a revoked key for as long as the store turns
    away the VMs that watch it.
    """

    def assert_in_force(self, late: dict[VmName, float]) -> None:
        self.assertTrue(late)
        self.assertLessEqual(max(late.values()), CONFIG_SECONDS + OUTER_SECONDS)

    def test_all_watchers_by_each_way(self):
        for way in AWAY:
            for size in (9, *SIZES):
                with self.subTest(way=way, size=size):
                    _, late = play(story(size, 1, way, 3 / size, True))
                    self.assert_in_force(late)

    def test_next_in_the_ranking_takes_their_place(self):
        for size in (9, *SIZES):
            with self.subTest(size=size):
                _, late = play(story(size, 1, Way.REFUSED, 3 / size, True))
                self.assertLessEqual(max(late.values()), CONFIG_SECONDS)

    def test_a_third_of_all(self):
        for way in AWAY:
            for size in SIZES:
                for first in (True, False):
                    with self.subTest(way=way, size=size, first=first):
                        _, late = play(story(size, 2, way, 0.35, first))
                        self.assert_in_force(late)

    def test_almost_all(self):
        for size in SIZES:
            with self.subTest(size=size):
                _, late = play(story(size, 3, Way.REFUSED, 0.9, True))
                self.assert_in_force(late)

    def test_watchers_and_lost_ones(self):
        for size in SIZES:
            with self.subTest(size=size):
                _, late = play(story(size, 4, Way.REFUSED, 3 / size, True, dead=2))
                self.assert_in_force(late)


class CallsTest(unittest.TestCase):
    """What that costs in calls to the store."""

    def test_calm_fleet_has_one_watcher_in_each_hall(self):
        for size in SIZES:
            with self.subTest(size=size):
                fleet = play(self._calm(size))
                self.assertEqual(len(fleet.watching()), 3)

    async def _calm(self, size: int) -> Fleet:
        fleet = Fleet(size, 1)
        await fleet.start(30.0)
        return fleet

    def test_no_herd_while_watchers_are_turned_away(self):
        for size in SIZES:
            with self.subTest(size=size):
                fleet, _ = play(story(size, 1, Way.REFUSED, 3 / size, True))
                callers = {vm for at, vm in fleet.store.calls if at > 1007.0}
                self.assertLessEqual(len(callers), max(12, size // 4))

    def test_no_herd_as_they_return(self):
        for size in SIZES:
            with self.subTest(size=size):
                calm, back = play(self._return(size))
                self.assertLessEqual(back, 3 * calm)

    async def _return(self, size: int) -> tuple[int, int]:
        fleet = Fleet(size, 1)
        await fleet.start(10.0)
        calm = fleet.peak(monotonic() - 5.0, monotonic())
        watching = fleet.watching()
        fleet.store.treat(watching, Way.REFUSED)
        await asyncio.sleep(8.0)
        fleet.store.treat(watching, Way.SERVED)
        began = monotonic()
        await asyncio.sleep(8.0)
        self.assertEqual(len(fleet.watching()), 3)
        return calm, fleet.peak(began, monotonic())


if __name__ == "__main__":
    unittest.main()
