# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sessions that stay on the old version though they fall to the one on trial."""

from __future__ import annotations

from collections.abc import Iterable

# Sessions that one VM tells the others of: their numbers fill half of a datagram.  At
# the largest size a VM keeps some 30.
MAX_OWN = 4_000
# The same of all other VMs together: 100 bytes each, as measured by tracemalloc.
MAX_HEARD = 50_000


class KeptSessions:
    """The numbers of sessions that all VMs leave on the old version.

    A session's number tells whether it falls to the new version, see
    :func:`walnutquay.state.trials.trial.session_hash`.
    """

    def __init__(self) -> None:
        # Kept by this VM, and since when; monotonic seconds.
        self.own: dict[int, float] = {}
        # Kept by others, and when that was heard first.
        self.received: dict[int, float] = {}

    def keep(self, number: int, now: float) -> bool:
        """Keep a session that this VM has sent to the old version.

        :param number: the session's number.
        :param now: monotonic seconds.
        :returns: whether the others do not know it yet.
        """
        if number in self.own or number in self.received or len(self.own) >= MAX_OWN:
            return False
        self.own[number] = now
        return True

    def receive(self, numbers: Iterable[int], now: float) -> int:
        """Take in what another VM keeps.

        :param numbers: the sessions' numbers.
        :param now: monotonic seconds.
        :returns: how many of them were not known.
        """
        before = len(self.received)
        for number in numbers:
            if len(self.received) >= MAX_HEARD:
                break
            if number not in self.own:
                self.received.setdefault(number, now)
        return len(self.received) - before

    def since(self, number: int) -> float | None:
        """:param number: a session's number.

        :returns: since when this VM knows that it is kept; None where it is not.
        """
        return self.own.get(number, self.received.get(number))

    def all(self) -> tuple[int, ...]:
        """:returns: the numbers of all sessions that are known to be kept."""
        return (*self.own, *self.received)
