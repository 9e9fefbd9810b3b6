# Licensed under the Apache License 2.0: see LICENSE for details.

"""The store's era, which rises by one each time it is restored from a backup."""

from __future__ import annotations

from collections.abc import Callable
from typing import NewType

Era = NewType("Era", int)
# The era of a store that does not say one, and of what was known before it did.
UNKNOWN_ERA = Era(0)


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
