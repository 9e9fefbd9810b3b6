# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a VM's network link carries, and how long bytes wait for it.

Nothing on a VM tells how full its link is: what it writes is taken at once and waits
in the system's queues, and what it is sent waits elsewhere.
"""

from __future__ import annotations

from walnutquay.state.process.roundtrips import RoundTrips

# What the link carries is counted over this time; seconds.
COUNTED_SECONDS = 1.0


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
    """What callers' and endpoints' connections carry, and how late other VMs answer."""

    def __init__(self) -> None:
        self.sent = FlowRate()
        self.received = FlowRate()
        self.trips = RoundTrips()

    def send(self, count: int, now: float) -> None:
        """Count bytes that this VM has handed to the system.

        :param count: how many.
        :param now: monotonic seconds.
        """
        self.sent.add(count, now)

    def receive(self, count: int, now: float) -> None:
        """Count bytes that have arrived.

        :param count: how many.
        :param now: monotonic seconds.
        """
        self.received.add(count, now)

    def wait(self, now: float) -> float:
        """Return for how many seconds bytes wait, both ways together.

        :param now: monotonic seconds.
        """
        return self.trips.wait(now)
