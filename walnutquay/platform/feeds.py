# Licensed under the Apache License 2.0: see LICENSE for details.

"""Kinds of the platform's store, listed and watched as our own types."""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

import logbook
import orjson

from walnutquay.exceptions import (
    HistoryGoneError,
    MessageError,
    MissingObjectError,
)
from walnutquay.platform.exports import (
    exported_object,
    packed_export,
    read_object,
    read_revision,
)
from walnutquay.platform.names import (
    CONFIGURATION_NAME,
    KIND_CONFIGURATION,
    KIND_EMPTIED,
    KIND_INSTANCES,
    KIND_ROLLOUTS,
)
from walnutquay.platform.objects import StoredEvent, StoredObject
from walnutquay.platform.records import (
    decode_catalogue,
    decode_emptied,
    decode_instance,
    decode_order,
)
from walnutquay.platform.schemas import MAX_NAME
from walnutquay.platform.store import StoreClient
from walnutquay.protocol.lists import unpack
from walnutquay.state.process.revisions import (
    NOTHING_STORED,
    StoreRevision,
)
from walnutquay.state.store.catalogue import Catalogue
from walnutquay.state.store.feeds import Change, Changes, Listing
from walnutquay.state.store.halls import EmptiedHall
from walnutquay.state.store.instances import Instance
from walnutquay.state.store.orders import RolloutOrder

log = logbook.Logger(__name__)

# Batches of changes that are kept to be passed on; a peer is some seconds behind.
KEPT_BATCHES = 200
# The longest list that is taken from a peer: some 7,000 endpoints of 400 bytes each.
MAX_LIST_BYTES = 4 << 20

