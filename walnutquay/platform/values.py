# Licensed under the Apache License 2.0: see LICENSE for details.

"""Values of our own interface, each kept as one object of the platform's store.

A value has a name such as ``claims/shop/4f1c``: what stands before the first slash
becomes the object's kind, the rest its name.  Values are JSON and stand in the
object's content as they are; the store's revision of an object is its version.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, unquote

import orjson

from walnutquay.exceptions import (
    HistoryGoneError,
    MissingObjectError,
    PlatformConflictError,
    PlatformError,
)
from walnutquay.platform.names import OWN_KIND_PREFIX
from walnutquay.platform.objects import StoredObject
from walnutquay.platform.store import StoreClient
from walnutquay.state.process.revisions import NOTHING_STORED, StoreRevision

# The version that a write expects where nothing may be stored yet.
ABSENT = NOTHING_STORED
VALUE_FIELD = "value"


@dataclass(frozen=True, slots=True)
class Stored:
    """A value as it is stored.

    :param version: the store's revision of its last change; false where there is none.
    :param value: its JSON, with sorted keys.
    """

    version: StoreRevision
    value: bytes = b""


@dataclass(frozen=True, slots=True)
class ObjectKey:
    """Where a value is stored.

    :param kind: the object's kind.
    :param name: its name within the kind.
    """

    kind: str
    name: str


def object_key(name: str) -> ObjectKey:
    """:param name: a value's name.

    :returns: where it is stored; slashes of the rest are escaped, for the store's
        paths end at the object's name.
    """
    kind, _, rest = name.partition("/")
    return ObjectKey(OWN_KIND_PREFIX + kind, quote(rest, safe=""))


def value_name(key: ObjectKey) -> str:
    """:param key: where a value is stored.

    :returns: its name.
    """
    return f"{key.kind.removeprefix(OWN_KIND_PREFIX)}/{unquote(key.name)}"


def encode_value(value: bytes) -> dict[str, Any]:
    """:param value: JSON.

    :returns: an object's content that holds it.
    """
    return {VALUE_FIELD: orjson.loads(value)}


def decode_value(content: Any) -> bytes:
    """:param content: what :func:`encode_value` made.

    :returns: the JSON in one form, whatever the order of its keys in the store.
    :raises PlatformError: if another program has written it.
    """
    try:
        return orjson.dumps(content[VALUE_FIELD], option=orjson.OPT_SORT_KEYS)
    except (KeyError, TypeError) as error:
        raise PlatformError(
            f"no value is stored there: {error!r}", step="decode"
        ) from (error)


class ValueStore:
    """Reads, writes and watches values over the store's client.

    :param client: the store's client.
    """

    def __init__(self, client: StoreClient) -> None:
        self.client = client
        # Up to which revision each watched value was seen unchanged.
        self.watched: dict[str, StoreRevision] = {}

    async def read(self, name: str) -> Stored:
        """:param name: a value's name.

        :returns: it, or :data:`ABSENT` as its version where there is none.
        """
        key = object_key(name)
        found = await self.client.get(key.kind, key.name)
        return _value_of(found)

    async def write(
        self, name: str, value: bytes, expected: StoreRevision
    ) -> StoreRevision:
        """Write a value if its version is the expected one.

        :param name: its name.
        :param value: its new JSON.
        :param expected: the version that it must have; :data:`ABSENT` to make it.
        :returns: its new version.  Where nothing changes, that is the old one.
        :raises PlatformConflictError: if it has another version.
        """
        key = object_key(name)
        content = encode_value(value)
        if not expected:
            made = await self.client.create(key.kind, key.name, content)
            return made.revision
        try:
            written = await self.client.replace(key.kind, key.name, content, expected)
        except MissingObjectError as error:
            raise PlatformConflictError(
                "the value has been deleted", step="write", peer=name
            ) from error
        return written.revision

    async def delete(self, name: str, expected: StoreRevision) -> None:
        """Delete a value if its version is the expected one.

        :param name: its name.
        :param expected: the version that it must have.
        :raises PlatformConflictError: if it has another version.
        """
        key = object_key(name)
        await self.client.delete(key.kind, key.name, expected)

    async def names(self, prefix: str) -> list[str]:
        """:param prefix: what names begin with; it has a slash.

        :returns: the names of all such values, in order.
        """
        kind = object_key(prefix).kind
        try:
            found, _ = await self.client.list(kind)
        except MissingObjectError:
            return []
        names = [value_name(ObjectKey(kind, stored.name)) for stored in found]
        return sorted(name for name in names if name.startswith(prefix))

    async def watch(
        self, name: str, after: StoreRevision, seconds: float
    ) -> Stored | None:
        """Wait until a value has a version other than the one that is known.

        :param name: its name.
        :param after: the version that is known.
        :param seconds: how long to wait.
        :returns: the value, or None where it has not changed.
        """
        key = object_key(name)
        revision = max(after, self.watched.get(name, ABSENT))
        try:
            events, latest = await self.client.watch(key.kind, revision, seconds)
        except HistoryGoneError:
            return await self._look_again(name, key, after)
        # Other values of the kind may have changed: those events are not of interest.
        changed = [event for event in events if event.stored.name == key.name]
        self.watched[name] = latest
        if not changed:
            return None
        last = changed[-1]
        return _value_of(None if last.deleted else last.stored)

    async def _look_again(
        self, name: str, key: ObjectKey, after: StoreRevision
    ) -> Stored | None:
        """List the kind, for the store no longer knows its changes."""
        found, revision = await self.client.list(key.kind)
        self.watched[name] = revision
        matching = [stored for stored in found if stored.name == key.name]
        stored = _value_of(matching[0] if matching else None)
        return None if stored.version == after else stored


def _value_of(found: StoredObject | None) -> Stored:
    if found is None:
        return Stored(ABSENT)
    return Stored(found.revision, decode_value(found.spec))
