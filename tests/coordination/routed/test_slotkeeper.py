# Licensed under the Apache License 2.0: see LICENSE for details.

"""The VM that shares out slots, and how others choose it."""

from __future__ import annotations

import asyncio
import random
import unittest
from types import SimpleNamespace

from tests.slotworld import SERVICE, SlotVm, SlotWorld
from tests.virtualtime import START, play
from walnutquay.coordination.routed.keeperranking import (
    MAX_SILENT_SECONDS,
    MIN_SILENT_SECONDS,
    NEVER_HEARD_FACTOR,
    TRY_SECONDS,
    KeeperRanking,
)
from walnutquay.coordination.routed.slotkeeper import IDLE_SECONDS
from walnutquay.protocol.slotmessages import (
    AskSlot,
    HeldSlot,
    SlotIs,
    SlotLoad,
    SlotReleased,
    SlotsScarce,
    SlotState,
)
from walnutquay.state.process.ids import (
    EndpointName,
    OrganisationName,
    RouteName,
    ServiceName,
    VmName,
)
from walnutquay.state.routed.overloadscope import Coverage
from walnutquay.state.routed.slottypes import SlotNumber, WorkHash
from walnutquay.transport.timers import monotonic

P1, P2 = EndpointName("p1"), EndpointName("p2")
VM = VmName("vm-x")


def ask(number: int, **more: object) -> AskSlot:
    """Return a question."""
    fields = {
        "service": SERVICE,
        "number": SlotNumber(number),
        "route": RouteName("safe"),
        "organisation": OrganisationName("org-a"),
        "weight": 1.0,
        "priority": 1,
        "work": WorkHash(number),
        "in_time": 1.0,
        "time_left": 2.0,
        **more,
    }
    return AskSlot(**fields)


class SlotKeeperTest(unittest.TestCase):
    """Answers of a keeper."""

    def setUp(self) -> None:
        self.world = SlotWorld(slots=(1, 1))
        self.keeper = self.world.keeper().sharing.keeper

    def state(self, answer: SlotIs) -> SlotState:
        return answer.state

    def test_a_question_repeated_changes_nothing(self) -> None:
        async def story() -> None:
            first = self.keeper.ask(VM, ask(1))
            self.assertIs(first.state, SlotState.GRANTED)
            self.assertEqual(self.keeper.ask(VM, ask(1)), first)
            self.assertEqual(self.count(), 1)

        play(story())

    def count(self) -> int:
        queue = self.keeper.kept[SERVICE].queue
        return queue.summary(monotonic()).granted_count

    def test_no_endpoint_is_granted_that_was_tried(self) -> None:
        async def story() -> None:
            answer = self.keeper.ask(VM, ask(1, tried=(P1,)))
            self.assertEqual(answer.endpoint, P2)

        play(story())

    def test_a_question_after_its_withdrawal_gets_nothing(self) -> None:
        async def story() -> None:
            self.keeper.ask(VM, ask(1))
            self.keeper.release(VM, SlotReleased(SERVICE, SlotNumber(2)))
            answer = self.keeper.ask(VM, ask(2))
            self.assertIs(answer.state, SlotState.NOT_HERE)
            self.assertEqual(self.count(), 1)

        play(story())

    def test_slots_that_it_is_told_of_count(self) -> None:
        async def story() -> None:
            held = tuple(
                HeldSlot(SlotNumber(number), name, 2.0)
                for number, name in ((7, P1), (8, P2))
            )
            self.keeper.ask(VM, ask(9, held=held))
            self.assertGreaterEqual(self.count(), 2)
            for row in held:
                body = SlotReleased(SERVICE, row.number, row.endpoint, 0.1)
                self.keeper.release(VM, body)
            self.assertLessEqual(self.count(), 1)

        play(story())

    def test_slots_that_are_not_scarce_are_free(self) -> None:
        async def story() -> None:
            self.keeper.ask(VM, ask(1))
            self.keeper.release(VM, SlotReleased(SERVICE, SlotNumber(1)))
            await asyncio.sleep(5.0)
            self.assertIs(self.keeper.ask(VM, ask(2)).state, SlotState.FREE)
            self.assertEqual(self.count(), 0)

        play(story())

    def test_loads_that_come_with_a_question_make_slots_scarce(self) -> None:
        async def story() -> None:
            self.keeper.ask(VM, ask(1))
            self.keeper.release(VM, SlotReleased(SERVICE, SlotNumber(1)))
            await asyncio.sleep(5.0)
            loads = (SlotLoad(P1, 1, 3, 1.0, 0.01),)
            answer = self.keeper.ask(VM, ask(2, loads=loads))
            self.assertEqual((answer.state, answer.endpoint), (SlotState.GRANTED, P2))

        play(story())

    def test_a_service_that_is_not_known(self) -> None:
        async def story() -> None:
            answer = self.keeper.ask(VM, ask(1, service=ServiceName("other")))
            self.assertIs(answer.state, SlotState.NOT_HERE)
            self.assertEqual(self.keeper.kept, {})

        play(story())

    def test_never_shares_nothing_out(self) -> None:
        async def story() -> None:
            keeper = SlotWorld(mode=Coverage.NEVER).keeper().sharing.keeper
            self.assertIs(keeper.ask(VM, ask(1)).state, SlotState.NOT_HERE)

        play(story())

    def test_a_queue_that_nobody_uses_is_dropped(self) -> None:
        async def story() -> None:
            self.keeper.ask(VM, ask(1))
            await asyncio.sleep(3 * IDLE_SECONDS)
            self.assertEqual(self.keeper.kept, {})

        play(story())

    def test_all_are_told_a_few_times_a_second(self) -> None:
        async def story() -> None:
            for number in range(200):
                self.keeper.ask(VM, ask(number))
                await asyncio.sleep(0.01)
            told = [b for b in self.world.delivered if isinstance(b, SlotsScarce)]
            others = len(self.world.vms) - 1
            self.assertGreater(len(told), others)
            self.assertLessEqual(len(told), 5 * others)

        play(story())

    def test_it_tells_itself(self) -> None:
        async def story() -> None:
            sharing = self.world.keeper().sharing
            sharing.signs.scope.on_load(SERVICE, 1.0)
            for number in range(20):
                self.keeper.ask(VM, ask(number))
            self.assertTrue(sharing.are_scarce(SERVICE))

        play(story())


