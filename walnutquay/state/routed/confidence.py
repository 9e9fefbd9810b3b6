# Licensed under the Apache License 2.0: see LICENSE for details.

"""The probability that an answer is good, given the model's confidence in it.

The router gets no feedback on whether an answer was good enough.  Each model reports
its confidence in its own answer, from 0 to 100; if a larger model answers the same
request, it reports its confidence too.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# The end of the scale, and the confidence at which a good and a bad answer are equally
# likely.
MAX_CONFIDENCE = 100.0
EVEN_CONFIDENCE = 50.0
# The scatter (standard deviation) of confidence around the answer's actual merit that
# is assumed until it has been estimated; points.  One scatter above the middle of the
# scale, an answer is good in five cases of six.
INITIAL_SCATTER = 15.0
# The number of bins into which the scale is divided.
BINS = 10
# The weight of an initial guess, as a number of observations.
GUESS_COUNT = 4.0
# Older observations fade: about the last hundred determine an estimate.
MAX_COUNT = 100.0


def chance_good(confidence: float, scatter: float = INITIAL_SCATTER) -> float:
    """Return the probability that an answer is good enough.

    :param confidence: the model's confidence in its answer, 0 to 100.
    :param scatter: the standard deviation of confidence around the answer's actual
        merit; points.
    """
    return 0.5 * (
        1.0 + math.erf((confidence - EVEN_CONFIDENCE) / (scatter * math.sqrt(2.0)))
    )


def is_unclipped(confidence: float) -> bool:
    """Return whether a confidence lies strictly between the ends of the scale.

    :param confidence: a model's confidence in its answer.
    """
    return 0.0 < confidence < MAX_CONFIDENCE


def bin_of(confidence: float) -> int:
    """Return the bin of the scale that a confidence falls into, starting from 0.

    :param confidence: a model's confidence in its answer.
    """
    return min(BINS - 1, max(0, int(confidence / MAX_CONFIDENCE * BINS)))


@dataclass(slots=True)
class FadingMean:
    """A mean with fading observations, combined with an initial guess.

    The guess is not stored, so it may differ from call to call.

    :param total: the faded sum of the observations.
    :param count: the faded number of observations.
    """

    total: float = 0.0
    count: float = 0.0

    def add(self, observation: float) -> None:
        """Add an observation.

        :param observation: its value.
        """
        if self.count >= MAX_COUNT:
            remaining = (MAX_COUNT - 1.0) / self.count
            self.total *= remaining
            self.count *= remaining
        self.total += observation
        self.count += 1.0

    def value(self, guess: float) -> float:
        """Return the mean, which stays close to the guess while there are few values.

        :param guess: the value that is expected without observations.
        """
        return (guess * GUESS_COUNT + self.total) / (GUESS_COUNT + self.count)
