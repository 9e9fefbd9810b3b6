# Licensed under the Apache License 2.0: see LICENSE for details.

"""Retry budgets of one VM, by service."""

from __future__ import annotations

from collections.abc import Callable

from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.state.process.ids import ServiceName
from walnutquay.state.routed.retries import RetryWindow
from walnutquay.transport.timers import monotonic

# A VM's limit on its part of the reserve in the first window after it starts: before a
# restart it may have used its part already.
INITIAL_RETRIES = 2.0


class RetryBudget:
    """The retry budget of one service.

    :param window: counts first attempts and retries.
    """

    def __init__(self, window: RetryWindow) -> None:
        self.window = window

    def first_try(self) -> None:
        """Count a first attempt."""
        self.window.first_try(monotonic())

    def take(self) -> bool:
        """Return whether a retry is allowed, and charge it if so."""
        return self.window.take(monotonic())

    def give_back(self) -> None:
        """Charge no longer for a retry that was not sent."""
        self.window.give_back(monotonic())

    @property
    def left(self) -> float:
        """The number of retries that are allowed now."""
        return self.window.left(monotonic())


class RetryBudgets:
    """One retry budget for each service.

    The fleet's reserve of retries is divided by the number of VMs.  Otherwise adding
    VMs would raise it above the platform's limit.

    :param share: retries allowed per first attempt.
    :param reserve: additional retries of one service, for all VMs together.
    :param seconds: the window to which both limits apply.
    :param vm_count: returns the number of VMs.
    """

    def __init__(
        self, share: float, reserve: float, seconds: float, vm_count: Callable[[], int]
    ) -> None:
        self.share = share
        self.reserve = reserve
        self.seconds = seconds
        self.vm_count = vm_count
        self.began = monotonic()
        self.by_service: dict[ServiceName, RetryBudget] = {}

    def of(self, service: ServiceName) -> RetryBudget:
        """Return the budget of a service with this VM's current part of the reserve.

        :param service: the service.
        """
        budget = self.by_service.get(service)
        if budget is None:
            window = RetryWindow(self.share, 0.0, self.seconds)
            budget = self.by_service[service] = RetryBudget(window)
        budget.window.reserve = self._reserve_share()
        return budget

    def charge(self, turn: RoutedTurn) -> bool:
        """Return whether a request may be sent once more, and charge that.

        A retry that was charged before is not charged again, and an attempt that
        repeats nothing is free.

        :param turn: the request.
        """
        if not (turn.retry_unsent or turn.retry_free):
            turn.retry_unsent = self.of(turn.service).take()
        return turn.retry_unsent or turn.retry_free

    def give_back(self, turn: RoutedTurn) -> None:
        """Charge no longer for a retry of a request that will not be sent.

        :param turn: the request.
        """
        if turn.retry_unsent:
            turn.retry_unsent = False
            self.of(turn.service).give_back()

    def _reserve_share(self) -> float:
        """Return the part of the reserve that this VM may use now."""
        part = self.reserve / max(1, self.vm_count())
        if monotonic() < self.began + self.seconds:
            return min(part, INITIAL_RETRIES)
        return part
