# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sessions that stay on the old version although their hash selects the new one."""

from __future__ import annotations

from collections.abc import Iterable

# The most sessions that one VM announces; their hashes fill half of a datagram.  A VM
# of the largest size keeps some 30.
MAX_OWN = 4_000
# The most sessions received from all other VMs; each takes 100 bytes by tracemalloc.
MAX_RECEIVED = 50_000


class KeptSessions:
    """The hashes of sessions that all VMs leave on the old version.

    A session's hash decides whether it is assigned to the new version; see
    :func:`walnutquay.state.trials.hashing.session_hash`.
    """

    def __init__(self) -> None:
        # Sessions kept by this VM, with the time from which; monotonic seconds.
        self.own: dict[int, float] = {}
        # Sessions kept by other VMs, with the time when this was first received.
        self.received: dict[int, float] = {}

    def keep(self, session_hash: int, now: float) -> bool:
        """Keep a session that this VM has sent to the old version.

        :param session_hash: the session's hash.
        :param now: monotonic seconds.
        :returns: whether the session is newly kept and has to be announced.
        """
        if (
            session_hash in self.own
            or session_hash in self.received
            or len(self.own) >= MAX_OWN
        ):
            return False
        self.own[session_hash] = now
        return True

    def receive(self, session_hashes: Iterable[int], now: float) -> int:
        """Add the sessions that another VM keeps.

        :param session_hashes: the sessions' hashes.
        :param now: monotonic seconds.
        :returns: the number of sessions added.
        """
        before = len(self.received)
        for session_hash in session_hashes:
            if len(self.received) >= MAX_RECEIVED:
                break
            if session_hash not in self.own:
                self.received.setdefault(session_hash, now)
        return len(self.received) - before

    def since(self, session_hash: int) -> float | None:
        """Return the time from which this VM has known that a session is kept.

        :param session_hash: the session's hash.
        :returns: monotonic seconds; None if the session is not kept.
        """
        return self.own.get(session_hash, self.received.get(session_hash))

    def all(self) -> tuple[int, ...]:
        """Return the hashes of all sessions that are known to be kept."""
        return (*self.own, *self.received)
