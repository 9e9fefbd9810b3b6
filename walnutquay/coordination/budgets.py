# Licensed under the Apache License 2.0: see LICENSE for details.

"""Retries that one VM may make, by service."""

from __future__ import annotations

from collections.abc import Callable

from walnutquay.state.admission import RetryBudget
from walnutquay.state.ids import ServiceName

# Retries of a service that a VM may make before any first try has added to them: one
# that starts again may have spent its reserve just before.
FIRST_RETRIES = 2.0


class RetryBudgets:
    """One retry budget for each service.

    The fleet's reserve of retries is shared by the VMs that there are: VMs that are
    added would raise it over the platform's limit otherwise.

    :param share: retries for each first try.
    :param reserve: retries that all VMs together may save up for one service.
    :param vms: tells how many VMs there are.
    """

    def __init__(self, share: float, reserve: float, vms: Callable[[], int]) -> None:
        self.share = share
        self.reserve = reserve
        self.vms = vms
        self.known: dict[ServiceName, RetryBudget] = {}

    def of(self, service: ServiceName) -> RetryBudget:
        """:param service: a service.

        :returns: its budget, with this VM's part of the reserve as it is now.
        """
        part = self.reserve / max(1, self.vms())
        budget = self.known.get(service)
        if budget is None:
            budget = self.known[service] = RetryBudget(self.share, part)
            budget.left = min(part, FIRST_RETRIES)
        budget.reserve = part
        budget.left = min(budget.left, part)
        return budget
