# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a model's own opinion of its answer says about how good the answer is.

Nobody tells whether an answer was good enough.  A model says how sure it is, from 0
to 100; where a larger one answers the same request, it says so too.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# The scale's end, and the opinion that says that either is as likely.
FULL = 100.0
EVEN = 50.0
# How far opinions are taken to scatter around what an answer deserves until that is
# known, in points: one such step above the middle they are right five times in six.
INITIAL_SCATTER = 15.0
# Steps of the scale that are told apart.
STEPS = 10
# Observations that a first guess counts as.
GUESS_COUNT = 4.0
# Older observations fade: the last hundred or so decide.
MEMORY = 100.0


def chance_good(opinion: float, scatter: float = INITIAL_SCATTER) -> float:
    """:param opinion: a model's opinion of its answer, 0 to 100.

    :param scatter: how far opinions scatter around what an answer deserves; points.
    :returns: the chance that the answer is good enough.
    """
    return 0.5 * (1.0 + math.erf((opinion - EVEN) / (scatter * math.sqrt(2.0))))


def inside(opinion: float) -> bool:
    """:param opinion: an opinion.

    :returns: whether it is not cut off at an end of the scale.
    """
    return 0.0 < opinion < FULL


def step_of(opinion: float) -> int:
    """:param opinion: an opinion.

    :returns: its step of the scale, from 0.
    """
    return min(STEPS - 1, max(0, int(opinion / FULL * STEPS)))


@dataclass(slots=True)
class FadingMean:
    """A mean in which older observations fade, beside a guess that may change.

    :param total: the sum of the observations, faded.
    :param count: how many they stand for.
    """

    total: float = 0.0
    count: float = 0.0

    def add(self, seen: float) -> None:
        """:param seen: a new observation."""
        if self.count >= MEMORY:
            left = (MEMORY - 1.0) / self.count
            self.total *= left
            self.count *= left
        self.total += seen
        self.count += 1.0

    def value(self, guess: float) -> float:
        """:param guess: what is expected without observations.

        :returns: the mean, drawn to the guess while there are few.
        """
        return (guess * GUESS_COUNT + self.total) / (GUESS_COUNT + self.count)
