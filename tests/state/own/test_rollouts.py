# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of roll-outs: sequential tests of versions, and outcome counts of all VMs."""

from __future__ import annotations

import asyncio
import itertools
import random
import unittest

from tests.fleetcase import FleetCase
from walnutquay.state.own.circuitbreakers import CircuitBreakerTable, Measure, Stage
from walnutquay.state.own.outcomecounts import ROWS_PER_MESSAGE, OutcomeCountTable
from walnutquay.state.own.sequential import Verdict
from walnutquay.state.requests.durations import MIN_SAMPLES, DurationTable

SEEDS = 200
MAX_OUTCOMES = 4000
OLD, NEW = "small-1", "small-2"
STAGE = Stage("r/0/running", OLD)

# measure, bad shares of the old and of the new version, whether the new one is bad
CASES = [
    (Measure.FAILED, 0.0, 0.0, False),
    (Measure.FAILED, 0.02, 0.02, False),
    (Measure.FAILED, 0.0, 0.3, True),
    (Measure.FAILED, 0.0, 1.0, True),
    # The old version fails as often, so the version is not the cause.
    (Measure.FAILED, 0.3, 0.3, False),
    (Measure.SLOW, 0.1, 0.1, False),
    (Measure.SLOW, 0.1, 0.8, True),
    (Measure.POOR, 0.3, 0.3, False),
    (Measure.POOR, 0.3, 0.9, True),
]


def make_table() -> CircuitBreakerTable:
    """Return a table with one roll-out in its first stage."""
    found = CircuitBreakerTable()
    found.set_stages({NEW: STAGE})
    return found


def rejected_after(measure: Measure, old: float, new: float, seed: int) -> int | None:
    """Run both versions alternately until the new one is rejected.

    :returns: the number of outcomes of the new version, or None if it is not rejected.
    """
    rng = random.Random(seed)
    breakers = make_table()
    for number in range(1, MAX_OUTCOMES + 1):
        for version, share in ((OLD, old), (NEW, new)):
            bad = rng.random() < share
            breakers.record(STAGE.key, version, measure, not bad, bad)
        if breakers.rejected:
            return number
    return None