Item = TypeVar("Item")


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Changes that came together.

    :param revision: the store's revision that they lead to.
    :param events: the changes.
    """

    revision: StoreRevision
    events: tuple[StoredEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """An object of the store that is not what the platform describes.

    :param kind: its kind.
    :param name: its name.
    :param revision: the store's revision of its last change.
    :param reason: which of its fields are wrong, and how.
    """

    kind: str
    name: str
    revision: StoreRevision
    reason: str


class Feed(Generic[Item]):
    """Lists and watches one kind of object.

    :param store: the store's client.
    :param kind: the kind.
    :param decode: makes our type of an object.
    :param drops_unreadable: whether an object that cannot be read any more is as good
        as gone; else what was known of it holds.
    :param version_of: the version of an object, where a higher one that is known stays
        in force although the store has a lower one or none: it was restored.
    """

    # What it tells always comes from the store itself.
    watching = True
    was_told = False

    def __init__(
        self,
        store: StoreClient,
        kind: str,
        decode: Callable[[StoredObject], Item],
        drops_unreadable: bool = False,
        version_of: Callable[[Item], int] | None = None,
    ) -> None:
        self.version_of = version_of
        # The versions of the objects that are known, where they count.
        self.versions: dict[str, int] = {}
        self.store = store
        self.kind = kind
        self.decode = decode
        self.drops_unreadable = drops_unreadable
        # Objects that cannot be read, with the revision at which that was told.
        self.unreadable: dict[str, StoreRevision] = {}
        # Told of each of them once.
        self.on_unreadable: Callable[[Unreadable], None] = lambda found: None
        # What is known, as it is stored, to be passed on to peers.
        self.objects: dict[str, StoredObject] = {}
        self.revision = NOTHING_STORED
        # Whether there was ever a list.
        self.listed = False
        # The list as it was last written for a peer, and its revision.
        self.exported: tuple[StoreRevision | None, bytes] = (None, b"")
        # The last changes, and the revision after which none is missing of them.
        self.batches: deque[Batch] = deque(maxlen=KEPT_BATCHES)
        self.batches_since = NOTHING_STORED

    async def list(self) -> Listing[Item]:
        """:returns: all objects that can be read.

        A kind of which nothing was ever stored may be unknown to the store;
        that is an empty list.
        """
        try:
            found, revision = await self.store.list(self.kind)
        except MissingObjectError:
            found, revision = [], StoreRevision(self.store.eras.current, 0)
        return self._listing(found, revision)

    def _listing(
        self, found: list[StoredObject], revision: StoreRevision
    ) -> Listing[Item]:
        items = self._decode_all(found)
        self._remember(found, items, revision)
        listed = {stored.name for stored in found}
        for name in [name for name in self.unreadable if name not in listed]:
            del self.unreadable[name]
        return Listing(items, revision)

    def _decode_all(self, found: list[StoredObject]) -> dict[str, Item]:
        items = {}
        for stored in found:
            item = self._decoded(stored)
            if item is not None:
                items[stored.name] = item
        return items

    def _remember(
        self,
        found: list[StoredObject],
        items: dict[str, Item],
        revision: StoreRevision,
    ) -> None:
        self.listed = True
        if revision >= self.revision:
            newest = {
                stored.name: stored
                for stored in found
                if not self._is_older(stored.name, items.get(stored.name))
            }
            kept = {
                name: stored
                for name, stored in self.objects.items()
                if name in self.versions
            }
            self.objects = {**kept, **newest}
            self.revision = revision
            self.batches.clear()
            self.batches_since = revision

    def export(self, revision: StoreRevision) -> bytes:
        """Write what is known for a peer.

        :param revision: the store's revision that the peer knows; number 0 if it knows
            nothing, and will take any list.
        :returns: the list; empty where it is not newer, or there is none here.
        """
        if not self.listed or (revision and revision >= self.revision):
            return b""
        at, data = self.exported
        if at != self.revision:
            # Written once for all who ask: many do when a fleet starts.
            items = [exported_object(stored) for stored in self.objects.values()]
            data = packed_export(self.revision, items=items)
            self.exported = (self.revision, data)
        return data

    def read_export(self, data: bytes) -> Listing[Item]:
        """:param data: what a peer's :meth:`export` wrote.

        :raises MessageError: if it is not that.
        """
        try:
            plain = orjson.loads(unpack(data, MAX_LIST_BYTES))
            revision = read_revision(plain, self.store.eras)
            found = [read_object(item, revision.era) for item in plain["items"]]
            return self._listing(found, revision)
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            raise MessageError(
                f"a peer's list cannot be read: {error!r}", step="decode"
            ) from error

    async def watch(self, revision: StoreRevision, seconds: float) -> Changes[Item]:
        """:param revision: the revision after which changes count.

        :param seconds: how long to wait for one.
        :raises HistoryGoneError: if the kind must be listed again.
        """
        events, latest = await self.store.watch(self.kind, revision, seconds)
        return self._changes(Batch(latest, tuple(events)))

    def _changes(self, batch: Batch) -> Changes[Item]:
        """Remember changes, and give them as our own types."""
        changes = []
        for event in batch.events:
            item = None if event.deleted else self._decoded(event.stored)
            self._remember_event(event, item)
            if event.deleted:
                self.unreadable.pop(event.stored.name, None)
            if item is not None or event.deleted or self.drops_unreadable:
                changes.append(Change(event.stored.name, item))
        if batch.events:
            self._keep(batch)
        self.revision = max(self.revision, batch.revision)
        return Changes(tuple(changes), batch.revision)

    def _keep(self, batch: Batch) -> None:
        if len(self.batches) == KEPT_BATCHES:
            self.batches_since = self.batches[0].revision
        self.batches.append(batch)

    def export_changes(self, revision: StoreRevision) -> bytes:
        """Write for a peer what has changed since a revision.

        :param revision: the store's revision that the peer knows.
        :raises HistoryGoneError: if changes since then are not known here.
        """
        if revision < self.batches_since:
            raise HistoryGoneError(
                "the changes since are not known", step="export", peer=self.kind
            )
        events = [
            {"stored": exported_object(event.stored), "deleted": event.deleted}
            for batch in self.batches
            if batch.revision > revision
            for event in batch.events
        ]
        return packed_export(self.revision, events=events)

    def read_changes(self, data: bytes) -> Changes[Item]:
        """:param data: what a peer's :meth:`export_changes` wrote.

        :raises MessageError: if it is not that.
        """
        try:
            plain = orjson.loads(unpack(data, MAX_LIST_BYTES))
            revision = read_revision(plain, self.store.eras)
            events = tuple(
                StoredEvent(
                    read_object(event["stored"], revision.era), event["deleted"]
                )
                for event in plain["events"]
            )
            return self._changes(Batch(revision, events))
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            raise MessageError(
                f"a peer's changes cannot be read: {error!r}", step="decode"
            ) from error

    def read_whole(self, data: bytes) -> Changes[Item]:
        """Take a peer's list for the changes that lead to it.

        :param data: what a peer's :meth:`export` wrote; empty where it is not newer.
        :raises MessageError: if it is not that.
        """
        if not data:
            return Changes((), NOTHING_STORED)
        before = set(self.objects)
        listing = self.read_export(data)
        held = listing.items if self.drops_unreadable else self.objects
        gone = sorted(before - set(held))
        changes = [Change(name, item) for name, item in listing.items.items()]
        changes.extend(Change(name, None) for name in gone)
        return Changes(tuple(changes), listing.revision)

    def _remember_event(self, event: StoredEvent, item: Item | None) -> None:
        name = event.stored.name
        if event.deleted:
            if name not in self.versions:
                self.objects.pop(name, None)
        elif not self._is_older(name, item):
            self.objects[name] = event.stored

    def _is_older(self, name: str, item: Item | None) -> bool:
        """Return whether a higher version of an object is known; keep it if it is new.

        :param name: the object's name.
        :param item: the object; None if it cannot be read.
        """
        if self.version_of is None:
            return False
        if item is None:
            return name in self.versions
        version = self.version_of(item)
        if version < self.versions.get(name, version):
            return True
        self.versions[name] = version
        return False

    def _decoded(self, stored: StoredObject) -> Item | None:
        try:
            item = self.decode(stored)
        except MessageError as error:
            self._tell_unreadable(stored, error.reason)
            return None
        self.unreadable.pop(stored.name, None)
        return item

    def _tell_unreadable(self, stored: StoredObject, reason: str) -> None:
        """Tell once that an object cannot be read as it is now."""
        if self.unreadable.get(stored.name) == stored.revision:
            return
        self.unreadable[stored.name] = stored.revision
        name = stored.name[:MAX_NAME]
        self.on_unreadable(Unreadable(self.kind, name, stored.revision, reason))


def catalogue_feed(store: StoreClient) -> Feed[Catalogue]:
    """:param store: the store's client.

    :returns: the operator's configuration; other objects of its kind are no such.
    """

    def decode(stored: StoredObject) -> Catalogue:
        if stored.name != CONFIGURATION_NAME:
            raise MessageError(f"{stored.name} is not known here", step="decode")
        return decode_catalogue(stored.spec)

    return Feed(store, KIND_CONFIGURATION, decode, version_of=lambda item: item.version)


def instance_feed(store: StoreClient) -> Feed[Instance]:
    """:param store: the store's client.

    :returns: the running endpoints.
    """
    return Feed(
        store,
        KIND_INSTANCES,
        lambda s: decode_instance(s.name, s.spec),
        drops_unreadable=True,
    )


def order_feed(store: StoreClient) -> Feed[RolloutOrder]:
    """:param store: the store's client.

    :returns: the roll-out orders.
    """
    return Feed(
        store,
        KIND_ROLLOUTS,
        lambda s: decode_order(s.name, s.revision, s.spec, s.status),
    )


def emptied_feed(store: StoreClient) -> Feed[EmptiedHall]:
    """:param store: the store's client.

    :returns: the data halls whose endpoints are to get nothing more.
    """
    return Feed(store, KIND_EMPTIED, lambda s: decode_emptied(s.name, s.revision))
