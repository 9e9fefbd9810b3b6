# Licensed under the Apache License 2.0: see LICENSE for details.

"""Scarce slots that several VMs share, and what goes wrong between them."""

from __future__ import annotations

import asyncio

from tests.slotcase import EXTRA_APART, FULL_INTERVAL, REQUESTS, TWICE, SlotCase
from tests.slotworld import SERVICE, WORK, Result, SlotWorld
from tests.virtualtime import play
from walnutquay.coordination.routed.slotasks import MAX_ASK_SECONDS
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import VmName
from walnutquay.state.routed.overloadscope import Coverage
from walnutquay.state.routed.ownslots import USED_SHARE
from walnutquay.transport.timers import monotonic


class OverloadTest(SlotCase):
    """More requests than slots, and nothing wrong."""

    def test_twice_the_load(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            vms = list(world.vms.values())
            world.start_scarce()
            results = await world.load(vms, 2 * REQUESTS, TWICE)
            await asyncio.sleep(1.0)
            self.check(world)
            self.assertGreater(self.served(results), 0.9 * REQUESTS)
            late = [r for r in results if r.refusal and r.decided - r.began > 1.0]
            self.assertEqual(late, [])
            self.assertEqual(self.granted(world.keeper()), 0)

        play(story())

    def in_time(self, mode: Coverage) -> tuple[int, int]:
        """Return how many urgent requests of so many were in time at twice the load."""

        async def story() -> tuple[int, int]:
            world = SlotWorld(mode=mode)
            vms = list(world.vms.values())
            usual = world.spawn(world.load(vms, 2 * REQUESTS, TWICE, left=30.0))
            urgent = await world.load(
                vms, REQUESTS // 4, 8 * TWICE, priority=0, left=30.0
            )
            times = [
                result.served and result.ended - result.began < 1.0 for result in urgent
            ]
            await usual
            return sum(times), len(times)

        return play(story())

    def test_urgent_requests_are_in_time(self) -> None:
        in_time, count = self.in_time(Coverage.PACED)
        self.assertGreater(in_time, 0.95 * count)
        in_time, count = self.in_time(Coverage.NEVER)
        self.assertLess(in_time, 0.5 * count)

    def test_what_waited_or_was_refused_is_logged(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            vms = list(world.vms.values())
            await world.load(vms, 2 * REQUESTS, TWICE)
            events = [e for vm in vms for e in vm.context.timeline.ring.events]
            denied = [e for e in events if e.kind is EventKind.SLOT_DENIED]
            granted = [e for e in events if e.kind is EventKind.SLOT_GRANTED]
            queued = [e for e in events if e.kind is EventKind.QUEUED]
            refused = [r for r in world.results if r.refusal]
            self.assertEqual(len(denied), len(refused))
            self.assertGreater(len(granted), 10)
            self.assertGreaterEqual(len(queued), len(granted))
            facts = dict(granted[0].facts)
            self.assertEqual(facts["keeper"], world.keeper().name)
            for vm in vms:
                asked = vm.counters["slots_asked"]
                refusals = vm.counters["slots_denied"]
                self.assertLessEqual(refusals, asked)

        play(story())


class UnchangedTest(SlotCase):
    """Services to which sharing does not apply."""

    def check_silent(self, world: SlotWorld) -> None:
        async def story() -> None:
            vms = list(world.vms.values())
            world.mark_scarce()
            results = await world.load(vms, REQUESTS, TWICE, left=60.0)
            self.assertEqual(self.served(results), REQUESTS)
            for vm in vms:
                self.assertEqual((vm.peers.calls, vm.peers.sent), (0, 0))
                self.assertEqual(vm.counters, {})

        play(story())

    def test_endpoints_tell_no_pace(self) -> None:
        self.check_silent(SlotWorld(paced=False))

    def test_never(self) -> None:
        self.check_silent(SlotWorld(mode=Coverage.NEVER))

    def test_more_slots_than_one_vm_decides_for(self) -> None:
        for vms in (2, 20):
            self.check_silent(SlotWorld(vms=vms, slots=(33, 33, 33)))

    def test_few_vms_share_too(self) -> None:
        """A fleet that has lost most of its VMs has many slots for each one left."""

        async def story() -> None:
            world = SlotWorld(vms=2, slots=(10, 10))
            vms = list(world.vms.values())
            world.start_scarce()
            results = await world.load(vms, 2 * REQUESTS, WORK / 40)
            self.check(world)
            self.assertGreater(sum(vm.peers.calls for vm in vms), 0)
            self.assertTrue(any(result.refusal for result in results))

        play(story())

    def test_always_needs_no_pace(self) -> None:
        async def story() -> None:
            world = SlotWorld(paced=False, mode=Coverage.ALWAYS)
            await world.load(list(world.vms.values()), REQUESTS, TWICE)
            self.assertGreater(sum(vm.peers.calls for vm in world.vms.values()), 0)

        play(story())

    def test_slots_are_free(self) -> None:
        async def story() -> None:
            world = SlotWorld(slots=(8, 8))
            vms = list(world.vms.values())
            results = await world.load(vms, REQUESTS, WORK / 4)
            self.assertEqual(self.served(results), REQUESTS)
            self.assertEqual(sum(vm.peers.calls for vm in vms), 0)

        play(story())


class KeeperTest(SlotCase):
    """A keeper that is lost, stands still, comes back, or is too old."""

    async def play_with(self, world: SlotWorld, count: int = REQUESTS) -> list[Result]:
        """Play the load at the other VMs, which know that slots are scarce."""
        world.start_scarce()
        return await world.load(world.others(), count, FULL_INTERVAL)

    def test_killed(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            load = world.spawn(self.play_with(world))
            await asyncio.sleep(1.0)
            world.kill(world.keeper())
            results = await load
            self.check(world, extra=EXTRA_APART)
            self.assertGreater(self.served(results), 0.7 * REQUESTS)
            silent = sum(vm.counters["slot_keepers_silent"] for vm in world.others())
            self.assertGreater(silent, 0)
            # One that waits at the lost keeper finds this out by itself; then the
            # others do not try it for seconds.
            self.assertLess(silent, 60)

        play(story())

    def test_killed_and_back(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            load = world.spawn(self.play_with(world, 3 * REQUESTS))
            await asyncio.sleep(1.0)
            world.kill(world.keeper())
            await asyncio.sleep(1.0)
            world.restart(world.keeper())
            results = await load
            self.check(world, extra=EXTRA_APART)
            self.assertGreater(self.served(results), 0.7 * len(results))
            back = world.keeper()
            self.assertGreater(
                back.sharing.keeper.kept[SERVICE].queue.summary(monotonic()).grants, 50
            )

        play(story())

    def test_restarted_at_once_learns_what_is_under_way(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            world.start_scarce()
            keeper, vm = world.keeper(), world.others()[0]
            running = world.spawn(vm.request(work=1.0))
            await asyncio.sleep(0.05)
            self.assertEqual(self.granted(keeper), 1)
            world.restart(keeper)
            world.start_scarce()
            tasks = [world.spawn(vm.request(work=1.0)) for _ in range(2)]
            await asyncio.sleep(0.5)
            tasks.append(world.spawn(vm.request(work=1.0)))
            # Till then the keeper counts what an endpoint told besides what it adopted.
            await asyncio.sleep(0.2)
            self.assertEqual(self.granted(world.keeper()), 4)
            await asyncio.gather(running, *tasks)
            await asyncio.sleep(0.05)
            self.assertEqual(self.granted(world.keeper()), 0)

        play(story())

    def test_suspended(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            load = world.spawn(self.play_with(world, 2 * REQUESTS))
            await asyncio.sleep(1.0)
            keeper = world.keeper()
            world.suspended[keeper.name] = asyncio.Event()
            await asyncio.sleep(2.0)
            world.suspended.pop(keeper.name).set()
            results = await load
            await asyncio.sleep(3.0)
            self.check(world, extra=EXTRA_APART)
            self.assertGreater(self.served(results), 0.7 * len(results))
            self.assertEqual(self.granted(keeper), 0)

        play(story())

    def cut_one_way(self, to_keeper: bool) -> None:
        async def story() -> None:
            world = SlotWorld()
            keeper, lonely = world.keeper().name, world.others()[0]
            pair = (lonely.name, keeper)
            world.cut.add(pair if to_keeper else pair[::-1])
            world.start_scarce()
            results = await world.load(list(world.vms.values()), REQUESTS, TWICE)
            await asyncio.sleep(3.0)
            self.check(world, extra=EXTRA_APART)
            own = [result for result in results if result.vm == lonely.name]
            self.assertGreater(self.served(own), 0.1 * len(own))
            self.assertEqual(self.granted(world.keeper()), 0)

        play(story())

    def test_cut_one_way_to_it(self) -> None:
        self.cut_one_way(to_keeper=True)

    def test_cut_one_way_from_it(self) -> None:
        self.cut_one_way(to_keeper=False)

    def test_an_older_vm_takes_no_questions(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            old = world.keeper()
            old.dispatcher.receivers.clear()
            results = await self.play_with(world)
            self.check(world, extra=EXTRA_APART)
            self.assertGreater(self.served(results), 0.8 * REQUESTS)

        play(story())

    def test_all_others_are_older(self) -> None:
        async def story() -> None:
            world = SlotWorld(vms=8)
            vm = world.vms[VmName(world.others()[-1].name)]
            for other in world.vms.values():
                if other is not vm:
                    other.dispatcher.receivers.clear()
            world.start_scarce()
            results = await world.load([vm], REQUESTS, FULL_INTERVAL)
            self.check(world)
            self.assertGreater(vm.counters["slots_own_share"], 0)
            self.assertGreater(self.served(results), 0)

        play(story())

    def test_a_vm_is_cut_off_from_all_others(self) -> None:
        """It goes by its own share, though asking takes longer than its turns last."""

        async def story() -> None:
            world = SlotWorld(vms=40, slots=(18, 18))
            alone = world.vms[world.keeper().sharing.ranking._order(SERVICE)[-1]]
            for other in world.known:
                if other != alone.name:
                    world.cut |= {(alone.name, other), (other, alone.name)}
            alone.sharing.held.learn(SERVICE, 0.05)
            for _ in range(10):
                world.mark_scarce()
                result = await alone.request(work=0.05, left=1.0)
                self.assertTrue(result.served, result)
            self.assertEqual(alone.counters["slots_own_share"], 10)
            world.mark_scarce()
            # Several at once use the turns that come while they wait for them.
            jobs = [alone.request(work=0.05, left=1.0) for _ in range(14)]
            served = self.served(await asyncio.gather(*jobs))
            interval = 0.05 * len(world.known) / (USED_SHARE * 36)
            self.assertGreater(served, 0.75 * MAX_ASK_SECONDS / interval)
            self.check(world)

        play(story())

    def test_halls_are_cut_off(self) -> None:
        async def story() -> None:
            world = SlotWorld(vms=8)
            names = list(world.vms)
            near, far = names[:4], names[4:]
            world.cut |= {(a, b) for a in near for b in far}
            world.cut |= {(b, a) for a in near for b in far}
            world.start_scarce()
            results = await world.load(list(world.vms.values()), 2 * REQUESTS, TWICE)
            await asyncio.sleep(1.0)
            self.check(world, extra=EXTRA_APART)
            self.assertGreater(self.served(results), 0.7 * REQUESTS)
            keepers = [
                vm
                for vm in world.vms.values()
                if vm.sharing.keeper.kept
                and vm.sharing.keeper.kept[SERVICE].queue.summary(monotonic()).grants
            ]
            halls = {vm.name in near for vm in keepers}
            self.assertEqual(halls, {True, False})

        play(story())

    def test_stopping_as_planned(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            load = world.spawn(self.play_with(world))
            await asyncio.sleep(1.0)
            world.keeper().sharing.stop()
            results = await load
            self.check(world, extra=EXTRA_APART)
            self.assertGreater(self.served(results), 0.8 * REQUESTS)
            for vm in world.others():
                self.assertEqual(vm.counters["slot_keepers_silent"], 0)

        play(story())

    def test_a_vm_is_lost_with_its_slots(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            world.start_scarce()
            keeper, lost = world.keeper(), world.others()[0]
            for _ in range(4):
                world.spawn(lost.request(work=5.0, left=60.0))
            await asyncio.sleep(0.05)
            self.assertEqual(self.granted(keeper), 4)
            world.kill(lost)
            world.known = {n: p for n, p in world.known.items() if n != lost.name}
            await world.others()[1].request()
            self.assertEqual(self.granted(keeper), 0)

        play(story())
