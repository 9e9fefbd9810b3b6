# Licensed under the Apache License 2.0: see LICENSE for details.

"""Roll-outs: tests of versions, and the counts of all VMs that they rest on."""

from __future__ import annotations

import asyncio
import itertools
import random
import unittest

from tests.fleetcase import FleetCase
from walnutquay.state.own.brakes import BrakeTable, Measure, Stage
from walnutquay.state.own.sequential import Verdict
from walnutquay.state.own.tallies import ROWS_SENT, TallyBoard
from walnutquay.state.requests.durations import MIN_SAMPLES, DurationTable

SEEDS = 200
MOST = 4000
OLD, NEW = "small-1", "small-2"
STAGE = Stage("r/0/running", OLD)

# measure, bad share of the old version and of the new -> is it bad?
CASES = [
    (Measure.FAILED, 0.0, 0.0, False),
    (Measure.FAILED, 0.02, 0.02, False),
    (Measure.FAILED, 0.0, 0.3, True),
    (Measure.FAILED, 0.0, 1.0, True),
    # The old one fails as often: it is not the version.
    (Measure.FAILED, 0.3, 0.3, False),
    (Measure.SLOW, 0.1, 0.1, False),
    (Measure.SLOW, 0.1, 0.8, True),
    (Measure.POOR, 0.3, 0.3, False),
    (Measure.POOR, 0.3, 0.9, True),
]


def table() -> BrakeTable:
    """:returns: one roll-out in its first stage."""
    found = BrakeTable()
    found.under_rollout({NEW: STAGE})
    return found


def braked_after(measure: Measure, old: float, new: float, seed: int) -> int | None:
    """Let both versions run in turn.

    :returns: how many outcomes of the new one there were before the brake.
    """
    rng = random.Random(seed)
    brakes = table()
    for number in range(1, MOST + 1):
        for version, share in ((OLD, old), (NEW, new)):
            bad = rng.random() < share
            brakes.take(STAGE.key, version, measure, not bad, bad)
        if brakes.braked:
            return number
    return None