class KeeperRankingTest(unittest.TestCase):
    """Which VM is asked."""

    def setUp(self) -> None:
        self.world = SlotWorld(vms=6)
        self.vm = self.world.others()[-1]
        self.ranking = self.vm.sharing.ranking
        self.order = self.ranking._order(SERVICE)

    def first(self, now: float) -> VmName | None:
        return self.ranking.keeper(SERVICE, now)

    def test_all_agree(self) -> None:
        found = {vm.sharing.ranking.keeper(SERVICE, START) for vm in self.all()}
        self.assertEqual(found, {self.order[0]})

    def all(self) -> list[SlotVm]:
        return list(self.world.vms.values())

    def test_a_silent_one_is_passed_over_and_tried_by_one_request(self) -> None:
        now = START
        self.ranking.pass_over(self.order[0], now)
        self.assertEqual(self.first(now + MIN_SILENT_SECONDS - 0.1), self.order[1])
        now += MAX_SILENT_SECONDS + 0.1
        self.assertEqual(self.first(now), self.order[0])
        self.assertEqual(self.first(now), self.order[1])
        self.assertEqual(self.first(now + TRY_SECONDS + 0.01), self.order[0])
        self.ranking.answered(self.order[0])
        self.assertEqual(self.first(now), self.order[0])
        self.assertEqual(self.first(now), self.order[0])

    def test_one_that_has_never_answered_is_seldom_tried(self) -> None:
        self.ranking.pass_over(self.order[0], START)
        self.ranking.pass_over(self.order[0], START)
        least = START + NEVER_HEARD_FACTOR * MIN_SILENT_SECONDS
        self.assertGreaterEqual(self.ranking.passed_until[self.order[0]], least)
        self.ranking.answered(self.order[0])
        for _ in range(3):
            self.ranking.pass_over(self.order[0], START)
        most = START + MAX_SILENT_SECONDS
        self.assertLessEqual(self.ranking.passed_until[self.order[0]], most)

    def test_vms_come_back_at_different_times(self) -> None:
        times = set()
        for vm in self.all():
            vm.sharing.ranking.pass_over(self.order[0], START)
            times.add(round(vm.sharing.ranking.passed_until[self.order[0]], 2))
        self.assertEqual(len(times), len(self.all()))
        self.assertGreater(max(times) - min(times), 1.0)

    def test_one_that_is_cut_off_shares_nothing_out(self) -> None:
        ranking = self.world.vms[self.order[-1]].sharing.ranking
        for vm in self.order[:-1]:
            ranking.pass_over(vm, START)
        self.assertIsNone(ranking.keeper(SERVICE, START + 0.1))
        ranking.asked_at = START
        self.assertEqual(ranking.keeper(SERVICE, START + 0.1), self.order[-1])

    def test_the_next_in_rank_takes_over(self) -> None:
        ranking = self.world.vms[self.order[1]].sharing.ranking
        ranking.pass_over(self.order[0], START)
        self.assertEqual(ranking.keeper(SERVICE, START + 0.1), self.order[1])

    def test_without_a_list_nobody_is_asked(self) -> None:
        peers = SimpleNamespace(known={}, size=3)
        ranking = KeeperRanking(VM, peers, random.Random(1))
        self.assertIsNone(ranking.keeper(SERVICE, START))
        peers.size = 1
        self.assertEqual(ranking.keeper(SERVICE, START), VM)
