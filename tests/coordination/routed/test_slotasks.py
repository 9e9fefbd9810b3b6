# Licensed under the Apache License 2.0: see LICENSE for details.

"""Slots that are granted late, twice or never heard of, and callers that leave."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from unittest import mock

from tests.slotcase import EXTRA_APART, FULL_INTERVAL, REQUESTS, TWICE, SlotCase
from tests.slotworld import SERVICE, FakeEndpoint, SlotVm, SlotWorld
from tests.virtualtime import play
from walnutquay.coordination.requests.slots import SlotTicket
from walnutquay.coordination.routed.slotasks import MAX_SILENT, MAX_TRIED
from walnutquay.protocol.messages import Message
from walnutquay.protocol.slotmessages import (
    AskSlot,
    SlotIs,
    SlotNews,
    SlotReleased,
    SlotState,
)
from walnutquay.state.process.ids import EndpointName, OrganisationName
from walnutquay.state.requests.refusals import RefusalCode
from walnutquay.state.routed.ownslots import OwnSlots
from walnutquay.state.routed.slottypes import SlotNumber
from walnutquay.transport.timers import monotonic


class NewsTest(SlotCase):
    """What a keeper tells of a request that waits."""

    async def fill(self, world: SlotWorld) -> SlotVm:
        """Use all slots for 0.3 s, and return a VM whose next request waits."""
        world.start_scarce()
        vm = world.others()[0]
        slots = sum(one.instance.slots for one in world.endpoints.values())
        extra = len(world.endpoints)
        for _ in range(slots + extra):
            world.spawn(vm.request(work=0.3))
        await asyncio.sleep(0.05)
        return vm

    def lose(self, world: SlotWorld, kind: type[Message]) -> None:
        world.loses = lambda sender, receiver, body: isinstance(body, kind)

    def test_lost(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            vm = await self.fill(world)
            self.lose(world, SlotNews)
            result = await vm.request()
            self.assertTrue(result.served)
            self.assertTrue(vm.counters["slots_waited"])
            await asyncio.sleep(1.0)
            self.check(world)
            self.assertEqual(self.granted(world.keeper()), 0)

        play(story())

    def test_releases_are_lost(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            self.lose(world, SlotReleased)
            world.start_scarce()
            results = await world.load(
                list(world.vms.values()), REQUESTS, FULL_INTERVAL, left=1.0
            )
            await asyncio.sleep(2.0)
            self.check(world, extra=EXTRA_APART)
            # Slots come free as the deadlines of their requests pass.
            self.assertGreater(self.served(results), 0)
            await world.others()[0].request()
            self.assertLessEqual(self.granted(world.keeper()), 1)

        play(story())

    def test_late(self) -> None:
        """The caller has left as the grant comes; the slot is free at once."""

        async def story() -> None:
            world = SlotWorld()
            vm, keeper = world.others()[0], world.keeper()
            number = next(vm.sharing.asks.numbers)
            world.start_scarce()
            await world.exchange(vm.name, keeper.name, self.ask(number))
            self.assertEqual(self.granted(keeper), 1)
            rows = (
                keeper.sharing.keeper.kept[SERVICE].queue.summary(monotonic()).granted
            )
            endpoint = next(row.endpoint for row in rows if row.granted)
            news = self.news(number, endpoint, keeper)
            await world.deliver(keeper.name, vm.name, news)
            await asyncio.sleep(0.05)
            self.assertEqual(self.granted(keeper), 0)
            self.assertEqual(vm.counters["slot_grants_late"], 1)

        play(story())

    def ask(self, number: int) -> AskSlot:
        return AskSlot(
            SERVICE, number, "safe", OrganisationName("org-a"), 1.0, 1, 7, 1.0, 9.0
        )

    def news(self, number: int, endpoint: EndpointName, keeper: SlotVm) -> SlotNews:
        start = keeper.sharing.keeper.start
        return SlotNews(
            SERVICE, number, SlotIs(SlotState.GRANTED, endpoint, start=start)
        )

    def test_doubled(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            vm = await self.fill(world)
            keeper = world.keeper()
            task = world.spawn(vm.request(work=0.2))
            await asyncio.sleep(0.4)
            news = [body for body in world.delivered if isinstance(body, SlotNews)]
            before = self.granted(keeper)
            await world.deliver(keeper.name, vm.name, news[-1])
            await asyncio.sleep(0.01)
            self.assertEqual(self.granted(keeper), before)
            self.assertEqual(vm.counters["slot_grants_late"], 0)
            self.assertTrue((await task).served)

        play(story())

    def test_the_caller_leaves_while_it_waits(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            vm = await self.fill(world)
            queue = world.keeper().sharing.keeper.kept[SERVICE].queue
            before = len(queue.waiting)
            task = world.spawn(vm.request())
            await asyncio.sleep(0.05)
            self.assertEqual(len(queue.waiting), before + 1)
            task.cancel()
            await asyncio.sleep(0.01)
            self.assertEqual(len(queue.waiting), before)
            self.assertEqual(len(vm.sharing.asks.waiting), before)
            await asyncio.sleep(2.0)
            self.assertEqual(self.granted(world.keeper()), 0)

        play(story())

    def test_the_caller_leaves_while_the_keeper_answers(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            world.start_scarce()
            task = world.spawn(world.others()[0].request())
            await asyncio.sleep(0.0005)
            task.cancel()
            await asyncio.sleep(0.05)
            self.assertEqual(self.granted(world.keeper()), 0)

        play(story())

    def test_the_granted_endpoint_is_not_one_of_those_allowed(self) -> None:
        async def story() -> None:
            world = SlotWorld(slots=(2, 2, 2))
            world.start_scarce()
            vm = world.others()[0]
            vm.barred = {"p1", "p3"}
            for _ in range(6):
                result = await vm.request()
                self.assertEqual(result.endpoint, "p2")
            self.check(world)

        play(story())

    def test_more_endpoints_are_excluded_than_a_question_names(self) -> None:
        """The request goes without asking, as its endpoint would hardly be granted."""

        async def story(own: bool) -> None:
            world = SlotWorld(vms=40, slots=(2,) * 140)
            world.start_scarce()
            vm = world.keeper() if own else world.others()[0]
            vm.barred = {f"p{number}" for number in range(1, 140)}
            jobs = [world.spawn(vm.request(work=0.3, left=1.0)) for _ in range(3)]
            results = await asyncio.gather(*jobs)
            self.assertEqual([one.endpoint for one in results], ["p140"] * 3)
            self.assertEqual(vm.peers.calls, 0)
            self.check(world)

        for own in (False, True):
            with self.subTest(own=own):
                play(story(own))

    def test_only_a_draining_endpoint_is_left(self) -> None:
        """Keepers do not grant it, and it takes what no other endpoint can."""

        async def story() -> None:
            world = SlotWorld()
            world.start_scarce()
            vm = world.others()[0]
            draining = replace(vm.found()[0], name=EndpointName("p9"))
            with mock.patch.object(vm, "found", lambda: [draining]):
                world.endpoints["p9"] = FakeEndpoint(draining)
                slots = {EndpointName("p1"): 2, EndpointName("p2"): 2}
                for other in world.vms.values():
                    other.sharing.signs.slots_of = lambda _: slots
                    other.sharing.keeper.slots_of = lambda _: slots
                result = await vm.request()
            self.assertEqual((result.endpoint, result.refusal), ("p9", None))
            self.check(world)

        play(story())

    def test_a_rejection_is_told_of_the_request_that_had_it(self) -> None:
        async def story() -> None:
            world = SlotWorld(slots=(2,))
            world.start_scarce()
            vm = world.others()[0]
            job = world.spawn(vm.request(work=0.3))
            await asyncio.sleep(0.05)
            number = next(iter(vm.sharing.held.slots))
            instance = vm.found()[0]
            vm.sharing.on_rejected(instance, SlotTicket(SERVICE, SlotNumber(7)))
            await job
            vm.sharing.on_rejected(instance, None)
            again = world.spawn(vm.request(work=0.3))
            await asyncio.sleep(0.05)
            second = next(iter(vm.sharing.held.slots))
            vm.sharing.on_rejected(instance, SlotTicket(SERVICE, second))
            await again
            await asyncio.sleep(0.05)
            told = {
                body.number: body.rejected
                for body in world.delivered
                if isinstance(body, SlotReleased)
            }
            self.assertEqual(told, {number: False, second: True})

        play(story())

    def test_endpoints_appear_that_a_request_must_not_go_to(self) -> None:
        async def story(own: bool) -> None:
            world = SlotWorld(vms=40, slots=(2,) * 140)
            hidden = {
                f"p{number}": world.endpoints.pop(f"p{number}")
                for number in range(1, 140)
            }
            world.start_scarce()
            vm = world.keeper() if own else world.others()[0]
            vm.barred = set(hidden)
            jobs = [world.spawn(vm.request(work=0.3, left=1.0)) for _ in range(8)]
            await asyncio.sleep(0.05)
            world.endpoints.update(hidden)
            await asyncio.gather(*jobs)
            await asyncio.sleep(5.0)
            questions = MAX_TRIED + len(jobs)
            self.assertLessEqual(vm.peers.calls, questions * len(jobs))
            self.check(world, extra=len(jobs))

        for own in (False, True):
            with self.subTest(own=own):
                play(story(own))

    def test_a_refusal_says_not_run_and_when_to_return(self) -> None:
        async def story() -> None:
            world = SlotWorld()
            world.start_scarce()
            results = await world.load(
                list(world.vms.values()), 2 * REQUESTS, TWICE, left=1.0
            )
            refused = [r for r in results if r.refusal]
            self.assertGreater(len(refused), 10)
            for result in refused:
                self.assertFalse(result.granted)
                self.assertIs(result.refusal.code, RefusalCode.QUEUE_FULL)
            times = [r.refusal.retry_after for r in refused]
            self.assertTrue(any(time is not None for time in times))

        play(story())


class SilentTest(SlotCase):
    """Keepers that do not answer."""

    def test_a_request_asks_two_and_goes_by_its_own_share(self) -> None:
        async def story() -> None:
            world = SlotWorld(vms=8)
            vm = world.vms[world.keeper().sharing.ranking._order(SERVICE)[-1]]
            world.dead = set(world.vms) - {vm.name}
            world.start_scarce()
            with mock.patch.object(OwnSlots, "next_send", return_value=0.0):
                result = await vm.request()
            self.assertTrue(result.served)
            self.assertEqual(vm.counters["slot_keepers_silent"], MAX_SILENT)
            self.assertEqual(vm.counters["slots_own_share"], 1)

        play(story())
