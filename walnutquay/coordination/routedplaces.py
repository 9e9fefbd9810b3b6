# Licensed under the Apache License 2.0: see LICENSE for details.

"""Places at the endpoints that the platform lists."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from expression import Error, Ok, Result

from walnutquay.coordination.context import Context
from walnutquay.coordination.places import Grant, Need
from walnutquay.state.endpoints import EndpointTable
from walnutquay.state.ids import ServiceName, VersionName, WorkKind
from walnutquay.state.instances import Instance, InstanceBook
from walnutquay.state.refusals import Refusal, RefusalCode
from walnutquay.transport.timers import monotonic

# When to come back where no endpoint runs: one that starts is listed within a second.
NO_ENDPOINT_RETRY = 1.0
FULL_RETRY = 0.5

# Which versions of a service may be used, the newest decision first.
AllowedVersions = Callable[[ServiceName], frozenset[VersionName] | None]


class RoutedPlaces:
    """Gives out places at endpoints; endpoints have queues of their own.

    :param context: what this process shares.
    :param book: the endpoints.
    :param table: what is known of their load and health.
    :param allowed: tells which versions may be used.
    """

    def __init__(
        self,
        context: Context,
        book: InstanceBook,
        table: EndpointTable,
        allowed: AllowedVersions,
    ) -> None:
        self.context = context
        self.book = book
        self.table = table
        self.allowed = allowed

    def candidates(self, service: ServiceName, version: str = "") -> list[Instance]:
        """:param service: a service.

        :param version: the only version to use; empty for those that may be.
        :returns: the endpoints that may be used now.
        """
        if version:
            return self.book.of_service(service, VersionName(version))
        allowed = self.allowed(service)
        found = self.book.of_service(service)
        if allowed is None:
            return found
        return [item for item in found if item.version in allowed]

    async def acquire(self, need: Need) -> Result[Grant, Refusal]:
        """:param need: what for.

        :returns: a place, or why there is none.
        """
        service = ServiceName(need.target)
        candidates = self.candidates(service, need.version)
        left = [item for item in candidates if item.name not in need.tried]
        if not left:
            return Error(
                Refusal(
                    RefusalCode.NO_ENDPOINT,
                    f"no endpoint of {service} can be asked now",
                    NO_ENDPOINT_RETRY,
                )
            )
        now = monotonic()
        chosen = self.table.choose(left, now, need.hint, need.tried, need.prefix)
        if chosen is None:
            chosen = self._least_loaded(left, now)
        if chosen is None:
            return Error(
                Refusal(
                    RefusalCode.QUEUE_FULL,
                    f"the endpoints of {service} are full",
                    FULL_RETRY,
                )
            )
        facts = self.table.of(chosen.name)
        facts.in_flight += 1
        work = WorkKind.PATIENT if need.prefix else WorkKind.QUICK
        return Ok(Grant(chosen, now, work))

    def _least_loaded(self, left: list[Instance], now: float) -> Instance | None:
        """Choose where to queue; endpoints that have just refused are left out."""
        open_ones = [
            item for item in left if self.table.of(item.name).full_until <= now
        ]
        if not open_ones:
            return None
        return min(
            open_ones, key=lambda item: self.table.of(item.name).load(now) / item.slots
        )

    def release(self, grant: Grant) -> None:
        """:param grant: a place to give back."""
        self.table.of(grant.name).in_flight -= 1

    def full(self, grant: Grant) -> None:
        """:param grant: a place that its endpoint did not have after all."""
        self.table.full(grant.name, monotonic())

    def forget(self) -> None:
        """Forget what is known of endpoints that are gone."""
        self.table.forget_except(self.book.known)

    async def close(self) -> None:
        """Nothing is kept open here."""
        await asyncio.sleep(0)
