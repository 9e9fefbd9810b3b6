# Licensed under the Apache License 2.0: see LICENSE for details.

"""When refused callers may return, and who does so as told.

Answers lasting overload with callers who return, and those who return at once and
often.  What is promised is a part of the room that is forecast; the rest is left to new
requests.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Hashable, Iterable
from dataclasses import dataclass

from walnutquay.state.routed.slottypes import WorkHash

# The part of the room that is promised to refused callers: what they do not use is
# used by others, and new requests, which can still be in time, get the most.
PROMISED_SHARE = 0.15
# Callers follow a time to return up to this part of the time that they have left.
FOLLOWED_SHARE = 1.0 / 3.0
# Callers return a little early or late: their timers and the way to a VM differ.
EARLY_SECONDS = 0.05
LATE_SECONDS = 0.3
# A caller that is told to return at once would find what refused it.
MIN_RETURN_SECONDS = 0.05
# Promises are this far apart by chance, relative to their interval.
SPREAD = 0.5
MAX_PROMISES = 10_000


@dataclass(frozen=True, slots=True)
class Pool:
    """A part of the room of which promises are made.

    :param key: identifies it.
    :param rate: what it bears; seconds of work a second.
    """

    key: Hashable
    rate: float


class SlotReturns:
    """The times that refused callers were told to return at.

    :param rng: spreads the times.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.times: OrderedDict[WorkHash, float] = OrderedDict()
        # When each pool has room for its next promise; monotonic seconds.
        self.next_at: dict[Hashable, float] = {}

    def came_as_told(self, work: WorkHash, now: float) -> bool:
        """Return whether a caller returns at its time; its promise is used up then.

        :param work: the hash of its work.
        :param now: monotonic seconds.
        """
        at = self.times.get(work)
        if at is None or now < at - EARLY_SECONDS:
            return False
        del self.times[work]
        return now <= at + LATE_SECONDS

    def promise(
        self,
        work: WorkHash,
        seconds: float,
        pools: Iterable[Pool],
        room_in: float,
        in_time_left: float,
        time_left: float,
        now: float,
    ) -> float | None:
        """Return the seconds after which a refused caller finds room, and keep it.

        A caller that has a time keeps it: asking again gives no better one.

        :param work: the hash of its work.
        :param seconds: how long its work takes.
        :param pools: the parts of the room that its return would use.
        :param room_in: seconds until there is room for it at the earliest.
        :param in_time_left: seconds in which its return can still be in time.  Where
            there is room by then, only that is promised: later returns would use the
            same part of the room, and be late.
        :param time_left: seconds until it gives up.
        :param now: monotonic seconds.
        :returns: None where there is none that the caller would follow.
        """
        latest = now + time_left * FOLLOWED_SHARE
        before = self.times.get(work)
        if before is not None and before > now:
            return before - now if before <= latest else None
        pools = [pool for pool in pools if pool.rate > 0.0]
        earliest = now + max(room_in, MIN_RETURN_SECONDS)
        at = max([earliest, *(self.next_at.get(pool.key, earliest) for pool in pools)])
        intervals = [seconds / (PROMISED_SHARE * pool.rate) for pool in pools]
        if not intervals:
            return None
        at += self.rng.uniform(0.0, SPREAD) * min(intervals)
        if earliest <= now + in_time_left:
            latest = min(latest, now + in_time_left)
        if at + seconds > now + time_left or at > latest:
            return None
        for pool, interval in zip(pools, intervals, strict=True):
            start = max(earliest, self.next_at.get(pool.key, earliest))
            self.next_at[pool.key] = start + interval
        self._keep(work, at)
        return at - now

    def forget(self, work: WorkHash) -> None:
        """Remove the promise of a caller that was served.

        :param work: the hash of its work.
        """
        self.times.pop(work, None)

    def remove_ended(self, now: float) -> None:
        """Remove what is over.

        :param now: monotonic seconds.
        """
        while self.times:
            work, at = next(iter(self.times.items()))
            if now <= at + LATE_SECONDS:
                break
            del self.times[work]
        ended = [key for key, at in self.next_at.items() if at <= now]
        for key in ended:
            del self.next_at[key]

    def _keep(self, work: WorkHash, at: float) -> None:
        """Keep a promise; the oldest goes where there are too many."""
        self.times.pop(work, None)
        self.times[work] = at
        if len(self.times) > MAX_PROMISES:
            self.times.popitem(last=False)
