# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the updates on trials that VMs send, and of how they apply them."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

from tests.revisions import revision_at
from walnutquay.coordination.process.context import Context, Timeline, new_incarnation
from walnutquay.coordination.trials import exchange as trialexchange
from walnutquay.coordination.trials.exchange import PRE_OPENING_SECONDS, TrialExchange
from walnutquay.coordination.trials.task import DECISION_ANNOUNCEMENTS, TrialTask
from walnutquay.coordination.trials.versions import VersionTrials
from walnutquay.protocol.messages import (
    AskTrial,
    Envelope,
    Failure,
    Message,
    TrialNews,
)
from walnutquay.sections import PromisesSection
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
ORDER = RolloutOrder("order", revision_at(1), SERVICE, V2, 100.0, OrderState.NEW)
SUBJECT = (Measure.FAILED, "r")
HERE, THERE = HallName("h"), HallName("there")


class FakePeers:
    """Two other VMs, which record updates and respond as set."""

    def __init__(self) -> None:
        self.size = 3
        self.sent: list[TrialReport] = []
        self.response: Message | Exception | None = None

    def broadcast(self, body: TrialNews) -> None:
        """Record an update to all VMs."""
        self.sent.append(body.report)

    def hall_of(self, vm: VmName) -> HallName | None:
        """Return the data hall, which is the same for all VMs."""
        return HERE

    async def query_any(self, body: Message) -> Message | None:
        """Return or raise the response that is set."""
        if isinstance(self.response, Exception):
            raise self.response
        return self.response


class ExchangeCase(unittest.IsolatedAsyncioTestCase):
    """A trial that begins at second 0 and opens at second 1."""

    def setUp(self) -> None:
        self.now = 0.0
        patch = mock.patch.object(trialexchange, "monotonic", lambda: self.now)
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
        self.baseline = BaselineTimes()
        self.exchange = TrialExchange(
            context, self.peers, self.tasks, self.baseline, self.unknown.append
        )

    def count_sent(self, at: float) -> int:
        """Return the number of updates that are sent at a time.

        :param at: the time; monotonic seconds.
        """
        self.now = at
        self.peers.sent.clear()
        self.exchange.announce_if_due(self.task)
        return len(self.peers.sent)

    def receive(self, report: TrialReport, incarnation: str = "inc") -> None:
        """Receive a report from another VM."""
        body = TrialNews(report)
        self.exchange.receive(Envelope("vm-2", incarnation, Stamp(1, 0), body))


class AnnouncementTest(ExchangeCase):
    """Decisions are sent at once, counts once a period."""

    def test_nothing_is_sent_without_changes(self):
        self.assertEqual([self.count_sent(at) for at in (0.0, 1.0, 5.0)], [0, 0, 0])

    def test_the_baseline_is_sent_once_without_counts(self):
        self.baseline.learn(SERVICE, "head/r/0", 0.1)
        self.assertEqual([self.count_sent(at) for at in (0.0, 2.0, 4.0)], [1, 0, 0])

    def test_a_decision_before_the_opening(self):
        self.task.schedule_announcements()
        opens = 1.0 - PRE_OPENING_SECONDS
        sent = [self.count_sent(at) for at in (0.1, opens + 0.01, 1.0, 1.25)]
        self.assertEqual(sent, [0, 1, 1, 0])

    def test_a_later_decision_is_sent_at_once(self):
        self.now = 10.0
        self.task.schedule_announcements()
        sent = [self.count_sent(10.0 + 0.25 * number) for number in range(4)]
        self.assertEqual(
            sent, [1] * DECISION_ANNOUNCEMENTS + [0] * (4 - DECISION_ANNOUNCEMENTS)
        )

    def test_counts_wait_for_the_next_period(self):
        self.count_sent(10.0)
        self.task.trial.own.add(SUBJECT, False, EndpointName("i-1"))
        self.assertEqual([self.count_sent(at) for at in (10.5, 12.0, 14.0)], [0, 1, 0])


