# Licensed under the Apache License 2.0: see LICENSE for details.

"""Baseline durations of each class of request, used to detect slow answers."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.state.process.counts import LruTable

# An answer is slow if it takes more than this many times the baseline duration.
SLOW_FACTOR = 2.0
# A baseline needs this many answers; each new answer has at least this weight.
MIN_SAMPLES = 5
WEIGHT = 0.1
# Callers name the classes, so their number is bounded.
MAX_CLASSES = 1000


@dataclass(slots=True)
class _MeanDuration:
    """The running mean duration of one class."""

    seconds: float = 0.0
    seen: int = 0


class DurationTable:
    """The baseline duration of each class, measured on a trusted version."""

    def __init__(self) -> None:
        self.means: LruTable[str, _MeanDuration] = LruTable(MAX_CLASSES, _MeanDuration)

    def learn(self, request_class: str, seconds: float) -> None:
        """Update the baseline of a class with one answer.

        :param request_class: the caller's class of request.
        :param seconds: the duration of the trusted version's answer.
        """
        mean = self.means.touch(request_class)
        mean.seen += 1
        weight = max(WEIGHT, 1 / mean.seen)
        mean.seconds += weight * (seconds - mean.seconds)

    def ratio(self, request_class: str, seconds: float) -> float | None:
        """Return the duration of an answer as a multiple of the baseline.

        :param request_class: the caller's class of request.
        :param seconds: the duration of the answer.
        :returns: the ratio, or None if there is no baseline yet.
        """
        mean = self.means.get(request_class)
        if mean is None or mean.seen < MIN_SAMPLES or not mean.seconds:
            return None
        return seconds / mean.seconds

    def is_slow(self, request_class: str, seconds: float) -> bool | None:
        """Check whether an answer was slow.

        :param request_class: the caller's class of request.
        :param seconds: the duration of the answer.
        :returns: whether the answer was slow, or None if there is no baseline yet.
        """
        ratio = self.ratio(request_class, seconds)
        return None if ratio is None else ratio > SLOW_FACTOR
