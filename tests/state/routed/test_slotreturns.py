# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of when refused callers may return."""

from __future__ import annotations

import random
import unittest

from walnutquay.state.routed.slotreturns import (
    MAX_PROMISES,
    PROMISED_SHARE,
    Pool,
    SlotReturns,
)
from walnutquay.state.routed.slottypes import WorkHash

POOL = Pool("service", 18.0)


class SlotReturnsTest(unittest.TestCase):
    """Each has a time of its own, at which there is room."""

    def setUp(self) -> None:
        self.returns = SlotReturns(random.Random(1))

    def promise(
        self,
        work: int = 1,
        now: float = 0.0,
        room_in: float = 0.2,
        left: float = 2.4,
        in_time: float = -1.0,
        pools: tuple[Pool, ...] = (POOL,),
    ) -> float | None:
        return self.returns.promise(
            WorkHash(work), 0.25, pools, room_in, in_time, left, now
        )

    def test_a_part_of_the_room(self):
        promised = 0
        for step in range(10_000):
            promised += self.promise(step, step * 0.001) is not None
        bound = PROMISED_SHARE * POOL.rate / 0.25 * (10.0 + 2.4 / 3)
        self.assertLessEqual(promised, bound + 1)
        self.assertGreaterEqual(promised, 0.8 * bound)

    def test_times_are_spread_and_never_too_soon(self):
        times = [self.promise(work) for work in range(50)]
        found = [time for time in times if time is not None]
        self.assertEqual(len(set(found)), len(found))
        self.assertGreaterEqual(min(found), 0.2)
        self.assertLessEqual(max(found), 0.8)

    def test_nobody_is_told_what_it_does_not_follow(self):
        self.assertIsNone(self.promise(room_in=0.9))
        self.assertIsNone(self.promise(left=0.0))
        self.assertIsNone(self.promise(left=-1.0))

    def test_in_time_where_that_can_be(self):
        times = [self.promise(work, in_time=0.3) for work in range(50)]
        found = [time for time in times if time is not None]
        self.assertTrue(found)
        self.assertLessEqual(max(found), 0.3)

    def test_the_smallest_pool_binds(self):
        pools = (POOL, Pool("rank", 1.0))
        times = [self.promise(work, pools=pools) for work in range(20)]
        self.assertEqual(sum(time is not None for time in times), 1)

    def test_as_told(self):
        at = self.promise()
        self.assertFalse(self.returns.came_as_told(WorkHash(1), at - 0.1))
        self.assertTrue(self.returns.came_as_told(WorkHash(1), at + 0.1))
        self.assertFalse(self.returns.came_as_told(WorkHash(1), at + 0.1))

    def test_too_late(self):
        at = self.promise()
        self.assertFalse(self.returns.came_as_told(WorkHash(1), at + 5.0))

    def test_asking_again_gives_no_better_time(self):
        at = self.promise()
        for step in range(1, 10):
            now = at * step / 10
            self.assertAlmostEqual(now + self.promise(now=now), at)

    def test_strangers(self):
        self.assertFalse(self.returns.came_as_told(WorkHash(5), 1.0))

    def test_memory_is_bounded(self):
        pools = (Pool("service", 1e9),)
        for work in range(MAX_PROMISES + 100):
            self.promise(work, pools=pools)
        self.assertEqual(len(self.returns.times), MAX_PROMISES)
        self.returns.remove_ended(10.0)
        self.assertEqual((len(self.returns.times), len(self.returns.next_at)), (0, 0))
