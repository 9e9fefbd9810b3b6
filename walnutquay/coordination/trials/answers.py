# Licensed under the Apache License 2.0: see LICENSE for details.

"""Writes the status of operators' roll-out orders to the store."""

from __future__ import annotations

from dataclasses import replace
from typing import Protocol

import logbook

from walnutquay.coordination.store.knowledge import OrderSink
from walnutquay.exceptions import PlatformConflictError, PlatformError
from walnutquay.state.store.orders import OrderState, RolloutOrder
from walnutquay.state.trials.trial import Trial
from walnutquay.transport.timers import monotonic, unix_microseconds

log = logbook.Logger(__name__)

MICROSECONDS = 1_000_000
# The time for which a VM waits for the one before it to write a lost status.
TURN_SECONDS = 0.5


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

    async def write_again(self, order: RolloutOrder) -> None:
        """Write the outcome of an order that the store has lost.

        :param order: the order, in the state that it had.
        :raises PlatformConflictError: if the order has changed in the meantime.
        :raises PlatformError: if the store does not respond.
        """
        self.orders.apply(await self.order_store.answer(order, order.state))

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


class RankedVms(Protocol):
    """Ranks the VMs for each duty."""

    def rank_for(self, key: str) -> int:
        """Return the number of VMs that come before this one to do the work for a key.

        :param key: the key.
        """


class LostOutcomes:
    """Writes the outcomes of orders that a restored store has lost.

    One VM writes them at once, and the others in turn if they are still missing.

    :param writer: writes the status of orders.
    :param peers: the other VMs.
    """

    def __init__(self, writer: OrderStatusWriter, peers: RankedVms) -> None:
        self.writer = writer
        self.peers = peers
        # When to write each outcome; monotonic seconds.
        self.write_at: dict[str, float] = {}

    def delay(self, order: str) -> float:
        """Return the seconds before this VM writes a status that the store has lost.

        :param order: the order's name.
        """
        return TURN_SECONDS * self.peers.rank_for(f"status/{order}")

    async def write(self) -> None:
        """Write the outcomes that are due."""
        unanswered = self.writer.orders.unanswered
        now = monotonic()
        self.write_at = {
            name: self.write_at.get(name, now + self.delay(name)) for name in unanswered
        }
        for name, order in list(unanswered.items()):
            if now < self.write_at[name]:
                continue
            try:
                await self.writer.write_again(order)
            except PlatformConflictError:
                await self.writer.reread(order)
            except PlatformError as error:
                log.warn("could not write the outcome of an order yet: {}", error)


def unix_seconds() -> float:
    """Return the time of day in seconds, which may differ between VMs."""
    return unix_microseconds() / MICROSECONDS
