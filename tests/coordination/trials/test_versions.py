# Licensed under the Apache License 2.0: see LICENSE for details.

"""Who gets a version on trial, and what counts as a slow answer of it."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

from walnutquay.coordination.trials import judging
from walnutquay.coordination.trials.task import TrialTask
from walnutquay.coordination.trials.versions import VersionTrials
from walnutquay.protocol.messages import Message
from walnutquay.settings import PromisesSection
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    ServiceName,
    VersionName,
)
from walnutquay.state.process.metrics import Metrics
from walnutquay.state.store.instances import Instance, InstanceRegistry
from walnutquay.state.store.orders import OrderState, RolloutOrder
from walnutquay.state.trials.choice import ChoiceReason
from walnutquay.state.trials.counts import Measure
from walnutquay.state.trials.hashing import is_assigned_to_new, session_hash
from walnutquay.state.trials.trial import Trial
from walnutquay.transport.timers import monotonic

USUAL = 0.1
# seconds of an answer's head, seconds between its first events -> whether it counts as
# slow, and as sluggish
ANSWERS = [
    (USUAL, 0.01, False, False),
    (2 * USUAL, 0.01, False, True),
    (6 * USUAL, 0.01, True, True),
    (USUAL, 0.05, True, False),
]


ORDER = RolloutOrder(
    "s", 1, ServiceName("s"), VersionName("v2"), 60.0, OrderState.RUNNING
)


def grant(version: str, name: str = "i-1") -> SimpleNamespace:
    """:returns: a place at an endpoint that runs a version."""
    endpoint = Instance(
        EndpointName(name),
        ServiceName("s"),
        "http://x",
        HallName("h"),
        VersionName(version),
        8,
    )
    return SimpleNamespace(endpoint=endpoint, name=endpoint.name)


def turn() -> SimpleNamespace:
    """:returns: a request."""
    route = SimpleNamespace(name="r")
    arrival = SimpleNamespace(route=route, request="r1")
    return SimpleNamespace(
        arrival=arrival, service="s", model=0, session="", avoid_new=False
    )


class SlowTest(unittest.TestCase):
    """Answers are compared with the old version's."""

    def trials(self) -> VersionTrials:
        """:returns: a trial that knows what is usual."""
        knowledge = SimpleNamespace(orders=SimpleNamespace(listeners=[]), conditions=[])
        found = VersionTrials(None, knowledge, None, None, PromisesSection())
        task = SimpleNamespace(trial=Trial(ORDER, 0.0, 0.15))
        found.tasks[ServiceName("s")] = task
        for _ in range(20):
            found.answer_began(turn(), grant("v1"), USUAL)
            found.paced(turn(), grant("v1"), USUAL, 0.01)
        return found

    def test_table(self):
        for seconds, pause, slow, sluggish in ANSWERS:
            with self.subTest(seconds=seconds, pause=pause):
                found = self.trials()
                found.answer_began(turn(), grant("v2"), seconds)
                found.paced(turn(), grant("v2"), seconds, pause)
                own = found.tasks[ServiceName("s")].trial.own
                self.assertEqual(own.total(Measure.SLOW).bad, int(slow))
                self.assertEqual(own.total(Measure.SLUGGISH).bad, int(sluggish))


class WaitingTest(unittest.IsolatedAsyncioTestCase):
    """Answers that do not begin are looked for as trials are."""

    async def test_one_that_waits_counts(self):
        orders = SimpleNamespace(listeners=[])
        knowledge = SimpleNamespace(orders=orders, conditions=[])
        found = VersionTrials(None, knowledge, None, None, PromisesSection())
        trial = Trial(ORDER, 0.0, 0.15)
        found._decide = mock.AsyncMock()
        found.tasks[ServiceName("s")] = SimpleNamespace(trial=trial)
        for _ in range(20):
            found.answer_began(turn(), grant("v1"), USUAL)
        now = 100.0
        with mock.patch.object(judging, "monotonic", lambda: now):
            found.judge.sent(turn(), grant("v2"))
            now += 2 * USUAL
            other = turn()
            other.arrival.request = "r2"
            found.answer_began(other, grant("v2"), USUAL)
            await found.decide()
        total = trial.own.total(Measure.SLUGGISH)
        self.assertEqual((total.good, total.bad), (1, 1))


