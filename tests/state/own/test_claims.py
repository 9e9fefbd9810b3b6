# Licensed under the Apache License 2.0: see LICENSE for details.

"""Claims on idempotency keys: decisions, and all orders of steps up to a depth."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

from tests.interleavings import Scheduler, explore
from tests.worlds import World
from walnutquay.coordination.own import claims as claims_module
from walnutquay.coordination.own.claims import NOT_SETTLED, Claims
from walnutquay.coordination.own.restores import Restores
from walnutquay.state.own.claims import (
    Claim,
    RepeatAction,
    RunState,
    RunTable,
    WholeAnswer,
    action_for_repeat,
    claim_name,
)
from walnutquay.state.requests.fingerprints import fingerprint

KEEP_HOURS = 1.0
MEGABYTE = 1 << 20
ANSWER = WholeAnswer(200, "text/plain", b"one price")
CLAIM = Claim("r1", "vm-a", "i", "same", 0.0)

# The repeat's hash, the state reported by the holder -> the response to the repeat.
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
    """The response to a repeat, and the answers kept for it."""

    def test_responses_to_repeats(self):
        for other, holder, action in REPEATS:
            with self.subTest(other=other, holder=holder):
                self.assertEqual(action_for_repeat(CLAIM, other, holder), action)

    def test_names_and_fingerprints_are_unambiguous(self):
        self.assertNotEqual(claim_name("a", "k"), claim_name("b", "k"))
        self.assertNotEqual(fingerprint(b"ab", b"c"), fingerprint(b"a", b"bc"))

    def test_evicted_answers_become_unknown(self):
        table = RunTable(max_bytes=20)
        for number in range(3):
            table.begin(f"r{number}", "n")
            table.end(f"r{number}", RunState.ANSWERED, float(number), ANSWER)
        states = [table.runs[f"r{number}"].state for number in range(3)]
        expected = [RunState.UNKNOWN, RunState.ANSWERED, RunState.ANSWERED]
        self.assertEqual(states, expected)
        table.forget_before(1.5)
        self.assertEqual(list(table.runs), ["r2"])
        self.assertEqual(table.total_bytes, len(ANSWER.body))


class Caller:
    """A caller that sends requests with one key through one VM."""

    def __init__(
        self, world: World, vm: str, request_count: int, checker: EffectChecker
    ) -> None:
        self.world = world
        self.vm = vm
        self.request_count = request_count
        self.checker = checker
        parts = world.add_vm(vm)
        self.claims = Claims(
            parts.context,
            parts.platform,
            parts.members,
            parts.dispatcher,
            KEEP_HOURS,
            MEGABYTE,
            Restores(parts.platform),
        )

    async def run(self) -> None:
        """Send the requests; dispatch each whose claim is granted."""
        for turn in range(self.request_count):
            request = f"{self.vm}-{turn}"
            result = await self.claims.acquire("org", "key", "same", request)
            if result.granted:
                await self._dispatch(request)
            elif result.action is RepeatAction.GIVE_ANSWER:
                self.checker.check_answer(result.answer)

    async def _dispatch(self, request: str) -> None:
        scheduler = self.world.scheduler
        outcome = await scheduler.step(self.vm, "admission", "ok", "refused")
        if outcome == "refused":
            self.checker.check_refused(request)
            self.claims.abandon(request)
            await self.claims.release(request)
            return
        self.claims.mark_running(request)
        await scheduler.step(self.vm, "dispatch")
        self.checker.record_effect(request)
        outcome = await scheduler.step(self.vm, "answer", "ok", "cut")
        if outcome == "ok":
            self.claims.finish(request, RunState.ANSWERED, ANSWER)
        else:
            self.claims.finish(request, RunState.UNKNOWN)


class EffectChecker:
    """Checks that the request takes effect at most once at the service."""

    def __init__(self, test: unittest.TestCase) -> None:
        self.test = test
        self.effects: list[str] = []

    def record_effect(self, request: str) -> None:
        """Record that the service runs a request; it must be the only one."""
        self.effects.append(request)
        self.test.assertEqual(len(self.effects), 1, self.effects)

    def check_refused(self, request: str) -> None:
        """Check that a request reported as "not run" has had no effect."""
        self.test.assertEqual(self.effects, [], f"{request} was reported as not run")

    def check_answer(self, answer: WholeAnswer) -> None:
        """Check an answer that is returned to a repeat."""
        self.test.assertEqual(answer, ANSWER)
        self.test.assertEqual(len(self.effects), 1)


class ReleaseTest(unittest.IsolatedAsyncioTestCase):
    """An abandoned claim stays, so that a late write cannot match a new one.

    If it were deleted, the next claim of the key would be a new object, and a holder
    that reads nothing there could not tell that the key had been claimed before.
    """

    async def test_the_claim_is_marked_and_its_version_goes_on(self):
        name = claim_name("org", "key")

        async def run(scheduler: Scheduler) -> None:
            world = World(scheduler)
            caller = Caller(world, "a", 1, EffectChecker(self))
            versions: list[int] = []

            async def claim_and_release() -> None:
                await caller.claims.acquire("org", "key", "same", "r1")
                versions.append(world.store.objects[name][0])
                caller.claims.abandon("r1")
                await caller.claims.release("r1")

            world.start(claim_and_release())
            await scheduler.run()
            await world.end()
            version, value = world.store.objects[name]
            self.assertGreater(version, versions[0])
            self.assertTrue(Claim.decode(value).abandoned)

        await explore(run, 0, 0, walks=5)


class RestoreTest(unittest.IsolatedAsyncioTestCase):
    """A claim that a restored store has lost: its key does not run again."""

    async def play(self, steps) -> None:
        """Run some steps of two VMs, without faults of the store."""

        async def run(scheduler: Scheduler) -> None:
            world = World(scheduler)
            checker = EffectChecker(self)
            callers = [Caller(world, vm, 1, checker) for vm in ("a", "b")]
            world.start(steps(world, *callers))
            await scheduler.run()
            for caller in callers:
                caller.claims.lost.stop()
            await world.end()

        await explore(run, 0, 0, walks=5)

    async def test_a_repeat_before_the_claim_is_written_again(self):
        async def steps(world: World, first: Caller, second: Caller) -> None:
            await second.claims.platform.read("anything")
            backup = world.store.copy()
            await first.run()
            world.store.restore(backup)
            # Only the claim's own answer tells the second VM of the restore.
            result = await second.claims.acquire("org", "key", "same", "b-0")
            self.assertEqual(result, NOT_SETTLED)
            await first.claims.platform.read("anything")
            await first.claims.lost.write_again()
            name = claim_name("org", "key")
            held = Claim.decode(world.store.objects[name][1])
            self.assertEqual((held.request, held.abandoned), ("a-0", False))

        await self.play(steps)

    async def test_a_repeat_after_the_claim_is_written_again(self):
        async def steps(world: World, first: Caller, second: Caller) -> None:
            backup = world.store.copy()
            await first.run()
            world.store.restore(backup)
            await first.claims.platform.read("anything")
            await first.claims.lost.write_again()
            await second.run()
            self.assertEqual(len(second.checker.effects), 1)

        await self.play(steps)

    async def test_a_vm_that_starts_hears_of_the_restore_from_others(self):
        async def steps(world: World, first: Caller, second: Caller) -> None:
            await first.run()
            backup = ({}, 0)
            world.store.restore(backup)
            await first.claims.platform.read("anything")
            told = SimpleNamespace(
                era=world.store.era,
                restored_age=first.claims.restores.age(),
            )
            second.claims.restores.on_update(told, True)
            result = await second.claims.acquire("org", "key", "same", "b-0")
            self.assertEqual(result, NOT_SETTLED)

        await self.play(steps)

    async def test_in_all_orders_a_key_takes_effect_at_most_once(self):
        async def run(scheduler: Scheduler) -> None:
            world = World(scheduler)
            checker = EffectChecker(self)
            callers = [Caller(world, vm, 1, checker) for vm in ("a", "b")]
            for caller in callers:
                # Both have known the store before it is restored.
                caller.claims.platform.eras.observe(world.store.era)
                world.start(caller.run())
            world.start(world.restorer())
            await scheduler.run()
            for caller in callers:
                caller.claims.lost.stop()
            await world.end()

        with mock.patch.object(claims_module, "SETTLE_PAUSE", 0):
            order_count = await explore(run, 1, 3, walks=300)
        self.assertGreater(order_count, 100)


class InterleavingTest(unittest.IsolatedAsyncioTestCase):
    """A key sent through several VMs takes effect at most once, in all orders."""

    def setUp(self):
        for name in ("SETTLE_PAUSE",):
            patch = mock.patch.object(claims_module, name, 0)
            patch.start()
            self.addCleanup(patch.stop)

    async def search(
        self, request_counts: dict[str, int], crashing_vm: str, faults: int, depth: int
    ) -> int:
        """Run all orders of steps; each VM sends the given number of requests."""

        async def run(scheduler: Scheduler) -> None:
            world = World(scheduler)
            checker = EffectChecker(self)
            callers = [
                Caller(world, vm, n, checker) for vm, n in request_counts.items()
            ]
            for caller in callers:
                world.start(caller.run())
            if crashing_vm:
                world.start(world.crasher(crashing_vm))
            await scheduler.run()
            await world.end()

        return await explore(run, faults, depth)

    async def test_two_vms_and_two_faults(self):
        order_count = await self.search({"a": 1, "b": 1}, "", faults=2, depth=4)
        self.assertGreater(order_count, 1000)

    async def test_holder_crashes_at_any_step(self):
        order_count = await self.search({"a": 1, "b": 1}, "a", faults=2, depth=3)
        self.assertGreater(order_count, 1000)

    async def test_repeats_through_both_vms(self):
        order_count = await self.search({"a": 2, "b": 2}, "", faults=1, depth=4)
        self.assertGreater(order_count, 1000)

    async def test_three_vms(self):
        order_count = await self.search({"a": 1, "b": 1, "c": 1}, "", faults=1, depth=3)
        self.assertGreater(order_count, 1000)
