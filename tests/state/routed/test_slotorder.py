# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the order in which waiting requests get slots."""

from __future__ import annotations

import unittest
from collections import Counter
from itertools import count

from walnutquay.state.process.ids import (
    OrganisationName,
    RouteName,
    ServiceName,
    VmName,
)
from walnutquay.state.routed.slotorder import RESERVE_INTERVAL, SlotOrder, Waiting
from walnutquay.state.routed.slottypes import (
    SlotKey,
    SlotNumber,
    WaitingRequest,
    WorkHash,
)


class SlotOrderTest(unittest.TestCase):
    """The urgent first, then what can be in time, shares, returns, the oldest."""

    def setUp(self) -> None:
        self.order = SlotOrder()
        self.numbers = count()

    def add(
        self,
        rank: int = 0,
        organisation: str = "o",
        work: float = 0.25,
        asked_at: float = 0.0,
        in_time_until: float = 100.0,
        weight: float = 1.0,
        returned: bool = False,
    ) -> Waiting:
        number = SlotNumber(next(self.numbers))
        request = WaitingRequest(
            SlotKey(VmName("vm1"), number),
            ServiceName("s"),
            RouteName("r"),
            OrganisationName(organisation),
            weight,
            rank,
            WorkHash(number),
            asked_at,
            in_time_until,
            200.0,
        )
        waiting = Waiting(request, rank, work, returned, in_time_until, 200.0)
        self.order.admit(waiting, 0.0)
        return waiting

    def take(self, number: int, now: float = 0.0) -> list[Waiting]:
        taken = []
        for _ in range(number):
            taken.append(self.order.next(now))
            self.order.grant(taken[-1])
        return taken

    def test_the_more_urgent_first(self):
        added = [self.add(rank) for rank in (2, 0, 1)]
        self.assertEqual(self.take(3), [added[1], added[2], added[0]])
        self.assertIsNone(self.order.next(0.0))

    def test_the_oldest_first(self):
        added = [self.add(asked_at=at) for at in (3.0, 1.0, 2.0)]
        self.assertEqual(self.take(3), [added[1], added[2], added[0]])

    def test_in_time_before_late(self):
        late, timely = self.add(in_time_until=1.0), self.add(asked_at=1.0)
        self.assertEqual(self.take(2, 2.0), [timely, late])

    def test_returns_before_new_requests(self):
        new, back = self.add(), self.add(asked_at=5.0, returned=True)
        self.assertEqual(self.take(2), [back, new])

    def test_a_return_does_not_go_before_what_is_more_urgent(self):
        back, urgent = self.add(rank=1, returned=True), self.add(rank=0)
        self.assertEqual(self.take(2), [urgent, back])

    def test_the_less_urgent_get_a_part(self):
        for _ in range(10 * RESERVE_INTERVAL):
            self.add(0)
            self.add(2)
        taken = self.take(8 * RESERVE_INTERVAL)
        self.assertEqual(Counter(one.rank for one in taken)[2], 8)

    def test_shares_by_work(self):
        for _ in range(1000):
            self.add(organisation="short", work=0.01)
        for _ in range(10):
            self.add(organisation="long", work=1.0)
        work: Counter = Counter()
        for one in self.take(505):
            work[one.request.organisation] += one.work
        self.assertAlmostEqual(work["short"], work["long"], delta=1.0)

    def test_shares_by_weight(self):
        for _ in range(100):
            self.add(organisation="light")
            self.add(organisation="heavy", weight=3.0)
        names = Counter(one.request.organisation for one in self.take(40))
        self.assertAlmostEqual(names["heavy"], 30, delta=1)

    def test_work_that_took_longer_is_charged(self):
        for _ in range(10):
            self.add(organisation="a")
            self.add(organisation="b")
        first, _ = self.take(2)
        self.order.correct(first, 1.25)
        names = {one.request.organisation for one in self.take(4)}
        self.assertNotIn(first.request.organisation, names)

    def test_who_pauses_saves_nothing_up(self):
        for _ in range(50):
            self.add(organisation="a")
        self.add(organisation="b")
        self.take(41)
        for _ in range(10):
            self.add(organisation="b")
        names = Counter(one.request.organisation for one in self.take(10))
        self.assertAlmostEqual(names["b"], 5, delta=1)

    def test_what_is_removed_does_not_come(self):
        gone, stays = self.add(), self.add()
        self.order.remove(gone)
        self.order.remove(gone)
        self.assertEqual(self.take(1), [stays])
        self.assertIsNone(self.order.next(0.0))

    def test_what_was_set_aside_comes_once(self):
        first, second = self.add(), self.add(asked_at=1.0)
        self.order.remove(first)
        self.assertEqual(self.take(1), [second])
        again = self.order.restore(first)
        self.assertEqual(self.take(1), [again])
        self.assertIsNone(self.order.next(0.0))

    def test_memory_is_bounded_by_what_waits(self):
        for _ in range(1000):
            self.order.remove(self.add(organisation=str(next(self.numbers))))
        self.order.compact(1e3)
        self.assertEqual(self.order.ranks[0].queues, {})
        self.assertEqual(self.order.ranks[0].turns, [])
