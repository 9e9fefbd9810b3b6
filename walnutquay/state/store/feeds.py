# Licensed under the Apache License 2.0: see LICENSE for details.

"""Listings and changes of objects in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from walnutquay.state.process.revisions import StoreRevision

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class Listing(Generic[Item]):
    """All objects of one kind at one revision.

    :param items: the objects by name.
    :param revision: the store's revision of the listing.
    """

    items: dict[str, Item]
    revision: StoreRevision


@dataclass(frozen=True, slots=True)
class Change(Generic[Item]):
    """A change of one object.

    :param name: the object's name.
    :param item: the object after the change; None if it was deleted.
    """

    name: str
    item: Item | None


@dataclass(frozen=True, slots=True)
class Changes(Generic[Item]):
    """The changes since a revision.

    :param changes: the changes in order.
    :param revision: the store's revision after the last change.
    """

    changes: tuple[Change[Item], ...]
    revision: StoreRevision
