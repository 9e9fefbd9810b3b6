# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of how answers of a version on trial are evaluated by their times."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from tests.revisions import revision_at
from walnutquay.coordination.trials import evaluation
from walnutquay.coordination.trials.evaluation import (
    SLOW_FACTOR,
    SLUGGISH_FACTOR,
    AnswerEvaluator,
)
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    ServiceName,
    VersionName,
    VmName,
)
from walnutquay.state.requests.durations import MIN_SAMPLES
from walnutquay.state.routed.links import Reach
from walnutquay.state.store.instances import Instance
from walnutquay.state.store.orders import OrderState, RolloutOrder
from walnutquay.state.trials.baseline import BaselineTime, BaselineTimes, kind_hash
from walnutquay.state.trials.counts import Measure, TrialCounts
from walnutquay.state.trials.evidence import Fault
from walnutquay.state.trials.trial import Trial

SERVICE = ServiceName("s")
BASELINE = 0.1
KIND = "head/r/0"
# Turns of the loop in which a background task ends.
STEPS = 5
ORDER = RolloutOrder(
    "s", revision_at(1), SERVICE, VersionName("v2"), 60.0, OrderState.RUNNING
)


def grant(version: str, name: str) -> SimpleNamespace:
    """Return a slot at an endpoint that runs a version."""
    endpoint = Instance(
        EndpointName(name), SERVICE, "http://x", HallName("h"), VersionName(version), 8
    )
    return SimpleNamespace(endpoint=endpoint, name=endpoint.name)


def turn(request: str = "r1") -> SimpleNamespace:
    """Return a request."""
    arrival = SimpleNamespace(route=SimpleNamespace(name="r"), request=request)
    return SimpleNamespace(arrival=arrival, service=SERVICE, model=0)


