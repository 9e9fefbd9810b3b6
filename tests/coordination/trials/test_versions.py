# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the choice of versions, and of which answers count as slow."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

from tests.revisions import revision_at
from walnutquay.coordination.trials import evaluation
from walnutquay.coordination.trials.task import TrialTask
from walnutquay.coordination.trials.versions import VersionTrials
from walnutquay.protocol.messages import Message
from walnutquay.sections import PromisesSection
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

BASELINE = 0.1
# Seconds until an answer's head, seconds between its first events, whether it counts as
# slow, and whether it counts as sluggish.
ANSWERS = [
    (BASELINE, 0.01, False, False),
    (2 * BASELINE, 0.01, False, True),
    (6 * BASELINE, 0.01, True, True),
    (BASELINE, 0.05, True, False),
]


ORDER = RolloutOrder(
    "s", revision_at(1), ServiceName("s"), VersionName("v2"), 60.0, OrderState.RUNNING
)


def grant(version: str, name: str = "i-1") -> SimpleNamespace:
    """Return a slot at an endpoint that runs a version."""
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
    """Return a request."""
    route = SimpleNamespace(name="r")
    arrival = SimpleNamespace(route=route, request="r1")
    return SimpleNamespace(
        arrival=arrival, service="s", model=0, session="", avoid_new=False
    )


class SlownessTest(unittest.TestCase):
    """Answer times are compared with the old version's."""

    def make_trials(self) -> VersionTrials:
        """Return a trial with measured baseline times."""
        knowledge = SimpleNamespace(orders=SimpleNamespace(listeners=[]), conditions=[])
        trials = VersionTrials(None, knowledge, None, None, PromisesSection())
        task = SimpleNamespace(trial=Trial(ORDER, 0.0, 0.15))
        trials.tasks[ServiceName("s")] = task
        for _ in range(20):
            trials.answer_began(turn(), grant("v1"), BASELINE)
            trials.paced(turn(), grant("v1"), BASELINE, 0.01)
        return trials

    def test_slowness(self):
        for seconds, pause, slow, sluggish in ANSWERS:
            with self.subTest(seconds=seconds, pause=pause):
                trials = self.make_trials()
                trials.answer_began(turn(), grant("v2"), seconds)
                trials.paced(turn(), grant("v2"), seconds, pause)
                own = trials.tasks[ServiceName("s")].trial.own
                self.assertEqual(own.total(Measure.SLOW).bad, int(slow))
                self.assertEqual(own.total(Measure.SLUGGISH).bad, int(sluggish))


class OverdueTest(unittest.IsolatedAsyncioTestCase):
    """Requests whose answers have not begun are checked with each evaluation."""

    async def test_a_waiting_request_counts(self):
        orders = SimpleNamespace(listeners=[])
        knowledge = SimpleNamespace(orders=orders, conditions=[])
        trials = VersionTrials(None, knowledge, None, None, PromisesSection())
        trial = Trial(ORDER, 0.0, 0.15)
        trials._decide = mock.AsyncMock()
        trials.tasks[ServiceName("s")] = SimpleNamespace(trial=trial)
        for _ in range(20):
            trials.answer_began(turn(), grant("v1"), BASELINE)
        now = 100.0
        with mock.patch.object(evaluation, "monotonic", lambda: now):
            trials.evaluator.sent(turn(), grant("v2"))
            now += 2 * BASELINE
            other = turn()
            other.arrival.request = "r2"
            trials.answer_began(other, grant("v2"), BASELINE)
            await trials.decide()
        total = trial.own.total(Measure.SLUGGISH)
        self.assertEqual((total.good, total.bad), (1, 1))


class VersionChoiceTest(unittest.TestCase):
    """A choice contains the reason for it."""

    def setUp(self):
        self.registry = InstanceRegistry(2.0)
        for version in ("v1", "v2"):
            self.registry.put(grant(version, name=f"i-{version}").endpoint, 0.0)
        instances = SimpleNamespace(registry=self.registry)
        orders = SimpleNamespace(listeners=[])
        knowledge = SimpleNamespace(orders=orders, instances=instances, conditions=[])
        timeline = SimpleNamespace(emit=lambda *args, **facts: None)
        self.context = SimpleNamespace(metrics=Metrics(), timeline=timeline)
        self.sent: list[Message] = []
        peers = SimpleNamespace(size=3, broadcast=self.sent.append)
        self.trials = VersionTrials(
            self.context, knowledge, None, peers, PromisesSection()
        )
        self.trial = Trial(ORDER, monotonic(), 0.15)
        self.trial.open = True
        self.trials.tasks[ServiceName("s")] = TrialTask(self.trial, 0.0)

    def session(self, new: bool) -> str:
        """Return a session by whether the first share assigns it to the new version."""
        share = self.trial.share(monotonic())
        names = (f"session-{number}" for number in range(1000))
        return next(
            name for name in names if is_assigned_to_new(name, "v2", share) is new
        )

    def choose(self, **fields: object) -> tuple[str, ChoiceReason]:
        """Return the version chosen for a request, and the reason.

        :param fields: the fields of the request that differ from the default.
        """
        request_turn = turn()
        for name, value in fields.items():
            setattr(request_turn, name, value)
        choice = self.trials.version_for(request_turn)
        assert choice is not None
        return choice.version, choice.reason

    def test_no_trial(self):
        self.trials.tasks.clear()
        self.assertIsNone(self.trials.version_for(turn()))

    def test_share(self):
        choice = self.choose(session=self.session(new=True))
        self.assertEqual(choice, ("v2", ChoiceReason.SHARE))
        choice = self.choose(session=self.session(new=False))
        self.assertEqual(choice, ("", ChoiceReason.SHARE))

    def test_session_seen_here(self):
        for version, is_assigned, expected in (
            ("v1", False, ("", ChoiceReason.SESSION_ON_OLD)),
            ("v1", True, ("", ChoiceReason.KEPT)),
            ("v2", False, ("v2", ChoiceReason.SESSION_ON_NEW)),
        ):
            with self.subTest(version=version, is_assigned=is_assigned):
                earlier = turn()
                earlier.session = self.session(is_assigned)
                self.trials.began(earlier, grant(version))
                self.trials.left(earlier, grant(version))
                self.assertEqual(self.choose(session=earlier.session), expected)

    def test_session_seen_here_on_the_new_version(self):
        earlier = turn()
        earlier.session = self.session(new=True)
        self.trials.began(earlier, grant("v2"))
        expected = ("v2", ChoiceReason.SESSION_ON_NEW)
        self.assertEqual(self.choose(session=earlier.session), expected)

    def test_not_open_yet(self):
        self.trial.open = False
        self.trial.opens_at = monotonic() + 60.0
        choice = self.choose(session=self.session(new=True))
        self.assertEqual(choice, ("", ChoiceReason.NOT_OPEN))

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

    def test_choices_are_counted(self):
        self.choose(avoid_new=True)
        self.assertEqual(self.context.metrics.counters["trial_choices_failed_there"], 1)
