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

from walnutquay.coordination.context import Context
from walnutquay.coordination.fleetpeers import FleetPeers
from walnutquay.coordination.following import Feed, Follower
from walnutquay.coordination.knowledge import Knowledge
from walnutquay.coordination.starting import StartingKnowledge
from walnutquay.exceptions import (
    HistoryGoneError,
    MessageError,
    PeerError,
    PlatformUnavailableError,
)
from walnutquay.protocol.messages import (
    AskChanges,
    ChangesAre,
    Envelope,
    Message,
)
from walnutquay.state.feeds import Changes, Listing
from walnutquay.state.ids import HallName, VmName
from walnutquay.state.membership import rendezvous
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# Up to so many VMs each watches the store itself.
SMALL_FLEET = 3
# VMs of each data hall that watch the store.  Where it is lost or frozen the others of
# the hall ask another hall's until the next in line has noticed.
WATCHERS_OF_HALL = 1
# Watchers of other data halls that are asked where the own ones do not answer; those
# of all halls are where each one answers that the store does not serve it.
FAR_WATCHERS = 1
# How long a watcher waits for a change before it answers that there is none, for what
# has to be known at once: roll-out orders reach all VMs within 1 s.
POLL_SECONDS = 0.5
# A watcher answers so much later at the most; else another is asked: also where two in
# a row are frozen a change is known within the two seconds that the platform allows.
ANSWER_SECONDS = 0.4
# A VM that did not answer is left out of the choice of watchers for so long.
SILENT_SECONDS = 3.0
# A VM that starts waits no longer for the list of VMs, which tells whom to ask.
VMS_SECONDS = 2.0
# Every VM ranks alike by this.
DUTY = "watch the store"

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


class Watchers:
    """Knows which VMs watch the store, and asks them for changes.

    :param context: what this process shares.
    :param peers: the other VMs.
    """

    def __init__(self, context: Context, peers: FleetPeers) -> None:
        self.context = context
        self.peers = peers
        # Until when VMs that did not answer are left out; monotonic seconds.
        self.silent_until: dict[VmName, float] = {}

    def includes_this(self) -> bool:
        """:returns: whether this VM is to watch the store itself."""
        if self.peers.size <= SMALL_FLEET:
            return True
        return self.context.vm in self._watching(self.context.hall)

    def _watching(self, hall: HallName) -> list[VmName]:
        """:returns: the VMs of a data hall that are to watch the store."""
        return self._of(hall)[:WATCHERS_OF_HALL]

    def _of(self, hall: HallName) -> list[VmName]:
        """Rank the VMs of a data hall for the duty."""
        now = monotonic()
        names = [
            vm
            for vm, place in self.peers.known.items()
            if place.hall == hall and self.silent_until.get(vm, 0.0) <= now
        ]
        if hall == self.context.hall and self.context.vm not in names:
            names.append(self.context.vm)
        return [VmName(name) for name in rendezvous(DUTY, names)]

    def _asked(self) -> tuple[list[VmName], list[VmName]]:
        """Give whom to ask: in this data hall, and in the others."""
        near = self._watching(self.context.hall)
        halls = {place.hall for place in self.peers.known.values()}
        others = sorted(halls - {self.context.hall})
        far = [vm for hall in others for vm in self._of(hall)[:1]]
        self.context.rng.shuffle(far)
        return [vm for vm in near if vm != self.context.vm], far

    async def ask(self, kind: str, revision: int, seconds: float) -> ChangesAre | None:
        """Wait for changes at a watcher that has them from the store.

        :param kind: the kind of objects.
        :param revision: the revision that is known here.
        :param seconds: how long to wait for a change.
        :returns: its answer; one that failed only if all do; None if none answers.
        """
        failing = None
        silent = False
        near, far = self._asked()
        for number, vm in enumerate(near + far):
            if silent and number >= len(near) + FAR_WATCHERS:
                break
            # Whether the others have an answer from the store is told at once.
            wait = seconds if failing is None else 0.0
            answer = await self._ask_one(vm, AskChanges(kind, revision, wait))
            if answer is None or not answer.direct:
                silent = silent or answer is None
                continue
            if not answer.failing:
                return answer
            failing = answer
        return failing

    async def ask_near(self, question: Message) -> Message | None:
        """Ask the VM of this data hall that watches the store.

        :param question: what it is asked, which it answers at once.
        :returns: its answer, or None.
        """
        near, _ = self._asked()
        for vm in near:
            answer = await self._call(vm, question, ANSWER_SECONDS)
            if answer is not None:
                return answer
        return None

    async def wait_for_vms(self) -> None:
        """Wait until it is known which VMs there are, but not for long."""
        if self.peers.listed.is_set() or not self.peers.seeds:
            return
        try:
            async with asyncio.timeout(VMS_SECONDS):
                await self.peers.listed.wait()
        except TimeoutError:
            log.info("there is no list of VMs yet; the store is watched from here")

    async def _ask_one(self, vm: VmName, question: AskChanges) -> ChangesAre | None:
        answer = await self._call(vm, question, question.seconds + ANSWER_SECONDS)
        return answer if isinstance(answer, ChangesAre) else None

    async def _call(
        self, vm: VmName, question: Message, limit: float
    ) -> Message | None:
        """Ask a watcher; one that does not answer is left out for a while."""
        place = self.peers.known.get(vm)
        if place is None:
            return None
        try:
            return await self.peers.node.call(place.address, question, limit, vm)
        except PeerError as error:
            self.context.metrics.count("watchers_silent")
            self.silent_until[vm] = monotonic() + SILENT_SECONDS
            log.debug("a watcher of the store does not answer: {}", error)
            return None


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
        starting: StartingKnowledge | None = None,
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
            answer = await self.watchers.ask(self.kind, revision, wait)
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
