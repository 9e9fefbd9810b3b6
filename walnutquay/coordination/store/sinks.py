# Licensed under the Apache License 2.0: see LICENSE for details.

"""What this VM believes of each kind of the store's objects, as changes come in."""

from __future__ import annotations

from collections.abc import Callable

from walnutquay.coordination.process.context import Context
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    ServiceName,
    VersionName,
)
from walnutquay.state.store.catalogue import Catalogue
from walnutquay.state.store.feeds import Change, Changes, Listing
from walnutquay.state.store.halls import EmptiedHall, EmptiedHalls
from walnutquay.state.store.instances import Instance, InstanceRegistry
from walnutquay.state.store.orders import RolloutOrder
from walnutquay.transport.timers import monotonic

# Endpoints write their entries again within some two seconds of the store's
# return; they may be used for so long, and no longer than two.
OVERDUE_SECONDS = 1.9


class CatalogueSink:
    """Takes in the operators' configuration.

    :param context: what this process shares.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.current: Catalogue | None = None
        # When the version in force came into force here; monotonic seconds.
        self.taken_at = 0.0
        self.listeners: list[Callable[[Catalogue], None]] = []

    def apply_listing(self, listing: Listing[Catalogue]) -> None:
        """:param listing: all configurations: one, or none yet."""
        for catalogue in listing.items.values():
            self.apply(catalogue)

    def apply_changes(self, changes: Changes[Catalogue]) -> None:
        """:param changes: newer configurations, in order."""
        for change in changes.changes:
            if change.item is not None:
                self.apply(change.item)

    def apply(self, catalogue: Catalogue) -> bool:
        """Put a configuration in force, unless it is an older one.

        :param catalogue: the configuration.
        :returns: whether it is newer than the one in force.
        """
        if self.current is not None and catalogue.version <= self.current.version:
            return False
        self.current = catalogue
        self.taken_at = monotonic()
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
    """Takes in the running endpoints.

    :param context: what this process shares.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.registry = InstanceRegistry(OVERDUE_SECONDS)
        # Whether a whole list has ever been read.
        self.listed = False
        # The versions of each service in the first list.
        self.first_versions: dict[ServiceName, set[VersionName]] = {}
        # Told of each instance that is new, leaving or gone.
        self.listeners: list[Callable[[EndpointName, Instance | None], None]] = []
        # Told of each endpoint that has started again under its name.
        self.restart_listeners: list[Callable[[EndpointName], None]] = []

    def apply_listing(self, listing: Listing[Instance]) -> None:
        """:param listing: all endpoints' entries."""
        now = monotonic()
        if not self.listed:
            for instance in listing.items.values():
                versions = self.first_versions.setdefault(instance.service, set())
                versions.add(instance.version)
        self.listed = True
        for instance in listing.items.values():
            self._put(instance, now)
        for name in self.registry.replace_all(listing.items.values(), now):
            self._tell_gone(name, "not listed")

    def apply_changes(self, changes: Changes[Instance]) -> None:
        """:param changes: entries that have changed, in order."""
        now = monotonic()
        for change in changes.changes:
            self._take_change(change, now)

    def doubt_deletions(self, ago: float = 0.0) -> None:
        """Doubt deletions for a while: entries lapse while the store is away.

        :param ago: seconds since the store has returned.
        """
        self.registry.doubt_deletions(monotonic() - ago)

    def drop_overdue(self) -> None:
        """Forget the endpoints whose entries have not come back."""
        for name in self.registry.drop_overdue(monotonic()):
            self._tell_gone(name, "its entry did not come back")

    def _take_change(self, change: Change[Instance], now: float) -> None:
        if change.item is not None:
            self._put(change.item, now)
        elif self.registry.remove(EndpointName(change.name), now):
            self._tell_gone(EndpointName(change.name), "its entry was deleted")

    def _put(self, instance: Instance, now: float) -> None:
        before = self.registry.known.get(instance.name)
        if before is not None and not before.is_same_start(instance):
            self._tell_gone(instance.name, "it has started again")
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

    def _tell_gone(self, name: EndpointName, reason: str) -> None:
        self.context.timeline.emit(
            EventKind.ENDPOINT_GONE, endpoint=name, detail=reason
        )
        for listener in self.listeners:
            listener(name, None)


class OrderSink:
    """Takes in the operators' roll-out orders.

    :param context: what this process shares.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.orders: dict[str, RolloutOrder] = {}
        self.listed = False
        self.listeners: list[Callable[[RolloutOrder], None]] = []

    def apply_listing(self, listing: Listing[RolloutOrder]) -> None:
        """:param listing: all orders."""
        self.listed = True
        for name in [name for name in self.orders if name not in listing.items]:
            del self.orders[name]
        for order in listing.items.values():
            self.apply(order)

    def apply_changes(self, changes: Changes[RolloutOrder]) -> None:
        """:param changes: orders that have changed, in order."""
        for change in changes.changes:
            if change.item is None:
                self.orders.pop(change.name, None)
            else:
                self.apply(change.item)

    def apply(self, order: RolloutOrder) -> None:
        """Take in an order, unless it is an older state of one that is known.

        :param order: the order.
        """
        known = self.orders.get(order.name)
        if known is not None and order.revision <= known.revision:
            return
        self.orders[order.name] = order
        self.context.timeline.emit(
            EventKind.ORDERED,
            version=order.version,
            detail=f"{order.service}: {order.state.value}, revision {order.revision}",
        )
        for listener in self.listeners:
            listener(order)


class HallSink:
    """Takes in which data halls are emptied.

    :param context: what this process shares.
    :param emptied: where that is kept.
    """

    def __init__(self, context: Context, emptied: EmptiedHalls) -> None:
        self.context = context
        self.emptied = emptied
        self.listed = False
        # Told of each data hall whose endpoints may be sent requests again.
        self.back_listeners: list[Callable[[HallName], None]] = []

    def apply_listing(self, listing: Listing[EmptiedHall]) -> None:
        """:param listing: all orders."""
        self.listed = True
        for hall in self.emptied.missing(listing.items):
            self._take_back(hall)
        for order in listing.items.values():
            self._put(order)

    def apply_changes(self, changes: Changes[EmptiedHall]) -> None:
        """:param changes: orders that have changed, in order."""
        for change in changes.changes:
            if change.item is None:
                self._take_back(HallName(change.name))
            else:
                self._put(change.item)

    def _put(self, order: EmptiedHall) -> None:
        if self.emptied.put(order):
            self.context.timeline.emit(
                EventKind.HALL_EMPTIED,
                detail="its endpoints get nothing more",
                hall=order.hall,
                revision=order.revision,
            )

    def _take_back(self, hall: HallName) -> None:
        if not self.emptied.take_back(hall):
            return
        self.context.timeline.emit(
            EventKind.HALL_BACK,
            detail="its endpoints may be sent requests again",
            hall=hall,
        )
        for listener in self.back_listeners:
            listener(hall)
