# Licensed under the Apache License 2.0: see LICENSE for details.

"""How long work takes at an endpoint now, estimated from the pace that it tells."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

# A figure outside these bounds is clipped, so that an absurd one costs little.
MIN_PACE, MAX_PACE = 0.25, 4.0
# A told pace is evidence of the moment for this long, less with its age: an endpoint's
# pace changes several times in as many seconds.
MOMENT_SECONDS = 0.6
# The usual pace is the median of this many samples, one for each moment at most, so
# that a slow moment with many answers counts once.
USUAL_SAMPLES = 15
# A pace that was told longer ago than this counts as missing.
KEPT_SECONDS = 60.0
# Observed durations correct the pace only as far as they differ from it by more than
# this factor, because the load and the size of requests change them too.
TOLERANCE = 1.25
# The paces of a service are used while they explain at least this part of what they
# would if they were right; more than chance shows, less than load may hide.
MIN_EXPLAINED = 0.25
# The weight that an answer keeps with each later one, so that some hundreds decide.
KEPT_WEIGHT = 0.998
# Paces count as right at first, with the weight of a dozen answers: fewer do not tell a
# wrong pace from requests that differ.
FIRST_WEIGHT = 3.0
# A longer or shorter duration is no better evidence than this logarithm of its ratio.
MAX_LOG_RATIO = 1.0


@dataclass(slots=True)
class PaceEstimate:
    """The pace that one endpoint told; 1 stands for its nominal speed.

    :param told: the last figure, within bounds; None if there is none.
    :param told_at: the time of the last figure; monotonic seconds.
    :param usual: the median of the samples.
    :param sampled_at: the time of the last sample; monotonic seconds.
    :param samples: the last samples.
    """

    told: float | None = None
    told_at: float = float("-inf")
    usual: float = 1.0
    sampled_at: float = float("-inf")
    samples: deque[float] = field(default_factory=lambda: deque(maxlen=USUAL_SAMPLES))

    def learn(self, pace: float | None, now: float) -> None:
        """Apply what the endpoint told in an answer.

        :param pace: how long work takes there, relative to its nominal time; None if
            it does not tell.
        :param now: monotonic seconds.
        """
        if pace is None or math.isnan(pace):
            self.told = None
            return
        self.told = min(MAX_PACE, max(MIN_PACE, pace))
        self.told_at = now
        if now - self.sampled_at < MOMENT_SECONDS:
            return
        self.sampled_at = now
        self.samples.append(self.told)
        ordered = sorted(self.samples)
        self.usual = ordered[(len(ordered) - 1) // 2]

    def is_known(self, now: float) -> bool:
        """Return whether the endpoint told its pace not too long ago.

        :param now: monotonic seconds.
        """
        return self.told is not None and now - self.told_at <= KEPT_SECONDS

    def at(self, now: float) -> float:
        """Return the pace of the moment; 1 if it is not known.

        :param now: monotonic seconds.
        """
        if not self.is_known(now):
            return 1.0
        return self.known_at(now)

    def known_at(self, now: float) -> float:
        """Return the pace of the moment, which is known.

        :param now: monotonic seconds.
        """
        assert self.told is not None
        age = now - self.told_at
        if age >= MOMENT_SECONDS:
            return self.usual
        fresh = 1.0 - age / MOMENT_SECONDS
        return self.usual + (self.told - self.usual) * fresh


@dataclass(slots=True)
class PaceTrust:
    """Whether the paces that a service's endpoints tell explain how long answers take.

    It is the slope of a linear regression of the logarithm of durations on that of
    paces: 1 where the paces are right, 0 where they say nothing, less where they
    mislead.

    :param mean: the mean logarithm of the paces.
    :param product: the weighted sum of the products of both logarithms.
    :param square: the weighted sum of the squared logarithms of paces.
    :param from_readings: whether the durations are those of reading prompts at engines
        with no other known work, which say more than those of whole answers.
    """

    mean: float = 0.0
    product: float = FIRST_WEIGHT
    square: float = FIRST_WEIGHT
    from_readings: bool = False

    def learn(self, pace: float, ratio: float) -> None:
        """Learn from an answer.

        :param pace: the pace that its endpoint told.
        :param ratio: its duration as a multiple of the usual one of its kind.
        """
        log_pace = math.log(pace)
        self.mean += (1.0 - KEPT_WEIGHT) * (log_pace - self.mean)
        relative = log_pace - self.mean
        log_ratio = math.log(max(ratio, math.exp(-MAX_LOG_RATIO)))
        log_ratio = min(MAX_LOG_RATIO, log_ratio)
        self.product = KEPT_WEIGHT * self.product + relative * log_ratio
        self.square = KEPT_WEIGHT * self.square + relative * relative

    @property
    def holds(self) -> bool:
        """Whether the paces are used."""
        return self.product > MIN_EXPLAINED * self.square


@dataclass(slots=True)
class Speed:
    """How long work takes at one endpoint, relative to the nominal time.

    :param usual: for work that takes long.
    :param moment: for work that is done at once.
    """

    usual: float
    moment: float

    def seconds(self, nominal: float) -> float:
        """Return how long work takes that begins now.

        :param nominal: its nominal time; seconds.
        """
        # The pace of the moment holds for the beginning of long work only.
        usual_seconds = nominal * self.usual
        if self.moment == self.usual:
            return usual_seconds
        changed = min(nominal, MOMENT_SECONDS / self.moment)
        return usual_seconds + changed * (self.moment - self.usual)


def correction(slowness: float) -> float:
    """Return the factor by which observed durations correct a told pace.

    :param slowness: the observed duration as a multiple of that which the told pace
        suggests.
    """
    if slowness > TOLERANCE:
        return slowness / TOLERANCE
    return min(1.0, slowness * TOLERANCE)


def speeds(
    paces: Sequence[PaceEstimate | None], slownesses: Sequence[float], now: float
) -> list[Speed] | None:
    """Return the speeds of the endpoints of one service.

    An endpoint that does not tell its pace counts like the mean of the others.

    :param paces: what each of them told; None where it does not tell.
    :param slownesses: the observed durations at each of them; see :func:`correction`.
    :param now: monotonic seconds.
    :returns: the speeds; None if the paces do not tell endpoints apart.
    """
    told = [pace.usual for pace in paces if pace is not None]
    if not told:
        return None
    mean = sum(told) / len(told)
    usual = [mean if pace is None else pace.usual for pace in paces]
    moments = [mean if pace is None else pace.known_at(now) for pace in paces]
    lowest, highest = min(*usual, *moments), max(*usual, *moments)
    if highest <= TOLERANCE * lowest:
        return None
    return [
        Speed(pace * factor, moment * factor)
        for pace, moment, factor in zip(
            usual, moments, map(correction, slownesses), strict=True
        )
    ]