class ChoiceTest(unittest.TestCase):
    """A choice tells what decided it."""

    def setUp(self):
        self.registry = InstanceRegistry(2.0)
        for version in ("v1", "v2"):
            self.registry.put(grant(version, name=f"i-{version}").endpoint, 0.0)
        instances = SimpleNamespace(registry=self.registry)
        orders = SimpleNamespace(listeners=[])
        knowledge = SimpleNamespace(orders=orders, instances=instances, conditions=[])
        timeline = SimpleNamespace(emit=lambda *args, **facts: None)
        self.context = SimpleNamespace(metrics=Metrics(), timeline=timeline)
        self.told: list[Message] = []
        peers = SimpleNamespace(size=3, tell_all=self.told.append)
        self.trials = VersionTrials(
            self.context, knowledge, None, peers, PromisesSection()
        )
        self.trial = Trial(ORDER, monotonic(), 0.15)
        self.trial.open = True
        self.trials.tasks[ServiceName("s")] = TrialTask(self.trial, 0.0)

    def session(self, new: bool) -> str:
        """:returns: a session that falls to the new version at first, or not."""
        share = self.trial.share(monotonic())
        names = (f"session-{number}" for number in range(1000))
        return next(
            name for name in names if is_assigned_to_new(name, "v2", share) is new
        )

    def choose(self, **more: object) -> tuple[str, ChoiceReason]:
        """:returns: the version and the reason for a request."""
        wanted = turn()
        for name, value in more.items():
            setattr(wanted, name, value)
        choice = self.trials.version_for(wanted)
        assert choice is not None
        return choice.version, choice.reason

    def test_no_trial(self):
        self.trials.tasks.clear()
        self.assertIsNone(self.trials.version_for(turn()))

    def test_share(self):
        found = self.choose(session=self.session(new=True))
        self.assertEqual(found, ("v2", ChoiceReason.SHARE))
        found = self.choose(session=self.session(new=False))
        self.assertEqual(found, ("", ChoiceReason.SHARE))

    def test_session_seen_here(self):
        for version, falls_to_it, expected in (
            ("v1", False, ("", ChoiceReason.SESSION_ON_OLD)),
            ("v1", True, ("", ChoiceReason.KEPT)),
            ("v2", False, ("v2", ChoiceReason.SESSION_ON_NEW)),
        ):
            with self.subTest(version=version, falls_to_it=falls_to_it):
                seen = turn()
                seen.session = self.session(falls_to_it)
                self.trials.began(seen, grant(version))
                self.trials.left(seen, grant(version))
                self.assertEqual(self.choose(session=seen.session), expected)

    def test_session_seen_here_on_the_new_version(self):
        seen = turn()
        seen.session = self.session(new=True)
        self.trials.began(seen, grant("v2"))
        expected = ("v2", ChoiceReason.SESSION_ON_NEW)
        self.assertEqual(self.choose(session=seen.session), expected)

    def test_not_open_yet(self):
        self.trial.open = False
        self.trial.opens_at = monotonic() + 60.0
        found = self.choose(session=self.session(new=True))
        self.assertEqual(found, ("", ChoiceReason.NOT_OPEN))

    def test_kept_by_another_vm(self):
        name = self.session(new=True)
        self.trial.kept.receive([session_hash(name, "v2")], monotonic())
        self.assertEqual(self.choose(session=name), ("", ChoiceReason.KEPT))

    def test_failed_there(self):
        self.assertEqual(self.choose(avoid_new=True), ("", ChoiceReason.FAILED_THERE))

    def test_braked(self):
        self.trial.rejected = True
        self.assertEqual(self.choose(), ("", ChoiceReason.BRAKED))

    def test_none_runs(self):
        self.registry.remove("i-v2", 0.0)
        self.assertEqual(self.choose(), ("", ChoiceReason.NONE_RUNS))

    def test_counted(self):
        self.choose(avoid_new=True)
        self.assertEqual(self.context.metrics.counters["trial_choices_failed_there"], 1)
