# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the estimate of how long work takes at an endpoint."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.requests.pace import (
    KEPT_SECONDS,
    MAX_PACE,
    MIN_PACE,
    MOMENT_SECONDS,
    TOLERANCE,
    PaceEstimate,
    PaceTrust,
    correction,
    speeds,
)
from walnutquay.state.store.parts import Endpoint

NOW = 100.0


def told(*paces: float | None, step: float = 1.0) -> PaceEstimate:
    """Return the estimate from some figures, the last of which was told now."""
    estimate = PaceEstimate()
    for index, pace in enumerate(paces):
        estimate.learn(pace, NOW - step * (len(paces) - 1 - index))
    return estimate


class PaceEstimateTest(unittest.TestCase):
    """The pace of one endpoint."""

    def test_fresh_figure_fades_to_the_usual_pace(self):
        estimate = told(1.2, 1.2, 1.2, 3.0)
        cases = ((0.0, 3.0), (0.5, 2.1), (1.0, 1.2), (10.0, 1.2))
        for moments, pace in cases:
            found = estimate.at(NOW + moments * MOMENT_SECONDS)
            self.assertAlmostEqual(found, pace, msg=str(moments))

    def test_moment_with_many_answers_counts_once(self):
        estimate = told(1.2, 1.2, 1.2)
        for _ in range(50):
            estimate.learn(3.0, NOW + 1.0)
        self.assertEqual(estimate.usual, 1.2)

    def test_absurd_figures_are_clipped(self):
        for pace, used in ((1e-9, MIN_PACE), (1e12, MAX_PACE), (float("inf"), 4.0)):
            self.assertEqual(told(pace).at(NOW), used)

    def test_missing_or_old_figure_is_unknown(self):
        for estimate in (told(), told(None), told(2.0, None), told(float("nan"))):
            self.assertFalse(estimate.is_known(NOW))
            self.assertEqual(estimate.at(NOW), 1.0)
        self.assertFalse(told(2.0).is_known(NOW + KEPT_SECONDS + 1.0))


class SpeedsTest(unittest.TestCase):
    """The speeds of the endpoints of one service."""

    def test_endpoints_that_cannot_be_told_apart_have_none(self):
        for paces in ([None, None], [told(3.0), told(3.0)], [told(0.9), told(1.0)]):
            self.assertIsNone(speeds(paces, [1.0, 1.0], NOW))

    def test_endpoint_without_a_figure_counts_like_the_mean(self):
        found = speeds([told(1.0), None, told(3.0)], [1.0] * 3, NOW)
        self.assertEqual([speed.usual for speed in found], [1.0, 2.0, 3.0])

    def test_moment_slows_only_the_beginning_of_long_work(self):
        (_, speed) = speeds([told(1.0), told(1.0, 1.0, 1.0, 2.5)], [1.0] * 2, NOW)
        self.assertAlmostEqual(speed.seconds(0.1), 0.25)
        self.assertAlmostEqual(speed.seconds(2.0), 2.0 + 1.5 * 0.24)

    def test_observations_correct_a_pace_beyond_the_tolerance(self):
        cases = ((1.0, 1.0), (TOLERANCE, 1.0), (1 / TOLERANCE, 1.0), (2.5, 2.0))
        for slowness, factor in cases:
            self.assertAlmostEqual(correction(slowness), factor)


class PaceTrustTest(unittest.TestCase):
    """Paces are used while durations bear them out."""

    def trust(self, seed: int, answers: int, tell) -> PaceTrust:
        """Return the trust after answers of endpoints that are unevenly fast."""
        rng = random.Random(seed)
        trust = PaceTrust()
        for _ in range(answers):
            pace = rng.choice([0.55, 1.2, 1.2, 1.2])
            trust.learn(tell(pace, rng), pace * rng.lognormvariate(0.0, 0.4))
        return trust

    def test_figures_are_used_only_while_they_are_right(self):
        cases = (
            ("right", lambda pace, rng: pace, True),
            ("constant", lambda pace, rng: 1.0, True),
            ("inverted", lambda pace, rng: 0.66 / pace, False),
            ("absurd", lambda pace, rng: rng.choice([0.25, 1.0, 4.0]), False),
        )
        for name, tell, holds in cases:
            for seed in range(20):
                with self.subTest(name, seed=seed):
                    self.assertEqual(self.trust(seed, 200, tell).holds, holds)

    def test_few_answers_do_not_end_it(self):
        for seed in range(20):
            self.assertTrue(self.trust(seed, 5, lambda pace, rng: 0.66 / pace).holds)

    def test_it_comes_back(self):
        trust = self.trust(1, 200, lambda pace, rng: 0.66 / pace)
        rng = random.Random(2)
        for _ in range(1000):
            pace = rng.choice([0.55, 1.2])
            trust.learn(pace, pace)
        self.assertTrue(trust.holds)


class PlainEndpointsTest(unittest.TestCase):
    """The choice among endpoints that read no prompts."""

    def setUp(self):
        self.endpoints = [
            Endpoint(name=f"e{n}", pool="p", hall="h", address="http://x", slots=6)
            for n in range(3)
        ]

    def choices(self, paces: list[float | None], seed: int = 3) -> Counter[str]:
        """Return how often each endpoint is chosen."""
        table = EndpointTable("h", random.Random(seed))
        for endpoint, pace in zip(self.endpoints, paces, strict=True):
            table.report(endpoint.name, 2, "", NOW, pace)
        found = (table.choose(self.endpoints, NOW) for _ in range(300))
        return Counter(item.name for item in found if item)

    def test_slow_endpoint_gets_nothing_while_the_figure_is_fresh(self):
        self.assertNotIn("e1", self.choices([1.0, 2.5, 1.0]))

    def test_without_figures_or_differences_the_choice_is_the_former(self):
        expected = self.choices([None, None, None])
        for paces in ([1.0] * 3, [3.0] * 3, [None, 1.1, None]):
            self.assertEqual(self.choices(paces), expected)
        self.assertEqual(len(expected), 3)
