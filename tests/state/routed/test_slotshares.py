# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of how many slots an organisation may hold with long work."""

from __future__ import annotations

import random
import unittest
from itertools import count

from walnutquay.state.process.ids import (
    EndpointName,
    OrganisationName,
    RouteName,
    ServiceName,
    VmName,
)
from walnutquay.state.routed.slotorder import RESERVE_INTERVAL
from walnutquay.state.routed.slotqueue import SlotQueue
from walnutquay.state.routed.slottypes import (
    SlotKey,
    SlotNumber,
    WaitingRequest,
    WorkHash,
)

E1, SLOTS = EndpointName("e1"), 8
LONG, SHORT = "long", "short"
# How long the work of each takes; seconds.
WORK = {LONG: 1.0, SHORT: 0.02}


class SlotSharesTest(unittest.TestCase):
    """Long work leaves slots to those who cannot wait for its end."""

    def setUp(self) -> None:
        self.numbers = count(1)
        self.queue = SlotQueue(ServiceName("s"), random.Random(1))
        for name, work in WORK.items():
            self.queue.times.learn(RouteName(name), work, 1.0)
        self.queue.set_endpoints({E1: SLOTS})

    def ask(
        self, name: str, number: int, now: float, aim: float = 1.0, priority: int = 0
    ) -> None:
        for _ in range(number):
            key = SlotKey(VmName("vm1"), SlotNumber(next(self.numbers)))
            request = WaitingRequest(
                key,
                ServiceName("s"),
                RouteName(name),
                OrganisationName(name),
                1.0,
                priority,
                WorkHash(key.number),
                now,
                now + aim,
                now + 10 * aim,
            )
            self.queue.ask(request, now)

    def held(self, name: str) -> int:
        return self.queue.slots.held[OrganisationName(name)]

    def end(self, name: str, now: float) -> None:
        """End all requests of an organisation."""
        for key, grant in list(self.queue.slots.grants.items()):
            if grant.waiting.request.organisation == name:
                self.queue.release(key, WORK[name], now)

    def short_load(self, until: float, each: int = 2, aim: float = 1.0) -> None:
        """Play short work from 0 on: some requests each hundredth of a second."""
        for step in range(round(until * 100)):
            now = step * 0.01
            self.ask(SHORT, each, now, aim)
            self.queue.decide(now)
            self.end(SHORT, now + 0.005)

    def test_long_work_holds_what_others_leave(self):
        self.short_load(1.0)
        self.ask(LONG, 20, 1.0, aim=60.0)
        self.queue.decide(1.0)
        # Short work asked for half of the slots, more or less.
        self.assertLessEqual(self.held(LONG), SLOTS // 2)
        self.assertGreaterEqual(self.held(LONG), SLOTS // 2 - 1)

    def test_a_small_demand_keeps_a_small_room(self):
        self.short_load(1.0, each=1)
        self.ask(LONG, 20, 1.0, aim=60.0)
        self.queue.decide(1.0)
        self.assertGreater(self.held(LONG), SLOTS // 2)
        self.assertLess(self.held(LONG), SLOTS)

    def test_room_that_others_left_is_used(self):
        self.short_load(1.0)
        self.ask(LONG, 20, 1.0, aim=60.0)
        self.queue.decide(1.0)
        self.queue.decide(20.0)
        self.assertEqual(self.held(LONG), SLOTS)

    def test_alone(self):
        self.ask(LONG, 20, 0.0, aim=60.0)
        self.queue.decide(0.0)
        self.assertEqual(self.held(LONG), SLOTS)

    def test_nothing_is_kept_for_those_who_can_wait(self):
        self.short_load(1.0, aim=10.0)
        self.ask(LONG, 20, 1.0, aim=60.0)
        self.queue.decide(1.0)
        self.assertEqual(self.held(LONG), SLOTS)

    def test_short_work_is_not_held_back(self):
        self.ask(LONG, 4, 0.0, aim=60.0)
        self.queue.decide(0.0)
        self.ask(SHORT, SLOTS, 0.0)
        self.queue.decide(0.0)
        self.assertGreaterEqual(self.held(SHORT), SLOTS - 4)

    def test_what_waits_longest_is_held_back_alike(self):
        # The reserve is counted in grants: of those, short work has a hundred times
        # as many.
        self.ask(LONG, 20, 0.0, aim=60.0, priority=1)
        self.short_load(4 * RESERVE_INTERVAL * 0.01)
        self.end(LONG, 1.0)
        self.ask(LONG, 20, 1.0, aim=60.0, priority=1)
        for step in range(4 * RESERVE_INTERVAL):
            now = 1.0 + step * 0.01
            self.ask(SHORT, 2, now)
            self.queue.decide(now)
            self.end(SHORT, now + 0.005)
            self.assertLess(self.held(LONG), SLOTS)

    def test_late_work_is_held_back_alike(self):
        self.short_load(1.0)
        self.ask(LONG, 20, 1.0, aim=1.5)
        self.queue.decide(1.0)
        self.assertLessEqual(self.held(LONG), SLOTS // 2)

    def test_memory_is_bounded_by_what_is_asked(self):
        self.short_load(1.0)
        for step in range(1, 40):
            self.queue.decide(1.0 + step)
        self.assertEqual(self.queue.shares.asked, {})
        self.assertEqual(+self.queue.slots.held, {})
