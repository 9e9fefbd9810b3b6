# Licensed under the Apache License 2.0: see LICENSE for details.

"""Decaying counts, and tables that evict the least recently used entries."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


@dataclass(slots=True)
class RecentCounts:
    """Counts of good and bad outcomes; beyond a limit, recent ones weigh more.

    :param limit: the maximum total weight of the outcomes.
    :param good: the weight of the good outcomes.
    :param bad: the weight of the bad outcomes.
    """

    limit: float
    good: float = 0.0
    bad: float = 0.0

    @property
    def seen(self) -> float:
        """The total weight of the outcomes."""
        return self.good + self.bad

    def record(self, good: int, bad: int) -> None:
        """Add outcomes, and scale all of them down if they exceed the limit.

        :param good: the number of good outcomes.
        :param bad: the number of bad outcomes.
        """
        self.good += good
        self.bad += bad
        if self.seen > self.limit:
            factor = self.limit / self.seen
            self.good *= factor
            self.bad *= factor


class LruTable(Generic[Key, Value]):
    """A table of bounded size that evicts the least recently used entry.

    Callers choose many of the keys, so a table without a bound could grow without
    limit.

    :param limit: the maximum number of entries.
    :param make: a function that returns the value for a new key.
    """

    def __init__(self, limit: int, make: Callable[[], Value]) -> None:
        self.limit = limit
        self.make = make
        self.entries: OrderedDict[Key, Value] = OrderedDict()

    def get(self, key: Key) -> Value | None:
        """Return the value of a key, or None, without marking the key as used.

        :param key: the key.
        """
        return self.entries.get(key)

    def set(self, key: Key, value: Value) -> None:
        """Set the value of a key and mark the key as used.

        :param key: the key.
        :param value: the new value.
        """
        self.touch(key)
        self.entries[key] = value

    def drop(self, matches: Callable[[Key], bool]) -> None:
        """Remove the entries whose keys match a predicate.

        :param matches: a function that returns whether to remove a key.
        """
        for key in [key for key in self.entries if matches(key)]:
            del self.entries[key]

    def touch(self, key: Key) -> Value:
        """Mark a key as used and return its value, creating it if necessary.

        :param key: the key.
        """
        value = self.entries.get(key)
        if value is None:
            value = self.entries[key] = self.make()
        self.entries.move_to_end(key)
        if len(self.entries) > self.limit:
            self.entries.popitem(last=False)
        return value
