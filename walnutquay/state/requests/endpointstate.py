# Licensed under the Apache License 2.0: see LICENSE for details.

"""The state of one endpoint as one VM sees it."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from walnutquay.state.process.ids import LeavingSource
from walnutquay.state.requests.pace import (
    PaceEstimate,
    PaceTrust,
    Speed,
    correction,
    speeds,
)

# A report older than this is no evidence of the current load.
REPORT_SECONDS = 5.0
# The weight of each new answer in the estimate of an endpoint's speed.
SPEED_WEIGHT = 0.15
# Time constant of the decay to normal of the speed estimate of a little used endpoint.
SPEED_DECAY_SECONDS = 20.0


@dataclass(slots=True)
class EndpointState:
    """The state of one endpoint as one VM sees it.

    :param in_flight: requests of this VM that are running at the endpoint.
    :param reported: running and waiting requests according to its last report.
    :param reported_at: the time of that report; monotonic seconds.
    :param pace: how long work takes there by that report, relative to its usual time;
        None if it does not tell.
    :param told_pace: the estimate from all paces that it told.
    :param pace_trust: whether the paces of its version or service are likely to be
        right; None before any was compared with durations.
    :param failures: the number of consecutive failures.
    :param ejected_at: the time of its last ejection; monotonic seconds.
    :param ejected_until: the end of its last ejection; monotonic seconds.
    :param full_until: the time until which it is treated as full; monotonic seconds.
    :param ejections: the number of consecutive ejections.
    :param slowness: the duration of its answers as a multiple of the baseline, beyond
        what its pace explains.
    :param slowness_at: the time of the last update of ``slowness``; monotonic seconds.
    :param incarnation: the incarnation that it last reported.
    :param leaving: the sources that announced that it is leaving, each with the
        incarnation that it named.
    """

    in_flight: int = 0
    reported: int = 0
    reported_at: float = float("-inf")
    pace: float | None = None
    told_pace: PaceEstimate = field(default_factory=PaceEstimate)
    pace_trust: PaceTrust | None = None
    failures: int = 0
    ejected_until: float = float("-inf")
    ejected_at: float = float("-inf")
    full_until: float = float("-inf")
    ejections: int = 0
    slowness: float = 1.0
    slowness_at: float = float("-inf")
    incarnation: str = ""
    leaving: dict[LeavingSource, str] = field(default_factory=dict)

    def has_free_slot(self, slots: int, now: float) -> bool:
        """Check whether this VM may send the endpoint one more request.

        :param slots: the number of requests that it runs concurrently.
        :param now: monotonic seconds.
        """
        return self.in_flight < slots and self.full_until <= now

    def slow_by(self, now: float) -> float:
        """Estimate the duration of its answers as a multiple of the baseline.

        What the pace explains that the endpoint tells is not included.

        :param now: monotonic seconds.
        """
        if self.slowness_at == float("-inf"):
            return 1.0
        age = max(0.0, now - self.slowness_at)
        decay = math.exp(-age / SPEED_DECAY_SECONDS)
        return 1.0 + (self.slowness - 1.0) * decay

    def learn_speed(self, ratio: float, now: float) -> None:
        """Update the speed estimate with one answer.

        :param ratio: the answer's duration as a multiple of the baseline.
        :param now: monotonic seconds.
        """
        slowness = self.slow_by(now)
        self.slowness = slowness + SPEED_WEIGHT * (ratio - slowness)
        self.slowness_at = now

    def has_pace(self, now: float) -> bool:
        """Return whether the endpoint tells its pace, which is likely to be right.

        :param now: monotonic seconds.
        """
        if self.pace_trust is not None and not self.pace_trust.holds:
            return False
        return self.told_pace.is_known(now)

    def moment_pace(self, now: float) -> float:
        """Estimate how long work takes there now, relative to its nominal time.

        :param now: monotonic seconds.
        :returns: the ratio; 1 if the endpoint does not tell its pace.
        """
        return self.told_pace.at(now) if self.has_pace(now) else 1.0

    def usual_pace(self, now: float) -> float:
        """Estimate how long work usually takes there, relative to its nominal time.

        :param now: monotonic seconds.
        :returns: the ratio; 1 if the endpoint does not tell its pace.
        """
        if not self.has_pace(now):
            return 1.0
        return self.told_pace.usual * correction(self.slow_by(now))

    def load(self, now: float) -> int:
        """Estimate the endpoint's load.

        :param now: monotonic seconds.
        :returns: the number of requests running or waiting at the endpoint.
        """
        if now - self.reported_at > REPORT_SECONDS:
            return self.in_flight
        return max(self.in_flight, self.reported)

    def faded_load(self, usual: float, now: float) -> float:
        """Estimate the load so that an old report counts less than a new one.

        :param usual: the mean load of such endpoints.
        :param now: monotonic seconds.
        :returns: the number of requests running or waiting at the endpoint.
        """
        age = now - self.reported_at
        if age < REPORT_SECONDS:
            usual += (self.reported - usual) * (1.0 - age / REPORT_SECONDS)
        return usual if usual > self.in_flight else float(self.in_flight)


def endpoint_speeds(states: Sequence[EndpointState], now: float) -> list[Speed] | None:
    """Return how long work takes at the endpoints of one version or service.

    :param states: the endpoints.
    :param now: monotonic seconds.
    :returns: their speeds; None if they do not tell their paces, or not rightly.
    """
    paces = [
        state.told_pace if state.pace is not None and state.has_pace(now) else None
        for state in states
    ]
    if not any(paces):
        return None
    return speeds(paces, [state.slow_by(now) for state in states], now)
