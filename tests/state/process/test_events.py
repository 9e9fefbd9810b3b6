# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the ring buffer of events and of the selection of events from it."""

from __future__ import annotations

import unittest

from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.events import Event, EventKind, EventRing


def event(number: int, request: str = "", session: str = "") -> Event:
    """Return an event whose physical time is ``number``."""
    return Event(Stamp(number, 0), "vm", EventKind.RECEIVED, request, session)


class EventRingTest(unittest.TestCase):
    """The ring buffer, which selects the newest events by request or session."""

    def setUp(self):
        self.ring = EventRing(5)
        for item in (
            event(0, "r0"),
            event(1, "r1"),
            event(2, "r1", "s"),
            event(3, "r2", "other"),
            event(4),
            event(5, "r1"),
        ):
            self.ring.add(item)

    def numbers(self, **criteria: str) -> list[int]:
        """Return the numbers of the events that match the criteria."""
        return [found.stamp.physical for found in self.ring.select(**criteria)]

    def test_keeps_only_the_newest_events(self):
        self.assertEqual(self.numbers(), [1, 2, 3, 4, 5])

    def test_selects_the_events_of_a_request(self):
        self.assertEqual(self.numbers(request="r2"), [3])
        self.assertEqual(self.numbers(request="r0"), [])

    def test_selects_all_events_of_the_requests_of_a_session(self):
        self.assertEqual(self.numbers(session="s"), [1, 2, 5])
