# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that were at the same crashes of engines go on to different engines."""

from __future__ import annotations

from unittest import mock

from standins.worker import Behaviour
from tests.coordination.requests.test_crashes import CrashCase

PAIRS = 24


class CompanionsTest(CrashCase):
    """Two requests that were at one crash; each VM knows of both."""

    async def test_both_go_on_to_the_same_engine(self):
        for worker in self.endpoints.values():
            worker.choose = lambda seen: Behaviour(events=1)
        crashes = self.gateway.path.parts.crashes
        seen: set[str] = set()

        def suspect(arrival) -> str:
            seen.add(arrival.fingerprint())
            return arrival.fingerprint()

        self.enterContext(mock.patch.object(crashes, "suspect_key", suspect))
        self.enterContext(
            mock.patch.object(crashes.book, "companions", lambda one: seen - {one})
        )
        for number in range(PAIRS):
            seen.clear()
            for worker in self.endpoints.values():
                worker.runs.clear()
            for body in (b"one of %d" % number, b"other of %d" % number):
                self.assertEqual((await self.stream(body)).status, 200)
            used = [w.name for w in self.endpoints.values() if w.runs]
            self.assertEqual(len(used), 2, f"pair {number}: {used}")
