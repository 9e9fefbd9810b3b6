# Licensed under the Apache License 2.0: see LICENSE for details.

"""When VMs tell each other of trials, and what they make of what they hear."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

from walnutquay.coordination import trialnews
from walnutquay.coordination.context import Context, Timeline, new_incarnation
from walnutquay.coordination.trialnews import LAST_CALL_SECONDS, TrialExchange
from walnutquay.coordination.trialtask import DECIDED_TELLS, TrialTask
from walnutquay.coordination.versions import VersionTrials
from walnutquay.protocol.messages import (
    AskTrial,
    Envelope,
    Failure,
    Message,
    TrialNews,
)
from walnutquay.settings import PromisesSection
from walnutquay.state.clock import Stamp
from walnutquay.state.ids import (
    EndpointName,
    HallName,
    ServiceName,
    VersionName,
    VmName,
)
from walnutquay.state.metrics import Metrics
from walnutquay.state.orders import OrderState, RolloutOrder
from walnutquay.state.trialcounts import Measure
from walnutquay.state.trials import Trial, TrialReport, Verdict

SERVICE = ServiceName("s")
V2 = VersionName("v2")
ORDER = RolloutOrder("order", 1, SERVICE, V2, 100.0, OrderState.NEW)
SUBJECT = (Measure.FAILED, "r")


class FakePeers:
    """Two other VMs: what they are told is kept, and they answer as set."""

    def __init__(self) -> None:
        self.size = 3
        self.told: list[TrialReport] = []
        self.answer: Message | Exception | None = None

    def tell_all(self, body: TrialNews) -> None:
        """:param body: what they are told."""
        self.told.append(body.report)

    async def ask_any(self, body: Message) -> Message | None:
        """:returns: the answer that is set."""
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class ExchangeCase(unittest.IsolatedAsyncioTestCase):
    """One trial that begins at second 0 and opens at second 1."""

    def setUp(self) -> None:
        self.now = 0.0
        patch = mock.patch.object(trialnews, "monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        vm = VmName("vm-1")
        context = Context(vm, HallName("h"), new_incarnation(), Timeline(vm, 100))
        self.events = context.timeline.ring
        self.peers = FakePeers()
        self.unknown: list[TrialReport] = []
        trial = Trial(ORDER, 0.0, 0.15, witnessed=True)
        trial.opens_at = 1.0
        self.task = TrialTask(trial, 0.0)
        self.tasks = {SERVICE: self.task}
        self.exchange = TrialExchange(
            context, self.peers, self.tasks, self.unknown.append
        )

    def tick(self, at: float) -> int:
        """:returns: how often the others have been told since the last tick."""
        self.now = at
        self.peers.told.clear()
        self.exchange.tell_if_due(self.task)
        return len(self.peers.told)

    def hear(self, report: TrialReport) -> None:
        """Hear from another VM."""
        body = TrialNews(report)
        self.exchange.hear(Envelope("vm-2", "inc", Stamp(1, 0), body))


class TellingTest(ExchangeCase):
    """What was decided is told at once, counts in their turn."""

    def test_nothing_to_tell(self):
        self.assertEqual([self.tick(at) for at in (0.0, 1.0, 5.0)], [0, 0, 0])

    def test_decided_before_the_new_version_gets_sessions(self):
        self.task.decided()
        opens = 1.0 - LAST_CALL_SECONDS
        found = [self.tick(at) for at in (0.1, opens + 0.01, 1.0, 1.25)]
        self.assertEqual(found, [0, 1, 1, 0])

    def test_decided_later(self):
        self.now = 10.0
        self.task.decided()
        found = [self.tick(10.0 + 0.25 * number) for number in range(4)]
        self.assertEqual(found, [1] * DECIDED_TELLS + [0] * (4 - DECIDED_TELLS))

    def test_counts_wait_for_their_turn(self):
        self.tick(10.0)
        self.task.trial.own.add(SUBJECT, False, EndpointName("i-1"))
        self.assertEqual([self.tick(at) for at in (10.5, 12.0, 14.0)], [0, 1, 0])


class HearingTest(ExchangeCase):
    """What others tell is taken over, or makes this VM read its orders."""

    def test_an_order_that_is_not_known(self):
        self.hear(TrialReport("another", V2, ()))
        self.assertEqual([report.order for report in self.unknown], ["another"])

    def test_a_bad_version(self):
        self.hear(TrialReport("order", V2, (), verdict=Verdict.BAD))
        self.assertTrue(self.task.trial.braked)
        # The VM that found it writes it first.
        self.assertGreater(self.task.write_at, self.now)
        self.assertFalse(self.task.found_bad)
        braked = [event for event in self.events.events if event.kind.value == "braked"]
        self.assertEqual([dict(e.facts)["told_by"] for e in braked], ["vm-2"])


class AskingTest(ExchangeCase):
    """A VM that learns late asks the others, and is asked itself."""

    def setUp(self) -> None:
        super().setUp()
        self.task.asking = True

    async def test_answered(self):
        report = TrialReport("order", V2, (), (7,), Verdict.UNSURE, 20.0, 0.0)
        self.peers.answer = TrialNews(report)
        self.now = 30.0
        await self.exchange.catch_up(self.task)
        trial = self.task.trial
        self.assertEqual((trial.open, trial.kept.all()), (True, (7,)))
        self.assertFalse(self.task.asking)

    async def test_not_answered(self):
        # By what stands in the store it opens at second 1.
        for at, is_open in ((0.5, False), (1.0, True)):
            with self.subTest(at=at):
                self.now = at
                self.task.asking = True
                await self.exchange.catch_up(self.task)
                found = (self.task.trial.open, self.task.asking)
                self.assertEqual(found, (is_open, False))

    async def test_an_error_holds_nobody_up(self):
        self.now = 5.0
        self.peers.answer = RuntimeError("not foreseen")
        with self.assertRaises(RuntimeError):
            await self.exchange.catch_up(self.task)
        self.assertEqual((self.task.trial.open, self.task.asking), (True, False))

    def test_asked(self):
        question = AskTrial("order", V2)
        envelope = Envelope("vm-2", "inc", Stamp(1, 0), question)
        for asking, kind in ((True, Failure), (False, TrialNews)):
            with self.subTest(asking=asking):
                self.task.asking = asking
                self.assertIsInstance(self.exchange.answer(envelope), kind)

    def test_asked_for_another_trial(self):
        self.task.asking = False
        for question in (AskTrial("order", "v3"), AskTrial("another", V2)):
            with self.subTest(question=question):
                envelope = Envelope("vm-2", "inc", Stamp(1, 0), question)
                self.assertIsInstance(self.exchange.answer(envelope), Failure)


class UnknownOrderTest(unittest.TestCase):
    """News of an unknown order make a VM read its orders, once for each."""

    def test_once(self):
        follower = mock.Mock()
        orders = SimpleNamespace(listeners=[], orders={"order": ORDER})
        knowledge = SimpleNamespace(
            orders=orders, conditions=[], order_follower=follower
        )
        context = SimpleNamespace(metrics=Metrics())
        trials = VersionTrials(context, knowledge, None, None, PromisesSection())
        for order, version, calls in (
            ("order", "v2", 0),
            ("order", "v3", 1),
            ("order", "v3", 1),
            ("another", "v2", 2),
        ):
            with self.subTest(order=order, version=version):
                trials._on_unknown(TrialReport(order, VersionName(version), ()))
                self.assertEqual(follower.nudge.call_count, calls)
