# Licensed under the Apache License 2.0: see LICENSE for details.

"""What this VM knows from the store: configuration, endpoints, roll-out orders.

Nothing that is known is forgotten because the store is silent, and nothing goes
back to an older state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from walnutquay.coordination.context import Context
from walnutquay.coordination.following import (
    WATCH_GAP_SECONDS,
    AskPeers,
    Feed,
    Follower,
    WatchTimes,
)
from walnutquay.coordination.tasks import Tasks
from walnutquay.exceptions import HistoryGoneError, PlatformError
from walnutquay.state.catalogue import Catalogue
from walnutquay.state.events import EventKind
from walnutquay.state.feeds import Change, Changes, Listing
from walnutquay.state.ids import EndpointName, ServiceName, VersionName
from walnutquay.state.instances import Instance, InstanceBook
from walnutquay.state.orders import RolloutOrder
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# Endpoints write their entries again within some two seconds of the store's
# return; they may be used for so long, and no longer than two.
OVERDUE_SECONDS = 1.9
OVERDUE_CHECK_SECONDS = 0.1
MILLISECONDS = 1000.0
# A request that would be denied waits so long for the store to confirm that.
CONFIRM_SECONDS = 0.4
# How often it is looked whether enough is known, right after a start.
READY_POLL_SECONDS = 0.01
# What the store confirmed so short a time ago is not asked again: changes come within
# some 10 ms, and callers may use them once they are acknowledged.
FRESH_SECONDS = 0.1


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

    def take_listing(self, listing: Listing[Catalogue]) -> None:
        """:param listing: all configurations: one, or none yet."""
        for catalogue in listing.items.values():
            self.take(catalogue)

    def take_changes(self, changes: Changes[Catalogue]) -> None:
        """:param changes: newer configurations, in order."""
        for change in changes.changes:
            if change.item is not None:
                self.take(change.item)

    def take(self, catalogue: Catalogue) -> bool:
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
        self.book = InstanceBook(OVERDUE_SECONDS)
        # Whether a whole list has ever been read.
        self.listed = False
        # The versions of each service in the first list.
        self.first_versions: dict[ServiceName, set[VersionName]] = {}
        # Told of each instance that is new, leaving or gone.
        self.listeners: list[Callable[[EndpointName, Instance | None], None]] = []

    def take_listing(self, listing: Listing[Instance]) -> None:
        """:param listing: all endpoints' entries."""
        now = monotonic()
        if not self.listed:
            for instance in listing.items.values():
                versions = self.first_versions.setdefault(instance.service, set())
                versions.add(instance.version)
        self.listed = True
        for instance in listing.items.values():
            self._put(instance, now)
        for name in self.book.replace_all(listing.items.values(), now):
            self._tell_gone(name, "not listed")

    def take_changes(self, changes: Changes[Instance]) -> None:
        """:param changes: entries that have changed, in order."""
        now = monotonic()
        for change in changes.changes:
            self._take_change(change, now)

    def doubt_deletions(self, ago: float = 0.0) -> None:
        """Doubt deletions for a while: entries lapse while the store is away.

        :param ago: seconds since the store has returned.
        """
        self.book.doubt_deletions(monotonic() - ago)

    def drop_overdue(self) -> None:
        """Forget the endpoints whose entries have not come back."""
        for name in self.book.drop_overdue(monotonic()):
            self._tell_gone(name, "its entry did not come back")

    def _take_change(self, change: Change[Instance], now: float) -> None:
        if change.item is not None:
            self._put(change.item, now)
        elif self.book.remove(EndpointName(change.name), now):
            self._tell_gone(EndpointName(change.name), "its entry was deleted")

    def _put(self, instance: Instance, now: float) -> None:
        before = self.book.known.get(instance.name)
        if before is not None and not before.is_same_start(instance):
            self._tell_gone(instance.name, "it has started again")
            before = None
        self.book.put(instance, now)
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

    def take_listing(self, listing: Listing[RolloutOrder]) -> None:
        """:param listing: all orders."""
        self.listed = True
        for name in [name for name in self.orders if name not in listing.items]:
            del self.orders[name]
        for order in listing.items.values():
            self.take(order)

    def take_changes(self, changes: Changes[RolloutOrder]) -> None:
        """:param changes: orders that have changed, in order."""
        for change in changes.changes:
            if change.item is None:
                self.orders.pop(change.name, None)
            else:
                self.take(change.item)

    def take(self, order: RolloutOrder) -> None:
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


