# Licensed under the Apache License 2.0: see LICENSE for details.

"""Follows one kind of the store's objects: lists it once, then watches it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

import logbook

from walnutquay.coordination.process.context import Context
from walnutquay.exceptions import HistoryGoneError, MessageError, PlatformError
from walnutquay.state.process.events import EventKind
from walnutquay.state.store.feeds import Changes, Listing
from walnutquay.transport.timers import monotonic

# A watch of the configuration ends so much before a change has to be in force: an
# answer that is overdue is noticed then, and another VM can still be asked.
NOTICE_SECONDS = 0.5
# Endpoints' entries are watched for so much of the time in which a leaving endpoint
# still has to be served: a connection may fall silent for good, and all that hear from
# this VM must know of it within that time.
ENTRY_WATCH_SHARE = 0.5
# Orders are watched with long waits, for each call has its price; they are asked anew
# when another kind has found that the store was away.
ORDER_WATCH_SECONDS = 4.0
# While the store does not answer, calls wait no longer than this for changes.
PROBE_SECONDS = 0.3
# Endpoints' entries and orders are watched anew no sooner than so long after the call
# before: while a fleet starts each call would bring one entry.  A tenth of the time in
# which a leaving endpoint still has to be served.
WATCH_GAP_SECONDS = 0.2
# Pause after a failed call: the store is back in use soon after it returns, and
# some ten VMs make few calls while it is away.
RETRY_SECONDS = 0.25

log = logbook.Logger(__name__)


@dataclass(frozen=True, slots=True)
class WatchTimes:
    """How long one watch of each kind waits for a change; seconds.

    Long waits save calls; an answer that is lost, or a connection that falls silent, is
    noticed only when one is overdue.

    :param configuration: of the operators' configuration.
    :param endpoints: of the endpoints' entries.
    :param orders: of roll-out orders.
    :param halls: of data halls that are emptied.
    """

    configuration: float
    endpoints: float
    orders: float
    halls: float


def watch_times(
    config_seconds: float, drain_seconds: float, empty_seconds: float
) -> WatchTimes:
    """:param config_seconds: in which a configuration must be in force everywhere.

    :param drain_seconds: in which a leaving endpoint is still to be served.
    :param empty_seconds: in which an emptied data hall is still to be served.
    """
    return WatchTimes(
        max(PROBE_SECONDS, config_seconds - NOTICE_SECONDS),
        ENTRY_WATCH_SHARE * drain_seconds,
        ORDER_WATCH_SECONDS,
        max(PROBE_SECONDS, empty_seconds - NOTICE_SECONDS),
    )


Item = TypeVar("Item")
# Asks peers for newer knowledge of a kind than a revision; empty where none has it.
AskPeers = Callable[[str, int], Awaitable[bytes]]


class Feed(Protocol[Item]):
    """Lists and watches one kind of object."""

    kind: str
    # Whether what it told last came from the store itself, not from another VM.
    watching: bool

    @property
    def unreadable(self) -> Mapping[str, int]:
        """Objects that cannot be read, by name."""

    async def list(self) -> Listing[Item]:
        """:returns: all objects."""

    async def watch(self, revision: int, seconds: float) -> Changes[Item]:
        """:param revision: the revision after which changes count.

        :param seconds: how long to wait for one.
        """

    def export(self, revision: int) -> bytes:
        """:param revision: what a peer knows.

        :returns: what is known here, if it is newer.
        """

    def read_export(self, data: bytes) -> Listing[Item]:
        """:param data: what a peer has exported."""


class Sink(Protocol[Item]):
    """Takes in what a follower learns."""

    def apply_listing(self, listing: Listing[Item]) -> None:
        """:param listing: all that there is."""

    def apply_changes(self, changes: Changes[Item]) -> None:
        """:param changes: what has changed since."""


class Follower(Generic[Item]):
    """Keeps a sink up to date with one kind of object.

    Run :meth:`run` as a task.

    :param context: what this process shares.
    :param feed: lists and watches the kind.
    :param sink: takes in what is learnt.
    :param seconds: how long one watch waits for a change.
    :param gap: seconds from the beginning of one call to that of the next at the least.
    :param on_return: called when the store itself answers again after it did not.
    :param ask_peers: asks the other VMs for newer knowledge of a kind.
    """

    def __init__(
        self,
        context: Context,
        feed: Feed[Item],
        sink: Sink[Item],
        seconds: float,
        on_return: Callable[[], None],
        ask_peers: AskPeers,
        gap: float = 0.0,
    ) -> None:
        self.context = context
        self.feed = feed
        self.sink = sink
        self.seconds = seconds
        self.on_return = on_return
        self.ask_peers = ask_peers
        self.gap = gap
        self.asked_at = float("-inf")
        # The step that is under way, and whether it is to be given up for another.
        self.running: asyncio.Task[None] | None = None
        self.nudged = False
        # The store's revision that the sink is up to date with; None before the
        # first list, and when the history since is gone.
        self.revision: int | None = None
        # When the store last answered, and since when it has not; monotonic.
        self.confirmed_at = float("-inf")
        self.failing_since: float | None = None
        # The revision up to which something has changed, for those who wait here.
        self.changed_revision = 0
        # Set, and replaced, whenever something changes or the store goes or returns.
        self.stepped = asyncio.Event()

    def age(self) -> float:
        """:returns: seconds since the store last confirmed what is known."""
        return monotonic() - self.confirmed_at

    async def run(self) -> None:
        """Follow the kind for ever."""
        while True:
            self.nudged = False
            self.running = asyncio.ensure_future(self.step())
            try:
                await self.running
            except asyncio.CancelledError:
                if not self.nudged:
                    self.running.cancel()
                    raise
            except HistoryGoneError:
                self.revision = None
            except PlatformError as error:
                self._failed(error)
                await asyncio.gather(self._hear_peers(), asyncio.sleep(RETRY_SECONDS))

    async def _hear_peers(self) -> None:
        """Take over what a peer knows that the store still serves."""
        data = await self.ask_peers(self.feed.kind, self.revision or 0)
        if not data:
            return
        try:
            listing = self.feed.read_export(data)
        except MessageError as error:
            log.warn("a peer's knowledge is not taken over: {}", error)
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
        """Ask anew at once: the call under way may never be answered."""
        if self.running is not None and not self.running.done():
            self.nudged = True
            self.running.cancel()

    async def step(self) -> None:
        """List, or wait for the next changes."""
        if self.revision is None:
            await self.relist()
            return
        await asyncio.sleep(self.asked_at + self.gap - monotonic())
        self.asked_at = monotonic()
        failing = self.failing_since is not None
        await self._watch(PROBE_SECONDS if failing else self.seconds)

    async def refresh(self) -> None:
        """Take in at once what has changed, beside the step that is under way."""
        if self.revision is None:
            await self.relist()
        else:
            await self._watch(0.0)

    async def _watch(self, seconds: float) -> None:
        assert self.revision is not None
        changes = await self.feed.watch(self.revision, seconds)
        self._answered()
        if changes.changes:
            self.sink.apply_changes(changes)
            self._changed(changes.revision)
        # A list may have been read meanwhile, or be needed since.
        if self.revision is not None:
            self.revision = max(self.revision, changes.revision)

    async def relist(self) -> None:
        """Read everything anew."""
        listing = await self.feed.list()
        self._answered()
        if self.revision is not None and listing.revision < self.revision:
            return
        self.sink.apply_listing(listing)
        self._changed(listing.revision)
        self.revision = listing.revision

    def _changed(self, revision: int) -> None:
        self.changed_revision = max(self.changed_revision, revision)
        self._wake()

    def _wake(self) -> None:
        """Let those who wait for a step look again."""
        self.stepped.set()
        self.stepped = asyncio.Event()

    def _answered(self) -> None:
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
        self._wake()

    def _failed(self, error: PlatformError) -> None:
        self.context.metrics.count(f"store_failures_{self.feed.kind}")
        if self.failing_since is not None:
            return
        self.failing_since = monotonic()
        self._wake()
        age = "never" if self.confirmed_at < 0 else f"{self.age():.1f} s ago"
        self.context.timeline.emit(
            EventKind.PLATFORM_DOWN,
            detail=f"{self.feed.kind}: {error}; last confirmed {age}",
        )
