# Licensed under the Apache License 2.0: see LICENSE for details.

"""Whether any engine can begin to answer a prompt before its caller gives up.

The load: all engines have more to read than the caller has time for, or a caller whose
first attempt failed late returns with less time than reading its prompt takes.
"""

from __future__ import annotations

from collections.abc import Iterable

from walnutquay.state.routed.work import PromptWork

# A request is refused only if even this part of the shortest forecast is too long:
# rates of reading are estimates, and a prompt that could be served must not be refused.
CERTAIN_SHARE = 0.5


def earliest_begin(
    work: PromptWork, rate: float, engines: Iterable[tuple[float, float]]
) -> float:
    """Return the time until the first engine could begin, at best; seconds.

    At best the whole shared prefix is cached.

    :param work: the prompt.
    :param rate: the reading rate of its model; seconds a token, 0 if unknown.
    :param engines: for each engine, the seconds of reading queued there, and how long
        work takes there relative to its usual time.
    :returns: seconds; 0 if there is no engine.
    """
    reading = rate * max(0, work.tokens - work.shared_prefix_tokens)
    return min((wait + reading * pace for wait, pace in engines), default=0.0)


def is_hopeless(begin: float, seconds_left: float) -> bool:
    """Return whether an answer certainly begins too late.

    :param begin: the time until it could begin, at best; seconds.
    :param seconds_left: until its caller gives up.
    """
    return CERTAIN_SHARE * begin > seconds_left
