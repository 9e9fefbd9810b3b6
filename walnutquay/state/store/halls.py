# Licensed under the Apache License 2.0: see LICENSE for details.

"""Data halls that operators have emptied: their endpoints get no new requests."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from walnutquay.state.process.ids import HallName
from walnutquay.state.process.revisions import StoreRevision


@dataclass(frozen=True, slots=True)
class EmptiedHall:
    """An operators' order to send no new requests to the endpoints of a data hall.

    Requests in progress continue.  The order applies until it is withdrawn.

    :param hall: the data hall.
    :param revision: the store's revision of the order.
    """

    hall: HallName
    revision: StoreRevision


class EmptiedHalls:
    """The orders that one VM has received, by data hall."""

    def __init__(self) -> None:
        self.orders: dict[HallName, EmptiedHall] = {}
        # Called whenever a hall is emptied or restored.
        self.listeners: list[Callable[[], None]] = []

    def __contains__(self, hall: HallName) -> bool:
        return hall in self.orders

    def put(self, order: EmptiedHall) -> bool:
        """Store an order.

        :param order: the order.
        :returns: whether its hall was not emptied before.
        """
        known = order.hall in self.orders
        self.orders[order.hall] = order
        self._notify_listeners()
        return not known

    def restore(self, hall: HallName) -> bool:
        """Remove the order for a data hall.

        :param hall: the data hall, whose order was withdrawn.
        :returns: whether it was emptied before.
        """
        order = self.orders.pop(hall, None)
        self._notify_listeners()
        return order is not None

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()

    def missing(self, halls: Iterable[str]) -> list[HallName]:
        """Find the emptied halls whose orders are missing from a full list of orders.

        :param halls: the halls of all orders in the list.
        :returns: the halls that are emptied here and not in the list.
        """
        listed = set(halls)
        return [hall for hall in self.orders if hall not in listed]
