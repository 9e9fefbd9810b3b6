# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the choice among engines for a prompt."""

from __future__ import annotations

import random
import unittest

from walnutquay.coordination.routed.promptengines import (
    OTHER_HALL_WAIT_SHARE,
    SECONDS_PER_RUNNING_REQUEST,
    EngineState,
    PromptEngines,
)
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    ServiceName,
    VersionName,
)
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.requests.preference import preferred_endpoint
from walnutquay.state.routed.work import PromptWork, WorkTable
from walnutquay.state.store.instances import Instance

HERE = HallName("hall-0")
NOW = 100.0
KEPT = 8.0
ENGINES = 30
SEEDS = 40


def engine(number: int) -> Instance:
    """Return an engine; a third of them are in this VM's data hall."""
    return Instance(
        EndpointName(f"e{number}"),
        ServiceName("s"),
        f"http://10.0.0.{number}:80",
        HallName(f"hall-{number % 3}"),
        VersionName("v1"),
        16,
    )


class RandomEngines:
    """Engines with a random assumed state.

    :param seed: the seed.
    """

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.engines = [engine(number) for number in range(rng.randint(1, ENGINES))]
        self.table = EndpointTable(HERE, rng)
        self.work = WorkTable()
        self.work.apply_peer_rate("m", 1e-5 * rng.randint(1, 20))
        subject = rng.choice(["", "a-subject"])
        self.prompt = PromptWork("m", rng.randint(1, 50_000), subject, 4_000)
        self.objective = rng.choice([0.3, 2.0])
        for item in self.engines:
            self.table.report(item.name, rng.randint(0, 30), "", NOW - 1.0)
            if rng.random() < 0.3:
                self.table.state_of(item.name).learn_speed(
                    rng.uniform(0.5, 6.0), NOW - 3.0
                )
            if rng.random() < 0.5:
                beginning = rng.choice([self.prompt.beginning, "another"])
                sent_at = NOW - rng.uniform(0.0, 2.0 * KEPT)
                self.work.add(item.name, rng.uniform(0.0, 20.0), beginning, sent_at)
        engine_state = EngineState(HERE, self.table, self.work)
        self.prompt_engines = PromptEngines(engine_state, self.engines, KEPT, NOW)

    def times(self, item: Instance) -> tuple[float, float]:
        """Return an engine's waiting time and its reading time of the prompt."""
        near = [e.name for e in self.engines if e.hall == HERE]
        everywhere = [e.name for e in self.engines]
        beginning = self.prompt.beginning
        preferred = item.name in (
            preferred_endpoint(near, beginning),
            preferred_endpoint(everywhere, beginning),
        )
        endpoint_state = self.table.state_of(item.name)
        slow = endpoint_state.slow_by(NOW)
        reading = self.work.reading(item.name, self.prompt, NOW, preferred, KEPT)
        running = endpoint_state.load(NOW) * SECONDS_PER_RUNNING_REQUEST
        return (self.work.wait(item.name, NOW) + running) * slow, reading * slow

    def cost(self, item: Instance) -> float:
        """Return the cost of sending the prompt to an engine."""
        other_hall_cost = (
            0.0 if item.hall == HERE else (OTHER_HALL_WAIT_SHARE * self.objective) ** 2
        )
        return sum(self.times(item)) ** 2 + other_hall_cost


class PromptEnginesTest(unittest.TestCase):
    """All engines together get the same values as each engine alone."""

    def test_best_engine_has_the_lowest_cost(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                fixture = RandomEngines(seed)
                best = fixture.prompt_engines.best(fixture.prompt, fixture.objective)
                self.assertIs(best, min(fixture.engines, key=fixture.cost))

    def test_forecast_is_for_the_best_engine(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                fixture = RandomEngines(seed)
                best = fixture.prompt_engines.best(fixture.prompt, fixture.objective)
                forecast = fixture.prompt_engines.forecast(
                    fixture.prompt, fixture.objective
                )
                self.assertEqual(forecast, fixture.times(best))