class EvaluatorCase(unittest.TestCase):
    """An evaluator with a trial of v2, and a simulated clock."""

    def setUp(self) -> None:
        self.now = 100.0
        patch = mock.patch.object(evaluation, "monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.trial = Trial(ORDER, 0.0, 0.15)
        self.evaluator = AnswerEvaluator(lambda service: self.trial, lambda trial: None)
        self.new = grant("v2", "new-1")

    def learn_baseline(self) -> None:
        """Let the old version answer enough requests for a baseline."""
        for _ in range(MIN_SAMPLES):
            self.evaluator.answer_began(turn(), grant("v1", "old-1"), BASELINE)

    def counts(self, measure: Measure) -> tuple[int, int]:
        """Return the numbers of good and bad answers of the new version."""
        total = self.trial.own.total(measure)
        return total.good, total.bad


class BrokenAnswerTest(EvaluatorCase):
    """Answers that break off count against the version that breaks them.

    Guards against a version that resets half of its answers and is rolled out fully.
    """

    def break_answers(self, count: int, beside_old: bool) -> None:
        """Break answers of the new version, one a second."""
        for number in range(count):
            self.now += 1.0
            self.evaluator.broke(turn(f"n{number}"), grant("v2", f"new-{number % 2}"))
            if beside_old:
                self.evaluator.broke(turn(f"o{number}"), grant("v1", "old-1"))
        self.now += 1.0
        self.evaluator.check_overdue()

    def test_version_is_rejected(self) -> None:
        self.break_answers(8, beside_old=False)
        self.assertEqual(self.counts(Measure.FAILED), (0, 8))
        self.assertIs(self.trial.fault(), Fault.FAILS)

    def test_version_is_not_blamed_for_a_path(self) -> None:
        self.break_answers(8, beside_old=True)
        self.assertEqual(self.counts(Measure.FAILED), (0, 0))
        self.assertEqual(self.trial.old.total(Measure.FAILED).bad, 8)
        self.assertIsNone(self.trial.fault())

    def test_nothing_is_kept_without_a_trial(self) -> None:
        self.break_answers(1, beside_old=False)
        self.evaluator.trial_of = lambda service: None
        self.evaluator.broke(turn(), self.new)
        self.assertEqual(self.evaluator.breaks, {})


class NoBaselineTest(EvaluatorCase):
    """Without a baseline, an answer's times count neither as good nor as bad."""

    # All VMs were lost during a trial, and the baseline with them.  The answers of the
    # slow version then counted as good: "sluggish 0 of 27", although 15 of the 19
    # answers of the last second had taken over 1.5 times the old version's median.  The
    # version was found good, and got 217 requests where a bad one may get 198.

    def test_times_are_not_counted(self):
        self.evaluator.sent(turn(), self.new)
        self.evaluator.answer_began(turn(), self.new, 5.0)
        self.evaluator.succeeded(turn(), self.new, 5.0)
        self.assertEqual(self.counts(Measure.SLUGGISH), (0, 0))
        self.assertEqual(self.counts(Measure.SLOW), (0, 0))
        self.assertEqual(self.counts(Measure.FAILED), (1, 0))

    def test_a_received_baseline_is_enough(self):
        row = BaselineTime(kind_hash(KIND), BASELINE, MIN_SAMPLES)
        self.evaluator.baseline.receive(SERVICE, VmName("vm-2"), (row,))
        self.evaluator.sent(turn(), self.new)
        self.evaluator.answer_began(turn(), self.new, 5.0)
        self.assertEqual(self.counts(Measure.SLUGGISH), (0, 1))


class OverdueTest(EvaluatorCase):
    """Answers that arrive late or never count, as they show that a version is slow."""

    def setUp(self) -> None:
        super().setUp()
        self.learn_baseline()

    def wait(self, factor: float) -> None:
        """Wait while the endpoint answers others.

        :param factor: how long to wait, as a multiple of the baseline time.
        """
        self.now += factor * BASELINE + 0.001
        self.evaluator.answer_began(turn("another"), grant("v2", "new-1"), BASELINE)
        self.trial.own.by_subject.clear()
        self.evaluator.check_overdue()

    def test_a_waiting_request_counts(self):
        self.evaluator.sent(turn(), self.new)
        self.wait(SLUGGISH_FACTOR)
        self.assertEqual(self.counts(Measure.SLUGGISH), (0, 1))
        self.assertEqual(self.counts(Measure.SLOW), (0, 0))
        self.wait(SLOW_FACTOR)
        self.assertEqual(self.counts(Measure.SLOW), (0, 1))

    def test_a_request_counts_once(self):
        self.evaluator.sent(turn(), self.new)
        self.wait(SLOW_FACTOR)
        self.evaluator.check_overdue()
        self.evaluator.answer_began(turn(), self.new, 6 * BASELINE)
        self.evaluator.succeeded(turn(), self.new, 6 * BASELINE)
        self.assertEqual(self.counts(Measure.SLUGGISH), (0, 1))
        self.assertEqual(self.counts(Measure.SLOW), (0, 1))

    def test_an_abandoned_request_stays_counted(self):
        self.evaluator.sent(turn(), self.new)
        self.wait(SLOW_FACTOR)
        self.evaluator.left(turn())
        self.evaluator.check_overdue()
        self.assertEqual(self.counts(Measure.SLOW), (0, 1))

    def test_a_silent_endpoint_does_not_count(self):
        self.evaluator.sent(turn(), self.new)
        self.now += 10 * BASELINE
        self.evaluator.check_overdue()
        self.assertEqual(self.counts(Measure.SLUGGISH), (0, 0))

    def test_an_answer_dropped_for_a_larger_model_counts(self):
        self.evaluator.sent(turn(), self.new)
        self.evaluator.answer_began(turn(), self.new, 3 * BASELINE)
        self.evaluator.left(turn())
        self.assertEqual(self.counts(Measure.SLUGGISH), (0, 1))


class GivenUpRequestTest(EvaluatorCase, unittest.IsolatedAsyncioTestCase):
    """A slow version whose callers give up before its answers come is withdrawn."""

    def setUp(self) -> None:
        super().setUp()
        self.learn_baseline()
        self.reach = Reach.REACHED
        patch = mock.patch.object(evaluation, "probe", self.probe, create=True)
        patch.start()
        self.addCleanup(patch.stop)

    async def probe(self, url: str) -> Reach:
        """Return whether an endpoint accepts connections."""
        return self.reach

    async def give_up(self, factor: float, *grants: SimpleNamespace) -> None:
        """Let callers give up on requests at endpoints that answer nothing meanwhile.

        :param factor: how long they wait, as a multiple of the baseline time.
        :param grants: the slot of each.
        """
        for number, one in enumerate(grants):
            request = turn(f"given-up-{number}")
            self.evaluator.sent(request, one)
            self.now += factor * BASELINE + 0.001
            self.evaluator.check_overdue()
            self.evaluator.left(request)
        for _ in range(STEPS):
            await asyncio.sleep(0)

    async def test_slow_answers_that_nobody_waits_for_count(self):
        await self.give_up(SLOW_FACTOR, self.new, grant("v2", "new-2"), self.new)
        self.assertEqual(self.counts(Measure.SLOW), (0, 3))
        self.assertIs(self.trial.fault(), Fault.SLOW)

    async def test_callers_who_leave_early_do_not_count(self):
        await self.give_up(SLUGGISH_FACTOR / 2, self.new, grant("v2", "new-2"))
        self.assertEqual(self.counts(Measure.SLUGGISH), (0, 0))

    async def test_endpoints_that_are_down_do_not_count(self):
        self.reach = Reach.SILENT
        await self.give_up(SLOW_FACTOR, self.new, grant("v2", "new-2"), self.new)
        self.assertEqual(self.counts(Measure.SLOW), (0, 0))

    async def test_one_endpoint_that_hangs_is_not_enough(self):
        await self.give_up(SLOW_FACTOR, self.new, self.new, self.new)
        self.assertIsNone(self.trial.fault())

    async def test_the_old_version_is_counted_alike(self):
        await self.give_up(SLOW_FACTOR, grant("v1", "old-1"))
        self.assertEqual(self.trial.old.total(Measure.SLOW).bad, 1)


class OneEndpointTest(unittest.TestCase):
    """A single endpoint may be faulty by itself, without a fault of its version."""

    def test_many_sluggish_answers_are_needed(self):
        for bad, rejected in ((7, False), (8, True)):
            counts = TrialCounts(12 - bad, bad, frozenset({EndpointName("new-1")}))
            self.assertIs(is_rejected_as_sluggish(counts), rejected)


def is_rejected_as_sluggish(counts: TrialCounts) -> bool:
    """Return whether a version with these counts is rejected as sluggish."""
    trial = Trial(ORDER, 0.0, 0.15)
    trial.own.by_subject[Measure.SLUGGISH, "r"] = counts
    return trial.fault() is Fault.SLUGGISH


class BaselineTimesTest(unittest.TestCase):
    """The baseline combines the times of all VMs."""

    def row(self, seconds: float, seen: int) -> BaselineTime:
        """Return a row that another VM has measured."""
        return BaselineTime(kind_hash(KIND), seconds, seen)

    def test_few_answers_from_each_source_are_enough(self):
        baseline = BaselineTimes()
        baseline.learn(SERVICE, KIND, 0.1)
        self.assertIsNone(baseline.ratio(SERVICE, KIND, 1.0))
        baseline.receive(SERVICE, VmName("vm-2"), (self.row(0.1, 2),))
        baseline.receive_from_hall(SERVICE, HallName("h"), (self.row(0.3, 3),))
        self.assertAlmostEqual(baseline.ratio(SERVICE, KIND, 0.4), 2.0)

    def test_rows_of_hall_combine_its_vms(self):
        baseline = BaselineTimes()
        baseline.learn(SERVICE, KIND, 0.1)
        baseline.receive(SERVICE, VmName("vm-2"), (self.row(0.2, 1),))
        baseline.receive_from_hall(SERVICE, HallName("h"), (self.row(9.0, 9),))
        (row,) = baseline.rows_of_hall(SERVICE)
        self.assertEqual((round(row.seconds, 6), row.seen), (0.15, 2))
        self.assertEqual(baseline.all_rows(SERVICE)[0].seen, 11)

    def test_a_later_report_replaces_an_earlier_one(self):
        baseline = BaselineTimes()
        for seconds in (0.1, 0.4):
            baseline.receive(SERVICE, VmName("vm-2"), (self.row(seconds, 5),))
        self.assertAlmostEqual(baseline.ratio(SERVICE, KIND, 0.4), 1.0)
