# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which new connections a VM takes while it gets far more of them than others.

A balancer may hand most new connections of a region to one VM.  What that VM cannot
serve in time is closed before it is read: its caller comes again at once, by another
VM.  Where all VMs are equally busy, nothing is gained by that, and all are taken.
"""

from __future__ import annotations

import statistics
from collections import deque
from dataclasses import dataclass

from walnutquay.state.process.ids import VmName

# Callers notice a wait of this length before their request is read; seconds.
BUSY_SECONDS = 0.15
# Others count as idle below this part of it.
IDLE_SHARE = 0.5
# This VM gets far more connections than others beyond this multiple of their rate.
SKEW_FACTOR = 2.0
# What others have told of themselves holds for so long, and the rate of connections is
# counted over the same time; seconds.
KNOWN_SECONDS = 1.5
COUNTED_SECONDS = 1.0
# The wait is measured, and connections may be turned away, while at least so many came
# within that time.
MEASURED_CONNECTIONS = 20
# The interval at which the share of connections that is taken changes, what it falls to
# and rises by, and its least value: some are always taken, as others may be full too.
STEP_SECONDS = 0.1
FALL = 0.8
RISE = 0.05
LEAST_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class VmArrivals:
    """What a VM tells of its callers' connections.

    :param per_second: new connections in the last second.
    :param wait: seconds for which a new connection waits until it is accepted.
    """

    per_second: float
    wait: float


class ConnectionGate:
    """Decides whether a new connection is taken."""

    def __init__(self) -> None:
        # The share of new connections that is taken.
        self.share = 1.0
        # When connections came within the last second, and when the share changed last;
        # monotonic seconds.
        self.times: deque[float] = deque()
        self.stepped_at = float("-inf")
        # What other VMs have told, and when; monotonic seconds.
        self.others: dict[VmName, tuple[VmArrivals, float]] = {}

    def takes(self, wait: float, draw: float, now: float) -> bool:
        """Decide about a connection, and count it.

        :param wait: seconds for which new connections wait here.
        :param draw: a random number from 0 to 1.
        :param now: monotonic seconds.
        """
        self.times.append(now)
        if not self.needs_wait(now):
            # Few connections are no queue, whatever the last wait was.
            self.share = 1.0
            return True
        if now - self.stepped_at >= STEP_SECONDS:
            self.stepped_at = now
            self._step(wait, now)
        return draw < self.share

    def own(self, wait: float, now: float) -> VmArrivals:
        """Return what this VM tells others of itself.

        :param wait: seconds for which new connections wait here.
        :param now: monotonic seconds.
        """
        self._drop_old(now)
        return VmArrivals(len(self.times) / COUNTED_SECONDS, wait)

    def hear(self, vm: VmName, arrivals: VmArrivals, now: float) -> None:
        """Record what another VM tells.

        :param vm: the VM.
        :param arrivals: its connections.
        :param now: monotonic seconds.
        """
        self.others[vm] = (arrivals, now)

    def needs_wait(self, now: float) -> bool:
        """Return whether enough connections come for a queue of them.

        :param now: monotonic seconds.
        """
        self._drop_old(now)
        return len(self.times) >= MEASURED_CONNECTIONS

    def is_busy(self, wait: float) -> bool:
        """Return whether callers have to wait until their requests are read.

        :param wait: seconds for which new connections wait here.
        """
        return wait >= BUSY_SECONDS

    def _step(self, wait: float, now: float) -> None:
        if self.is_busy(wait) and self.is_skewed(now):
            self.share = max(LEAST_SHARE, FALL * self.share)
        elif not self.is_busy(wait):
            self.share = min(1.0, self.share + RISE)

    def is_skewed(self, now: float) -> bool:
        """Return whether others are idle, and get far fewer connections.

        :param now: monotonic seconds.
        """
        if not self.others_are_idle(now):
            return False
        told = [arrivals for arrivals, _ in self.others.values()]
        usual = statistics.median(one.per_second for one in told)
        return len(self.times) / COUNTED_SECONDS > SKEW_FACTOR * usual

    def others_are_idle(self, now: float) -> bool:
        """Return whether others have told lately that they can take connections.

        :param now: monotonic seconds.
        """
        self.others = {
            vm: told
            for vm, told in self.others.items()
            if now - told[1] <= KNOWN_SECONDS
        }
        told = [arrivals for arrivals, _ in self.others.values()]
        if not told:
            return False
        wait = statistics.median(one.wait for one in told)
        return wait < IDLE_SHARE * BUSY_SECONDS

    def _drop_old(self, now: float) -> None:
        while self.times and now - self.times[0] > COUNTED_SECONDS:
            self.times.popleft()
