# Licensed under the Apache License 2.0: see LICENSE for details.

"""The versions that a service's requests may use if no trial chooses for them."""

from __future__ import annotations

from collections.abc import Set as AbstractSet

from walnutquay.state.process.ids import ServiceName, VersionName
from walnutquay.state.store.orders import OrderState, RolloutOrder

Versions = AbstractSet[VersionName]


class SettledVersions:
    """Versions that are in use or withdrawn, by earlier orders or by running first."""

    def __init__(self) -> None:
        # Versions that orders have put in use, and versions that they have withdrawn.
        self.done: dict[ServiceName, VersionName] = {}
        self.withdrawn: dict[ServiceName, set[VersionName]] = {}
        # Versions that ran before this VM learned of any order.
        self.established: dict[ServiceName, Versions] = {}

    def begun(self, order: RolloutOrder) -> None:
        """Stop treating a version as withdrawn, as a new trial of it begins.

        :param order: the order whose trial begins.
        """
        self.withdrawn.get(order.service, set()).discard(order.version)

    def ended(self, order: RolloutOrder) -> None:
        """Record the result of an order.

        :param order: an order that has ended.
        """
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
        """Return the versions that requests may use.

        :param service: the service.
        :param running: the versions of its endpoints.
        :param first: the versions that ran when endpoints were first listed.
        :param on_trial: the version on trial; None if there is no trial.
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
        # A version without an order is not used until its order arrives.
        left = (running & known) - blocked
        return frozenset(left) if left else None

    def _established(
        self, service: ServiceName, first: Versions, blocked: Versions
    ) -> Versions:
        """Return the versions that ran before this VM learned of any order.

        They are taken from the first list of endpoints, not from the list at the first
        request: by then it may include a version whose order has not yet reached this
        VM.
        """
        known = self.established.get(service)
        if not known:
            known = self.established[service] = first - blocked
        return known