class ReceivingTest(ExchangeCase):
    """Reports are applied; those on unknown orders are passed to a callback."""

    def test_counts_of_an_earlier_process_are_kept(self):
        # A VM that restarts begins to count at zero.  Its new counts must not replace
        # those of its earlier process.
        for incarnation, good in (("first", 2), ("first", 3), ("second", 1)):
            counts = ((SUBJECT, TrialCounts(good)),)
            self.receive(TrialReport("order", V2, counts), incarnation)
        total = self.task.trial.outcome_counts().total(Measure.FAILED)
        self.assertEqual(total.good, 4)

    def test_an_unknown_order_is_reported(self):
        self.receive(TrialReport("another", V2, ()))
        self.assertEqual([report.order for report in self.unknown], ["another"])

    def test_a_bad_verdict_is_adopted(self):
        self.receive(TrialReport("order", V2, (), verdict=Verdict.BAD))
        self.assertTrue(self.task.trial.rejected)
        # The VM that found the version bad writes the status first.
        self.assertGreater(self.task.write_at, self.now)
        self.assertFalse(self.task.found_bad)
        rejected = [
            event for event in self.events.events if event.kind.value == "braked"
        ]
        self.assertEqual([dict(e.facts)["told_by"] for e in rejected], ["vm-2"])


class CatchUpTest(ExchangeCase):
    """A VM that learns of a trial late requests its state from the others."""

    def setUp(self) -> None:
        super().setUp()
        self.task.catching_up = True

    async def test_a_response_is_adopted(self):
        report = TrialReport("order", V2, (), (7,), Verdict.UNSURE, 20.0, 0.0)
        self.peers.response = TrialNews(report)
        self.now = 30.0
        await self.exchange.catch_up(self.task)
        trial = self.task.trial
        self.assertEqual((trial.open, trial.kept.all()), (True, (7,)))
        self.assertFalse(self.task.catching_up)

    async def test_without_a_response_the_order_decides(self):
        # By the order in the store the trial opens at second 1.
        for at, is_open in ((0.5, False), (1.0, True)):
            with self.subTest(at=at):
                self.now = at
                self.task.catching_up = True
                await self.exchange.catch_up(self.task)
                found = (self.task.trial.open, self.task.catching_up)
                self.assertEqual(found, (is_open, False))

    async def test_an_error_ends_the_catching_up(self):
        self.now = 5.0
        self.peers.response = RuntimeError("not foreseen")
        with self.assertRaises(RuntimeError):
            await self.exchange.catch_up(self.task)
        self.assertEqual((self.task.trial.open, self.task.catching_up), (True, False))

    def test_a_request_is_answered_unless_catching_up(self):
        request = AskTrial("order", V2)
        envelope = Envelope("vm-2", "inc", Stamp(1, 0), request)
        for catching_up, kind in ((True, Failure), (False, TrialNews)):
            with self.subTest(catching_up=catching_up):
                self.task.catching_up = catching_up
                self.assertIsInstance(self.exchange.answer(envelope), kind)

    def test_a_request_for_another_trial_fails(self):
        self.task.catching_up = False
        for request in (AskTrial("order", "v3"), AskTrial("another", V2)):
            with self.subTest(request=request):
                envelope = Envelope("vm-2", "inc", Stamp(1, 0), request)
                self.assertIsInstance(self.exchange.answer(envelope), Failure)


class UnknownOrderTest(unittest.TestCase):
    """An update on an unknown order makes a VM read the orders, once for each order."""

    def test_orders_are_read_once_for_each_unknown_order(self):
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
    """A fleet of 195 VMs in several data halls, which records where updates go."""

    def __init__(self) -> None:
        super().__init__()
        self.size = 195
        self.relay = False
        self.updates: list[tuple[str, TrialNews]] = []

    def send_to_hall(self, hall: HallName, body: TrialNews) -> None:
        """Record an update to a data hall."""
        self.updates.append((hall, body))

    def send_to_other_halls(self, body: TrialNews) -> None:
        """Record an update to all VMs of the other halls."""
        self.updates.append(("others", body))

    def send_to_relays(self, body: TrialNews) -> None:
        """Record an update to the relays of the other halls."""
        self.updates.append(("relays", body))

    def is_relay(self) -> bool:
        """Return whether this VM is a relay."""
        return self.relay

    def hall_of(self, vm: VmName) -> HallName | None:
        """Return the data hall of a VM, which is the first part of its name."""
        hall = HallName(vm.rpartition("-")[0])
        return hall if hall in (HERE, THERE) else None


