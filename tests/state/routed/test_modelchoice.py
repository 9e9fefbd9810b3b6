# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the choice of model, and of how it adapts to observations."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from walnutquay.state.process.ids import ModelName, RouteName, ServiceName
from walnutquay.state.routed.confidence import FadingMean, bin_of, chance_good
from walnutquay.state.routed.modelchoice import (
    ChoiceContext,
    Demand,
    Forecast,
    ModelChoice,
)
from walnutquay.state.store.catalogue import Destination, Route, RouteKind

MODELS = (ModelName("small"), ModelName("middle"), ModelName("large"))
ROUTE = Route(
    RouteName("r"),
    "h",
    "/",
    RouteKind.STREAM,
    (Destination(ServiceName("s"), 1.0),),
    timeout_seconds=20.0,
    objective_seconds=4.0,
    models=MODELS,
)
QUICK = (Forecast(0.0, 0.1, 0.01), Forecast(0.0, 0.2, 0.06), Forecast(0.0, 0.4, 0.12))
REQUESTS = 200


def context(**changes) -> ChoiceContext:
    """Return a request that has just arrived, with idle engines.

    :param changes: fields that differ.
    """
    default = ChoiceContext(ROUTE, 0, 0.2, 19.8, Demand(), QUICK)
    return replace(default, **changes)


def reported(rng: random.Random, quality: float, difficulty: float) -> float:
    """Return a model's confidence in its answer to a request."""
    confidence = 50.0 + 100.0 * (quality - difficulty) + rng.gauss(0.0, 15.0)
    return min(100.0, max(0.0, confidence))


class ConfidenceTest(unittest.TestCase):
    """The functions of confidence values."""

    def test_higher_confidence_is_a_higher_chance(self):
        chances = [chance_good(confidence) for confidence in (0, 30, 50, 70, 100)]
        self.assertEqual(chances, sorted(chances))
        self.assertAlmostEqual(chance_good(50), 0.5)

    def test_bins(self):
        self.assertEqual([bin_of(c) for c in (0, 9.9, 10, 99, 100)], [0, 0, 1, 9, 9])

    def test_old_observations_fade(self):
        mean = FadingMean()
        self.assertEqual(mean.value(7.0), 7.0)
        for value in [0.0] * 1000 + [1.0] * 300:
            mean.add(value)
        self.assertGreater(mean.value(0.0), 0.9)


