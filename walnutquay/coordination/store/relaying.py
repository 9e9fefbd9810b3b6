# Licensed under the Apache License 2.0: see LICENSE for details.

"""Changes of the store's objects, passed on from VMs that watch it to the others.

Calls to the store have a price, and its rates are those of the whole fleet.  In a
large fleet a few VMs of each data hall watch the store, and the others wait for
changes at them.  A VM that finds no such peer watches the store itself.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from typing import Generic, Protocol, TypeVar

import logbook

from walnutquay.coordination.fleet.bootstrap import Bootstrap
from walnutquay.coordination.fleet.watchers import Watchers
from walnutquay.coordination.store.following import Feed, Follower
from walnutquay.coordination.store.knowledge import Knowledge
from walnutquay.exceptions import (
    HistoryGoneError,
    MessageError,
    PlatformUnavailableError,
)
from walnutquay.protocol.messages import (
    AskChanges,
    ChangesAre,
    Envelope,
)
from walnutquay.state.store.feeds import Changes, Listing
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# How long a watcher waits for a change before it answers that there is none, for what
# has to be known at once: roll-out orders reach all VMs within 1 s.
POLL_SECONDS = 0.5
Item = TypeVar("Item")


class ChangeFeed(Feed[Item], Protocol[Item]):
    """A feed whose changes can be passed on."""

    # Objects that cannot be read, by name, with the revision of each.
    unreadable: Mapping[str, int]

    def export_changes(self, revision: int) -> bytes:
        """:param revision: the store's revision that a peer knows.

        :returns: what has changed since.
        """

    def read_changes(self, data: bytes) -> Changes[Item]:
        """:param data: the changes that a peer has exported."""

    def read_whole(self, data: bytes) -> Changes[Item]:
        """:param data: the list that a peer has exported."""


class RelayedFeed(Generic[Item]):
    """A feed that hears of changes from a watcher, where this VM is none itself.

    :param direct: the feed of the store.
    :param watchers: who watches the store.
    :param on_returned: told, before the changes, how many seconds ago the store
        returned to the watcher that sends them.
    :param poll: how long a watcher may wait for a change; seconds.
    :param starting: gives the first list, if another VM tells it; None for the store.
    """

    def __init__(
        self,
        direct: ChangeFeed[Item],
        watchers: Watchers,
        on_returned: Callable[[float], None] = lambda ago: None,
        poll: float | None = None,
        starting: Bootstrap | None = None,
    ) -> None:
        self.direct = direct
        self.watchers = watchers
        self.on_returned = on_returned
        self.poll = POLL_SECONDS if poll is None else poll
        self.starting = starting
        self.kind = direct.kind
        # Whether the store itself was watched last.
        self.watching = True

    async def list(self) -> Listing[Item]:
        """:returns: all objects, from other VMs or from the store itself.

        The first list may come from others: in a fleet of 195 VMs each list from the
        store would cost as many calls whenever all start.
        """
        starting, self.starting = self.starting, None
        data = b"" if starting is None else await starting.list_of(self.kind)
        if data:
            try:
                return self.direct.read_export(data)
            except MessageError as error:
                log.warn("a peer's list is not taken over: {}", error)
        return await self.direct.list()

    async def watch(self, revision: int, seconds: float) -> Changes[Item]:
        """:param revision: the revision after which changes count.

        :param seconds: how long to wait for one.
        :raises HistoryGoneError: if the kind must be listed again.
        :raises PlatformError: if the store does not answer, here or at the watchers.
        """
        await self.watchers.wait_for_vms()
        self.watching = self.watchers.includes_this()
        if not self.watching:
            wait = min(seconds, self.poll)
            answer = await self.watchers.query(self.kind, revision, wait)
            if answer is not None:
                return self._read(answer)
            self.watching = True
        return await self.direct.watch(revision, seconds)

    def _read(self, answer: ChangesAre) -> Changes[Item]:
        if answer.failing:
            raise PlatformUnavailableError(
                "the store does not answer its watchers", step="watch", peer=self.kind
            )
        if math.isfinite(answer.returned):
            self.on_returned(answer.returned)
        if answer.whole:
            return self.direct.read_whole(answer.data)
        return self.direct.read_changes(answer.data)

    @property
    def unreadable(self) -> Mapping[str, int]:
        """Objects that cannot be read, by name."""
        return self.direct.unreadable

    def export(self, revision: int) -> bytes:
        """:param revision: what a peer knows.

        :returns: what is known here, if it is newer.
        """
        return self.direct.export(revision)

    def read_export(self, data: bytes) -> Listing[Item]:
        """:param data: what a peer has exported."""
        return self.direct.read_export(data)


class Relay:
    """Answers VMs that wait here for changes of the store.

    :param knowledge: follows the kinds of objects, by relayed feeds.
    """

    def __init__(self, knowledge: Knowledge) -> None:
        self.knowledge = knowledge
        self.followers = {
            follower.feed.kind: follower for follower in knowledge.followers()
        }

    async def answer(self, envelope: Envelope) -> ChangesAre:
        """Wait for changes, and pass them on.

        :param envelope: the question.
        """
        question = envelope.body
        assert isinstance(question, AskChanges)
        follower = self.followers[question.kind]
        feed = follower.feed
        assert isinstance(feed, RelayedFeed)
        if not feed.watching:
            return ChangesAre(direct=False)
        await self._wait(follower, question)
        if follower.failing_since is not None or follower.revision is None:
            return ChangesAre(failing=True)
        returned = monotonic() - self.knowledge.returned_at
        try:
            data = feed.direct.export_changes(question.revision)
        except HistoryGoneError:
            data = feed.direct.export(question.revision)
            return ChangesAre(data, whole=True, returned=returned)
        return ChangesAre(data, returned=returned)

    async def _wait(self, follower: Follower, question: AskChanges) -> None:
        """Wait until something changes, the store goes or returns, or time is over."""
        failing = follower.failing_since
        try:
            async with asyncio.timeout(question.seconds):
                while (
                    follower.changed_revision <= question.revision
                    and follower.failing_since == failing
                ):
                    await follower.stepped.wait()
        except TimeoutError:
            return
