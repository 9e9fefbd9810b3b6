# Licensed under the Apache License 2.0: see LICENSE for details.

"""Retries that one VM may make, by service."""

from __future__ import annotations

from collections.abc import Callable

from walnutquay.state.process.ids import ServiceName
from walnutquay.state.routed.retries import RetryWindow
from walnutquay.transport.timers import monotonic

# Retries of a service that a VM may make besides in its first span: one that starts
# again may have used its part of the reserve just before.
FIRST_RETRIES = 2.0


class RetryBudget:
    """The retries of one service.

    :param window: what counts them.
    """

    def __init__(self, window: RetryWindow) -> None:
        self.window = window

    def first_try(self) -> None:
        """Count a first try."""
        self.window.first_try(monotonic())

    def take(self) -> bool:
        """:returns: whether one retry may be made; it is then counted."""
        return self.window.take(monotonic())

    @property
    def left(self) -> float:
        """How many retries may be made now."""
        return self.window.left(monotonic())


class RetryBudgets:
    """One retry budget for each service.

    The fleet's reserve of retries is shared by the VMs that there are: VMs that are
    added would raise it over the platform's limit otherwise.

    :param share: retries for each first try.
    :param reserve: retries of one service that all VMs together may make besides.
    :param seconds: the span in which both hold.
    :param vms: tells how many VMs there are.
    """

    def __init__(
        self, share: float, reserve: float, seconds: float, vms: Callable[[], int]
    ) -> None:
        self.share = share
        self.reserve = reserve
        self.seconds = seconds
        self.vms = vms
        self.began = monotonic()
        self.known: dict[ServiceName, RetryBudget] = {}

    def of(self, service: ServiceName) -> RetryBudget:
        """:param service: a service.

        :returns: its budget, with this VM's part of the reserve as it is now.
        """
        budget = self.known.get(service)
        if budget is None:
            window = RetryWindow(self.share, 0.0, self.seconds)
            budget = self.known[service] = RetryBudget(window)
        budget.window.reserve = self._part()
        return budget

    def _part(self) -> float:
        """Give the part of the reserve that this VM may use now."""
        part = self.reserve / max(1, self.vms())
        if monotonic() < self.began + self.seconds:
            return min(part, FIRST_RETRIES)
        return part
