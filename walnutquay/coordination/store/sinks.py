# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sinks, which hold the current objects and notify listeners of changes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from walnutquay.coordination.process.context import Context
from walnutquay.state.process.counts import LruTable
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    ServiceName,
    VersionName,
)
from walnutquay.state.store.catalogue import Catalogue
from walnutquay.state.store.draining import DrainingStart
from walnutquay.state.store.feeds import Change, Changes, Listing
from walnutquay.state.store.halls import EmptiedHall, EmptiedHalls
from walnutquay.state.store.instances import Instance, InstanceRegistry
from walnutquay.state.store.orders import RolloutOrder
from walnutquay.transport.timers import monotonic

MILLISECONDS = 1000.0
# The time for which endpoints without an entry stay in use after the store's return.
# Endpoints write their entries again within some two seconds of it, and must not be
# used for more than two seconds without an entry.
OVERDUE_SECONDS = 1.9
# The time after a restore of the store within which operators have written their orders
# again.
REWRITE_SECONDS = 10.0
# The most orders whose outcome is kept.
MAX_OUTCOMES = 100


class CatalogueSink:
    """The operators' configuration that is in force on this VM.

    :param context: the shared context of this process.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.current: Catalogue | None = None
        self.listeners: list[Callable[[Catalogue], None]] = []

    def apply_listing(self, listing: Listing[Catalogue]) -> None:
        """Apply a full list.

        :param listing: all configurations: one, or none yet.
        """
        for catalogue in listing.items.values():
            self.apply(catalogue)

    def apply_changes(self, changes: Changes[Catalogue]) -> None:
        """Apply changes.

        :param changes: newer configurations, in order.
        """
        for change in changes.changes:
            if change.item is not None:
                self.apply(change.item)

    def apply(self, catalogue: Catalogue) -> bool:
        """Put a configuration in force, unless it is no newer than the current one.

        :param catalogue: the configuration.
        :returns: whether it is newer than the one in force.
        """
        if self.current is not None and catalogue.version <= self.current.version:
            return False
        self.current = catalogue
        self.context.timeline.emit(
            EventKind.CONFIGURED,
            version=str(catalogue.version),
            detail=f"{len(catalogue.routes)} routes, "
            f"{len(catalogue.organisations)} organisations",
        )
        for listener in self.listeners:
            listener(catalogue)
        return True


class InstanceSink:
    """The running endpoints that this VM knows.

    :param context: the shared context of this process.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.registry = InstanceRegistry(OVERDUE_SECONDS)
        # Whether a full list has ever been read.
        self.listed = False
        # The versions of each service in the first list.
        self.first_versions: dict[ServiceName, set[VersionName]] = {}
        # Called for each instance that is new or changed, and with None for each that
        # is gone.
        self.listeners: list[Callable[[EndpointName, Instance | None], None]] = []
        # Called for each endpoint that has restarted under its name.
        self.restart_listeners: list[Callable[[EndpointName], None]] = []

    def apply_listing(self, listing: Listing[Instance]) -> None:
        """Apply a full list.

        :param listing: the entries of all endpoints.
        """
        now = monotonic()
        if not self.listed:
            for instance in listing.items.values():
                versions = self.first_versions.setdefault(instance.service, set())
                versions.add(instance.version)
        self.listed = True
        for instance in listing.items.values():
            self._put(instance, now)
        for name in self.registry.replace_all(listing.items.values(), now):
            self._notify_gone(name, "not listed")

    def apply_changes(self, changes: Changes[Instance]) -> None:
        """Apply changes.

        :param changes: the entries that have changed, in order.
        """
        now = monotonic()
        for change in changes.changes:
            self._apply_change(change, now)

    def mark_deletions_unconfirmed(self, ago: float = 0.0) -> None:
        """Treat deletions as unconfirmed for a while after the store's return.

        Entries expire while the store is unavailable.

        :param ago: the seconds since the store returned.
        """
        self.registry.mark_deletions_unconfirmed(monotonic() - ago)

    def on_restored(self) -> None:
        """Do not use endpoints that only the backup of a restored store shows."""
        self.registry.on_restored(monotonic())

    def drop_overdue(self) -> None:
        """Remove the endpoints whose entries were not written again in time."""
        for name in self.registry.drop_overdue(monotonic()):
            self._notify_gone(name, "its entry was not written again in time")

    def mark_draining(
        self,
        name: EndpointName,
        start: DrainingStart,
        source: str,
        status: int | None = None,
    ) -> bool:
        """Apply an endpoint's own announcement that it is draining.

        The store may say so only later, or never.

        :param name: the endpoint.
        :param start: the start that has announced it.
        :param source: where this VM learnt it, for the log.
        :param status: the status of the answer that said so, if it was an answer.
        :returns: whether an endpoint that could be sent requests is leaving now.
        """
        if not self.registry.mark_draining(name, start):
            return False
        instance = self.registry.known[name]
        self.context.timeline.emit(
            EventKind.ENDPOINT_LEAVING,
            endpoint=name,
            version=instance.version,
            detail=f"{instance.service} in {instance.hall} is leaving: {source}",
            status=status,
            age_ms=round((monotonic() - start.since) * MILLISECONDS),
        )
        for listener in self.listeners:
            listener(name, instance)
        return True

    def _apply_change(self, change: Change[Instance], now: float) -> None:
        if change.item is not None:
            self._put(change.item, now)
        elif self.registry.remove(EndpointName(change.name), now):
            self._notify_gone(EndpointName(change.name), "its entry was deleted")

    def _put(self, instance: Instance, now: float) -> None:
        before = self.registry.known.get(instance.name)
        if before is not None and not before.is_same_start(instance):
            self._notify_gone(instance.name, "it has restarted")
            for listener in self.restart_listeners:
                listener(instance.name)
            before = None
        self.registry.put(instance, now)
        if before == instance:
            return
        if before is None or instance.leaving != before.leaving:
            state = "leaving" if instance.leaving else "ready"
            self.context.timeline.emit(
                EventKind.ENDPOINT_LEAVING
                if instance.leaving
                else EventKind.ENDPOINT_LISTED,
                endpoint=instance.name,
                version=instance.version,
                detail=f"{instance.service} in {instance.hall} is {state}",
            )
        for listener in self.listeners:
            listener(instance.name, instance)

    def _notify_gone(self, name: EndpointName, reason: str) -> None:
        self.context.timeline.emit(
            EventKind.ENDPOINT_GONE, endpoint=name, detail=reason
        )
        for listener in self.listeners:
            listener(name, None)


