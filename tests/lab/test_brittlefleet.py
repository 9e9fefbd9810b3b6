# Licensed under the Apache License 2.0: see LICENSE for details.

"""Brittle endpoints in simulated fleets."""

from __future__ import annotations

import unittest
from unittest import mock

from lab.brittle import costs
from lab.brittle.costs import ENDPOINTS, SLOTS, Fleet, Result, Way

# Operators allow this many crashes in one time in which endpoints are brittle.
ALLOWED_FALLS = 2 + ENDPOINTS // 10


class BrittleFleetTest(unittest.TestCase):
    """Endpoints that survive one rejection a second."""

    def setUp(self) -> None:
        patch = mock.patch.object(costs, "SECONDS", 6.0)
        patch.start()
        self.addCleanup(patch.stop)

    def play(
        self, way: Way, vms: int, load: float, lost: float = 0.01, named: int = SLOTS
    ) -> Result:
        return Fleet(way, vms, load, 1, True, lost, 1, named).run()

    def test_endpoints_crash_where_vms_only_react(self) -> None:
        for way in (Way.REACT, Way.TELL):
            self.assertGreater(self.play(way, 6, 0.85).falls, ALLOWED_FALLS)

    def test_endpoints_crash_in_any_fleet(self) -> None:
        for vms in (6, 61):
            for load in (0.85, 1.5):
                with self.subTest(vms=vms, load=load):
                    result = self.play(Way.LEDGER, vms, load)
                    self.assertLessEqual(result.falls, ALLOWED_FALLS)

    def test_endpoints_crash_where_messages_are_lost(self) -> None:
        result = self.play(Way.LEDGER, 6, 1.5, lost=0.2)
        self.assertLessEqual(result.falls, ALLOWED_FALLS)

    def test_endpoints_crash_whose_entries_name_more_slots_than_they_have(self) -> None:
        for vms in (6, 61):
            for load in (0.85, 1.5):
                with self.subTest(vms=vms, load=load):
                    result = self.play(Way.LEDGER, vms, load, named=SLOTS * 4 // 3)
                    self.assertLessEqual(result.falls, ALLOWED_FALLS)
                    self.assertGreater(result.served, result.requests // 3)
