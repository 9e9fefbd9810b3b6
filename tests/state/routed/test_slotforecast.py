# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of how long work takes, and what endpoints bear."""

from __future__ import annotations

import math
import unittest

from walnutquay.state.process.ids import EndpointName, RouteName, VmName
from walnutquay.state.routed.slotforecast import (
    MAX_PACE,
    MAX_ROUTES,
    MIN_PACE,
    PACE_SECONDS,
    DecayingRate,
    EndpointRoom,
    WorkTimes,
)
from walnutquay.state.routed.slottypes import EndpointLoad, SlotKey, SlotNumber

E1, R1 = EndpointName("e1"), RouteName("r1")


def key(number: int) -> SlotKey:
    return SlotKey(VmName("vm1"), SlotNumber(number))


class DecayingRateTest(unittest.TestCase):
    """A rate follows what happened in the last moments."""

    def test_a_steady_rate(self):
        rate = DecayingRate()
        for step in range(1000):
            rate.add(0.25, step * 0.01)
        self.assertAlmostEqual(rate.per_second(10.0), 25.0, delta=0.5)
        self.assertLess(rate.per_second(20.0), 0.1)

    def test_a_rate_that_began_lately(self):
        rate = DecayingRate()
        for step in range(50):
            rate.add(1.0, step * 0.01)
        self.assertAlmostEqual(rate.per_second(0.5), 100.0, delta=10.0)

    def test_nothing(self):
        self.assertEqual(DecayingRate().per_second(5.0), 0.0)


class WorkTimesTest(unittest.TestCase):
    """Work is learnt by route, at the usual pace."""

    def test_by_route(self):
        times = WorkTimes()
        for _ in range(50):
            times.learn(R1, 0.5, 2.0)
            times.learn(RouteName("r2"), 10.0, 1.0)
        self.assertAlmostEqual(times.usual(R1, 9.0), 0.25)
        self.assertAlmostEqual(times.usual(RouteName("r2"), 9.0), 10.0)

    def test_unknown_work_is_bounded(self):
        times = WorkTimes()
        for aim in (-1.0, 0.0, 0.6, 1e9, math.inf):
            self.assertGreater(times.usual(R1, aim), 0.0)
            self.assertLessEqual(times.usual(R1, aim), 1.0)

    def test_unknown_work_beside_much_shorter(self):
        times = WorkTimes()
        times.learn(R1, 0.01, 1.0)
        self.assertAlmostEqual(times.usual(RouteName("r2"), 2.4), 0.8)

    def test_no_answer_teaches_nothing(self):
        times = WorkTimes()
        times.learn(R1, 0.0, 1.0)
        times.learn(R1, -1.0, 1.0)
        self.assertIsNone(times.mean)

    def test_memory_is_bounded(self):
        times = WorkTimes()
        for number in range(2 * MAX_ROUTES):
            times.learn(RouteName(str(number)), 1.0, 1.0)
        self.assertEqual(len(times.seconds), MAX_ROUTES)
        # Those that are not kept apart take what all do.
        self.assertAlmostEqual(times.usual(RouteName("other"), 0.03), 1.0)


class PaceTest(unittest.TestCase):
    """A pace is believed when it is fresh, and within bounds."""

    def room(self, pace: float) -> EndpointRoom:
        room = EndpointRoom(E1, 2)
        room.on_load(EndpointLoad(E1, 2, 0, 0, pace, 10.0))
        return room

    def test_it_fades(self):
        room = self.room(2.5)
        self.assertAlmostEqual(room.pace(10.0), 2.5)
        self.assertAlmostEqual(room.pace(10.0 + PACE_SECONDS / 2), 1.75)
        self.assertAlmostEqual(room.pace(10.0 + PACE_SECONDS), 1.0)

    def test_bounds(self):
        self.assertEqual(self.room(1e9).pace(10.0), MAX_PACE)
        self.assertEqual(self.room(0.01).pace(10.0), MIN_PACE)
        for absurd in (0.0, -3.0, math.nan):
            self.assertEqual(self.room(absurd).pace(10.0), 1.0)

    def test_a_slow_endpoint_finishes_later(self):
        slow, fast = self.room(2.0), self.room(0.5)
        usual = EndpointRoom(E1, 2).seconds_to_finish(10.0, 0.25)
        self.assertGreater(slow.seconds_to_finish(10.0, 0.25), usual)
        self.assertLess(fast.seconds_to_finish(10.0, 0.25), usual)


class EndpointRoomTest(unittest.TestCase):
    """Grants and reports are counted, the greater of both."""

    def test_a_key_counts_once(self):
        room = EndpointRoom(E1, 2)
        room.grant(key(1), 0.25)
        room.grant(key(1), 0.25)
        self.assertEqual(room.taken(0.0, 0.25), 1)
        room.end(key(1))
        room.end(key(1))
        self.assertEqual(room.taken(0.0, 0.25), 0)

    def test_a_doubled_grant_beside_a_report(self):
        room = EndpointRoom(E1, 6)
        room.on_load(EndpointLoad(E1, 6, 2, 0, 1.0, 0.0))
        room.grant(key(1), 0.25)
        room.grant(key(1), 0.25)
        self.assertEqual(room.taken(0.0, 0.25), 3)
        room.end(key(1))
        self.assertEqual(room.taken(0.0, 0.25), 2)

    def test_what_others_sent(self):
        room = EndpointRoom(E1, 6)
        room.on_load(EndpointLoad(E1, 6, 5, 0, 1.0, 0.0))
        room.grant(key(1), 0.25)
        self.assertEqual(room.taken(0.1, 0.25), 6)
        self.assertEqual(room.taken(60.0, 0.25), 1)

    def test_no_place_behind_long_work(self):
        for work, expected in ((0.25, True), (5.0, False)):
            room = EndpointRoom(E1, 6)
            for number in range(6):
                room.grant(key(number), work)
            self.assertEqual(room.has_room(0.0, work), expected)

    def test_as_many_wait_as_end_while_messages_pass(self):
        for work, extra in ((0.25, 1), (0.02, 3), (0.001, 6)):
            room, number = EndpointRoom(E1, 6), 0
            while room.has_room(0.0, work):
                room.grant(key(number), work)
                number += 1
            self.assertEqual(number, 6 + extra)

    def test_the_wait_for_a_slot_is_not_work(self):
        room = EndpointRoom(E1, 1)
        room.grant(key(1), 1.0)
        room.grant(key(2), 0.01)
        room.end(key(1), 1.0)
        self.assertAlmostEqual(room.seconds_run(key(2), 0.9, 1.01), 0.01)