class OrderSink:
    """The operators' roll-out orders.

    :param context: the shared context of this process.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.orders: dict[str, RolloutOrder] = {}
        # The last outcome of each order, which a restored store may have lost.
        self.outcomes: LruTable[str, RolloutOrder | None] = LruTable(
            MAX_OUTCOMES, lambda: None
        )
        self.rewritten_until = float("-inf")
        # The orders whose outcome the store has lost.
        self.unanswered: dict[str, RolloutOrder] = {}
        self.listed = False
        self.listeners: list[Callable[[RolloutOrder], None]] = []

    def apply_listing(self, listing: Listing[RolloutOrder]) -> None:
        """Apply a full list.

        :param listing: all orders.
        """
        self.listed = True
        for name in [name for name in self.orders if name not in listing.items]:
            self._remove(name)
        for order in listing.items.values():
            self.apply(order)

    def apply_changes(self, changes: Changes[RolloutOrder]) -> None:
        """Apply changes.

        :param changes: the orders that have changed, in order.
        """
        for change in changes.changes:
            if change.item is None:
                self._remove(change.name)
            else:
                self.apply(change.item)

    def expect_rewritten(self) -> None:
        """Expect operators to write their orders again, as the store was restored."""
        self.rewritten_until = monotonic() + REWRITE_SECONDS

    def _remove(self, name: str) -> None:
        self.orders.pop(name, None)
        self.unanswered.pop(name, None)

    def _with_outcome(self, order: RolloutOrder) -> RolloutOrder:
        """Return an order with the outcome that a restored store has lost.

        :param order: the order as the store has it.
        """
        self.unanswered.pop(order.name, None)
        outcome = self.outcomes.get(order.name)
        if order.state.ended:
            self.outcomes.set(order.name, order)
            return order
        if outcome is None or not outcome.is_same_order(order):
            return order
        if monotonic() >= self.rewritten_until:
            return order
        ended = replace(order, state=outcome.state, started=outcome.started)
        self.unanswered[order.name] = ended
        return ended

    def apply(self, order: RolloutOrder) -> None:
        """Apply an order, unless it is no newer than the known state of that order.

        :param order: the order.
        """
        known = self.orders.get(order.name)
        if known is not None and order.revision <= known.revision:
            return
        order = self._with_outcome(order)
        self.orders[order.name] = order
        self.context.timeline.emit(
            EventKind.ORDERED,
            version=order.version,
            detail=f"{order.service}: {order.state.value}, revision {order.revision}",
        )
        for listener in self.listeners:
            listener(order)


class HallSink:
    """The orders that empty data halls.

    :param context: the shared context of this process.
    :param emptied: stores the orders.
    """

    def __init__(self, context: Context, emptied: EmptiedHalls) -> None:
        self.context = context
        self.emptied = emptied
        self.listed = False
        # The orders that were missing after a restore of the store, and the time until
        # which such orders stay in force; monotonic seconds.
        self.overdue: set[HallName] = set()
        self.kept_until = float("-inf")
        # Called for each data hall whose endpoints may be sent requests again.
        self.back_listeners: list[Callable[[HallName], None]] = []

    def apply_listing(self, listing: Listing[EmptiedHall]) -> None:
        """Apply a full list.

        :param listing: all orders.
        """
        self.listed = True
        for hall in self.emptied.missing(listing.items):
            self._remove(hall)
        for order in listing.items.values():
            self._put(order)

    def apply_changes(self, changes: Changes[EmptiedHall]) -> None:
        """Apply changes.

        :param changes: the orders that have changed, in order.
        """
        for change in changes.changes:
            if change.item is None:
                self._remove(HallName(change.name))
            else:
                self._put(change.item)

    def keep_orders(self) -> None:
        """Keep orders that are missing for a while, as the store was restored.

        It may have lost them, and operators write them again.
        """
        self.kept_until = monotonic() + REWRITE_SECONDS

    def drop_overdue(self) -> None:
        """Withdraw the orders that were not written again in time."""
        if not self.overdue or monotonic() < self.kept_until:
            return
        overdue, self.overdue = self.overdue, set()
        for hall in sorted(overdue):
            self._restore(hall)

    def _remove(self, hall: HallName) -> None:
        if hall in self.emptied and monotonic() < self.kept_until:
            self.overdue.add(hall)
        else:
            self._restore(hall)

    def _put(self, order: EmptiedHall) -> None:
        self.overdue.discard(order.hall)
        if self.emptied.put(order):
            self.context.timeline.emit(
                EventKind.HALL_EMPTIED,
                detail="its endpoints are sent no new requests",
                hall=order.hall,
                revision=order.revision.number,
            )

    def _restore(self, hall: HallName) -> None:
        if not self.emptied.restore(hall):
            return
        self.context.timeline.emit(
            EventKind.HALL_BACK,
            detail="its endpoints may be sent requests again",
            hall=hall,
        )
        for listener in self.back_listeners:
            listener(hall)
