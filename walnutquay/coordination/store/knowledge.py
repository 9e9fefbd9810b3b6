# Licensed under the Apache License 2.0: see LICENSE for details.

"""What this VM knows from the store: configuration, endpoints, roll-out orders.

Nothing that is known is forgotten because the store is silent, and nothing goes
back to an older state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.coordination.store.following import (
    WATCH_GAP_SECONDS,
    AskPeers,
    Feed,
    Follower,
    WatchTimes,
)
from walnutquay.coordination.store.sinks import (
    CatalogueSink,
    HallSink,
    InstanceSink,
    OrderSink,
)
from walnutquay.exceptions import HistoryGoneError, PlatformError
from walnutquay.protocol.messages import AskKnown, Envelope, KnownIs, KnownList
from walnutquay.state.process.events import EventKind
from walnutquay.state.store.catalogue import Catalogue
from walnutquay.state.store.halls import EmptiedHall
from walnutquay.state.store.instances import Instance
from walnutquay.state.store.orders import RolloutOrder
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

OVERDUE_CHECK_SECONDS = 0.1
MILLISECONDS = 1000.0
# A request that would be denied waits so long for the store to confirm that.
CONFIRM_SECONDS = 0.4
# How often it is looked whether enough is known, right after a start.
READY_POLL_SECONDS = 0.01
# What the store confirmed so short a time ago is not asked again: changes come within
# some 10 ms, and callers may use them once they are acknowledged.
FRESH_SECONDS = 0.1


class Knowledge:
    """All that this VM follows in the store.

    :param context: what this process shares.
    :param catalogues: the operators' configuration.
    :param instances: the running endpoints.
    :param orders: the roll-out orders.
    :param halls: the data halls that are emptied.
    :param ask_peers: asks the other VMs while the store does not answer.
    :param times: how long one watch of each kind waits.
    """

    def __init__(
        self,
        context: Context,
        catalogues: Feed[Catalogue],
        instances: Feed[Instance],
        orders: Feed[RolloutOrder],
        halls: Feed[EmptiedHall],
        ask_peers: AskPeers,
        times: WatchTimes,
    ) -> None:
        self.context = context
        self.catalogue = CatalogueSink(context)
        self.instances = InstanceSink(context)
        self.orders = OrderSink(context)
        self.halls = HallSink(context, self.instances.book.emptied)
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
        self.hall_follower = Follower(
            context,
            halls,
            self.halls,
            times.halls,
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
            self.tasks.spawn_loop(follower.feed.kind, follower.run)

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
        self.hall_follower.nudge()

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
        return (
            self.catalogue_follower,
            self.instance_follower,
            self.order_follower,
            self.hall_follower,
        )

    def answer(self, envelope: Envelope) -> KnownIs:
        """Tell another VM what is known of one kind of the store's objects.

        :param envelope: its question.
        """
        question = envelope.body
        assert isinstance(question, AskKnown)
        for follower in self.followers():
            if follower.feed.kind == question.kind:
                return KnownIs(follower.feed.export(question.revision))
        return KnownIs(b"")

    def lists(self) -> tuple[KnownList, ...]:
        """:returns: all that is known, for a VM that starts; nothing until all is."""
        lists = tuple(
            KnownList(follower.feed.kind, follower.feed.export(0))
            for follower in self.followers()
        )
        return lists if all(known.data for known in lists) else ()

    @property
    def ready(self) -> bool:
        """Whether enough is known to serve callers."""
        return (
            self.catalogue.current is not None
            and self.instances.listed
            and self.orders.listed
            and self.halls.listed
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
    """Do nothing: operators' orders do not lapse."""
