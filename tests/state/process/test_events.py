# Licensed under the Apache License 2.0: see LICENSE for details.

"""The ring of events, and what is selected from it."""

from __future__ import annotations

import unittest

from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.events import Event, EventKind, EventRing


def event(number: int, request: str = "", session: str = "") -> Event:
    """:returns: an event."""
    return Event(Stamp(number, 0), "vm", EventKind.RECEIVED, request, session)


class EventRingTest(unittest.TestCase):
    """The newest events, by request or session."""

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

    def numbers(self, **wanted: str) -> list[int]:
        """:returns: the numbers of the events selected."""
        return [found.stamp.physical for found in self.ring.select(**wanted)]

    def test_only_the_newest_are_kept(self):
        self.assertEqual(self.numbers(), [1, 2, 3, 4, 5])

    def test_a_request(self):
        self.assertEqual(self.numbers(request="r2"), [3])
        self.assertEqual(self.numbers(request="r0"), [])

    def test_a_session_is_all_events_of_its_requests(self):
        self.assertEqual(self.numbers(session="s"), [1, 2, 5])
