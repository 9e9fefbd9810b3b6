# Licensed under the Apache License 2.0: see LICENSE for details.

"""When a VM listens for new connections while its network link is full.

A caller sends its request as soon as it is connected, whether or not the VM takes the
connection.  Where these requests alone fill the link, only refused connections
relieve it.  What has been begun is finished first; then connections are taken at a
rate that rises until the link is full again.
"""

from __future__ import annotations

# Callers notice a wait of this length; below the other one the link is free; seconds.
FULL_SECONDS = 0.15
FREE_SECONDS = 0.05
# How often the decision is made; seconds.
TICK_SECONDS = 0.05
# The rate falls to this part of what was taken before, at least to so many connections
# a second, and rises by this factor each tick.
FALL = 0.5
LEAST_PER_SECOND = 5.0
RISE = 1.01
# Some connections are taken at least this often.
LONGEST_PAUSE_SECONDS = 1.0
# The rate is unlimited again once it has not been reached for so long.
CALM_SECONDS = 1.0


class Intake:
    """Decides whether a VM listens."""

    def __init__(self) -> None:
        # New connections a second that are taken.
        self.per_second = float("inf")
        # How many more may be taken before the next tick.
        self.left = float("inf")
        # Since when the link is full; None while it is not.
        self.full_since: float | None = None
        # When the rate was reached last.
        self.reached_at = float("-inf")
        self.ticked_at = float("-inf")

    @property
    def listens(self) -> bool:
        """Whether the VM listens for connections."""
        return self.left > 0.0

    @property
    def is_limited(self) -> bool:
        """Whether connections may be refused."""
        return self.per_second < float("inf")

    def tick(self, wait: float, taken: float, skewed: bool, now: float) -> None:
        """Decide anew.

        :param wait: seconds that bytes take over the link.
        :param taken: new connections in the last second.
        :param skewed: whether other VMs are idle and get far fewer connections.
        :param now: monotonic seconds.
        """
        passed = min(max(0.0, now - self.ticked_at), TICK_SECONDS)
        self.ticked_at = now
        if wait >= FULL_SECONDS and skewed:
            self._fill(taken, now)
            return
        if wait >= FREE_SECONDS and skewed and self._pauses(now):
            return
        self.full_since = None
        if self.is_limited:
            self._rise(passed, now)

    def _pauses(self, now: float) -> bool:
        """Return whether the VM has stopped listening, and not for too long."""
        since = self.full_since
        return since is not None and now - since < LONGEST_PAUSE_SECONDS

    def take(self, now: float) -> bool:
        """Count a connection.

        :param now: monotonic seconds.
        :returns: whether it is taken.
        """
        if not self.is_limited:
            return True
        self.left -= 1.0
        if self.left <= 0.0:
            self.reached_at = now
        return self.left > -1.0

    def _fill(self, taken: float, now: float) -> None:
        """Stop listening, and lower the rate unless that has been done."""
        if self.full_since is None:
            self.full_since = now
            self.per_second = max(LEAST_PER_SECOND, FALL * min(taken, self.per_second))
        elif now - self.full_since >= LONGEST_PAUSE_SECONDS:
            self.full_since = None
            self.left = 1.0
            return
        self.reached_at = now
        self.left = 0.0

    def _rise(self, passed: float, now: float) -> None:
        if now - self.reached_at > CALM_SECONDS:
            self.per_second = self.left = float("inf")
            return
        self.per_second *= RISE
        spare = self.per_second * TICK_SECONDS
        self.left = min(spare, self.left) + self.per_second * passed
