# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a VM's network link carries, and how long bytes wait for it.

Nothing on a VM tells how full its link is: what it writes is taken at once and waits
in the system's queues.  The link's speed is known from the settings, and what waits
follows from what was written.
"""

from __future__ import annotations

# What the link carries is counted over this time; seconds.
COUNTED_SECONDS = 1.0


# Bits in a megabit, and in a byte.
MEGABIT = 1_000_000
BYTE_BITS = 8


def bytes_per_second(mbps: float) -> float:
    """Return what a link carries.

    :param mbps: its speed in Mbit/s.
    """
    return mbps * MEGABIT / BYTE_BITS


class FlowRate:
    """Bytes a second in one direction, averaged over the last second or so."""

    def __init__(self) -> None:
        self.rate = 0.0
        self.at = float("-inf")

    def add(self, count: int, now: float) -> None:
        """Count bytes.

        :param count: how many.
        :param now: monotonic seconds.
        """
        self.rate = self.per_second(now) + count / COUNTED_SECONDS
        self.at = now

    def per_second(self, now: float) -> float:
        """Return the rate.

        :param now: monotonic seconds.
        """
        passed = max(0.0, now - self.at)
        return self.rate * max(0.0, 1.0 - passed / COUNTED_SECONDS)


class LinkLoad:
    """Estimates how long bytes that are sent now wait for the VM's link.

    :param capacity: bytes a second that the link carries in each direction; 0 where
        that is not known, and nothing is estimated.
    """

    def __init__(self, capacity: float = 0.0) -> None:
        self.capacity = capacity
        self.sent = FlowRate()
        self.received = FlowRate()
        # Bytes that had been sent and not yet carried, and when; monotonic seconds.
        self.backlog = 0.0
        self.at = 0.0

    def send(self, count: int, now: float) -> None:
        """Count bytes that this VM has handed to the system.

        :param count: how many.
        :param now: monotonic seconds.
        """
        self.sent.add(count, now)
        self._carry(now)
        self.backlog += count

    def receive(self, count: int, now: float) -> None:
        """Count bytes that have arrived.

        :param count: how many.
        :param now: monotonic seconds.
        """
        self.received.add(count, now)

    def wait(self, now: float) -> float:
        """Return for how many seconds bytes that are sent now wait.

        :param now: monotonic seconds.
        """
        if not self.capacity:
            return 0.0
        self._carry(now)
        return self.backlog / self.capacity

    def _carry(self, now: float) -> None:
        carried = self.capacity * max(0.0, now - self.at)
        self.backlog = max(0.0, self.backlog - carried)
        self.at = now
