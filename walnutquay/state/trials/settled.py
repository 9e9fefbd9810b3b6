# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which versions of a service requests may use that no trial has chosen for."""

from __future__ import annotations

from collections.abc import Set as AbstractSet

from walnutquay.state.process.ids import ServiceName, VersionName
from walnutquay.state.store.orders import OrderState, RolloutOrder

Versions = AbstractSet[VersionName]


class SettledVersions:
    """The versions that are settled: by orders that have ended, or by running first."""

    def __init__(self) -> None:
        # Versions that orders have made the ones to use, or have taken back.
        self.done: dict[ServiceName, VersionName] = {}
        self.withdrawn: dict[ServiceName, set[VersionName]] = {}
        # Versions that ran before any order was known.
        self.established: dict[ServiceName, Versions] = {}

    def begun(self, order: RolloutOrder) -> None:
        """:param order: an order whose trial begins, maybe of a version taken back."""
        self.withdrawn.get(order.service, set()).discard(order.version)

    def ended(self, order: RolloutOrder) -> None:
        """:param order: an order that has ended."""
        if order.state is OrderState.DONE:
            self.done[order.service] = order.version
            self.withdrawn.pop(order.service, None)
        else:
            self.withdrawn.setdefault(order.service, set()).add(order.version)

    def allowed(
        self,
        service: ServiceName,
        running: Versions,
        first: Versions,
        on_trial: VersionName | None,
    ) -> frozenset[VersionName] | None:
        """:param service: a service.

        :param running: the versions of its endpoints.
        :param first: those that ran when endpoints were first listed.
        :param on_trial: the version that is on trial; None where none is.
        :returns: the versions that may be used; None for all.
        """
        blocked = set(self.withdrawn.get(service, ()))
        if on_trial is not None:
            blocked.add(on_trial)
        known = self._established(service, first, blocked)
        if len(running) < 2:
            return None
        done = self.done.get(service)
        if done in running:
            return frozenset((done,))
        # A version that nobody has ordered waits for its order.
        left = (running & known) - blocked
        return frozenset(left) if left else None

    def _established(
        self, service: ServiceName, first: Versions, blocked: Versions
    ) -> Versions:
        """Give the versions that ran before this VM knew of any order.

        Those of the first list, not of the first request: meanwhile endpoints of a
        version may have been listed whose order is not known here yet.
        """
        known = self.established.get(service)
        if not known:
            known = self.established[service] = first - blocked
        return known
