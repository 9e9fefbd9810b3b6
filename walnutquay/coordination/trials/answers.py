# Licensed under the Apache License 2.0: see LICENSE for details.

"""Writes the status of operators' roll-out orders to the store."""

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
    """Reads roll-out orders and writes their status."""

    async def read(self, name: str) -> RolloutOrder | None:
        """Read an order.

        :param name: the order's name.
        :returns: the order; None if there is none.
        """

    async def answer(self, order: RolloutOrder, state: OrderState) -> RolloutOrder:
        """Write the status of an order.

        :param order: the order as it was read.
        :param state: the state to write.
        :returns: the order as it is stored now.
        """


class OrderStatusWriter:
    """Writes the status of trials, and applies the orders that the store returns.

    :param order_store: the store of the orders.
    :param orders: the orders that this VM knows.
    """

    def __init__(self, order_store: OrderStore, orders: OrderSink) -> None:
        self.order_store = order_store
        self.orders = orders

    async def write(self, trial: Trial, state: OrderState) -> None:
        """Write the status of a trial.

        :param trial: the trial.
        :param state: its state.
        :raises PlatformConflictError: if the order has changed in the meantime.
        :raises PlatformError: if the store does not respond.
        """
        started = unix_seconds() - (monotonic() - trial.started)
        updated = replace(trial.order, state=state, started=started)
        self.orders.apply(await self.order_store.answer(updated, state))

    async def reread(self, order: RolloutOrder) -> None:
        """Read an order again, and apply its current version.

        :param order: the order as this VM knows it.
        """
        try:
            current = await self.order_store.read(order.name)
        except PlatformError as error:
            log.warn("could not read order {} again: {}", order.name, error)
            return
        if current is not None:
            self.orders.apply(current)


def unix_seconds() -> float:
    """Return the time of day in seconds, which may differ between VMs."""
    return unix_microseconds() / MICROSECONDS
