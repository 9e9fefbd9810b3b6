# Licensed under the Apache License 2.0: see LICENSE for details.

"""When VMs tell each other of trials, and what they make of what they hear."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

from walnutquay.coordination.process.context import Context, Timeline, new_incarnation
from walnutquay.coordination.trials import news as trialnews
from walnutquay.coordination.trials.news import LAST_CALL_SECONDS, TrialExchange
from walnutquay.coordination.trials.task import DECIDED_TELLS, TrialTask
from walnutquay.coordination.trials.versions import VersionTrials
from walnutquay.protocol.messages import (
    AskTrial,
    Envelope,
    Failure,
    Message,
    TrialNews,
)
from walnutquay.settings import PromisesSection
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    ServiceName,
    VersionName,
    VmName,
)
from walnutquay.state.process.metrics import Metrics
from walnutquay.state.requests.durations import MIN_SAMPLES
from walnutquay.state.store.orders import OrderState, RolloutOrder
from walnutquay.state.trials.baseline import BaselineTime, BaselineTimes, kind_hash
from walnutquay.state.trials.counts import Measure, TrialCounts
from walnutquay.state.trials.reports import TrialReport, Verdict
from walnutquay.state.trials.trial import Trial

SERVICE = ServiceName("s")
V2 = VersionName("v2")
ORDER = RolloutOrder("order", 1, SERVICE, V2, 100.0, OrderState.NEW)
SUBJECT = (Measure.FAILED, "r")
HERE, THERE = HallName("h"), HallName("there")


class FakePeers:
    """Two other VMs: what they are told is kept, and they answer as set."""

    def __init__(self) -> None:
        self.size = 3
        self.told: list[TrialReport] = []
        self.answer: Message | Exception | None = None

    def tell_all(self, body: TrialNews) -> None:
        """:param body: what they are told."""
        self.told.append(body.report)

    def hall_of(self, vm: VmName) -> HallName | None:
        """:returns: the data hall of each VM."""
        return HERE

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
        context = Context(vm, HERE, new_incarnation(), Timeline(vm, 100))
        self.events = context.timeline.ring
        self.peers = FakePeers()
        self.unknown: list[TrialReport] = []
        trial = Trial(ORDER, 0.0, 0.15, start_observed=True)
        trial.opens_at = 1.0
        self.task = TrialTask(trial, 0.0)
        self.tasks = {SERVICE: self.task}
        self.usual = BaselineTimes()
        self.exchange = TrialExchange(
            context, self.peers, self.tasks, self.usual, self.unknown.append
        )

    def tick(self, at: float) -> int:
        """:returns: how often the others have been told since the last tick."""
        self.now = at
        self.peers.told.clear()
        self.exchange.tell_if_due(self.task)
        return len(self.peers.told)

    def hear(self, report: TrialReport, incarnation: str = "inc") -> None:
        """Hear from another VM."""
        body = TrialNews(report)
        self.exchange.hear(Envelope("vm-2", incarnation, Stamp(1, 0), body))


class TellingTest(ExchangeCase):
    """What was decided is told at once, counts in their turn."""

    def test_nothing_to_tell(self):
        self.assertEqual([self.tick(at) for at in (0.0, 1.0, 5.0)], [0, 0, 0])

    def test_what_is_usual_is_told_once_without_counts(self):
        self.usual.learn(SERVICE, "head/r/0", 0.1)
        self.assertEqual([self.tick(at) for at in (0.0, 2.0, 4.0)], [1, 0, 0])

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

    def test_what_a_vm_has_seen_outlasts_its_process(self):
        # A VM that starts again counts from nothing, and would take its counts back.
        for incarnation, good in (("first", 2), ("first", 3), ("second", 1)):
            counts = ((SUBJECT, TrialCounts(good)),)
            self.hear(TrialReport("order", V2, counts), incarnation)
        total = self.task.trial.outcome_counts().total(Measure.FAILED)
        self.assertEqual(total.good, 4)

    def test_an_order_that_is_not_known(self):
        self.hear(TrialReport("another", V2, ()))
        self.assertEqual([report.order for report in self.unknown], ["another"])

    def test_a_bad_version(self):
        self.hear(TrialReport("order", V2, (), verdict=Verdict.BAD))
        self.assertTrue(self.task.trial.rejected)
        # The VM that found it writes it first.
        self.assertGreater(self.task.write_at, self.now)
        self.assertFalse(self.task.found_bad)
        rejected = [
            event for event in self.events.events if event.kind.value == "braked"
        ]
        self.assertEqual([dict(e.facts)["told_by"] for e in rejected], ["vm-2"])


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
                self.assertEqual(follower.query_now.call_count, calls)


class HallPeers(FakePeers):
    """A fleet of 195 VMs in several data halls; notes who is told what."""

    def __init__(self) -> None:
        super().__init__()
        self.size = 195
        self.relay = False
        self.to: list[tuple[str, TrialNews]] = []

    def tell_hall(self, hall: HallName, body: TrialNews) -> None:
        """:param hall: the data hall that is told."""
        self.to.append((hall, body))

    def tell_other_halls(self, body: TrialNews) -> None:
        """:param body: what all VMs of the other halls are told."""
        self.to.append(("others", body))

    def tell_relays(self, body: TrialNews) -> None:
        """:param body: what the relays of the other halls are told."""
        self.to.append(("relays", body))

    def is_relay(self) -> bool:
        """:returns: whether this VM is one."""
        return self.relay

    def hall_of(self, vm: VmName) -> HallName | None:
        """:returns: the data hall of a VM, which begins its name."""
        hall = HallName(vm.rpartition("-")[0])
        return hall if hall in (HERE, THERE) else None


class UsualTest(ExchangeCase):
    """A VM that knows little of the old version knows what the others do."""

    KIND = "head/r/0"

    def test_what_another_vm_tells(self):
        row = BaselineTime(kind_hash(self.KIND), 0.1, MIN_SAMPLES)
        self.hear(TrialReport("order", V2, (), usual=(row,)))
        self.assertAlmostEqual(self.usual.ratio(SERVICE, self.KIND, 0.3), 3.0)

    def test_one_that_starts_is_told_all(self):
        row = BaselineTime(kind_hash(self.KIND), 0.1, MIN_SAMPLES)
        self.hear(TrialReport("order", V2, (), usual=(row,)))
        question = AskTrial(ORDER.name, V2)
        answer = self.exchange.answer(Envelope("vm-3", "inc", Stamp(1, 0), question))
        self.assertEqual(answer.report.usual, (row,))


class HallsTest(ExchangeCase):
    """In a large fleet counts go from hall to hall, and no answer counts twice."""

    def setUp(self) -> None:
        super().setUp()
        self.peers = self.exchange.peers = HallPeers()

    def seen(self, bad: int) -> TrialReport:
        """:returns: what some VMs have seen."""
        counts = ((SUBJECT, TrialCounts(0, bad)),)
        return TrialReport(ORDER.name, V2, counts, (7,))

    def bad(self) -> int:
        """:returns: all bad answers that are known here."""
        return self.task.trial.outcome_counts().total(Measure.FAILED).bad

    def take(self, vm: str, news: TrialNews) -> None:
        """Hear from a VM."""
        self.exchange.hear(Envelope(vm, "incarnation", Stamp(1, 0), news))

    def test_a_vm_tells_its_counts_in_its_hall_only(self):
        self.task.trial.own.add(SUBJECT, True, "i-1")
        self.exchange.tell_if_due(self.task)
        self.assertEqual([to for to, _ in self.peers.to], [HERE])

    def test_what_is_decided_goes_to_all_without_counts(self):
        self.task.trial.own.add(SUBJECT, True, "i-1")
        self.task.decided()
        self.exchange.tell(self.task)
        (here, near), (others, far) = self.peers.to
        self.assertEqual((here, others), (HERE, "others"))
        self.assertEqual((bool(near.report.counts), far.report.counts), (True, ()))

    def test_a_relay_tells_what_its_hall_has_seen(self):
        self.peers.relay = True
        self.take(f"{HERE}-2", TrialNews(self.seen(3)))
        self.take(f"{THERE}-1", TrialNews(self.seen(5), THERE))
        self.task.trial.own.add(SUBJECT, True, "i-1")
        self.peers.to.clear()
        self.exchange.tell_if_due(self.task)
        told = [news for to, news in self.peers.to if to == "relays"]
        self.assertEqual([news.hall for news in told], [HERE])
        counts = dict(told[0].report.counts)
        # Not those of the other hall, which that tells itself.
        self.assertEqual(counts[SUBJECT].bad, 4)

    def test_each_answer_counts_once(self):
        self.take(f"{HERE}-2", TrialNews(self.seen(3)))
        self.take(f"{THERE}-1", TrialNews(self.seen(5), THERE))
        # Its own news, by a decision; the other relay; and the one of this hall.
        self.take(f"{THERE}-1", TrialNews(self.seen(2)))
        self.take(f"{THERE}-2", TrialNews(self.seen(5), THERE))
        self.take(f"{HERE}-2", TrialNews(self.seen(5), THERE))
        self.assertEqual(self.bad(), 8)
        self.assertIsNotNone(self.task.trial.kept.since(7))

    def test_news_of_another_hall_are_passed_on_once(self):
        for vm in (f"{THERE}-1", f"{THERE}-2", f"{HERE}-2"):
            self.take(vm, TrialNews(self.seen(5), THERE))
        self.assertEqual([to for to, _ in self.peers.to], [HERE])

    def test_a_vm_that_is_not_known_adds_nothing_twice(self):
        self.take("new-1", TrialNews(self.seen(2)))
        self.assertEqual(self.bad(), 0)
        self.assertIsNotNone(self.task.trial.kept.since(7))
