# Licensed under the Apache License 2.0: see LICENSE for details.

"""Counts and tables of which the late entries matter most."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


@dataclass(slots=True)
class RecentCounts:
    """Good and bad outcomes, of which late ones weigh more once there are many.

    :param limit: outcomes that they stand for at the most.
    :param good: good ones.
    :param bad: bad ones.
    """

    limit: float
    good: float = 0.0
    bad: float = 0.0

    @property
    def seen(self) -> float:
        """How many outcomes they stand for."""
        return self.good + self.bad

    def record(self, good: int, bad: int) -> None:
        """:param good: good outcomes.

        :param bad: bad ones.
        """
        self.good += good
        self.bad += bad
        if self.seen > self.limit:
            share = self.limit / self.seen
            self.good *= share
            self.bad *= share


class LruTable(Generic[Key, Value]):
    """A table of bounded size, in which what was used longest ago gives way.

    Callers name many of our keys, so no table of theirs may grow without end.

    :param limit: entries to keep.
    :param make: makes the value of a new key.
    """

    def __init__(self, limit: int, make: Callable[[], Value]) -> None:
        self.limit = limit
        self.make = make
        self.entries: OrderedDict[Key, Value] = OrderedDict()

    def get(self, key: Key) -> Value | None:
        """:param key: a key.

        :returns: its value, or None.
        """
        return self.entries.get(key)

    def set(self, key: Key, value: Value) -> None:
        """:param key: a key that is used now.

        :param value: what stands for it from now on.
        """
        self.touch(key)
        self.entries[key] = value

    def drop(self, belongs: Callable[[Key], bool]) -> None:
        """:param belongs: tells whether a key is to be forgotten."""
        for key in [key for key in self.entries if belongs(key)]:
            del self.entries[key]

    def touch(self, key: Key) -> Value:
        """:param key: a key that is used now.

        :returns: its value, made where there was none.
        """
        value = self.entries.get(key)
        if value is None:
            value = self.entries[key] = self.make()
        self.entries.move_to_end(key)
        if len(self.entries) > self.limit:
            self.entries.popitem(last=False)
        return value
