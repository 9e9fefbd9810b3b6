# Licensed under the Apache License 2.0: see LICENSE for details.

"""The time after a restore of the store in which VMs write again what it has lost.

A VM learns of a restore by its own calls or by the heartbeats of the others.  Until all
of them had the time to write again what they know, nothing that the store does not have
is taken for new.
"""

from __future__ import annotations

from walnutquay.coordination.own.platform import Platform
from walnutquay.state.fleet.membership import MemberUpdate
from walnutquay.state.process.revisions import Era
from walnutquay.transport.timers import monotonic

# Heartbeats reach all VMs of a fleet within some two seconds.
SETTLE_SECONDS = 5.0


class Restores:
    """The last restore of the store, as far as this VM knows.

    :param platform: the client of the platform's value store.
    """

    def __init__(self, platform: Platform) -> None:
        self.eras = platform.eras
        # When the store was first known to be restored; monotonic seconds.
        self.restored_at = float("-inf")
        self.eras.restore_listeners.append(self._on_restored)

    def _on_restored(self, era: Era) -> None:
        self.restored_at = monotonic()

    def on_update(self, update: MemberUpdate, direct: bool) -> None:
        """Apply what a heartbeat tells of the store's era.

        :param update: an update on a member.
        :param direct: whether that member sent it itself.
        """
        self.eras.observe(update.era)
        if update.era and update.era == self.eras.current:
            # A VM that has just started does not know of a restore before that.
            told = monotonic() - update.restored_age
            self.restored_at = max(self.restored_at, told)

    def age(self) -> float:
        """Return the seconds since the last restore that is known."""
        return monotonic() - self.restored_at

    @property
    def settling(self) -> bool:
        """Whether VMs may not have written again yet what the store has lost."""
        return self.age() < SETTLE_SECONDS
