# Licensed under the Apache License 2.0: see LICENSE for details.

"""Followers, each of which lists one kind of the store's objects, then watches it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

import logbook

from walnutquay.coordination.process.context import Context
from walnutquay.exceptions import (
    EarlierEraError,
    HistoryGoneError,
    MessageError,
    PlatformError,
)
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.revisions import NOTHING_STORED, StoreRevision
from walnutquay.state.store.feeds import Changes, Listing
from walnutquay.transport.timers import monotonic

# A watch of the configuration ends this long before a change must be in force, so that
# an overdue answer is noticed while there is still time to query another VM.
OVERDUE_ANSWER_SECONDS = 0.5
# The length of a watch of endpoints' entries, as a share of the time for which a
# leaving endpoint must still be served.  A connection may stall permanently, and all
# VMs that receive changes from this one must be informed of the stall within that time.
ENTRY_WATCH_SHARE = 0.5
# Orders are watched with long waits because each call has a price.  They are queried
# again when the follower of another kind finds that the store was unavailable.
ORDER_WATCH_SECONDS = 4.0
# While the store does not answer, calls wait at most this long for changes.
PROBE_SECONDS = 0.3
# The minimum time between the starts of two watches of endpoints' entries or of orders.
# Without it, each call would return a single entry while a fleet starts.  It is a tenth
# of the time for which a leaving endpoint must still be served.
WATCH_GAP_SECONDS = 0.2
# The pause after a failed call.  It is short enough to use the store soon after it is
# available again, and long enough that some ten VMs make few calls meanwhile.
RETRY_SECONDS = 0.25

log = logbook.Logger(__name__)


@dataclass(frozen=True, slots=True)
class WatchTimes:
    """The time for which one watch of each kind waits for a change, in seconds.

    Long waits reduce the number of calls, but a lost answer or a stalled connection is
    noticed only when an answer is overdue.

    :param configuration: for the operators' configuration.
    :param endpoints: for the endpoints' entries.
    :param orders: for roll-out orders.
    :param halls: for orders that empty data halls.
    """

    configuration: float
    endpoints: float
    orders: float
    halls: float


def watch_times(
    config_seconds: float, drain_seconds: float, empty_seconds: float
) -> WatchTimes:
    """Compute the times for which watches wait.

    :param config_seconds: the time within which a configuration must be in force on all
        VMs.
    :param drain_seconds: the time for which a leaving endpoint must still be served.
    :param empty_seconds: the time for which an emptied data hall must still be served.
    """
    return WatchTimes(
        max(PROBE_SECONDS, config_seconds - OVERDUE_ANSWER_SECONDS),
        ENTRY_WATCH_SHARE * drain_seconds,
        ORDER_WATCH_SECONDS,
        max(PROBE_SECONDS, empty_seconds - OVERDUE_ANSWER_SECONDS),
    )


Item = TypeVar("Item")
# Queries peers for a list of a kind that is newer than a revision; returns empty bytes
# if no peer has one.
QueryPeers = Callable[[str, StoreRevision], Awaitable[bytes]]


class Feed(Protocol[Item]):
    """Lists and watches one kind of object."""

    kind: str
    # Whether the last answer came from the store itself rather than from another VM.
    watching: bool
    # Whether the first list came from another VM.
    was_told: bool

    @property
    def unreadable(self) -> Mapping[str, StoreRevision]:
        """The revisions of objects that cannot be read, by name."""

    async def list(self) -> Listing[Item]:
        """Return all objects."""

    async def watch(self, revision: StoreRevision, seconds: float) -> Changes[Item]:
        """Wait for changes.

        :param revision: the revision after which changes are returned.
        :param seconds: the longest time to wait.
        """

    def export(self, revision: StoreRevision) -> bytes:
        """Export the list for a peer.

        :param revision: the revision that the peer has.
        :returns: the list, if it is newer; otherwise empty bytes.
        """

    def read_export(self, data: bytes) -> Listing[Item]:
        """Read a list that a peer exported.

        :param data: the exported list.
        """


class Sink(Protocol[Item]):
    """A receiver of the objects that a follower reads."""

    def apply_listing(self, listing: Listing[Item]) -> None:
        """Apply a full list.

        :param listing: all objects.
        """

    def apply_changes(self, changes: Changes[Item]) -> None:
        """Apply changes.

        :param changes: the changes since the last revision that was applied.
        """


class Follower(Generic[Item]):
    """Keeps a sink up to date with one kind of object.

    Run :meth:`run` as a task.

    :param context: the shared context of this process.
    :param feed: lists and watches the kind.
    :param sink: receives the objects.
    :param seconds: the time for which one watch waits for a change.
    :param on_return: called when the store itself answers again after failures.
    :param query_peers: queries the other VMs for a newer list of a kind.
    :param gap: the minimum time between the starts of two watches, in seconds.
    """

    def __init__(
        self,
        context: Context,
        feed: Feed[Item],
        sink: Sink[Item],
        seconds: float,
        on_return: Callable[[], None],
        query_peers: QueryPeers,
        gap: float = 0.0,
    ) -> None:
        self.context = context
        self.feed = feed
        self.sink = sink
        self.seconds = seconds
        self.on_return = on_return
        self.query_peers = query_peers
        self.gap = gap
        self.queried_at = float("-inf")
        # The step in progress, and whether it was cancelled to start another at once.
        self.running: asyncio.Task[None] | None = None
        self.query_requested = False
        # The store's revision up to which the sink is current; None before the first
        # list, and after the store has discarded the history since.
        self.revision: StoreRevision | None = None
        # When the store last answered, and when it began to fail; monotonic seconds.
        self.confirmed_at = float("-inf")
        self.failing_since: float | None = None
        # Whether the last watch failed: a store may answer reads, and watches never.
        self.doubts_watches = False
        # The revision of the last change, for VMs that wait here for changes.
        self.changed_revision = NOTHING_STORED
        # Set and replaced whenever an object changes or the store's availability does.
        self.state_changed = asyncio.Event()

    def age(self) -> float:
        """Return the seconds since the store last confirmed the state held here."""
        return monotonic() - self.confirmed_at

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            self.query_requested = False
            self.running = asyncio.ensure_future(self.step())
            try:
                await self.running
            except asyncio.CancelledError:
                if not self.query_requested:
                    self.running.cancel()
                    raise
            except HistoryGoneError:
                self.revision = None
            except EarlierEraError as error:
                log.debug("ignored an answer of the store: {}", error)
                await asyncio.sleep(RETRY_SECONDS)
            except PlatformError as error:
                self._record_failure(error)
                await asyncio.gather(
                    self._apply_peer_listing(), asyncio.sleep(RETRY_SECONDS)
                )

    async def _apply_peer_listing(self) -> None:
        """Apply the list of a peer that the store still serves."""
        data = await self.query_peers(self.feed.kind, self.revision or NOTHING_STORED)
        if not data:
            return
        try:
            listing = self.feed.read_export(data)
        except MessageError as error:
            log.warn("ignored a list from a peer that cannot be read: {}", error)
            return
        if self.revision is not None and listing.revision <= self.revision:
            return
        self.context.metrics.count(f"relayed_{self.feed.kind}")
        self.context.timeline.emit(
            EventKind.RELAYED,
            detail=f"{self.feed.kind}: revision {self.revision} to {listing.revision}",
        )
        self.sink.apply_listing(listing)
        self.revision = listing.revision

    def query_now(self) -> None:
        """Query the store again at once, as the call in progress may never return."""
        if self.running is not None and not self.running.done():
            self.query_requested = True
            self.running.cancel()

    def on_restored(self) -> None:
        """List again at once, as the store was restored since the last list.

        The step in which that was noticed fails by itself, and a list in progress is
        read again if it began before.
        """
        noticed_here = asyncio.current_task() is self.running
        if self.revision is not None and not noticed_here:
            self.query_now()

    async def step(self) -> None:
        """List, or wait for the next changes."""
        if self.revision is None:
            await self.relist()
            return
        await asyncio.sleep(self.queried_at + self.gap - monotonic())
        self.queried_at = monotonic()
        failing = self.failing_since is not None
        if failing and self.doubts_watches and self.feed.watching:
            await self._list_in_doubt()
            return
        doubtful = failing or self.doubts_watches
        try:
            await self._watch(PROBE_SECONDS if doubtful else self.seconds)
        except PlatformError:
            self.doubts_watches = True
            raise
        self.doubts_watches = False

    async def _list_in_doubt(self) -> None:
        """List after a watch has failed; a watch is next, whether this fails or not."""
        self.doubts_watches = False
        await self.relist()
        self.doubts_watches = True

    async def refresh(self) -> None:
        """Apply changes at once, concurrently with the step in progress."""
        if self.revision is None:
            await self.relist()
        else:
            await self._watch(0.0)

    async def _watch(self, seconds: float) -> None:
        assert self.revision is not None
        changes = await self.feed.watch(self.revision, seconds)
        self._record_success()
        if changes.changes:
            self.sink.apply_changes(changes)
            self._record_change(changes.revision)
        # Meanwhile, a list may have been read, or a new list may have become necessary.
        if self.revision is not None:
            self.revision = max(self.revision, changes.revision)

    async def relist(self) -> None:
        """Read the full list again."""
        listing = await self.feed.list()
        self._record_success()
        if self.revision is not None and listing.revision < self.revision:
            return
        self.sink.apply_listing(listing)
        self._record_change(listing.revision)
        self.revision = listing.revision

    def _record_change(self, revision: StoreRevision) -> None:
        self.changed_revision = max(self.changed_revision, revision)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        """Wake the tasks that wait for a change of state."""
        self.state_changed.set()
        self.state_changed = asyncio.Event()

    def _record_success(self) -> None:
        self.confirmed_at = monotonic()
        if self.failing_since is None:
            return
        seconds = self.confirmed_at - self.failing_since
        self.failing_since = None
        self.context.timeline.emit(
            EventKind.PLATFORM_UP, detail=f"{self.feed.kind} after {seconds:.1f} s"
        )
        if self.feed.watching:
            self.on_return()
        self._notify_waiters()

    def _record_failure(self, error: PlatformError) -> None:
        self.context.metrics.count(f"store_failures_{self.feed.kind}")
        if self.failing_since is not None:
            return
        self.failing_since = monotonic()
        self._notify_waiters()
        age = "never" if self.confirmed_at < 0 else f"{self.age():.1f} s ago"
        self.context.timeline.emit(
            EventKind.PLATFORM_DOWN,
            detail=f"{self.feed.kind}: {error}; last confirmed {age}",
        )