class DecisionTest(unittest.TestCase):
    """A single decision."""

    def test_a_confident_answer_is_kept(self):
        self.assertIsNone(ModelChoice().next(context(), 0, 95.0).larger)

    def test_an_unconfident_answer_is_not_kept(self):
        self.assertEqual(ModelChoice().next(context(), 0, 5.0).larger, 2)

    def test_an_answer_without_a_confidence_is_kept(self):
        self.assertIsNone(ModelChoice().next(context(), 0, None).larger)

    def test_an_answer_of_the_largest_model_is_kept(self):
        self.assertIsNone(ModelChoice().next(context(), 2, 0.0).larger)

    def test_a_model_that_would_miss_the_deadline_is_not_asked(self):
        slow = (QUICK[0], QUICK[1], Forecast(15.0, 5.0, 0.12))
        self.assertNotEqual(
            ModelChoice().next(context(forecasts=slow), 0, 0.0).larger, 2
        )

    def test_a_model_without_an_endpoint_is_not_asked(self):
        no_engine = tuple(replace(one, wait=float("inf")) for one in QUICK)
        self.assertIsNone(
            ModelChoice().next(context(forecasts=no_engine), 0, 1.0).larger
        )

    def test_a_late_answer_has_less_value(self):
        early, late = context().value_at(0.5), context().value_at(8.0)
        self.assertEqual(early, 1.0)
        self.assertLess(late, 0.5)
        self.assertEqual(context().value_at(19.9), 0.0)

    def test_busy_engines_get_fewer_requests(self):
        def asking(wait: float, busy: float) -> list[float]:
            waits = tuple(replace(f, wait=wait) for f in QUICK)
            request = context(forecasts=waits, demand=Demand(5.0, busy))
            choice = ModelChoice()
            return [c for c in range(100) if choice.next(request, 0, c).larger]

        idle, busy, busier = asking(0.0, 0.0), asking(1.0, 0.5), asking(1.5, 0.9)
        self.assertGreater(len(idle), len(busy))
        self.assertGreater(len(busy), len(busier))

    def test_a_long_reading_delays_others_on_idle_engines(self):
        readings = (QUICK[0], QUICK[1], Forecast(0.0, 3.0, 0.12))
        idle = context(forecasts=readings, demand=Demand(3.0, 0.5))
        self.assertGreater(idle.harm(2), 0.5)
        self.assertLess(idle.harm(0), 0.01)

    def test_shorter_prompts_do_not_wait_for_all_queued_work(self):
        waits = tuple(replace(f, wait=1.5) for f in QUICK)
        short = Demand(3.0, 0.5, 1.0, (0.05,) * 8)
        long = Demand(3.0, 0.5, 1.0, (5.0,) * 8)
        self.assertLess(
            context(forecasts=waits, demand=short).harm(2),
            0.2 * context(forecasts=waits, demand=long).harm(2),
        )

    def test_urgent_requests_count_their_harm_to_others_least(self):
        waits = tuple(replace(f, wait=1.0) for f in QUICK)
        busy = context(forecasts=waits, demand=Demand(3.0, 0.5, 0.5))
        harms = [replace(busy, priority=rank).harm(2) for rank in (0, 1, 2)]
        self.assertEqual(harms, sorted(harms))
        self.assertLess(harms[0], harms[2])

    def test_decisions_do_not_depend_on_the_time_scale(self):
        # All times are ten times as long, including the objective and the timeout.
        slow_route = replace(ROUTE, objective_seconds=40.0, timeout_seconds=200.0)
        waits = tuple(replace(f, wait=1.0) for f in QUICK)
        slow = tuple(replace(f, wait=10.0, reading=10 * f.reading) for f in QUICK)
        normal = context(forecasts=waits, demand=Demand(2.0, 0.5))
        slower = ChoiceContext(slow_route, 0, 2.0, 198.0, Demand(0.2, 0.5), slow)
        for confidence in range(0, 100, 5):
            expected = ModelChoice().next(normal, 0, confidence)
            found = ModelChoice().next(slower, 0, confidence)
            self.assertEqual(found.larger, expected.larger)
            self.assertAlmostEqual(found.value, expected.value)


class LearningTest(unittest.TestCase):
    """The choice adapts to the quality that models turn out to have."""

    def simulate(
        self, choice: ModelChoice, qualities: tuple[float, ...], seed: int
    ) -> list[int]:
        """Serve requests of random difficulty.

        :param choice: the choice to test; it learns from the requests.
        :param qualities: the quality of each model.
        :param seed: the seed of the random numbers.
        :returns: the larger models that were asked, in order.
        """
        rng = random.Random(seed)
        asked = []
        for _ in range(REQUESTS):
            difficulty = rng.random()
            confidence = reported(rng, qualities[0], difficulty)
            larger = choice.next(context(), 0, confidence).larger
            if larger is None:
                continue
            second = reported(rng, qualities[larger], difficulty)
            choice.learn(ROUTE, 0, confidence, larger, second)
            asked.append(larger)
        return asked

    def test_a_middle_model_without_gain_is_asked_rarely(self):
        for seed in range(5):
            asked = self.simulate(ModelChoice(), (0.54, 0.56, 1.0), seed)
            second_half = asked[len(asked) // 2 :]
            self.assertLess(second_half.count(1), 0.25 * len(second_half), seed)

    def test_a_middle_model_with_gain_is_asked_often(self):
        for seed in range(5):
            asked = self.simulate(ModelChoice(), (0.5, 1.0, 1.0), seed)
            second_half = asked[len(asked) // 2 :]
            self.assertGreater(second_half.count(1), 0.25 * len(second_half), seed)

    def test_a_model_that_becomes_worse_is_asked_less(self):
        choice = ModelChoice()
        self.simulate(choice, (0.5, 1.0, 1.0), 1)
        for seed in range(2, 4):
            asked = self.simulate(choice, (0.5, 0.5, 1.0), seed)
        second_half = asked[len(asked) // 2 :]
        self.assertLess(second_half.count(1), 0.5 * len(second_half))

    def test_a_largest_model_without_gain_is_asked_less(self):
        choice = ModelChoice()
        good = len(self.simulate(choice, (0.5, 0.5, 1.0), 1))
        for seed in range(2, 5):
            bad = len(self.simulate(choice, (0.5, 0.5, 0.5), seed))
        self.assertLess(bad, 0.65 * good)


if __name__ == "__main__":
    unittest.main()
