# Licensed under the Apache License 2.0: see LICENSE for details.

"""Data halls that operators have emptied: their endpoints get nothing more."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from walnutquay.state.process.ids import HallName


@dataclass(frozen=True, slots=True)
class EmptiedHall:
    """An operators' order that the endpoints of a data hall get nothing more.

    What runs there runs on.  The order holds until it is taken back.

    :param hall: the data hall.
    :param revision: the store's revision of the order.
    """

    hall: HallName
    revision: int


class EmptiedHalls:
    """The orders that one VM knows."""

    def __init__(self) -> None:
        self.orders: dict[HallName, EmptiedHall] = {}
        # Called whenever a hall is emptied or back.
        self.listeners: list[Callable[[], None]] = []

    def __contains__(self, hall: HallName) -> bool:
        return hall in self.orders

    def put(self, order: EmptiedHall) -> bool:
        """:param order: an order.

        :returns: whether its hall was not emptied before.
        """
        known = order.hall in self.orders
        self.orders[order.hall] = order
        self._changed()
        return not known

    def take_back(self, hall: HallName) -> bool:
        """:param hall: a data hall whose order is gone.

        :returns: whether it was emptied before.
        """
        taken = self.orders.pop(hall, None)
        self._changed()
        return taken is not None

    def _changed(self) -> None:
        for listener in self.listeners:
            listener()

    def missing(self, halls: Iterable[str]) -> list[HallName]:
        """:param halls: the halls of a whole list of orders.

        :returns: those that are emptied here and do not stand in it.
        """
        listed = set(halls)
        return [hall for hall in self.orders if hall not in listed]
