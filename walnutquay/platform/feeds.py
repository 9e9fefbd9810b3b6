# Licensed under the Apache License 2.0: see LICENSE for details.

"""Kinds of the platform's store, listed and watched as our own types."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Generic, TypeVar

import logbook
import orjson

from walnutquay.exceptions import (
    MessageError,
    MissingObjectError,
    PlatformConflictError,
)
from walnutquay.platform.names import (
    CONFIGURATION_NAME,
    KIND_CONFIGURATION,
    KIND_INSTANCES,
    KIND_ROLLOUTS,
    KIND_VMS,
)
from walnutquay.platform.records import (
    decode_catalogue,
    decode_instance,
    decode_order,
    encode_order_status,
)
from walnutquay.platform.store import StoreClient, StoredEvent, StoredObject
from walnutquay.state.catalogue import Catalogue
from walnutquay.state.feeds import Change, Changes, Listing
from walnutquay.state.ids import VmName
from walnutquay.state.instances import Instance
from walnutquay.state.membership import Address
from walnutquay.state.orders import OrderState, RolloutOrder

log = logbook.Logger(__name__)

Item = TypeVar("Item")


class Feed(Generic[Item]):
    """Lists and watches one kind of object.

    :param store: the store's client.
    :param kind: the kind.
    :param decode: makes our type of an object.
    """

    def __init__(
        self, store: StoreClient, kind: str, decode: Callable[[StoredObject], Item]
    ) -> None:
        self.store = store
        self.kind = kind
        self.decode = decode
        # What is known, as it is stored, to be passed on to peers.
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0

    async def list(self) -> Listing[Item]:
        """:returns: all objects that can be read.

        A kind of which nothing was ever stored may be unknown to the store;
        that is an empty list.
        """
        try:
            found, revision = await self.store.list(self.kind)
        except MissingObjectError:
            return Listing({}, 0)
        return self._listing(found, revision)

    def _listing(self, found: list[StoredObject], revision: int) -> Listing[Item]:
        self._remember(found, revision)
        items = {}
        for stored in found:
            item = self._decoded(stored)
            if item is not None:
                items[stored.name] = item
        return Listing(items, revision)

    def _remember(self, found: list[StoredObject], revision: int) -> None:
        if revision >= self.revision:
            self.objects = {stored.name: stored for stored in found}
            self.revision = revision

    def export(self, revision: int) -> bytes:
        """Write what is known for a peer.

        :param revision: the store's revision that the peer knows.
        :returns: the list; empty where it is not newer.
        """
        if self.revision <= revision:
            return b""
        items = [dataclasses.asdict(stored) for stored in self.objects.values()]
        return orjson.dumps({"revision": self.revision, "items": items})

    def read_export(self, data: bytes) -> Listing[Item]:
        """:param data: what a peer's :meth:`export` wrote.

        :raises MessageError: if it is not that.
        """
        try:
            plain = orjson.loads(data)
            found = [StoredObject(**item) for item in plain["items"]]
            return self._listing(found, int(plain["revision"]))
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            raise MessageError(
                f"a peer's list cannot be read: {error!r}", step="decode"
            ) from error

    async def watch(self, revision: int, seconds: float) -> Changes[Item]:
        """:param revision: the revision after which changes count.

        :param seconds: how long to wait for one.
        :raises HistoryGoneError: if the kind must be listed again.
        """
        events, latest = await self.store.watch(self.kind, revision, seconds)
        changes = []
        for event in events:
            self._remember_event(event)
            item = None if event.deleted else self._decoded(event.stored)
            # An object that cannot be read leaves what was known of it.
            if item is not None or event.deleted:
                changes.append(Change(event.stored.name, item))
        self.revision = max(self.revision, latest)
        return Changes(tuple(changes), latest)

    def _remember_event(self, event: StoredEvent) -> None:
        if event.deleted:
            self.objects.pop(event.stored.name, None)
        else:
            self.objects[event.stored.name] = event.stored

    def _decoded(self, stored: StoredObject) -> Item | None:
        try:
            return self.decode(stored)
        except MessageError as error:
            log.error("{}/{} is left out: {}", self.kind, stored.name, error)
            return None


def catalogue_feed(store: StoreClient) -> Feed[Catalogue]:
    """:param store: the store's client.

    :returns: the operator's configuration; other objects of its kind are no such.
    """

    def decode(stored: StoredObject) -> Catalogue:
        if stored.name != CONFIGURATION_NAME:
            raise MessageError(f"{stored.name} is not known here", step="decode")
        return decode_catalogue(stored.spec)

    return Feed(store, KIND_CONFIGURATION, decode)


def instance_feed(store: StoreClient) -> Feed[Instance]:
    """:param store: the store's client.

    :returns: the running endpoints.
    """
    return Feed(store, KIND_INSTANCES, lambda s: decode_instance(s.name, s.spec))


def order_feed(store: StoreClient) -> Feed[RolloutOrder]:
    """:param store: the store's client.

    :returns: the roll-out orders.
    """
    return Feed(
        store,
        KIND_ROLLOUTS,
        lambda s: decode_order(s.name, s.revision, s.spec, s.status),
    )


class VmRegister:
    """The list of entry VMs, each of which writes its own entry.

    :param store: the store's client.
    """

    def __init__(self, store: StoreClient) -> None:
        self.store = store

    async def enter(self, vm: VmName, address: Address) -> None:
        """Write a VM's entry.

        :param vm: the VM.
        :param address: where its peers reach it.
        """
        spec = {"host": address.host, "port": address.port}
        try:
            await self.store.create(KIND_VMS, vm, spec)
        except PlatformConflictError:
            await self.store.replace(KIND_VMS, vm, spec, None)

    async def leave(self, vm: VmName) -> None:
        """:param vm: a VM that stops."""
        await self.store.delete(KIND_VMS, vm)

    async def read(self) -> dict[VmName, Address]:
        """:returns: where each VM is reached, as it was some seconds ago."""
        try:
            found, _ = await self.store.list(KIND_VMS, stale=True)
        except MissingObjectError:
            return {}
        return {
            VmName(stored.name): Address(stored.spec["host"], int(stored.spec["port"]))
            for stored in found
        }


class OrderDesk:
    """Reads and answers roll-out orders.

    :param store: the store's client.
    """

    def __init__(self, store: StoreClient) -> None:
        self.store = store

    async def read(self, name: str) -> RolloutOrder | None:
        """:param name: an order's name.

        :returns: it as it stands now, or None where there is none.
        """
        stored = await self.store.get(KIND_ROLLOUTS, name)
        if stored is None:
            return None
        return decode_order(stored.name, stored.revision, stored.spec, stored.status)

    async def answer(self, order: RolloutOrder, state: OrderState) -> RolloutOrder:
        """Say where an order stands, if it is still as it was read.

        :param order: the order.
        :param state: what to say.
        :returns: the order as it is then.
        :raises PlatformConflictError: if it has changed.
        """
        status = encode_order_status(order, state)
        stored = await self.store.write_status(
            KIND_ROLLOUTS, order.name, status, order.revision
        )
        return decode_order(stored.name, stored.revision, stored.spec, stored.status)
