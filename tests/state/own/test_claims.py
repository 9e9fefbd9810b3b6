# Licensed under the Apache License 2.0: see LICENSE for details.

"""Claims of idempotency keys: decisions, and all orders up to a depth."""

from __future__ import annotations

import unittest
from unittest import mock

from tests.interleavings import Scheduler, explore
from tests.worlds import World
from walnutquay.coordination.own import claims as claims_module
from walnutquay.coordination.own.claims import Claims
from walnutquay.state.own.claims import (
    Claim,
    RepeatAction,
    RunState,
    RunTable,
    WholeAnswer,
    claim_name,
    on_repeat,
)
from walnutquay.state.requests.fingerprints import fingerprint

HOUR = 1.0
MEGABYTE = 1 << 20
ANSWER = WholeAnswer(200, "text/plain", b"one price")
CLAIM = Claim("r1", "vm-a", "i", "same", 0.0)

# the repeat's hash, what the holder says -> what the repeat is told
REPEATS = [
    ("same", None, RepeatAction.SAY_UNKNOWN),
    ("same", RunState.UNKNOWN, RepeatAction.SAY_UNKNOWN),
    ("same", RunState.PENDING, RepeatAction.WAIT),
    ("same", RunState.RUNNING, RepeatAction.WAIT),
    ("same", RunState.ANSWERED, RepeatAction.GIVE_ANSWER),
    ("same", RunState.ABANDONED, RepeatAction.TAKE_OVER),
    ("other", RunState.ANSWERED, RepeatAction.KEY_REUSED),
    ("other", RunState.ABANDONED, RepeatAction.KEY_REUSED),
    ("other", None, RepeatAction.KEY_REUSED),
]


class DecisionTest(unittest.TestCase):
    """What a repeat is told."""

    def test_table(self):
        for other, holder, action in REPEATS:
            with self.subTest(other=other, holder=holder):
                self.assertEqual(on_repeat(CLAIM, other, holder), action)

    def test_names_and_fingerprints_tell_apart(self):
        self.assertNotEqual(claim_name("a", "k"), claim_name("b", "k"))
        self.assertNotEqual(fingerprint(b"ab", b"c"), fingerprint(b"a", b"bc"))

    def test_answers_are_kept_up_to_a_size_and_then_unknown(self):
        table = RunTable(max_bytes=20)
        for number in range(3):
            table.begin(f"r{number}", "n")
            table.end(f"r{number}", RunState.ANSWERED, float(number), ANSWER)
        states = [table.runs[f"r{number}"].state for number in range(3)]
        expected = [RunState.UNKNOWN, RunState.ANSWERED, RunState.ANSWERED]
        self.assertEqual(states, expected)
        table.forget_before(1.5)
        self.assertEqual(list(table.runs), ["r2"])
        self.assertEqual(table.bytes_kept, len(ANSWER.body))


class Caller:
    """A caller who sends one key through one VM, once or twice."""

    def __init__(self, world: World, vm: str, turns: int, judge: Judge) -> None:
        self.world = world
        self.vm = vm
        self.turns = turns
        self.judge = judge
        parts = world.add_vm(vm)
        self.claims = Claims(
            parts.context,
            parts.platform,
            parts.members,
            parts.dispatcher,
            HOUR,
            MEGABYTE,
        )

    async def run(self) -> None:
        """Send the key; dispatch where the claim is granted."""
        for turn in range(self.turns):
            request = f"{self.vm}-{turn}"
            result = await self.claims.acquire("org", "key", "same", request)
            if result.granted:
                await self._granted(request)
            elif result.action is RepeatAction.GIVE_ANSWER:
                self.judge.given(result.answer)

    async def _granted(self, request: str) -> None:
        scheduler = self.world.scheduler
        way = await scheduler.step(self.vm, "admission", "ok", "refused")
        if way == "refused":
            self.judge.refused(request)
            self.claims.abandon(request)
            await self.claims.release(request)
            return
        self.claims.mark_running(request)
        await scheduler.step(self.vm, "dispatch")
        self.judge.effect(request)
        way = await scheduler.step(self.vm, "answer", "ok", "cut")
        if way == "ok":
            self.claims.finish(request, RunState.ANSWERED, ANSWER)
        else:
            self.claims.finish(request, RunState.UNKNOWN)


class Judge:
    """Counts effects, as the service does."""

    def __init__(self, test: unittest.TestCase) -> None:
        self.test = test
        self.effects: list[str] = []

    def effect(self, request: str) -> None:
        """The service runs a request."""
        self.effects.append(request)
        self.test.assertEqual(len(self.effects), 1, self.effects)

    def refused(self, request: str) -> None:
        """A caller is told "not run"."""
        self.test.assertEqual(self.effects, [], f"{request} was told 'not run'")

    def given(self, answer: WholeAnswer) -> None:
        """A caller is given an answer again."""
        self.test.assertEqual(answer, ANSWER)
        self.test.assertEqual(len(self.effects), 1)


class InterleavingTest(unittest.IsolatedAsyncioTestCase):
    """One key through several VMs: in no order is there a second effect."""

    def setUp(self):
        for name in ("SETTLE_PAUSE",):
            patch = mock.patch.object(claims_module, name, 0)
            patch.start()
            self.addCleanup(patch.stop)

    async def search(
        self, turns: dict[str, int], dies: str, faults: int, depth: int
    ) -> int:
        """Run all orders; each VM sends the key so often."""

        async def run(scheduler: Scheduler) -> None:
            world = World(scheduler)
            judge = Judge(self)
            callers = [Caller(world, vm, n, judge) for vm, n in turns.items()]
            for caller in callers:
                world.start(caller.run())
            if dies:
                world.start(world.crasher(dies))
            await scheduler.run()
            await world.end()

        return await explore(run, faults, depth)

    async def test_two_vms_with_two_faults(self):
        orders = await self.search({"a": 1, "b": 1}, "", faults=2, depth=4)
        self.assertGreater(orders, 1000)

    async def test_a_holder_that_dies_anywhere(self):
        orders = await self.search({"a": 1, "b": 1}, "a", faults=2, depth=3)
        self.assertGreater(orders, 1000)

    async def test_repeats_through_both_vms(self):
        orders = await self.search({"a": 2, "b": 2}, "", faults=1, depth=4)
        self.assertGreater(orders, 1000)

    async def test_three_vms(self):
        orders = await self.search({"a": 1, "b": 1, "c": 1}, "", faults=1, depth=3)
        self.assertGreater(orders, 1000)
