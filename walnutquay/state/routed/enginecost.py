# Licensed under the Apache License 2.0: see LICENSE for details.

"""What sending a prompt to an engine costs, where engines tell how fast they work.

The load that this answers: engines differ in speed and change it for moments, and long
prompts arrive beside short ones.  An engine reads prompts in pieces between the events
of its running streams, so a prompt that takes long to read makes them pause.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

# A stream's chance to be late by a pause grows with this power of the reading time that
# is queued, relative to the pause aim: brief readings do no harm, and one that exceeds
# the aim makes all streams late.
HARM_POWER = 4
# The cost of an engine all of whose slots are in use, relative to that of an answer
# that begins just in time: streams are slower there, and a burst would have to queue.
FULL_COST = 0.25
# Times that differ by less than this part of the objective are equal to a caller.
EQUAL_SHARE = 0.05
# VMs see the same reports.  Each draws two of this many equal engines and takes the
# better one, so that they do not all choose the same.
MAX_EQUAL = 8


@dataclass(slots=True)
class EngineLoad:
    """What is known of one engine, whichever prompt it is sent.

    :param wait: the reading time that is queued there; seconds.
    :param streams: the number of streams that run there.
    :param busy: the part of its slots that is in use, more where work takes long.
    :param hall_cost: the cost of sending a prompt to its data hall.
    """

    wait: float
    streams: float
    busy: float
    hall_cost: float


@dataclass(frozen=True, slots=True)
class PromptAims:
    """What the caller of a prompt expects.

    :param begin: the objective for the beginning of the answer; seconds.
    :param pause: the longest acceptable pause of a stream; seconds; 0 if there is none.
    """

    begin: float
    pause: float


def late_chance(queued: float, pause: float) -> float:
    """Estimate the chance that a stream pauses for too long.

    :param queued: the reading time that is queued at its engine; seconds.
    :param pause: the longest acceptable pause; seconds; 0 if there is none.
    """
    if pause <= 0.0:
        return 0.0
    return 1.0 if queued >= pause else (queued / pause) ** HARM_POWER


def engine_costs(
    loads: Sequence[EngineLoad], readings: Sequence[float], aims: PromptAims
) -> list[float]:
    """Return the cost of sending a prompt to each engine.

    An answer that begins just in time costs 1, and so does a stream that is made late.

    :param loads: what is known of the engines.
    :param readings: the time that each of them needs to read the prompt; seconds.
    :param aims: what the prompt's caller expects.
    """
    begin, pause = max(aims.begin, 1e-3), aims.pause
    costs = []
    for load, reading in zip(loads, readings, strict=True):
        wait = load.wait
        until_begin = (wait + reading) / begin
        before = late_chance(wait, pause)
        added = late_chance(wait + reading, pause) - before
        costs.append(
            until_begin * until_begin
            + before
            + load.streams * added
            + FULL_COST * load.busy * load.busy
            + load.hall_cost
        )
    return costs


def choose_engine(
    costs: Sequence[float], nominal: Sequence[float], rng: random.Random
) -> int:
    """Choose one of the engines that are about equally good for a prompt.

    Engines that would have to read more of the prompt than the best are no equals.

    :param costs: the cost of each engine.
    :param nominal: the time that each needs to read the prompt at the nominal speed;
        seconds.
    :param rng: the random number generator.
    :returns: the index of the engine.
    """
    lowest = min(costs)
    best = costs.index(lowest)
    bound = (lowest**0.5 + EQUAL_SHARE) ** 2
    equal = [
        index
        for index, cost in enumerate(costs)
        if cost <= bound and nominal[index] <= nominal[best]
    ]
    if len(equal) < 2:
        return best
    equal.sort(key=costs.__getitem__)
    count = min(MAX_EQUAL, len(equal))
    first, second = rng.randrange(count), rng.randrange(count)
    return equal[min(first, second)]
