# Licensed under the Apache License 2.0: see LICENSE for details.

"""How long recent work took, by kind of work and endpoint."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

from walnutquay.state.process.counts import LruTable

# The number of answers of one kind that are kept, over all endpoints.
MAX_ANSWERS = 48
# Fewer answers than this tell nothing about what is usual.
MIN_ANSWERS = 5
# Older answers tell nothing about the present load; seconds.
MAX_AGE_SECONDS = 20.0
# The quantile that still counts as usual.
HIGH_QUANTILE = 0.95
# Callers name models, so the number of kinds is bounded.
MAX_KINDS = 1000


@dataclass(frozen=True, slots=True)
class Duration:
    """How long an endpoint took for something, or how much it gave.

    :param endpoint: the endpoint.
    :param value: the duration in seconds, or the number of a stream's events.
    :param started: when the work was sent there; monotonic seconds.
    :param at: when this was measured; monotonic seconds.
    """

    endpoint: str
    value: float
    started: float
    at: float


@dataclass(frozen=True, slots=True)
class Usual:
    """What is usual at the endpoints that have not yet been tried.

    :param middle: the median, in the unit of what was learned.
    :param high: what few answers exceed, in the same unit.
    :param age: the age of the newest answer; seconds.
    :param fresh: how many were sent after the work that is compared, and answered.
    """

    middle: float
    high: float
    age: float
    fresh: int


class RecentTimes:
    """The latest durations of each kind of work.

    They grow as all endpoints become slow, so that a slow moment of the whole service
    makes no request look stalled.
    """

    def __init__(self) -> None:
        self.kinds: LruTable[str, deque[Duration]] = LruTable(
            MAX_KINDS, lambda: deque(maxlen=MAX_ANSWERS)
        )

    def learn(self, kind: str, duration: Duration) -> None:
        """Record a duration.

        :param kind: the kind of work.
        :param duration: how long it took.
        """
        self.kinds.touch(kind).append(duration)

    def elsewhere(
        self, kind: str, tried: Collection[str], started: float, now: float
    ) -> Usual | None:
        """Return what is usual at the endpoints that have not yet been tried.

        :param kind: the kind of work.
        :param tried: the endpoints whose answers don't count.
        :param started: when the work that is compared was sent; monotonic seconds.
        :param now: monotonic seconds.
        :returns: what is usual; None if too few recent answers are known.
        """
        found = [
            item
            for item in self.kinds.get(kind) or ()
            if item.endpoint not in tried and now - item.at <= MAX_AGE_SECONDS
        ]
        if len(found) < MIN_ANSWERS:
            return None
        values = sorted(item.value for item in found)
        return Usual(
            middle=values[len(values) // 2],
            high=values[int(HIGH_QUANTILE * len(values))],
            age=now - max(item.at for item in found),
            fresh=sum(item.started >= started for item in found),
        )

    def answered_since(self, kind: str, endpoint: str, started: float) -> list[bool]:
        """Return which answers an endpoint gave while some work has waited there.

        :param kind: the kind of work.
        :param endpoint: the endpoint.
        :param started: when the work that waits was sent there; monotonic seconds.
        :returns: for each answer, whether its request was sent after that work.
        """
        return [
            item.started > started
            for item in self.kinds.get(kind) or ()
            if item.endpoint == endpoint and item.at > started
        ]
