# Licensed under the Apache License 2.0: see LICENSE for details.

"""Distribution of the configuration to every entry VM.

The platform's head object defines the accepted configuration.  A few VMs of each
data hall watch it; the others learn of a newer revision from heartbeats and fetch
it from a peer.  A VM never returns to a lower revision.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import logbook
from pydantic import ValidationError

from walnutquay.coordination.own.members import Members
from walnutquay.coordination.own.partstore import PartStore
from walnutquay.coordination.own.platform import Platform
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.exceptions import (
    ConfigurationError,
    PeerError,
    PlatformError,
)
from walnutquay.platform.values import Stored
from walnutquay.protocol.messages import Envelope
from walnutquay.protocol.ownmessages import AskHead, AskPart, HeadIs, PartIs
from walnutquay.state.fleet.membership import MemberUpdate
from walnutquay.state.own.configuration import (
    Configuration,
    Head,
    configuration_from_parts,
    encode_part,
    first_head,
    part_hash,
)
from walnutquay.state.own.policies import PolicyPrograms
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import NO_REVISION
from walnutquay.state.process.revisions import Era, StoreRevision
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

HEAD = "config/head"
# Number of VMs of each data hall that watch the head.
WATCHERS = 2
WATCH_PAUSE = 1.0
RANK_PAUSE = 1.0
# A VM whose revision nobody has confirmed for a time in this range reads the head
# itself: the platform may turn away just those VMs that watch it.  The range spreads
# the reads of a large fleet.
UNCONFIRMED_SECONDS = (6.0, 9.5)
PEER_SECONDS = 2.0


class Configurations:
    """Holds the configuration that is in force on this VM.

    :param context: the state shared by this process.
    :param platform: the client of the platform's value store.
    :param members: the other VMs.
    :param dispatcher: delivers peers' queries.
    """

    def __init__(
        self,
        context: Context,
        platform: Platform,
        members: Members,
        dispatcher: Dispatcher,
    ) -> None:
        self.context = context
        self.platform = platform
        self.members = members
        self.current = Configuration()
        self.head = first_head()
        self.store = PartStore(platform)
        self.programs = PolicyPrograms()
        # Bytes of the parts in force, by hash, for peers that request them.
        self.parts: dict[str, bytes] = {}
        # When this VM's revision was last confirmed to be the newest.
        self.confirmed_at = float("-inf")
        # After how long without that this VM reads the head itself, and when it did.
        self.unconfirmed_limit = context.rng.uniform(*UNCONFIRMED_SECONDS)
        self.last_own_read = float("-inf")
        # Called when another configuration comes into force.
        self.listeners: list[Callable[[Configuration], None]] = []
        self.adopt_lock = asyncio.Lock()
        self.tasks = Tasks()
        members.update_listeners.append(self.on_update)
        dispatcher.on(AskHead, self.on_ask_head)
        dispatcher.on(AskPart, self.on_ask_part)
        platform.eras.restore_listeners.append(self._on_restored)

    def start(self, anti_entropy_seconds: float) -> None:
        """Start following the head.

        :param anti_entropy_seconds: seconds between two reads of the head by a
            VM that does not watch it.
        """
        self.tasks.spawn_loop("follow-head", self._follow)
        timers = self.context.timers
        timers.every("anti-entropy", anti_entropy_seconds, self.read_head)

    def stop(self) -> None:
        """Stop all tasks."""
        self.tasks.stop()

    @property
    def ready(self) -> bool:
        """Whether this VM has any configuration."""
        return self.current.revision > NO_REVISION

    def confirmed_age(self) -> float:
        """:returns: seconds since this VM's revision was confirmed to be the newest."""
        return monotonic() - self.confirmed_at

    # Following the head.

    def is_watcher(self) -> bool:
        """:returns: whether this VM is one of its data hall's watchers."""
        hall = self.context.hall
        ranked = self.members.table.ranked(f"watch/{hall}", monotonic(), hall)
        return self.context.vm in ranked[:WATCHERS]

    async def _follow(self) -> None:
        """Watch the head while this VM is a watcher by its rank."""
        await self.read_head()
        stored_version: StoreRevision | None = None
        while True:
            if not self.is_watcher():
                stored_version = None
                await asyncio.sleep(RANK_PAUSE)
                await self._read_unconfirmed()
                continue
            asked_at = monotonic()
            try:
                if stored_version is None:
                    stored = await self.platform.read(HEAD)
                else:
                    stored = await self.platform.watch(HEAD, stored_version)
            except PlatformError as error:
                log.debug("the head cannot be watched; will read it again: {}", error)
                stored_version = None
                await asyncio.sleep(WATCH_PAUSE)
                continue
            if stored is None:
                self._confirm(asked_at)
                continue
            stored_version = stored.version
            await self._apply_stored(stored, asked_at)

    async def _read_unconfirmed(self) -> None:
        """Read the head if nobody has confirmed this VM's revision for too long."""
        if self.confirmed_age() < self.unconfirmed_limit:
            self.last_own_read = float("-inf")
            return
        if monotonic() < self.last_own_read + self.unconfirmed_limit:
            return
        self.last_own_read = monotonic()
        self.unconfirmed_limit = self.context.rng.uniform(*UNCONFIRMED_SECONDS)
        await self.read_head()

    def _on_restored(self, era: Era) -> None:
        """Read the head at once, as the store was restored and may have lost it."""
        if self.is_watcher() or self._repairs():
            self.tasks.spawn(self.read_head())

    def _repairs(self) -> bool:
        """Return whether this VM is the one that updates a restored store."""
        return self.members.table.ranked("repair", monotonic())[0] == self.context.vm

    def newest_revision(self) -> int:
        """Return the highest revision that is in force on any VM that is known."""
        members = self.members.table.members.values()
        told = (member.latest.revision for member in members)
        return max(self.head.revision, *told, NO_REVISION)

    async def read_head(self) -> None:
        """Read the head once, as anti-entropy."""
        asked_at = monotonic()
        try:
            stored = await self.platform.read(HEAD)
        except PlatformError as error:
            log.debug("the head cannot be read; anti-entropy will retry: {}", error)
            return
        await self._apply_stored(stored, asked_at)

    async def _apply_stored(self, stored: Stored, asked_at: float) -> None:
        head = Head.decode(stored.value) if stored.version else first_head()
        if head.revision < self.head.revision:
            await self._repair(head, stored.version)
            return
        if await self.adopt(head, peer=""):
            self._confirm(asked_at)

    def _confirm(self, at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, at)

    async def _repair(self, head: Head, version: StoreRevision) -> None:
        """Update a store that was restored from an older backup.

        The fleet's revision was accepted and must not be reverted, so the
        first-ranked VM writes it again.  The conditional update prevents it from
        overwriting a concurrent change by an operator.
        """
        self.context.timeline.emit(
            EventKind.CONFIGURATION_REFUSED,
            detail=f"the platform has revision {head.revision}, "
            f"older than {self.head.revision}",
        )
        if not self._repairs():
            return
        try:
            await self.store.write_all(self.current.part_bytes())
            await self.platform.write(HEAD, self.head.encode(), version)
        except PlatformError as error:
            log.warn(
                "the restored store cannot be updated to the revision in force: {}",
                error,
            )

    def on_update(self, update: MemberUpdate, direct: bool) -> None:
        """Apply the revision that a heartbeat reports.

        :param update: an update on a member.
        :param direct: whether that member sent it itself.
        """
        if update.revision > self.head.revision:
            if not self.adopt_lock.locked():
                self.tasks.spawn(self._fetch(update.vm))
        elif direct and update.revision == self.head.revision:
            self._confirm(monotonic() - update.confirmed_age)

    async def _fetch(self, peer: str) -> None:
        """Fetch a newer head from a peer."""
        try:
            answer = await self.members.call(peer, AskHead(), PEER_SECONDS)
        except PeerError as error:
            log.debug("the newer head cannot be fetched from a peer: {}", error)
            return
        if isinstance(answer, HeadIs) and answer.data:
            await self.adopt(Head.decode(answer.data), peer)

    def on_ask_head(self, envelope: Envelope) -> HeadIs:
        """Answer a peer's query for the head.

        :param envelope: the peer's query.
        :returns: the head in force on this VM; empty if it has none.
        """
        return HeadIs(self.head.encode() if self.ready else b"")

    def on_ask_part(self, envelope: Envelope) -> PartIs:
        """Answer a peer's query for a part.

        :param envelope: the peer's query.
        :returns: the part's bytes; empty if it is not in force on this VM.
        """
        assert isinstance(envelope.body, AskPart)
        return PartIs(self.parts.get(envelope.body.hash, b""))

    async def adopt(self, head: Head, peer: str) -> bool:
        """Put a head in force if it is newer than this VM's.

        :param head: the head.
        :param peer: the peer that has its parts; empty for the platform.
        :returns: whether that head is now in force on this VM.
        """
        async with self.adopt_lock:
            if head.revision < self.head.revision:
                return False
            if head.revision == self.head.revision:
                same = head.parts == self.head.parts
                if not same:
                    self._reject(head, "its content differs from the one in force here")
                return same
            try:
                parts = await self._collect(head, peer)
                configuration = configuration_from_parts(head.revision, parts)
            except (PlatformError, PeerError, ConfigurationError) as error:
                log.warn("revision {} cannot be fetched: {}", head.revision, error)
                return False
            except ValidationError as error:
                self._reject(head, str(error))
                return False
            self._put_in_force(head, parts, configuration)
            return True

    def _reject(self, head: Head, reason: str) -> None:
        log.error("revision {} is rejected: {}", head.revision, reason)
        self.context.timeline.emit(
            EventKind.CONFIGURATION_REFUSED, detail=f"revision {head.revision}"
        )

    def _put_in_force(
        self, head: Head, parts: Mapping[str, bytes], configuration: Configuration
    ) -> None:
        self.programs.load(configuration.content.policies)
        self.head = head
        self.parts = {part_hash(data): data for data in parts.values()}
        self.current = configuration
        for listener in self.listeners:
            listener(configuration)
        self.context.timeline.emit(
            EventKind.CONFIGURED, detail=f"revision {head.revision}"
        )

    async def _collect(self, head: Head, peer: str) -> dict[str, bytes]:
        """Collect the bytes of all parts from memory, a peer or the platform."""
        found: dict[str, bytes] = {}
        for name, digest in head.parts.items():
            data = self.parts.get(digest, b"")
            if not data and digest == part_hash(encode_part(())):
                data = encode_part(())
            if not data:
                data = await self._fetch_part(digest, peer)
            if part_hash(data) != digest:
                raise ConfigurationError(
                    f"the content of part {name} does not match its hash",
                    step="fetch",
                    peer=peer,
                )
            found[name] = data
        return found

    async def _fetch_part(self, digest: str, peer: str) -> bytes:
        if peer:
            answer = await self.members.call(peer, AskPart(digest), PEER_SECONDS)
            if isinstance(answer, PartIs) and answer.data:
                return answer.data
        return await self.store.read(digest)

    def cache_parts(self, parts: Mapping[str, bytes]) -> None:
        """Keep parts that are about to come into force, so that they are not fetched.

        :param parts: bytes by the part's name.
        """
        self.parts.update({part_hash(data): data for data in parts.values()})
