# Licensed under the Apache License 2.0: see LICENSE for details.

"""Lists and changes of the things that the platform's store holds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class Listing(Generic[Item]):
    """All things of one kind at one revision.

    :param items: thing by name.
    :param revision: the store's revision that they are of.
    """

    items: dict[str, Item]
    revision: int


@dataclass(frozen=True, slots=True)
class Change(Generic[Item]):
    """A change of one thing.

    :param name: its name.
    :param item: what it is now; None where it was deleted.
    """

    name: str
    item: Item | None


@dataclass(frozen=True, slots=True)
class Changes(Generic[Item]):
    """What has changed since a revision.

    :param changes: the changes in order.
    :param revision: the store's revision that they lead to.
    """

    changes: tuple[Change[Item], ...]
    revision: int
