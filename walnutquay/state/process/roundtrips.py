# Licensed under the Apache License 2.0: see LICENSE for details.

"""How long bytes to and from other VMs take, as a sign of this VM's own link.

A VM whose link is full gets all answers late, whichever VM sends them.  The fastest of
several answers tells of this VM's link; the others may be late for reasons of their
own.
"""

from __future__ import annotations

# A result is valid for so long, and so long a round of questions is waited for;
# seconds.
VALID_SECONDS = 1.0
GIVE_UP_SECONDS = 3.0


class RoundTrips:
    """Times rounds of questions to other VMs, each round by its first answer."""

    def __init__(self) -> None:
        # The number of the last round, and when the rounds that nobody has answered
        # yet were sent; monotonic seconds.
        self.number = 0
        self.unanswered: dict[int, float] = {}
        # The first answer's time, in seconds, and when it came; monotonic seconds.
        self.last = 0.0
        self.measured_at = float("-inf")

    def begin(self, now: float) -> int:
        """Begin a round.

        :param now: monotonic seconds.
        :returns: its number, which answers repeat.
        """
        self.number += 1
        self.unanswered[self.number] = now
        return self.number

    def end(self, number: int, now: float) -> None:
        """Record an answer.

        :param number: its round; 0 from VMs that do not repeat it.
        :param now: monotonic seconds.
        """
        sent_at = self.unanswered.get(number)
        if sent_at is None:
            return
        self.last = now - sent_at
        self.measured_at = now
        # Earlier rounds were lost, or tell less.
        for earlier in [one for one in self.unanswered if one <= number]:
            del self.unanswered[earlier]

    def wait(self, now: float) -> float:
        """Return the last round's time, or that of one under way if it is longer.

        Nothing is known where nobody has answered lately: the other VMs may be gone.

        :param now: monotonic seconds.
        """
        for number, sent_at in list(self.unanswered.items()):
            if now - sent_at > GIVE_UP_SECONDS:
                del self.unanswered[number]
        if now - self.measured_at > GIVE_UP_SECONDS:
            return 0.0
        valid = now - self.measured_at <= VALID_SECONDS
        oldest = min(self.unanswered.values(), default=now)
        return max(self.last if valid else 0.0, now - oldest)
