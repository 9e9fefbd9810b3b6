# Licensed under the Apache License 2.0: see LICENSE for details.

"""Changes of the store's objects, relayed from VMs that watch it to the others.

Each call to the store has a price, and its rate limits apply to the whole fleet.  In a
large fleet, a few VMs of each data hall watch the store, and the others query them for
changes.  A VM that finds no such peer watches the store itself.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Generic, Protocol, TypeVar

import logbook

from walnutquay.coordination.fleet.bootstrap import Bootstrap
from walnutquay.coordination.fleet.watchers import Watchers
from walnutquay.coordination.store.following import Feed, Follower
from walnutquay.coordination.store.knowledge import Knowledge
from walnutquay.exceptions import (
    EarlierEraError,
    HistoryGoneError,
    MessageError,
    PlatformError,
    PlatformUnavailableError,
)
from walnutquay.protocol.messages import (
    AskChanges,
    ChangesAre,
    Envelope,
)
from walnutquay.state.process.revisions import UNKNOWN_ERA, StoreRevision
from walnutquay.state.store.feeds import Changes, Listing
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# The time for which a watcher waits for a change before it answers that there is none,
# for objects that must be distributed quickly.  Roll-out orders reach all VMs within
# 1 s.
POLL_SECONDS = 0.5
Item = TypeVar("Item")


class ChangeFeed(Feed[Item], Protocol[Item]):
    """A feed whose changes can be relayed."""

    # The revisions of objects that cannot be read, by name.
    unreadable: Mapping[str, StoreRevision]

    def export_changes(self, revision: StoreRevision) -> bytes:
        """Export changes for a peer.

        :param revision: the store's revision that the peer has.
        :returns: the changes since.
        """

    def read_changes(self, data: bytes) -> Changes[Item]:
        """Read changes that a peer exported.

        :param data: the exported changes.
        """

    def read_whole(self, data: bytes) -> Changes[Item]:
        """Read a full list that a peer exported, as changes.

        :param data: the exported list.
        """


class RelayedFeed(Generic[Item]):
    """A feed that receives changes from a watcher, unless this VM is a watcher itself.

    :param direct: the feed that queries the store.
    :param watchers: the VMs that watch the store.
    :param on_store_returned: called before changes are returned, with the seconds since
        the store returned to the watcher that sent them.
    :param poll: the time for which a watcher may wait for a change, in seconds.
    :param starting: provides the first list if another VM sends it; None to read the
        first list from the store.
    """

    def __init__(
        self,
        direct: ChangeFeed[Item],
        watchers: Watchers,
        on_store_returned: Callable[[float], None] = lambda ago: None,
        poll: float | None = None,
        starting: Bootstrap | None = None,
    ) -> None:
        self.direct = direct
        self.watchers = watchers
        self.on_store_returned = on_store_returned
        self.poll = POLL_SECONDS if poll is None else poll
        self.starting = starting
        self.kind = direct.kind
        # Whether another VM has told its list at the start.
        self.was_told = False
        # Whether the last watch was of the store itself.
        self.watching = True
        # The last answer of a watcher that was read, and what it contains.
        self.last_answer: ChangesAre | None = None
        self.last_changes: Changes[Item] | None = None

    async def list(self) -> Listing[Item]:
        """Return all objects, from another VM or from the store itself.

        The first list may come from another VM.  In a fleet of 195 VMs, reading a list
        from the store would otherwise take as many calls whenever all VMs start.
        """
        starting, self.starting = self.starting, None
        data = b"" if starting is None else await starting.list_of(self.kind)
        if data:
            try:
                listing = self.direct.read_export(data)
            except MessageError as error:
                log.warn("ignored a list from a peer that cannot be read: {}", error)
            else:
                self.was_told = True
                return listing
        return await self.direct.list()

    async def watch(self, revision: StoreRevision, seconds: float) -> Changes[Item]:
        """Wait for changes.

        :param revision: the revision after which changes are returned.
        :param seconds: the longest time to wait.
        :raises HistoryGoneError: if the kind must be listed again.
        :raises PlatformError: if the store does not answer this VM or its watchers.
        """
        await self.watchers.wait_for_vms()
        self.watching = self.watchers.includes_this()
        if not self.watching:
            wait = min(seconds, self.poll)
            answer = await self.watchers.query(
                self.kind, revision, wait, self._has_changes
            )
            if answer is not None and answer.failing:
                return await self._watch_unserved(revision)
            if answer is not None:
                try:
                    return self._read(answer)
                except MessageError as error:
                    log.info("a watcher's answer is of no use: {}", error)
            self.watching = True
        return await self._watch_store(revision, seconds)

    async def _watch_unserved(self, revision: StoreRevision) -> Changes[Item]:
        """Ask the store itself, though not all VMs of a data hall at once.

        The store may turn away just those VMs that watch it.
        """
        if not self.watchers.is_own_call_due(self.kind):
            raise PlatformUnavailableError(
                "the store does not answer the VMs that watch it",
                step="watch",
                peer=self.kind,
            )
        self.watching = True
        return await self._watch_store(revision, 0.0)

    async def _watch_store(
        self, revision: StoreRevision, seconds: float
    ) -> Changes[Item]:
        try:
            return await self.direct.watch(revision, seconds)
        except (HistoryGoneError, EarlierEraError):
            raise
        except PlatformError:
            self.watchers.note_unserved()
            raise

    def _read(self, answer: ChangesAre) -> Changes[Item]:
        if math.isfinite(answer.returned):
            self.on_store_returned(answer.returned)
        changes = self._decode(answer)
        self.watchers.note_served(self.kind)
        return changes

    def _decode(self, answer: ChangesAre) -> Changes[Item]:
        """Read an answer, once: a list that was read has nothing new any more."""
        if self.last_answer is not answer or self.last_changes is None:
            whole = answer.whole
            read = self.direct.read_whole if whole else self.direct.read_changes
            self.last_changes = read(answer.data)
            self.last_answer = answer
        return self.last_changes

    def _has_changes(self, answer: ChangesAre) -> bool:
        try:
            return bool(self._decode(answer).changes)
        except MessageError as error:
            log.info("a watcher's answer is of no use: {}", error)
            return False

    @property
    def unreadable(self) -> Mapping[str, StoreRevision]:
        """The revisions of objects that cannot be read, by name."""
        return self.direct.unreadable

    def export(self, revision: StoreRevision) -> bytes:
        """Export the list for a peer.

        :param revision: the revision that the peer has.
        :returns: the list, if it is newer; otherwise empty bytes.
        """
        return self.direct.export(revision)

    def read_export(self, data: bytes) -> Listing[Item]:
        """Read a list that a peer exported.

        :param data: the exported list.
        """
        return self.direct.read_export(data)


class Relay:
    """Answers VMs that query this VM for changes of the store.

    :param knowledge: follows all kinds of objects through relayed feeds.
    """

    def __init__(self, knowledge: Knowledge) -> None:
        self.knowledge = knowledge
        self.followers = {
            follower.feed.kind: follower for follower in knowledge.followers()
        }

    async def answer(self, envelope: Envelope) -> ChangesAre:
        """Wait for changes, and relay them.

        :param envelope: the query.
        """
        query = envelope.body
        assert isinstance(query, AskChanges)
        eras = self.knowledge.eras
        eras.observe(query.revision.era)
        if query.revision.era == UNKNOWN_ERA:
            # The sender does not know of eras.
            query = replace(query, revision=replace(query.revision, era=eras.current))
        follower = self.followers[query.kind]
        feed = follower.feed
        assert isinstance(feed, RelayedFeed)
        if not feed.watching:
            return ChangesAre(direct=False)
        await self._wait(follower, query)
        if follower.failing_since is not None or follower.revision is None:
            return ChangesAre(failing=True)
        returned = monotonic() - self.knowledge.returned_at
        try:
            data = feed.direct.export_changes(query.revision)
        except HistoryGoneError:
            data = feed.direct.export(query.revision)
            return ChangesAre(data, whole=True, returned=returned)
        return ChangesAre(data, returned=returned)

    async def _wait(self, follower: Follower, query: AskChanges) -> None:
        """Wait until an object or the store's availability changes, or time is up."""
        failing_before = follower.failing_since
        try:
            async with asyncio.timeout(query.seconds):
                while (
                    follower.changed_revision <= query.revision
                    and follower.failing_since == failing_before
                ):
                    await follower.state_changed.wait()
        except TimeoutError:
            return
