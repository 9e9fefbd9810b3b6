# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which model is to answer, by what is learnt of them."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from walnutquay.state.process.ids import ModelName, RouteName, ServiceName
from walnutquay.state.routed.confidence import FadingMean, chance_good, step_of
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


def case(**more) -> ChoiceContext:
    """:returns: a request that has just come, with idle engines."""
    usual = ChoiceContext(ROUTE, 0, 0.2, 19.8, Demand(), QUICK)
    return replace(usual, **more)


def told(rng: random.Random, quality: float, difficulty: float) -> float:
    """:returns: a model's opinion of its answer to a request."""
    opinion = 50.0 + 100.0 * (quality - difficulty) + rng.gauss(0.0, 15.0)
    return min(100.0, max(0.0, opinion))


class OpinionTest(unittest.TestCase):
    """What opinions say."""

    def test_more_sure_is_more_likely(self):
        chances = [chance_good(opinion) for opinion in (0, 30, 50, 70, 100)]
        self.assertEqual(chances, sorted(chances))
        self.assertAlmostEqual(chance_good(50), 0.5)

    def test_steps(self):
        self.assertEqual([step_of(o) for o in (0, 9.9, 10, 99, 100)], [0, 0, 1, 9, 9])

    def test_old_observations_fade(self):
        mean = FadingMean()
        self.assertEqual(mean.value(7.0), 7.0)
        for value in [0.0] * 1000 + [1.0] * 300:
            mean.add(value)
        self.assertGreater(mean.value(0.0), 0.9)


class StepTest(unittest.TestCase):
    """One choice."""

    def test_a_sure_answer_is_kept(self):
        self.assertIsNone(ModelChoice().next(case(), 0, 95.0).larger)

    def test_an_unsure_one_is_not(self):
        self.assertEqual(ModelChoice().next(case(), 0, 5.0).larger, 2)

    def test_an_answer_without_an_opinion_is_kept(self):
        self.assertIsNone(ModelChoice().next(case(), 0, None).larger)

    def test_the_largest_has_nothing_above_it(self):
        self.assertIsNone(ModelChoice().next(case(), 2, 0.0).larger)

    def test_a_model_that_cannot_begin_before_the_deadline_is_not_asked(self):
        slow = (QUICK[0], QUICK[1], Forecast(15.0, 5.0, 0.12))
        self.assertNotEqual(ModelChoice().next(case(forecasts=slow), 0, 0.0).larger, 2)

    def test_a_model_that_no_endpoint_could_run_is_not_asked(self):
        nobody = tuple(replace(one, wait=float("inf")) for one in QUICK)
        self.assertIsNone(ModelChoice().next(case(forecasts=nobody), 0, 1.0).larger)

    def test_a_late_answer_is_worth_less(self):
        early, late = case().worth_at(0.5), case().worth_at(8.0)
        self.assertEqual(early, 1.0)
        self.assertLess(late, 0.5)
        self.assertEqual(case().worth_at(19.9), 0.0)

    def test_on_busy_engines_less_is_asked(self):
        def asks(wait: float, busy: float) -> list[float]:
            waits = tuple(replace(f, wait=wait) for f in QUICK)
            found = case(forecasts=waits, demand=Demand(5.0, busy))
            choice = ModelChoice()
            return [o for o in range(100) if choice.next(found, 0, o).larger]

        calm, busy, busier = asks(0.0, 0.0), asks(1.0, 0.5), asks(1.5, 0.9)
        self.assertGreater(len(calm), len(busy))
        self.assertGreater(len(busy), len(busier))

    def test_a_long_reading_harms_others_where_nothing_waits(self):
        readings = (QUICK[0], QUICK[1], Forecast(0.0, 3.0, 0.12))
        idle = case(forecasts=readings, demand=Demand(3.0, 0.5))
        self.assertGreater(idle.harm(2), 0.5)
        self.assertLess(idle.harm(0), 0.01)

    def test_shorter_prompts_do_not_wait_for_all_that_is_before(self):
        waits = tuple(replace(f, wait=1.5) for f in QUICK)
        short = Demand(3.0, 0.5, 1.0, (0.05,) * 8)
        long = Demand(3.0, 0.5, 1.0, (5.0,) * 8)
        self.assertLess(
            case(forecasts=waits, demand=short).harm(2),
            0.2 * case(forecasts=waits, demand=long).harm(2),
        )

    def test_urgent_requests_give_way_last(self):
        waits = tuple(replace(f, wait=1.0) for f in QUICK)
        busy = case(forecasts=waits, demand=Demand(3.0, 0.5, 0.5))
        harms = [replace(busy, priority=rank).harm(2) for rank in (0, 1, 2)]
        self.assertEqual(harms, sorted(harms))
        self.assertLess(harms[0], harms[2])

    def test_time_has_no_scale(self):
        # Everything ten times as slow, for a route that allows ten times as long.
        slow_route = replace(ROUTE, objective_seconds=40.0, timeout_seconds=200.0)
        waits = tuple(replace(f, wait=1.0) for f in QUICK)
        slow = tuple(replace(f, wait=10.0, reading=10 * f.reading) for f in QUICK)
        usual = case(forecasts=waits, demand=Demand(2.0, 0.5))
        slower = ChoiceContext(slow_route, 0, 2.0, 198.0, Demand(0.2, 0.5), slow)
        for opinion in range(0, 100, 5):
            expected = ModelChoice().next(usual, 0, opinion)
            found = ModelChoice().next(slower, 0, opinion)
            self.assertEqual(found.larger, expected.larger)
            self.assertAlmostEqual(found.value, expected.value)


class LearningTest(unittest.TestCase):
    """What is asked follows what the models turn out to be."""

    def play(
        self, choice: ModelChoice, qualities: tuple[float, ...], seed: int
    ) -> list[int]:
        """Serve requests of all difficulties.

        :returns: the larger models that were asked, in order.
        """
        rng = random.Random(seed)
        asked = []
        for _ in range(REQUESTS):
            difficulty = rng.random()
            opinion = told(rng, qualities[0], difficulty)
            larger = choice.next(case(), 0, opinion).larger
            if larger is None:
                continue
            second = told(rng, qualities[larger], difficulty)
            choice.learn(ROUTE, 0, opinion, larger, second)
            asked.append(larger)
        return asked

    def test_a_middle_model_that_adds_nothing_is_left_out(self):
        for seed in range(5):
            asked = self.play(ModelChoice(), (0.54, 0.56, 1.0), seed)
            late = asked[len(asked) // 2 :]
            self.assertLess(late.count(1), 0.25 * len(late), seed)

    def test_a_middle_model_that_does_is_asked(self):
        for seed in range(5):
            asked = self.play(ModelChoice(), (0.5, 1.0, 1.0), seed)
            late = asked[len(asked) // 2 :]
            self.assertGreater(late.count(1), 0.25 * len(late), seed)

    def test_a_model_that_became_worse(self):
        choice = ModelChoice()
        self.play(choice, (0.5, 1.0, 1.0), 1)
        for seed in range(2, 4):
            asked = self.play(choice, (0.5, 0.5, 1.0), seed)
        late = asked[len(asked) // 2 :]
        self.assertLess(late.count(1), 0.5 * len(late))

    def test_a_largest_model_that_is_no_better_is_asked_less(self):
        choice = ModelChoice()
        good = len(self.play(choice, (0.5, 0.5, 1.0), 1))
        for seed in range(2, 5):
            bad = len(self.play(choice, (0.5, 0.5, 0.5), seed))
        self.assertLess(bad, 0.65 * good)


if __name__ == "__main__":
    unittest.main()
