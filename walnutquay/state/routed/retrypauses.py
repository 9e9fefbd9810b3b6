# Licensed under the Apache License 2.0: see LICENSE for details.

"""The pause before a request is retried after a quick failure.

The load: for some seconds endpoints reset each connection, and a request that is
retried at once uses up its attempts within milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

# A failure is quick if the attempt took less than this part of the objective.
QUICK_SHARE = 0.1
# The first pause, and the longest, as parts of the objective.
FIRST_SHARE = 0.025
MAX_SHARE = 0.1
# Each pause is this multiple of the one before.
GROWTH = 4.0
# Pauses vary by this part of their length, so that requests do not return together.
SPREAD = 0.5
# A caller whose answer takes longer than this part of the time left cannot wait.
MAX_LEFT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class QuickFailure:
    """An attempt that failed.

    :param attempts: the number of attempts so far.
    :param took: how long the last attempt took; seconds.
    :param age: since the request arrived; seconds.
    :param seconds_left: until its deadline.
    :param objective: the time in which its answer should begin; seconds.
    :param expected: the expected duration of an attempt; seconds.
    :param begun: whether its caller has received a part of the answer.
    """

    attempts: int
    took: float
    age: float
    seconds_left: float
    objective: float
    expected: float
    begun: bool = False


def retry_pause(failure: QuickFailure, chance: float) -> float:
    """Return how long to wait before the next attempt.

    A caller that reads a stream is not kept waiting: it counts each pause.

    :param failure: the attempt that failed.
    :param chance: a random number from 0 to 1.
    :returns: seconds; 0 where the wait would miss the objective or the deadline.
    """
    if failure.begun or failure.took >= QUICK_SHARE * failure.objective:
        return 0.0
    share = FIRST_SHARE * GROWTH ** max(0, failure.attempts - 1)
    longest = min(MAX_SHARE, share) * failure.objective
    pause = longest * (1.0 - SPREAD * chance)
    needed = pause + failure.expected
    in_time = failure.age + needed <= failure.objective
    if not in_time or needed > MAX_LEFT_SHARE * failure.seconds_left:
        return 0.0
    return pause