class SequentialTestTest(unittest.TestCase):
    """A bad version is rejected soon, and a good one is not."""

    def test_cases(self):
        for measure, old, new, is_bad in CASES:
            with self.subTest(measure=measure, old=old, new=new):
                found = [
                    rejected_after(measure, old, new, s) for s in range(SEEDS // 10)
                ]
                if is_bad:
                    self.assertNotIn(None, found)
                    self.assertLessEqual(sorted(found)[len(found) // 2], 60)
                else:
                    self.assertEqual(set(found), {None})

    def test_four_failures_reject_and_three_do_not(self):
        breakers = make_table()
        for _ in range(3):
            self.assertFalse(breakers.record(STAGE.key, NEW, Measure.FAILED, 0, 1))
        self.assertTrue(breakers.record(STAGE.key, NEW, Measure.FAILED, 0, 1))
        self.assertEqual(breakers.rejected, {NEW})

    def test_version_that_turns_bad_late_is_rejected(self):
        breakers = make_table()
        breakers.record(STAGE.key, NEW, Measure.FAILED, 5000, 0)
        breakers.record(STAGE.key, NEW, Measure.FAILED, 0, 8)
        self.assertEqual(breakers.rejected, {NEW})

    def test_good_requires_all_measures_with_outcomes(self):
        breakers = make_table()
        self.assertIs(breakers.verdict(NEW), Verdict.UNDECIDED)
        breakers.record(STAGE.key, NEW, Measure.FAILED, 100, 0)
        self.assertIs(breakers.verdict(NEW), Verdict.UNDECIDED)
        breakers.record(STAGE.key, NEW, Measure.SLOW, 100, 0)
        self.assertIs(breakers.verdict(NEW), Verdict.GOOD)
        breakers.record(STAGE.key, NEW, Measure.POOR, 1, 0)
        self.assertIs(breakers.verdict(NEW), Verdict.UNDECIDED)

    def test_next_stage_resets_the_tests(self):
        breakers = make_table()
        breakers.record(STAGE.key, NEW, Measure.FAILED, 0, 9)
        breakers.set_stages({NEW: Stage("r/1/running", OLD)})
        self.assertFalse(breakers.rejected)
        self.assertFalse(breakers.record(STAGE.key, NEW, Measure.FAILED, 0, 9))


class DurationTableTest(unittest.TestCase):
    """Whether a request is slow depends on its class, once there are samples."""

    def test_slow_is_relative_to_the_class(self):
        durations = DurationTable()
        self.assertIsNone(durations.is_slow("recap", 9.0))
        for _ in range(MIN_SAMPLES):
            durations.learn("recap", 4.0)
            durations.learn("tag", 0.1)
        self.assertFalse(durations.is_slow("recap", 7.0))
        self.assertTrue(durations.is_slow("recap", 9.0))
        self.assertTrue(durations.is_slow("tag", 0.3))


class OutcomeCountTest(unittest.TestCase):
    """Counts add up over VMs, whatever the order in which rows arrive."""

    def tables(self, count: int) -> list[OutcomeCountTable]:
        """Return the tables of several VMs."""
        rng = random.Random(1)
        return [OutcomeCountTable(f"vm-{n}", "i", rng) for n in range(count)]

    def test_lost_duplicated_and_late_rows_add_up(self):
        one, two = self.tables(2)
        rows = []
        for _ in range(30):
            one.add("s", 1, 0)
            one.add("s", 0, 1)
            rows.extend(one.rows_to_send())
        random.Random(3).shuffle(rows)
        added = [
            two.receive(row) for row in itertools.chain(rows[::2], rows[-1:], rows)
        ]
        self.assertEqual([sum(x) for x in zip(*added, strict=True)], [30, 30])
        self.assertEqual(two.totals(["s"]), {"s": (30, 30)})

    def test_rows_reach_all_vms_though_each_sends_to_few(self):
        tables = self.tables(40)
        for table in tables:
            table.add("s", 1, 0)
        rng = random.Random(5)
        for _ in range(40):
            for table in tables:
                rows = table.rows_to_send()
                self.assertLessEqual(len(rows), ROWS_PER_MESSAGE)
                for other in rng.sample(tables, 6):
                    for row in rows:
                        other.receive(row)
        found = {table.totals(["s"])["s"] for table in tables}
        self.assertEqual(found, {(40, 0)})

    def test_new_incarnation_counts_from_zero(self):
        first, other = self.tables(2)
        first.add("s", 5, 0)
        for row in first.rows_to_send():
            other.receive(row)
        restarted = OutcomeCountTable("vm-0", "j", random.Random(1))
        restarted.add("s", 2, 0)
        added = [other.receive(row) for row in restarted.rows_to_send()]
        self.assertEqual(added, [(2, 0)])
        self.assertEqual(other.totals(["s"])["s"], (7, 0))

    def test_forget_drops_obsolete_subjects(self):
        table, _ = self.tables(2)
        table.add("old", 1, 0)
        table.add("new", 1, 0)
        table.forget(lambda subject: subject == "old")
        self.assertEqual([row.subject for row in table.rows_to_send()], ["new"])


class FleetRolloutTest(FleetCase):
    """VMs as processes detect together what no single VM could."""

    vms = {"vm-a1": "hall-a", "vm-a2": "hall-a", "vm-b1": "hall-b"}
    engine_options = {"versions": {OLD: 0.9, NEW: 0.9, "large-1": 0.9}}

    async def start(self, **more: object) -> None:
        """Start a roll-out that assigns all new sessions to the new version."""
        body = {"model": "small", "old": OLD, "new": NEW, "stages": [1.0], **more}
        status, answer = await self.fleet.administer(
            self.vm("vm-a1"), "POST", "/v1/rollouts/r/start", body
        )
        self.assertEqual(status, 200, answer)
        await self.fleet.wait_for_revision(answer["revision"])

    async def send_to_all(self, number: int) -> None:
        """Send a request that has not been sent before through each VM."""
        await asyncio.gather(*(self.chat(vm, f"{vm} {number}") for vm in self.vms))

    async def state(self) -> str:
        """Return the roll-out's state."""
        return (await self.status("vm-b1"))["rollouts"][0]["state"]

    async def test_failures_spread_over_all_vms_withdraw_the_version(self):
        await self.start()
        for engine in self.engines:
            faults = {"fail": {NEW: 1.0}}
            await self.fleet.control(self.urls[engine], "answers", faults)
        # Each VM sees two failures, of a request and its retry.  A test needs four.
        for vm in self.vms:
            await self.chat(vm, vm, stream=True)

        async def withdrawn() -> bool:
            return await self.state() == "withdrawn"

        await self.until(withdrawn, "the version is withdrawn")

    async def test_good_version_advances_automatically(self):
        await self.start(automatic=True, stages=[0.5, 1.0])
        number = itertools.count()

        async def done() -> bool:
            await self.send_to_all(next(number))
            return await self.state() == "done"

        await self.until(done, "the roll-out is done")

    async def test_bad_but_valid_answers_withdraw_the_version(self):
        for engine in self.engines:
            order = {"fence": 1, "action": "load", "version": NEW, "quality": 0.0}
            async with self.fleet.session.post(
                f"{self.urls[engine]}/orders", json=order
            ) as answer:
                self.assertEqual(answer.status, 200)
        await self.start()
        number = itertools.count()

        async def withdrawn() -> bool:
            await self.send_to_all(next(number))
            return await self.state() == "withdrawn"

        await self.until(withdrawn, "the version is withdrawn")
