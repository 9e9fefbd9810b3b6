# Licensed under the Apache License 2.0: see LICENSE for details.

"""How answers of a version on trial are judged by their times."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

from walnutquay.coordination.trials import judging
from walnutquay.coordination.trials.judging import (
    SLOW_FACTOR,
    SLUGGISH_FACTOR,
    AnswerJudge,
)
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    ServiceName,
    VersionName,
    VmName,
)
from walnutquay.state.requests.durations import MIN_SAMPLES
from walnutquay.state.store.instances import Instance
from walnutquay.state.store.orders import OrderState, RolloutOrder
from walnutquay.state.trials.baseline import BaselineTime, BaselineTimes, kind_hash
from walnutquay.state.trials.counts import Measure, TrialCounts
from walnutquay.state.trials.evidence import Fault
from walnutquay.state.trials.trial import Trial

SERVICE = ServiceName("s")
USUAL = 0.1
KIND = "head/r/0"
ORDER = RolloutOrder("s", 1, SERVICE, VersionName("v2"), 60.0, OrderState.RUNNING)


def grant(version: str, name: str) -> SimpleNamespace:
    """:returns: a place at an endpoint that runs a version."""
    endpoint = Instance(
        EndpointName(name), SERVICE, "http://x", HallName("h"), VersionName(version), 8
    )
    return SimpleNamespace(endpoint=endpoint, name=endpoint.name)


def turn(request: str = "r1") -> SimpleNamespace:
    """:returns: a request."""
    arrival = SimpleNamespace(route=SimpleNamespace(name="r"), request=request)
    return SimpleNamespace(arrival=arrival, service=SERVICE, model=0)


class JudgeCase(unittest.TestCase):
    """A trial of v2, and a clock."""

    def setUp(self) -> None:
        self.now = 100.0
        patch = mock.patch.object(judging, "monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.trial = Trial(ORDER, 0.0, 0.15)
        self.judge = AnswerJudge(lambda service: self.trial, lambda trial: None)
        self.new = grant("v2", "new-1")

    def learn_usual(self) -> None:
        """Let the old version answer some requests."""
        for _ in range(MIN_SAMPLES):
            self.judge.begun(turn(), grant("v1", "old-1"), USUAL)

    def counts(self, measure: Measure) -> tuple[int, int]:
        """:returns: good and bad answers of the new version."""
        total = self.trial.own.total(measure)
        return total.good, total.bad


class UnknownTest(JudgeCase):
    """Where nothing is known of what is usual, an answer tells nothing of its time."""

    # All VMs were lost during a trial, and what was usual with them.  The answers of
    # the slow version counted as good ones then: "sluggish 0 of 27" while 15 of the 19
    # of the last second had taken over 1.5 times the old version's median.  It was
    # found good, and got 217 requests where a bad one may get 198.

    def test_it_counts_neither_way(self):
        self.judge.sent(turn(), self.new)
        self.judge.begun(turn(), self.new, 5.0)
        self.judge.succeeded(turn(), self.new, 5.0)
        self.assertEqual(self.counts(Measure.SLUGGISH), (0, 0))
        self.assertEqual(self.counts(Measure.SLOW), (0, 0))
        self.assertEqual(self.counts(Measure.FAILED), (1, 0))

    def test_what_others_tell_is_enough(self):
        row = BaselineTime(kind_hash(KIND), USUAL, MIN_SAMPLES)
        self.judge.usual.receive(SERVICE, VmName("vm-2"), (row,))
        self.judge.sent(turn(), self.new)
        self.judge.begun(turn(), self.new, 5.0)
        self.assertEqual(self.counts(Measure.SLUGGISH), (0, 1))


class LateTest(JudgeCase):
    """Answers that come late or never are the ones that tell of a slow version."""

    def setUp(self) -> None:
        super().setUp()
        self.learn_usual()

    def wait(self, factor: float) -> None:
        """Let so many times the usual time pass, while the endpoint answers others."""
        self.now += factor * USUAL + 0.001
        self.judge.begun(turn("another"), grant("v2", "new-1"), USUAL)
        self.trial.own.by_subject.clear()
        self.judge.look()

    def test_one_that_waits_counts_while_it_does(self):
        self.judge.sent(turn(), self.new)
        self.wait(SLUGGISH_FACTOR)
        self.assertEqual(self.counts(Measure.SLUGGISH), (0, 1))
        self.assertEqual(self.counts(Measure.SLOW), (0, 0))
        self.wait(SLOW_FACTOR)
        self.assertEqual(self.counts(Measure.SLOW), (0, 1))

    def test_it_counts_once(self):
        self.judge.sent(turn(), self.new)
        self.wait(SLOW_FACTOR)
        self.judge.look()
        self.judge.begun(turn(), self.new, 6 * USUAL)
        self.judge.succeeded(turn(), self.new, 6 * USUAL)
        self.assertEqual(self.counts(Measure.SLUGGISH), (0, 1))
        self.assertEqual(self.counts(Measure.SLOW), (0, 1))

    def test_one_that_was_given_up_stays_counted(self):
        self.judge.sent(turn(), self.new)
        self.wait(SLOW_FACTOR)
        self.judge.left(turn())
        self.judge.look()
        self.assertEqual(self.counts(Measure.SLOW), (0, 1))

    def test_a_dark_endpoint_is_no_slow_version(self):
        self.judge.sent(turn(), self.new)
        self.now += 10 * USUAL
        self.judge.look()
        self.assertEqual(self.counts(Measure.SLUGGISH), (0, 0))

    def test_an_answer_that_is_dropped_for_a_larger_models_counts(self):
        self.judge.sent(turn(), self.new)
        self.judge.begun(turn(), self.new, 3 * USUAL)
        self.judge.left(turn())
        self.assertEqual(self.counts(Measure.SLUGGISH), (0, 1))


class OneEndpointTest(unittest.TestCase):
    """One endpoint may be ill by itself."""

    def test_its_sluggish_answers_need_to_be_many(self):
        for bad, found in ((7, False), (8, True)):
            one = TrialCounts(12 - bad, bad, frozenset({EndpointName("new-1")}))
            self.assertIs(judged_sluggish(one), found)


def judged_sluggish(counts: TrialCounts) -> bool:
    """:returns: whether a version with these answers is found to be slow in part."""
    trial = Trial(ORDER, 0.0, 0.15)
    trial.own.by_subject[Measure.SLUGGISH, "r"] = counts
    return trial.fault() is Fault.SLUGGISH


class UsualTimesTest(unittest.TestCase):
    """What is usual is put together from what VMs have seen."""

    def row(self, seconds: float, seen: int) -> BaselineTime:
        """:returns: what another VM has seen."""
        return BaselineTime(kind_hash(KIND), seconds, seen)

    def test_few_answers_each_are_enough_together(self):
        usual = BaselineTimes()
        usual.learn(SERVICE, KIND, 0.1)
        self.assertIsNone(usual.ratio(SERVICE, KIND, 1.0))
        usual.receive(SERVICE, VmName("vm-2"), (self.row(0.1, 2),))
        usual.receive_from_hall(SERVICE, HallName("h"), (self.row(0.3, 3),))
        self.assertAlmostEqual(usual.ratio(SERVICE, KIND, 0.4), 2.0)

    def test_a_hall_tells_what_its_vms_have_seen(self):
        usual = BaselineTimes()
        usual.learn(SERVICE, KIND, 0.1)
        usual.receive(SERVICE, VmName("vm-2"), (self.row(0.2, 1),))
        usual.receive_from_hall(SERVICE, HallName("h"), (self.row(9.0, 9),))
        (row,) = usual.rows_of_hall(SERVICE)
        self.assertEqual((round(row.seconds, 6), row.seen), (0.15, 2))
        self.assertEqual(usual.all_rows(SERVICE)[0].seen, 11)

    def test_what_one_tells_stands_for_what_it_told_before(self):
        usual = BaselineTimes()
        for seconds in (0.1, 0.4):
            usual.receive(SERVICE, VmName("vm-2"), (self.row(seconds, 5),))
        self.assertAlmostEqual(usual.ratio(SERVICE, KIND, 0.4), 1.0)
