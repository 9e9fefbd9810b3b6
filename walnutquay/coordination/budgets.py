# Licensed under the Apache License 2.0: see LICENSE for details.

"""Retries that one VM may make, by service."""

from __future__ import annotations

from collections.abc import Callable

from walnutquay.state.admission import RetryBudget
from walnutquay.state.ids import ServiceName


class RetryBudgets:
    """One retry budget for each service.

    :param make: makes the budget of a service that had no request yet.
    """

    def __init__(self, make: Callable[[], RetryBudget]) -> None:
        self.make = make
        self.known: dict[ServiceName, RetryBudget] = {}

    def of(self, service: ServiceName) -> RetryBudget:
        """:param service: a service."""
        budget = self.known.get(service)
        if budget is None:
            budget = self.known[service] = self.make()
        return budget