class Knowledge:
    """All that this VM follows in the store.

    :param context: what this process shares.
    :param catalogues: the operators' configuration.
    :param instances: the running endpoints.
    :param orders: the roll-out orders.
    :param ask_peers: asks the other VMs while the store does not answer.
    :param times: how long one watch of each kind waits.
    """

    def __init__(
        self,
        context: Context,
        catalogues: Feed[Catalogue],
        instances: Feed[Instance],
        orders: Feed[RolloutOrder],
        ask_peers: AskPeers,
        times: WatchTimes,
    ) -> None:
        self.context = context
        self.catalogue = CatalogueSink(context)
        self.instances = InstanceSink(context)
        self.orders = OrderSink(context)
        self.catalogue_follower = Follower(
            context,
            catalogues,
            self.catalogue,
            times.configuration,
            self._store_returned,
            ask_peers,
        )
        self.instance_follower = Follower(
            context,
            instances,
            self.instances,
            times.endpoints,
            self._entries_return,
            ask_peers,
            WATCH_GAP_SECONDS,
        )
        self.order_follower = Follower(
            context,
            orders,
            self.orders,
            times.orders,
            _nothing,
            ask_peers,
            WATCH_GAP_SECONDS,
        )
        self.tasks = Tasks()
        # When this VM last woke after it was away, and the look at the store that was
        # begun then.
        self.woke_at = float("-inf")
        self.settling: asyncio.Task | None = None
        # When the store last returned after a time of silence; monotonic seconds.
        self.returned_at = float("-inf")
        # What else must be so before callers are served.
        self.conditions: list[Callable[[], bool]] = []
        # The one confirmation that is under way, shared by all who wait for it.
        self.confirming: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to follow."""
        self.follow()
        self.context.timers.on_wake(self._woke)
        self.context.timers.every(
            "overdue endpoints", OVERDUE_CHECK_SECONDS, self.instances.drop_overdue
        )

    def follow(self) -> None:
        """Hear of changes from now on."""
        for follower in self.followers():
            self.tasks.forever(follower.feed.kind, follower.run)

    def _woke(self, seconds: float) -> None:
        """Have all that is known confirmed: it is as old as this VM was away.

        :param seconds: for how long.
        """
        self.woke_at = monotonic()
        self.context.timeline.emit(
            EventKind.WOKE,
            detail="what is known is confirmed before it is used",
            slept_ms=round(seconds * MILLISECONDS),
        )
        self.settling = self.tasks.spawn(self._confirm_all())

    async def _confirm_all(self) -> None:
        await asyncio.gather(*(self._confirm(each) for each in self.followers()))

    async def settled(self) -> None:
        """Wait until what is known is not from before this VM was away.

        Not for long, though: where the store is away too, what is known is used.
        """
        self.context.timers.look()
        if self.settling is not None and not self.settling.done():
            await asyncio.wait([self.settling], timeout=CONFIRM_SECONDS)

    def _store_returned(self) -> None:
        """Have the kinds with long waits asked anew."""
        self._entries_return()
        self.instance_follower.nudge()
        self.order_follower.nudge()

    def _entries_return(self) -> None:
        """Expect that entries which lapsed with the store come back soon."""
        self.returned_at = monotonic()
        self.instances.doubt_deletions()

    def watcher_returned(self, ago: float) -> None:
        """Take in that the store has returned to the VM that watches it for this one.

        If another watcher has answered meanwhile, only that VM was cut off: nothing
        lapsed, and a deletion that is doubted then is served up to 0.4 s longer than
        leaving endpoints may be.

        :param ago: seconds since.
        """
        if self.instance_follower.failing_since is not None:
            self.instances.doubt_deletions(ago)

    def stop(self) -> None:
        """Follow no more; what is known stays."""
        self.tasks.stop()

    def followers(self) -> tuple[Follower, ...]:
        """:returns: the followers, one for each kind."""
        return (self.catalogue_follower, self.instance_follower, self.order_follower)

    def export(self, kind: str, revision: int) -> bytes:
        """:param kind: a kind of the store's objects.

        :param revision: what a peer knows of it.
        :returns: what is known here, if it is newer; else nothing.
        """
        for follower in self.followers():
            if follower.feed.kind == kind:
                return follower.feed.export(revision)
        return b""

    @property
    def ready(self) -> bool:
        """Whether enough is known to serve callers."""
        return (
            self.catalogue.current is not None
            and self.instances.listed
            and self.orders.listed
            and all(condition() for condition in self.conditions)
        )

    async def wait_ready(self, seconds: float) -> None:
        """Wait until enough is known, but not for long.

        :param seconds: how long at the most.
        """
        end = monotonic() + seconds
        while not self.ready and monotonic() < end:  # noqa: ASYNC110
            await asyncio.sleep(READY_POLL_SECONDS)

    async def confirm(self) -> None:
        """Ask the store for the newest configuration, but do not wait for long.

        Called before a caller is told that a key or a route does not exist: the
        caller may have learnt of it before this VM has.
        """
        if self.catalogue_follower.age() < FRESH_SECONDS:
            return
        if self.confirming is None or self.confirming.done():
            self.confirming = self.tasks.spawn(self._confirm(self.catalogue_follower))
        await asyncio.wait([self.confirming], timeout=CONFIRM_SECONDS)

    async def _confirm(self, follower: Follower) -> None:
        try:
            await self._refresh(follower)
        except PlatformError as error:
            log.warn("{} could not be confirmed: {}", follower.feed.kind, error)

    async def _refresh(self, follower: Follower) -> None:
        try:
            await follower.refresh()
        except HistoryGoneError:
            await follower.relist()


def _nothing() -> None:
    """Do nothing: roll-out orders do not lapse."""
