# Licensed under the Apache License 2.0: see LICENSE for details.

"""A VM's copy of the store's objects: configuration, endpoints and orders.

Objects are kept while the store does not answer, and are never replaced by an older
state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.coordination.store.following import (
    WATCH_GAP_SECONDS,
    Feed,
    Follower,
    QueryPeers,
    WatchTimes,
)
from walnutquay.coordination.store.sinks import (
    CatalogueSink,
    HallSink,
    InstanceSink,
    OrderSink,
)
from walnutquay.exceptions import HistoryGoneError, MessageError, PlatformError
from walnutquay.protocol.messages import AskKnown, Envelope, KnownIs, KnownList
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.revisions import NOTHING_STORED, Era, EraTracker
from walnutquay.state.store.catalogue import Catalogue
from walnutquay.state.store.halls import EmptiedHall
from walnutquay.state.store.instances import Instance
from walnutquay.state.store.orders import RolloutOrder
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

OVERDUE_CHECK_SECONDS = 0.1
MILLISECONDS = 1000.0
# The time for which a request that would be denied waits for the store to confirm that.
CONFIRM_SECONDS = 0.4
# The first pause before the configuration is compared again, if no other VM has told
# its own, and the longest one.
LATER_COMPARE_SECONDS = 0.5
MAX_COMPARE_PAUSE = 30.0
# The interval at which readiness is checked after a start.
READY_POLL_SECONDS = 0.01
# The longest time for which a VM that starts waits for another VM's configuration.
COMPARE_SECONDS = 0.3
# State that the store confirmed this recently is not queried again.  Changes arrive
# within some 10 ms, and callers may use them once they are acknowledged.
FRESH_SECONDS = 0.1


class Knowledge:
    """The objects that this VM follows in the store.

    :param context: the shared context of this process.
    :param catalogues: the feed of the operators' configuration.
    :param instances: the feed of the running endpoints.
    :param orders: the feed of the roll-out orders.
    :param halls: the feed of the orders that empty data halls.
    :param query_peers: queries the other VMs while the store does not answer.
    :param times: the time for which one watch of each kind waits.
    :param eras: the store's era.
    :param compares: whether this VM reads its first configuration from the store while
        others may know a newer one, which a restored store has lost.
    :param others_run: whether other VMs may have been running before this one.
    """

    def __init__(
        self,
        context: Context,
        catalogues: Feed[Catalogue],
        instances: Feed[Instance],
        orders: Feed[RolloutOrder],
        halls: Feed[EmptiedHall],
        query_peers: QueryPeers,
        times: WatchTimes,
        eras: EraTracker,
        compares: bool = False,
        others_run: bool = False,
    ) -> None:
        self.context = context
        self.query_peers = query_peers
        # Whether another VM's configuration still has to be compared.
        self.compares = compares
        self.others_run = others_run
        self.eras = eras
        eras.restore_listeners.append(self._on_restored)
        self.catalogue = CatalogueSink(context)
        self.instances = InstanceSink(context)
        self.orders = OrderSink(context)
        self.halls = HallSink(context, self.instances.registry.emptied)
        self.catalogue_follower = Follower(
            context,
            catalogues,
            self.catalogue,
            times.configuration,
            self._on_store_returned,
            query_peers,
        )
        self.instance_follower = Follower(
            context,
            instances,
            self.instances,
            times.endpoints,
            self._expect_lapsed_entries,
            query_peers,
            WATCH_GAP_SECONDS,
        )
        self.order_follower = Follower(
            context,
            orders,
            self.orders,
            times.orders,
            _do_nothing,
            query_peers,
            WATCH_GAP_SECONDS,
        )
        self.hall_follower = Follower(
            context,
            halls,
            self.halls,
            times.halls,
            _do_nothing,
            query_peers,
            WATCH_GAP_SECONDS,
        )
        self.tasks = Tasks()
        # When this VM last resumed after it was suspended, and the task that confirms
        # its state with the store since then.
        self.woke_at = float("-inf")
        self.wake_confirmation: asyncio.Task | None = None
        # When the store last became available again; monotonic seconds.
        self.returned_at = float("-inf")
        # Further conditions that must be true before callers are served.
        self.conditions: list[Callable[[], bool]] = []
        # The confirmation in progress, shared by all requests that wait for it.
        self.confirmation: asyncio.Task | None = None

    def start(self) -> None:
        """Start to follow the store and to check for overdue endpoints."""
        self.follow()
        if self.compares:
            self.tasks.spawn(self._compare_with_peers())
        if self.others_run:
            self.tasks.spawn(self._compare_until_told())
        self.context.timers.on_wake(self._on_wake)
        self.context.timers.every(
            "overdue endpoints", OVERDUE_CHECK_SECONDS, self.instances.drop_overdue
        )
        self.context.timers.every(
            "overdue halls", OVERDUE_CHECK_SECONDS, self.halls.drop_overdue
        )

    def follow(self) -> None:
        """Start to follow each kind."""
        for follower in self.followers():
            self.tasks.spawn_loop(follower.feed.kind, follower.run)

    async def _compare_with_peers(self) -> None:
        """Apply another VM's configuration, if it is newer than the store's."""
        try:
            async with asyncio.timeout(COMPARE_SECONDS):
                await self._compare()
        except TimeoutError:
            log.info("no other VM told its configuration in time")
        finally:
            self.compares = False

    async def _compare(self) -> bool:
        """Apply another VM's configuration, if it is newer than the store's.

        :returns: whether another VM has told it.
        """
        feed = self.catalogue_follower.feed
        data = await self.query_peers(feed.kind, NOTHING_STORED)
        if not data:
            return False
        try:
            self.catalogue.apply_listing(feed.read_export(data))
        except MessageError as error:
            log.warn("ignored a list from a peer that cannot be read: {}", error)
            return False
        return True

    async def _compare_until_told(self) -> None:
        """Compare again where no other VM has answered at the start.

        A restored store would never tell of the configuration that it has lost.
        """
        pause = LATER_COMPARE_SECONDS
        await asyncio.sleep(pause)
        while not (self.catalogue_follower.feed.was_told or await self._compare()):
            await asyncio.sleep(pause)
            pause = min(2.0 * pause, MAX_COMPARE_PAUSE)

    def _on_wake(self, seconds: float) -> None:
        """Confirm all state, which has not been updated while this VM was suspended.

        :param seconds: the time for which it was suspended.
        """
        self.woke_at = monotonic()
        self.context.timeline.emit(
            EventKind.WOKE,
            detail="confirming all state with the store before it is used",
            slept_ms=round(seconds * MILLISECONDS),
        )
        self.wake_confirmation = self.tasks.spawn(self._confirm_all())

    async def _confirm_all(self) -> None:
        await asyncio.gather(
            *(self._confirm(follower) for follower in self.followers())
        )

    async def wait_confirmed(self) -> None:
        """Wait until the state from before a suspension of this VM is confirmed.

        The wait is limited: if the store is unavailable too, the state is used
        unconfirmed.
        """
        self.context.timers.look()
        if self.wake_confirmation is not None and not self.wake_confirmation.done():
            await asyncio.wait([self.wake_confirmation], timeout=CONFIRM_SECONDS)

    def _on_store_returned(self) -> None:
        """Query the kinds with long waits again, as the store is available again."""
        self._expect_lapsed_entries()
        self.instance_follower.query_now()
        self.order_follower.query_now()
        self.hall_follower.query_now()

    def _expect_lapsed_entries(self) -> None:
        """Expect entries that expired during the store's outage to return soon."""
        self.returned_at = monotonic()
        self.instances.mark_deletions_unconfirmed()

    def store_returned_to_watcher(self, ago: float) -> None:
        """Handle the store's return to the VM that watches it on behalf of this one.

        If another watcher has answered meanwhile, only that VM was cut off and no entry
        has expired.  Treating deletions as unconfirmed would then cause deleted
        endpoints to be served up to 0.4 s longer than leaving endpoints may be.

        :param ago: the seconds since the store returned.
        """
        if self.instance_follower.failing_since is not None:
            self.instances.mark_deletions_unconfirmed(ago)

    def _on_restored(self, era: Era) -> None:
        """Confirm all state with the store, which was restored from a backup.

        Objects that were written since the backup are written again soon: none is
        treated as gone until then.
        """
        known = (f"{f.feed.kind} {f.revision}" for f in self.followers())
        self.context.timeline.emit(
            EventKind.STORE_RESTORED,
            detail=f"known before: {', '.join(known)}",
            era=era,
        )
        self._expect_lapsed_entries()
        self.instances.on_restored()
        self.halls.keep_orders()
        self.orders.expect_rewritten()
        for follower in self.followers():
            follower.on_restored()

    def stop(self) -> None:
        """Stop following; the state is kept."""
        self.tasks.stop()

    def followers(self) -> tuple[Follower, ...]:
        """Return the followers, one for each kind."""
        return (
            self.catalogue_follower,
            self.instance_follower,
            self.order_follower,
            self.hall_follower,
        )

    def answer(self, envelope: Envelope) -> KnownIs:
        """Answer another VM's query for the list of one kind of the store's objects.

        :param envelope: the query.
        """
        query = envelope.body
        assert isinstance(query, AskKnown)
        self.eras.observe(query.revision.era)
        for follower in self.followers():
            if follower.feed.kind == query.kind:
                return KnownIs(follower.feed.export(query.revision))
        return KnownIs(b"")

    def export_lists(self) -> tuple[KnownList, ...]:
        """Export the lists of all kinds, for a VM that starts.

        :returns: the lists; an empty tuple until there is a list of every kind.
        """
        lists = tuple(
            KnownList(follower.feed.kind, follower.feed.export(NOTHING_STORED))
            for follower in self.followers()
        )
        return lists if all(exported.data for exported in lists) else ()

    @property
    def ready(self) -> bool:
        """Whether this VM has enough state to serve callers."""
        return (
            self.catalogue.current is not None
            and not self.compares
            and self.instances.listed
            and self.orders.listed
            and self.halls.listed
            and all(condition() for condition in self.conditions)
        )

    async def wait_ready(self, seconds: float) -> None:
        """Wait until this VM has enough state to serve callers, or time is up.

        :param seconds: the longest time to wait.
        """
        deadline = monotonic() + seconds
        while not self.ready and monotonic() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(READY_POLL_SECONDS)

    async def confirm(self) -> None:
        """Query the store for the newest configuration, with a short time limit.

        Called before a caller is answered that a key or a route does not exist, as the
        caller may have learnt of it before this VM has.
        """
        if self.catalogue_follower.age() < FRESH_SECONDS:
            return
        if self.confirmation is None or self.confirmation.done():
            self.confirmation = self.tasks.spawn(self._confirm(self.catalogue_follower))
        await asyncio.wait([self.confirmation], timeout=CONFIRM_SECONDS)

    async def _confirm(self, follower: Follower) -> None:
        try:
            await self._refresh(follower)
        except PlatformError as error:
            log.warn("cannot confirm {} with the store: {}", follower.feed.kind, error)

    async def _refresh(self, follower: Follower) -> None:
        try:
            await follower.refresh()
        except HistoryGoneError:
            await follower.relist()


def _do_nothing() -> None:
    """Do nothing: operators' orders do not expire while the store is unavailable."""
