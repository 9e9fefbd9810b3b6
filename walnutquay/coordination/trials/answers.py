# Licensed under the Apache License 2.0: see LICENSE for details.

"""Answers operators' roll-out orders in the store."""

from __future__ import annotations

from dataclasses import replace
from typing import Protocol

import logbook

from walnutquay.coordination.store.knowledge import OrderSink
from walnutquay.exceptions import PlatformError
from walnutquay.state.store.orders import OrderState, RolloutOrder
from walnutquay.state.trials.trial import Trial
from walnutquay.transport.timers import monotonic, unix_microseconds

log = logbook.Logger(__name__)

MICROSECONDS = 1_000_000


class OrderStore(Protocol):
    """Reads and answers roll-out orders."""

    async def read(self, name: str) -> RolloutOrder | None:
        """:param name: an order's name."""

    async def answer(self, order: RolloutOrder, state: OrderState) -> RolloutOrder:
        """:param order: an order as it was read.

        :param state: what to say of it.
        """


class OrderAnswers:
    """Writes where trials stand, and takes in what the store has of them then.

    :param order_store: where orders are answered.
    :param orders: the orders that this VM knows.
    """

    def __init__(self, order_store: OrderStore, orders: OrderSink) -> None:
        self.order_store = order_store
        self.orders = orders

    async def write(self, trial: Trial, state: OrderState) -> None:
        """Say where a trial stands.

        :param trial: the trial.
        :param state: where it stands.
        :raises PlatformConflictError: if its order has changed meanwhile.
        :raises PlatformError: if the store does not answer.
        """
        started = unix_seconds() - (monotonic() - trial.started)
        wanted = replace(trial.order, state=state, started=started)
        self.orders.apply(await self.order_store.answer(wanted, state))

    async def read_again(self, order: RolloutOrder) -> None:
        """Take in an order as it stands now.

        :param order: the order as it is known here.
        """
        try:
            present = await self.order_store.read(order.name)
        except PlatformError as error:
            log.warn("order {} could not be read again: {}", order.name, error)
            return
        if present is not None:
            self.orders.apply(present)


def unix_seconds() -> float:
    """:returns: the time of day, which may differ between VMs; seconds."""
    return unix_microseconds() / MICROSECONDS
