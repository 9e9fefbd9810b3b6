# Licensed under the Apache License 2.0: see LICENSE for details.

"""Searches orders of arrivals, lost messages, cuts, stops and leaving callers.

``WALNUTQUAY_EXAMPLES=500 WALNUTQUAY_SEED=7 .venv/bin/python -m tests
tests.coordination.routed.test_slot_search`` searches further than CI does.
"""

from __future__ import annotations

import asyncio
import os
import random
import unittest

from tests.slotworld import SERVICE, SlotVm, SlotWorld
from tests.virtualtime import play
from walnutquay.protocol.messages import Message
from walnutquay.protocol.slotmessages import SlotNews, SlotReleased
from walnutquay.state.process.ids import VmName
from walnutquay.transport.timers import monotonic

EXAMPLES = int(os.environ.get("WALNUTQUAY_EXAMPLES", "30"))
SEED = int(os.environ.get("WALNUTQUAY_SEED", "1"))
STEPS = 120
STEP_SECONDS = 0.02
LEFT_SECONDS = 1.5
# Beyond its slots an endpoint gets one that waits there, and one while a message that
# a caller has left is on its way.
EXTRA = 2
# All grants have ended by then, as their deadlines have passed.
AFTER_SECONDS = 8.0
LOST_PART = 0.2


class SlotSearch:
    """One order, drawn by a seed."""

    def __init__(self, case: unittest.TestCase, seed: int, faults: bool) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.faults = faults
        slots = tuple(self.rng.choice((1, 2, 3)) for _ in range(3))
        self.world = SlotWorld(self.rng.choice((2, 4, 7)), slots, seed)
        self.requests: list[asyncio.Task] = []
        self.left: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Play the order, and check it."""
        world = self.world
        if self.faults:
            world.loses = self.loses
        world.start_scarce()
        for _ in range(STEPS):
            if self.faults and self.rng.random() < 0.1:
                self.fault()
            self.arrive()
            await asyncio.sleep(STEP_SECONDS * self.rng.random() * 2.0)
        self.heal()
        await asyncio.gather(*self.requests, return_exceptions=True)
        await asyncio.sleep(AFTER_SECONDS)
        self.check()

    def loses(self, sender: VmName, receiver: VmName, body: Message) -> bool:
        lossy = isinstance(body, SlotNews | SlotReleased)
        return lossy and self.rng.random() < LOST_PART

    def arrive(self) -> None:
        """Let requests come, and some callers leave."""
        world = self.world
        alive = [vm for name, vm in world.vms.items() if name not in world.dead]
        for _ in range(self.rng.choice((0, 1, 1, 2, 4))):
            vm = self.rng.choice(alive)
            work = self.rng.uniform(0.02, 0.15)
            priority = self.rng.choice((0, 1, 5))
            job = vm.request(work, LEFT_SECONDS, priority=priority)
            self.requests.append(world.spawn(job))
        if self.rng.random() < 0.1 and self.requests:
            task = self.rng.choice(self.requests)
            if not task.done():
                self.left.add(task)
                task.cancel()

    def fault(self) -> None:
        """Cut, stop or heal something."""
        world = self.world
        vm = self.rng.choice(list(world.vms.values()))
        other = self.rng.choice(list(world.vms.values()))
        kind = self.rng.choice(("kill", "restart", "cut", "suspend", "heal"))
        if kind == "kill" and len(world.dead) < len(world.vms) - 1:
            world.kill(vm)
        elif kind == "restart" and vm.name in world.dead:
            world.restart(vm)
        elif kind == "cut" and vm is not other:
            world.cut.add((vm.name, other.name))
        elif kind == "suspend":
            world.suspended.setdefault(vm.name, asyncio.Event())
        elif kind == "heal":
            self.heal()

    def heal(self) -> None:
        """Mend all links, and let all go on that stood still."""
        world = self.world
        world.cut.clear()
        for event in world.suspended.values():
            event.set()
        world.suspended.clear()

    def check(self) -> None:
        """Check what must hold of any order."""
        case, world = self.case, self.world
        for task in self.requests:
            case.assertTrue(task.done())
            if task in self.left:
                continue
            result = task.result()
            case.assertTrue(result.granted or result.refusal, result)
            case.assertLessEqual(result.decided, result.deadline)
        if not self.faults:
            for endpoint in world.endpoints.values():
                most = endpoint.instance.slots + EXTRA
                case.assertLessEqual(endpoint.peak, most)
        for vm in world.vms.values():
            self.check_vm(vm)

    def check_vm(self, vm: SlotVm) -> None:
        """Check that nothing is left at a VM."""
        case = self.case
        case.assertEqual(vm.sharing.asks.waiting, {})
        case.assertEqual(vm.sharing.under_way, {})
        case.assertEqual(vm.sharing.held.slots, {})
        kept = vm.sharing.keeper.kept.get(SERVICE)
        if kept is None:
            return
        case.assertEqual(kept.queue.waiting, {})
        case.assertEqual(kept.queue.summary(monotonic()).granted_count, 0)


class SlotSearchTest(unittest.TestCase):
    """What must hold whatever comes, is lost or ends, at any moment."""

    def search(self, faults: bool) -> None:
        for seed in range(SEED, SEED + EXAMPLES):
            with self.subTest(seed=seed):
                play(SlotSearch(self, seed, faults).run())

    def test_one_keeper_that_all_reach(self) -> None:
        self.search(faults=False)

    def test_faults(self) -> None:
        self.search(faults=True)