class BaselineTest(ExchangeCase):
    """A VM that has measured few baseline times uses those of the others."""

    KIND = "head/r/0"

    def test_rows_of_another_vm_are_used(self):
        row = BaselineTime(kind_hash(self.KIND), 0.1, MIN_SAMPLES)
        self.receive(TrialReport("order", V2, (), usual=(row,)))
        self.assertAlmostEqual(self.baseline.ratio(SERVICE, self.KIND, 0.3), 3.0)

    def test_a_response_contains_all_rows(self):
        row = BaselineTime(kind_hash(self.KIND), 0.1, MIN_SAMPLES)
        self.receive(TrialReport("order", V2, (), usual=(row,)))
        request = AskTrial(ORDER.name, V2)
        answer = self.exchange.answer(Envelope("vm-3", "inc", Stamp(1, 0), request))
        self.assertEqual(answer.report.usual, (row,))


class RelayTest(ExchangeCase):
    """In a large fleet relays send counts between halls, and no answer counts twice."""

    def setUp(self) -> None:
        super().setUp()
        self.peers = self.exchange.peers = HallPeers()

    def make_report(self, bad: int) -> TrialReport:
        """Return a report with bad answers and one kept session."""
        counts = ((SUBJECT, TrialCounts(0, bad)),)
        return TrialReport(ORDER.name, V2, counts, (7,))

    def bad(self) -> int:
        """Return the number of bad answers that this VM knows of."""
        return self.task.trial.outcome_counts().total(Measure.FAILED).bad

    def receive_from(self, vm: str, update: TrialNews) -> None:
        """Receive an update from a VM."""
        self.exchange.receive(Envelope(vm, "incarnation", Stamp(1, 0), update))

    def test_counts_are_sent_within_the_hall_only(self):
        self.task.trial.own.add(SUBJECT, True, "i-1")
        self.exchange.announce_if_due(self.task)
        self.assertEqual([destination for destination, _ in self.peers.updates], [HERE])

    def test_decisions_are_sent_to_all_without_counts(self):
        self.task.trial.own.add(SUBJECT, True, "i-1")
        self.task.schedule_announcements()
        self.exchange.announce(self.task)
        (here, near), (others, far) = self.peers.updates
        self.assertEqual((here, others), (HERE, "others"))
        self.assertEqual((bool(near.report.counts), far.report.counts), (True, ()))

    def test_a_relay_sends_its_halls_counts(self):
        self.peers.relay = True
        self.receive_from(f"{HERE}-2", TrialNews(self.make_report(3)))
        self.receive_from(f"{THERE}-1", TrialNews(self.make_report(5), THERE))
        self.task.trial.own.add(SUBJECT, True, "i-1")
        self.peers.updates.clear()
        self.exchange.announce_if_due(self.task)
        sent = [
            update
            for destination, update in self.peers.updates
            if destination == "relays"
        ]
        self.assertEqual([update.hall for update in sent], [HERE])
        counts = dict(sent[0].report.counts)
        # Without those of the other hall, which sends them itself.
        self.assertEqual(counts[SUBJECT].bad, 4)

    def test_each_answer_counts_once(self):
        self.receive_from(f"{HERE}-2", TrialNews(self.make_report(3)))
        self.receive_from(f"{THERE}-1", TrialNews(self.make_report(5), THERE))
        # The relay's own update with a decision; the same report by the other relay of
        # that hall, and by the relay of this one.
        self.receive_from(f"{THERE}-1", TrialNews(self.make_report(2)))
        self.receive_from(f"{THERE}-2", TrialNews(self.make_report(5), THERE))
        self.receive_from(f"{HERE}-2", TrialNews(self.make_report(5), THERE))
        self.assertEqual(self.bad(), 8)
        self.assertIsNotNone(self.task.trial.kept.since(7))

    def test_updates_of_another_hall_are_forwarded_once(self):
        for vm in (f"{THERE}-1", f"{THERE}-2", f"{HERE}-2"):
            self.receive_from(vm, TrialNews(self.make_report(5), THERE))
        self.assertEqual([destination for destination, _ in self.peers.updates], [HERE])

    def test_counts_of_an_unknown_vm_are_ignored(self):
        self.receive_from("new-1", TrialNews(self.make_report(2)))
        self.assertEqual(self.bad(), 0)
        self.assertIsNotNone(self.task.trial.kept.since(7))
