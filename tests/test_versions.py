# Licensed under the Apache License 2.0: see LICENSE for details.

"""What counts as a slow answer while a version is on trial."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from walnutquay.coordination.versions import VersionTrials
from walnutquay.settings import PromisesSection
from walnutquay.state.ids import HallName, ServiceName, VersionName
from walnutquay.state.instances import Instance
from walnutquay.state.orders import OrderState, RolloutOrder
from walnutquay.state.trials import Measure, Trial

USUAL = 0.1
# seconds of an answer's head, seconds between its first events -> whether it counts as
# slow, and as sluggish
ANSWERS = [
    (USUAL, 0.01, False, False),
    (2 * USUAL, 0.01, False, True),
    (6 * USUAL, 0.01, True, True),
    (USUAL, 0.05, True, False),
]


def grant(version: str) -> SimpleNamespace:
    """:returns: a place at an endpoint that runs a version."""
    endpoint = Instance(
        "i-1", ServiceName("s"), "http://x", HallName("h"), VersionName(version), 8
    )
    return SimpleNamespace(endpoint=endpoint, name=endpoint.name)


def turn() -> SimpleNamespace:
    """:returns: a request."""
    route = SimpleNamespace(name="r")
    arrival = SimpleNamespace(route=route)
    return SimpleNamespace(arrival=arrival, service="s", model=0, session="")


class SlowTest(unittest.TestCase):
    """Answers are compared with the old version's."""

    def trials(self) -> VersionTrials:
        """:returns: a trial that knows what is usual."""
        knowledge = SimpleNamespace(orders=SimpleNamespace(listeners=[]))
        found = VersionTrials(None, knowledge, None, None, PromisesSection())
        order = RolloutOrder(
            "s", 1, ServiceName("s"), VersionName("v2"), 60.0, OrderState.RUNNING
        )
        task = SimpleNamespace(trial=Trial(order, 0.0, 0.15))
        found.tasks[ServiceName("s")] = task
        for _ in range(20):
            found.paced(turn(), grant("v1"), USUAL, 0.01)
        return found

    def test_table(self):
        for seconds, pause, slow, sluggish in ANSWERS:
            with self.subTest(seconds=seconds, pause=pause):
                found = self.trials()
                found.paced(turn(), grant("v2"), seconds, pause)
                own = found.tasks[ServiceName("s")].trial.own
                self.assertEqual(own.total(Measure.SLOW).bad, int(slow))
                self.assertEqual(own.total(Measure.SLUGGISH).bad, int(sluggish))
