# Licensed under the Apache License 2.0: see LICENSE for details.

"""Revisions of the store, ordered across restores of the store from a backup.

A restore sets the store's revision back, and the same numbers are given out again, for
other changes.  Each restore begins a new era; within an era, revisions only rise.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NewType

Era = NewType("Era", int)
# The era of a store that does not name one, and of what was known before it did.
UNKNOWN_ERA = Era(0)
# The bits of a fence that hold the revision's number; the era is above them.
FENCE_NUMBER_BITS = 40


@dataclass(frozen=True, order=True, slots=True)
class StoreRevision:
    """A revision of the store; any revision of a later era is higher.

    :param era: the era.
    :param number: the revision within the era; 0 for the time before any change.
    """

    era: Era
    number: int

    def __bool__(self) -> bool:
        """Return whether it is a revision that the store has given to a change."""
        return self.number > 0

    def __str__(self) -> str:
        """Return its era and number as text."""
        return f"{self.era}/{self.number}"

    @property
    def fence(self) -> int:
        """The revision as one number, which is never given out twice."""
        return (self.era << FENCE_NUMBER_BITS) | self.number


# The revision of what does not exist, and of whoever knows nothing.
NOTHING_STORED = StoreRevision(UNKNOWN_ERA, 0)


class EraTracker:
    """The highest era of the store that this process knows of."""

    def __init__(self) -> None:
        self.current = UNKNOWN_ERA
        # Called with the new era each time the store is found to have been restored.
        self.restore_listeners: list[Callable[[Era], None]] = []

    def observe(self, era: Era) -> None:
        """Apply an era that an answer of the store, or another VM, has named.

        The first era that is named is no restore: nothing was known before it.

        :param era: the era.
        """
        if era <= self.current:
            return
        before, self.current = self.current, era
        if before == UNKNOWN_ERA:
            return
        for listener in self.restore_listeners:
            listener(era)

    def is_current(self, revision: StoreRevision) -> bool:
        """Return whether no restore is known since a revision.

        :param revision: the revision.
        """
        return revision.era >= self.current
