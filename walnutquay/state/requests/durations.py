# Licensed under the Apache License 2.0: see LICENSE for details.

"""How long each class of request usually takes, to tell what is slow."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.state.process.counts import LatestTable

# An answer is slow that takes this many times as long as usual.
SLOW_FACTOR = 2.0
# What is usual is known after so many answers, and follows with this weight.
MIN_SAMPLES = 5
WEIGHT = 0.1
# Classes are named by callers, so their number is bounded.
MAX_CLASSES = 1000


@dataclass(slots=True)
class _Pace:
    """The running mean of one class."""

    seconds: float = 0.0
    seen: int = 0


class DurationTable:
    """The usual time of each class, learnt from a version that is trusted."""

    def __init__(self) -> None:
        self.means: LatestTable[str, _Pace] = LatestTable(MAX_CLASSES, _Pace)

    def learn(self, request_class: str, seconds: float) -> None:
        """:param request_class: the caller's class of request.

        :param seconds: how long the trusted version took.
        """
        pace = self.means.touch(request_class)
        pace.seen += 1
        weight = max(WEIGHT, 1 / pace.seen)
        pace.seconds += weight * (seconds - pace.seconds)

    def ratio(self, request_class: str, seconds: float) -> float | None:
        """:param request_class: the caller's class of request.

        :param seconds: how long an answer took.
        :returns: how many times as long as usual; None where that is not known.
        """
        pace = self.means.get(request_class)
        if pace is None or pace.seen < MIN_SAMPLES or not pace.seconds:
            return None
        return seconds / pace.seconds

    def is_slow(self, request_class: str, seconds: float) -> bool | None:
        """:param request_class: the caller's class of request.

        :param seconds: how long an answer took.
        :returns: whether that is slow; None where it is not known what is usual.
        """
        ratio = self.ratio(request_class, seconds)
        return None if ratio is None else ratio > SLOW_FACTOR
