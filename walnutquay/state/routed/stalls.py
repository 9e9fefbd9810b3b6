# Licensed under the Apache License 2.0: see LICENSE for details.

"""Decides whether work that waits in vain at an endpoint is sent to another one.

The load: one endpoint of several begins a request late or never, or falls silent or
slow within a stream, while the others answer as usual.  Where all of them are slow,
a second attempt would add work and gain nothing, so everything stays where it is.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from walnutquay.state.routed.usualtimes import Usual

# A wait is late from this multiple of the usual one: where the endpoint begins requests
# that came later, where it begins none, and where it still begins earlier ones.
PASSED_OVER_FACTOR = 1.5
SILENT_FACTOR = 2.0
QUEUED_FACTOR = 3.0
# Other endpoints must have answered this many requests that were sent later.
MIN_FRESH = 2
# What has waited for some time is expected to wait as long again; an attempt elsewhere
# must take at most this part of that, as it repeats work.
MAX_COST_SHARE = 0.5
# A shorter wait than this part of the objective costs the caller little.
MIN_OBJECTIVE_SHARE = 0.25
# A stream crawls if its mean pause is this multiple of what is usual.
CRAWL_FACTOR = 3.0
# An answer without news is sent this long before the deadline, for the way back, but
# not sooner than the last part of the time that the caller gave.
ANSWER_MARGIN_SECONDS = 0.04
ANSWER_MARGIN_SHARE = 0.1
# The share of the requests under way that may be moved in a second, and the minimum
# rate of a VM that has few of them; a second.
MOVED_SHARE = 0.2
MIN_MOVED_RATE = 0.5


class Action(Enum):
    """What is done with work that waits at an endpoint."""

    KEEP = "keep"
    MOVE = "move"
    # The caller is told that the outcome is not known.
    END = "end"


class Turnover(Enum):
    """What an endpoint did while a request waited there."""

    # It began requests that were sent later.
    PASSED_OVER = "passed-over"
    SILENT = "silent"
    # It began only requests that were sent earlier.
    QUEUED = "queued"


LATE_FACTORS = {
    Turnover.PASSED_OVER: PASSED_OVER_FACTOR,
    Turnover.SILENT: SILENT_FACTOR,
    Turnover.QUEUED: QUEUED_FACTOR,
}


@dataclass(frozen=True, slots=True)
class Verdict:
    """A decision, with what it was based on.

    :param action: what is done.
    :param limit: the wait that would still be usual; seconds, None if unknown.
    :param elsewhere: the expected duration at another endpoint; seconds.
    """

    action: Action
    limit: float | None = None
    elsewhere: float | None = None


KEEP = Verdict(Action.KEEP)


@dataclass(frozen=True, slots=True)
class HeadWait:
    """A request whose answer has not begun.

    :param waited: since it was sent; seconds.
    :param seconds_left: until its deadline.
    :param allowed: from its arrival to its deadline; seconds.
    :param objective: the time in which answers should begin; seconds.
    :param movable: whether it may be sent to another endpoint.
    :param begun: whether its caller has received a part of the answer.
    :param turnover: what its endpoint did meanwhile.
    :param forecast: the time that was expected at its endpoint; seconds.
    :param reading: the reading time of its prompt at an idle endpoint; seconds.
    """

    waited: float
    seconds_left: float
    allowed: float
    objective: float
    movable: bool
    begun: bool
    turnover: Turnover
    forecast: float = 0.0
    reading: float = 0.0


def judge_head(wait: HeadWait, usual: Usual | None) -> Verdict:
    """Decide about a request whose answer has not begun.

    A request that may not be repeated is only ever ended: its answer counts however
    late it comes, but its caller gets some answer in time.

    :param wait: the request.
    :param usual: the times to the head at other endpoints; None if unknown.
    """
    if not wait.begun and wait.seconds_left <= answer_margin(wait.allowed):
        return Verdict(Action.END)
    if not wait.movable or usual is None:
        return KEEP
    late = LATE_FACTORS[wait.turnover] * max(usual.high, wait.forecast)
    limit = max(late, MIN_OBJECTIVE_SHARE * wait.objective)
    elsewhere = max(usual.middle, wait.reading)
    return _judge(wait.waited, limit, elsewhere, wait.seconds_left, usual.fresh)


@dataclass(frozen=True, slots=True)
class StreamGap:
    """A stream that has begun and is silent.

    :param silent: since its last event; seconds.
    :param seconds_left: until its deadline.
    :param pause: the longest pause that its route accepts; seconds, 0 for any.
    :param reading: the reading time of its prompt at an idle endpoint; seconds.
    """

    silent: float
    seconds_left: float
    pause: float
    reading: float = 0.0


def judge_gap(gap: StreamGap, gaps: Usual | None, heads: Usual | None) -> Verdict:
    """Decide about a stream that is silent.

    :param gap: the stream.
    :param gaps: the longest pauses of streams at other endpoints; None if unknown.
    :param heads: the times to the head at other endpoints; None if unknown.
    """
    if gaps is None or heads is None:
        return KEEP
    limit = max(SILENT_FACTOR * gaps.high, MIN_OBJECTIVE_SHARE * gap.pause)
    elsewhere = max(heads.middle, gap.reading)
    return _judge(gap.silent, limit, elsewhere, gap.seconds_left, gaps.fresh)


@dataclass(frozen=True, slots=True)
class StreamPace:
    """A stream whose events come slowly.

    :param pause: its mean pause of late; seconds.
    :param events: the number of events that its caller has received.
    :param seconds_left: until its deadline.
    :param reading: the reading time of its prompt at an idle endpoint; seconds.
    """

    pause: float
    events: int
    seconds_left: float
    reading: float = 0.0


def judge_pace(
    pace: StreamPace, pauses: Usual | None, lengths: Usual | None, heads: Usual | None
) -> Verdict:
    """Decide about a stream that may not end before its deadline.

    :param pace: the stream.
    :param pauses: the mean pauses of streams at other endpoints; None if unknown.
    :param lengths: the numbers of events of streams that ended; None if unknown.
    :param heads: the times to the head at other endpoints; None if unknown.
    """
    if pauses is None or lengths is None or heads is None:
        return KEEP
    limit = CRAWL_FACTOR * pauses.high
    events_left = lengths.middle - pace.events
    here = events_left * pace.pause
    elsewhere = max(heads.middle, pace.reading) + events_left * pauses.middle
    ends_in_time = here <= pace.seconds_left
    if events_left <= 0 or pace.pause <= limit or ends_in_time:
        return KEEP
    if pauses.fresh < MIN_FRESH or elsewhere >= pace.seconds_left:
        return Verdict(Action.KEEP, limit, elsewhere)
    return Verdict(Action.MOVE, limit, elsewhere)


def _judge(
    waited: float, limit: float, elsewhere: float, seconds_left: float, fresh: int
) -> Verdict:
    helps = elsewhere <= MAX_COST_SHARE * waited and elsewhere < seconds_left
    moves = waited > limit and fresh >= MIN_FRESH and helps
    return Verdict(Action.MOVE if moves else Action.KEEP, limit, elsewhere)


def answer_margin(allowed: float) -> float:
    """Return how long before its deadline a caller is told that nothing is known.

    :param allowed: the time from the request's arrival to its deadline; seconds.
    :returns: seconds.
    """
    return min(ANSWER_MARGIN_SECONDS, ANSWER_MARGIN_SHARE * allowed)


class MoveLimit:
    """Limits how many requests of a VM are moved.

    A moment in which all endpoints are slow must not send all requests twice.
    """

    def __init__(self) -> None:
        self.left = 1.0
        self.counted_at = float("-inf")

    def take(self, under_way: int, now: float) -> bool:
        """Return whether one more request may be moved, and count it if so.

        :param under_way: the number of requests of this VM at endpoints.
        :param now: monotonic seconds.
        """
        rate = max(MIN_MOVED_RATE, MOVED_SHARE * under_way)
        gained = rate * max(0.0, now - self.counted_at)
        self.left = min(max(1.0, rate), self.left + gained)
        self.counted_at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
