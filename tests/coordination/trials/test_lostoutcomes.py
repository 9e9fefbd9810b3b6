# Licensed under the Apache License 2.0: see LICENSE for details.

"""Outcomes that a restored store has lost are written by few of many VMs."""

from __future__ import annotations

import unittest
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from tests.revisions import revision_at
from walnutquay.coordination.trials import answers
from walnutquay.coordination.trials.answers import LostOutcomes, OrderStatusWriter
from walnutquay.exceptions import PlatformConflictError, PlatformUnavailableError
from walnutquay.state.process.ids import ServiceName, VersionName
from walnutquay.state.store.orders import OrderState, RolloutOrder

VMS = 195
ORDER = RolloutOrder(
    "s",
    revision_at(4, era=2),
    ServiceName("s"),
    VersionName("v2"),
    60.0,
    OrderState.DONE,
)


class FakeOrders:
    """The store of one order, and what VMs know of it.

    :param unreachable: the ranks of the VMs that cannot reach the store.
    """

    def __init__(self, unreachable: frozenset[int] = frozenset()) -> None:
        self.unreachable = unreachable
        self.stored = replace(ORDER, state=OrderState.NEW)
        self.writes = 0

    def vm(self, rank: int) -> LostOutcomes:
        """Return the part of one VM."""
        store = SimpleNamespace(
            answer=lambda order, state: self.answer(rank, order, state),
            read=mock.AsyncMock(return_value=None),
        )
        sink = SimpleNamespace(unanswered={"s": ORDER}, apply=lambda order: None)
        peers = SimpleNamespace(rank_for=lambda key: rank)
        return LostOutcomes(OrderStatusWriter(store, sink), peers)

    async def answer(self, rank: int, order: RolloutOrder, state: OrderState):
        """Write a status, as the store does."""
        if rank in self.unreachable:
            raise PlatformUnavailableError("away")
        self.writes += 1
        if self.stored.revision != order.revision:
            raise PlatformConflictError("changed")
        revision = replace(order.revision, number=order.revision.number + 1)
        self.stored = replace(order, state=state, revision=revision)
        return self.stored


class TurnsTest(unittest.IsolatedAsyncioTestCase):
    """VMs write in turn, until one has."""

    async def play(self, orders: FakeOrders) -> float:
        """Let all VMs write, and hear of it a tenth of a second later.

        :returns: when the outcome was stored.
        """
        vms = [orders.vm(rank) for rank in range(VMS)]
        now, stored_at = 0.0, None
        with mock.patch.object(answers, "monotonic", lambda: now):
            while now < 10.0:
                for vm in vms:
                    await vm.write()
                if orders.stored.state is OrderState.DONE and stored_at is None:
                    stored_at = now
                if stored_at is not None and now > stored_at:
                    for vm in vms:
                        vm.writer.orders.unanswered.clear()
                now += 0.1
        return stored_at

    async def test_the_first_writes(self):
        orders = FakeOrders()
        await self.play(orders)
        self.assertEqual(orders.writes, 2)

    async def test_the_next_writes_where_the_first_ones_cannot(self):
        orders = FakeOrders(unreachable=frozenset(range(3)))
        stored_at = await self.play(orders)
        self.assertLessEqual(stored_at, 1.7)
        self.assertLessEqual(orders.writes, 2)
