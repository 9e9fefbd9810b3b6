# Licensed under the Apache License 2.0: see LICENSE for details.

"""The choice among engines for a prompt."""

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
from walnutquay.state.routed.work import PromptWork, WorkTable, preferred_of
from walnutquay.state.store.instances import Instance

HERE = HallName("hall-0")
NOW = 100.0
KEPT = 8.0
ENGINES = 30
SEEDS = 40


def engine(number: int) -> Instance:
    """:returns: an engine; a third of them stand here."""
    return Instance(
        EndpointName(f"e{number}"),
        ServiceName("s"),
        f"http://10.0.0.{number}:80",
        HallName(f"hall-{number % 3}"),
        VersionName("v1"),
        16,
    )


class Drawn:
    """Engines of which a VM believes what a seed draws.

    :param seed: the seed.
    """

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.engines = [engine(number) for number in range(rng.randint(1, ENGINES))]
        self.table = EndpointTable(HERE, rng)
        self.work = WorkTable()
        self.work.hear_rate("m", 1e-5 * rng.randint(1, 20))
        subject = rng.choice(["", "a-subject"])
        self.prompt = PromptWork("m", rng.randint(1, 50_000), subject, 4_000)
        self.objective = rng.choice([0.3, 2.0])
        for item in self.engines:
            self.table.report(item.name, rng.randint(0, 30), "", NOW - 1.0)
            if rng.random() < 0.3:
                self.table.of(item.name).learn_speed(rng.uniform(0.5, 6.0), NOW - 3.0)
            if rng.random() < 0.5:
                beginning = rng.choice([self.prompt.beginning, "another"])
                sent_at = NOW - rng.uniform(0.0, 2.0 * KEPT)
                self.work.add(item.name, rng.uniform(0.0, 20.0), beginning, sent_at)
        engine_state = EngineState(HERE, self.table, self.work)
        self.found = PromptEngines(engine_state, self.engines, KEPT, NOW)

    def times(self, item: Instance) -> tuple[float, float]:
        """:returns: seconds before an engine can begin, and to read the prompt."""
        near = [e.name for e in self.engines if e.hall == HERE]
        everywhere = [e.name for e in self.engines]
        beginning = self.prompt.beginning
        preferred = item.name in (
            preferred_of(near, beginning),
            preferred_of(everywhere, beginning),
        )
        facts = self.table.of(item.name)
        slow = facts.slow_by(NOW)
        reading = self.work.reading(item.name, self.prompt, NOW, preferred, KEPT)
        running = facts.load(NOW) * SECONDS_PER_RUNNING_REQUEST
        return (self.work.wait(item.name, NOW) + running) * slow, reading * slow

    def harm(self, item: Instance) -> float:
        """:returns: what sending the prompt to an engine counts as."""
        far = (
            0.0 if item.hall == HERE else (OTHER_HALL_WAIT_SHARE * self.objective) ** 2
        )
        return sum(self.times(item)) ** 2 + far


class PromptEnginesTest(unittest.TestCase):
    """All engines are weighed at once as each would be by itself."""

    def test_the_least_harm(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                drawn = Drawn(seed)
                best = drawn.found.best(drawn.prompt, drawn.objective)
                self.assertIs(best, min(drawn.engines, key=drawn.harm))

    def test_its_forecast(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                drawn = Drawn(seed)
                best = drawn.found.best(drawn.prompt, drawn.objective)
                forecast = drawn.found.forecast(drawn.prompt, drawn.objective)
                self.assertEqual(forecast, drawn.times(best))
