# Licensed under the Apache License 2.0: see LICENSE for details.

"""Callers that ask for more than the endpoints bear, at six VMs.

Bounds are counts that follow from what callers are promised, with room for a busy
machine; ``python -m lab.overload.replay`` measures how far the promises are kept.
"""

from __future__ import annotations

import asyncio
import unittest

from lab.overload.callers import Outcome
from lab.overload.loads import ALIKE, Bounds, Load, Phase, arrivals
from lab.overload.replay import Fleet

SEED = 15
VMS = 6
# Long times, and few requests a second, so that a busy machine changes little.
SCALE = 1.5
BOUNDS = Bounds(slots=3, queue=12).scaled(SCALE)
SECONDS = 5.0


def play(load: Load) -> tuple[list[Outcome], set[str]]:
    """Play a load.

    :returns: what became of its callers, and the requests that endpoints were sent.
    """

    async def run() -> tuple[list[Outcome], set[str]]:
        fleet = Fleet(BOUNDS, VMS)
        await fleet.start()
        try:
            return await fleet.play(load, SCALE, SEED), fleet.came()
        finally:
            await fleet.close()

    return asyncio.run(run())


def served_share(outcomes: list[Outcome]) -> float:
    """Return the part of callers that was served."""
    return sum(one.served for one in outcomes) / len(outcomes)


class DoubleLoadTest(unittest.TestCase):
    """Callers of three urgencies ask for twice what the endpoints bear."""

    LOAD = Load((Phase(SECONDS, 2.0),), ALIKE)

    @classmethod
    def setUpClass(cls) -> None:
        cls.outcomes, cls.came = play(cls.LOAD)
        cls.refused = [one for one in cls.outcomes if one.refused]

    def of(self, urgency: int) -> list[Outcome]:
        """Return what became of the callers of an urgency."""
        return [one for one in self.outcomes if one.arrival.urgency == urgency]

    def test_who_is_refused_is_refused_before_an_endpoint_is_sent_the_request(self):
        unsent = [one for one in self.refused if one.tries[0].request not in self.came]
        self.assertGreater(len(self.refused), len(self.outcomes) / 4)
        self.assertGreater(len(unsent), 0.8 * len(self.refused))

    def test_the_most_urgent_are_served_as_if_the_others_were_not_there(self):
        self.assertGreater(served_share(self.of(0)), 0.8)
        self.assertGreaterEqual(served_share(self.of(0)), served_share(self.of(2)))

    def test_most_of_what_could_be_in_time_is(self):
        in_time = sum(one.served and one.seconds <= BOUNDS.aim for one in self.outcomes)
        could_be = BOUNDS.rate * SECONDS * SCALE
        self.assertGreater(in_time, could_be / 2)

    def test_who_returns_as_told_is_mostly_served(self):
        returned = [one for one in self.outcomes if one.returned]
        self.assertTrue(returned)
        self.assertGreater(served_share(returned), 2 / 3)

    def test_few_end_with_anything_but_an_answer_or_a_refusal(self):
        vain = [one for one in self.outcomes if not (one.served or one.ended_refused)]
        self.assertLess(len(vain), len(self.outcomes) / 20)


class GreedyOrganisationTest(unittest.TestCase):
    """One organisation asks seven times as much as another, together twice the room."""

    LOAD = Load((Phase(SECONDS, 2.0),), {"org-a": 7, "org-b": 1})

    def test_who_asks_for_less_than_its_share_is_served_as_in_the_calm(self):
        outcomes, _ = play(self.LOAD)
        modest = [one for one in outcomes if one.arrival.organisation == "org-b"]
        self.assertGreater(served_share(modest), 0.8)


class CalmTest(unittest.TestCase):
    """Callers ask for a third of what the endpoints bear."""

    LOAD = Load((Phase(SECONDS, 0.3),))

    def test_nobody_is_refused(self):
        outcomes, _ = play(self.LOAD)
        callers = list(arrivals(self.LOAD, BOUNDS, SCALE, SEED))
        self.assertEqual(len(outcomes), len(callers))
        self.assertFalse([one for one in outcomes if one.refused])
        self.assertEqual(served_share(outcomes), 1.0)
