# Licensed under the Apache License 2.0: see LICENSE for details.

"""Objects of the platform's store, as its answers write them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import logbook

from walnutquay.exceptions import PlatformUnclearError
from walnutquay.platform.lenient import is_plain
from walnutquay.state.process.revisions import Era, StoreRevision

log = logbook.Logger(__name__)


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store.

    :param name: its name within its kind.
    :param revision: the store's revision of its last change.
    :param spec: its content; of the platform's kinds, what others wrote.
    :param status: what has been said of it.
    """

    name: str
    revision: StoreRevision
    spec: Any
    status: Any = None


@dataclass(frozen=True, slots=True)
class StoredEvent:
    """A change of an object.

    :param stored: the object, as it was last where it was deleted.
    :param deleted: whether it is gone.
    """

    stored: StoredObject
    deleted: bool


@dataclass(frozen=True, slots=True)
class Answer:
    """A successful answer of the store.

    :param body: what it says.
    :param era: the store's era in which it was given.
    """

    body: Any
    era: Era


def read_listed(plain: Any, era: Era) -> StoredObject | None:
    """Read one of several objects; one without a name of its own is left out.

    What it holds may be of foreign bytes, which other VMs could not be told: nothing
    stands for that.
    """
    try:
        stored = _read_object(plain, era)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        log.error("an object of the store has no name: {!r}", error)
        return None
    if is_plain(plain):
        return stored
    return StoredObject(stored.name, stored.revision, None)


def read_named(name: str, answer: Answer) -> StoredObject:
    """Read the object of an answer.

    :raises PlatformUnclearError: if it is another one: the answer is another call's.
    """
    stored = _read_object(answer.body, answer.era)
    if stored.name != name:
        raise PlatformUnclearError(
            f"the store answered with {stored.name!r}", step="answer", peer=name
        )
    return stored


def _read_object(plain: Mapping[str, Any], era: Era) -> StoredObject:
    metadata = plain["metadata"]
    name = metadata["name"]
    if not isinstance(name, str):
        raise TypeError("a name is a text")
    return StoredObject(
        name=name,
        revision=StoreRevision(era, int(metadata.get("revision") or 0)),
        spec=plain.get("spec"),
        status=plain.get("status"),
    )
