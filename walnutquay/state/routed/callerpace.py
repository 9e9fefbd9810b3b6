# Licensed under the Apache License 2.0: see LICENSE for details.

"""How long a caller keeps its answer waiting."""

from __future__ import annotations

# Endpoints cut an answer off that stays unread for some seconds; after a hold of at
# least this length, in seconds, a broken answer is not the endpoint's fault.
HOLD_SECONDS = 1.0
# An endpoint that lets this VM wait as long, in seconds, has nothing left to send: its
# answer is read up to date, and an earlier hold explains no later break.
CAUGHT_UP_SECONDS = 0.25


class CallerPace:
    """Measures how long a caller holds its answer up.

    :param now: when the answer's head came; monotonic seconds.
    """

    def __init__(self, now: float) -> None:
        self.waiting_since = now
        # The longest hold since the endpoint's answer was read up to date; seconds.
        self.longest_hold = 0.0
        # All holds; seconds.
        self.held = 0.0

    def received(self, now: float) -> None:
        """Record that a part of the answer came.

        :param now: monotonic seconds.
        """
        if now - self.waiting_since >= CAUGHT_UP_SECONDS:
            self.longest_hold = 0.0
        self.waiting_since = now

    def passed_on(self, now: float) -> None:
        """Record that the caller has taken what came last.

        :param now: monotonic seconds.
        """
        hold = now - self.waiting_since
        self.longest_hold = max(self.longest_hold, hold)
        self.held += hold
        self.waiting_since = now

    def explains_break(self) -> bool:
        """Return whether the endpoint may have cut the answer off as unread."""
        return self.longest_hold >= HOLD_SECONDS