class SequentialTestTest(unittest.TestCase):
    """A bad version is found soon, a good one is left alone."""

    def test_table(self):
        for measure, old, new, is_bad in CASES:
            with self.subTest(measure=measure, old=old, new=new):
                found = [braked_after(measure, old, new, s) for s in range(SEEDS // 10)]
                if is_bad:
                    self.assertNotIn(None, found)
                    self.assertLessEqual(sorted(found)[len(found) // 2], 60)
                else:
                    self.assertEqual(set(found), {None})

    def test_four_failures_are_enough_and_three_are_not(self):
        brakes = table()
        for _ in range(3):
            self.assertFalse(brakes.take(STAGE.key, NEW, Measure.FAILED, 0, 1))
        self.assertTrue(brakes.take(STAGE.key, NEW, Measure.FAILED, 0, 1))
        self.assertEqual(brakes.braked, {NEW})

    def test_a_version_that_turns_bad_late_is_found(self):
        brakes = table()
        brakes.take(STAGE.key, NEW, Measure.FAILED, 5000, 0)
        brakes.take(STAGE.key, NEW, Measure.FAILED, 0, 8)
        self.assertEqual(brakes.braked, {NEW})

    def test_good_wants_each_measure_that_is_there(self):
        brakes = table()
        self.assertIs(brakes.verdict(NEW), Verdict.UNDECIDED)
        brakes.take(STAGE.key, NEW, Measure.FAILED, 100, 0)
        self.assertIs(brakes.verdict(NEW), Verdict.UNDECIDED)
        brakes.take(STAGE.key, NEW, Measure.SLOW, 100, 0)
        self.assertIs(brakes.verdict(NEW), Verdict.GOOD)
        brakes.take(STAGE.key, NEW, Measure.POOR, 1, 0)
        self.assertIs(brakes.verdict(NEW), Verdict.UNDECIDED)

    def test_the_next_stage_begins_anew(self):
        brakes = table()
        brakes.take(STAGE.key, NEW, Measure.FAILED, 0, 9)
        brakes.under_rollout({NEW: Stage("r/1/running", OLD)})
        self.assertFalse(brakes.braked)
        self.assertFalse(brakes.take(STAGE.key, NEW, Measure.FAILED, 0, 9))


class PaceTest(unittest.TestCase):
    """What is slow is told by the class, once it is known."""

    def test_slow_is_against_the_class(self):
        pace = DurationTable()
        self.assertIsNone(pace.is_slow("recap", 9.0))
        for _ in range(MIN_SAMPLES):
            pace.learn("recap", 4.0)
            pace.learn("tag", 0.1)
        self.assertFalse(pace.is_slow("recap", 7.0))
        self.assertTrue(pace.is_slow("recap", 9.0))
        self.assertTrue(pace.is_slow("tag", 0.3))


class TallyTest(unittest.TestCase):
    """Counts add up over VMs, however their news come."""

    def boards(self, count: int) -> list[TallyBoard]:
        """:returns: the boards of so many VMs."""
        rng = random.Random(1)
        return [TallyBoard(f"vm-{n}", "i", rng) for n in range(count)]

    def test_lost_doubled_and_late_news_add_up(self):
        one, two = self.boards(2)
        news = []
        for _ in range(30):
            one.add("s", 1, 0)
            one.add("s", 0, 1)
            news.extend(one.to_tell())
        random.Random(3).shuffle(news)
        heard = [two.hear(row) for row in itertools.chain(news[::2], news[-1:], news)]
        self.assertEqual([sum(x) for x in zip(*heard, strict=True)], [30, 30])
        self.assertEqual(two.totals(["s"]), {"s": (30, 30)})

    def test_news_reach_all_though_each_tells_few(self):
        boards = self.boards(40)
        for board in boards:
            board.add("s", 1, 0)
        rng = random.Random(5)
        for _ in range(40):
            for board in boards:
                rows = board.to_tell()
                self.assertLessEqual(len(rows), ROWS_SENT)
                for other in rng.sample(boards, 6):
                    for row in rows:
                        other.hear(row)
        found = {board.totals(["s"])["s"] for board in boards}
        self.assertEqual(found, {(40, 0)})

    def test_a_new_start_counts_from_nothing(self):
        first, other = self.boards(2)
        first.add("s", 5, 0)
        for row in first.to_tell():
            other.hear(row)
        again = TallyBoard("vm-0", "j", random.Random(1))
        again.add("s", 2, 0)
        news = [other.hear(row) for row in again.to_tell()]
        self.assertEqual(news, [(2, 0)])
        self.assertEqual(other.totals(["s"])["s"], (7, 0))

    def test_what_is_over_is_forgotten(self):
        board, _ = self.boards(2)
        board.add("old", 1, 0)
        board.add("new", 1, 0)
        board.forget(lambda subject: subject == "old")
        self.assertEqual([row.subject for row in board.to_tell()], ["new"])


class FleetRolloutTest(FleetCase):
    """Over real processes: what no VM could tell alone is told by all."""

    vms = {"vm-a1": "hall-a", "vm-a2": "hall-a", "vm-b1": "hall-b"}
    engine_options = {"versions": {OLD: 0.9, NEW: 0.9, "large-1": 0.9}}

    async def start(self, **more: object) -> None:
        """Give the new version all new sessions."""
        body = {"model": "small", "old": OLD, "new": NEW, "stages": [1.0], **more}
        status, answer = await self.fleet.administer(
            self.vm("vm-a1"), "POST", "/v1/rollouts/r/start", body
        )
        self.assertEqual(status, 200, answer)
        await self.fleet.wait_for_revision(answer["revision"])

    async def ask_all(self, number: int) -> None:
        """Send a request that was not sent before through each VM."""
        await asyncio.gather(*(self.chat(vm, f"{vm} {number}") for vm in self.vms))

    async def state(self) -> str:
        """:returns: the roll-out's state."""
        return (await self.status("vm-b1"))["rollouts"][0]["state"]

    async def test_failures_that_are_spread_over_all_vms_brake_it(self):
        await self.start()
        for engine in self.engines:
            faults = {"fail": {NEW: 1.0}}
            await self.fleet.control(self.urls[engine], "answers", faults)
        # One request and its retry: each VM sees two failures, and a test needs four.
        for vm in self.vms:
            await self.chat(vm, vm, stream=True)

        async def withdrawn() -> bool:
            return await self.state() == "withdrawn"

        await self.until(withdrawn, "the version is withdrawn")

    async def test_a_good_version_goes_on_by_itself(self):
        await self.start(automatic=True, stages=[0.5, 1.0])
        number = itertools.count()

        async def done() -> bool:
            await self.ask_all(next(number))
            return await self.state() == "done"

        await self.until(done, "the roll-out is done")

    async def test_bad_but_valid_answers_brake_it(self):
        for engine in self.engines:
            order = {"fence": 1, "action": "load", "version": NEW, "quality": 0.0}
            async with self.fleet.session.post(
                f"{self.urls[engine]}/orders", json=order
            ) as answer:
                self.assertEqual(answer.status, 200)
        await self.start()
        number = itertools.count()

        async def withdrawn() -> bool:
            await self.ask_all(next(number))
            return await self.state() == "withdrawn"

        await self.until(withdrawn, "the version is withdrawn")
