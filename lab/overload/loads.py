# Licensed under the Apache License 2.0: see LICENSE for details.

"""Loads, as parts of what endpoints bear, and when their requests come."""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace

URGENCIES = (0, 1, 2)
# Organisations, with how much they ask relative to each other.
ALIKE: Mapping[str, int] = {"org-a": 1, "org-b": 1}


@dataclass(frozen=True)
class Bounds:
    """What endpoints bear, and what callers expect; seconds.

    :param endpoints: the number of endpoints.
    :param slots: the requests that each runs at once.
    :param queue: the requests that may wait at each.
    :param work: how long a request runs on average.
    :param spread: by which part of that it may run longer or less long.
    :param aim: until when an answer is in time.
    :param deadline: when a caller gives up.
    """

    endpoints: int = 3
    slots: int = 6
    queue: int = 24
    work: float = 0.25
    spread: float = 0.5
    aim: float = 0.6
    deadline: float = 2.4

    @property
    def rate(self) -> float:
        """What all endpoints bear at their usual pace; requests a second."""
        return self.endpoints * self.slots / self.work

    def scaled(self, factor: float) -> Bounds:
        """Return the same with all times longer by a factor."""
        return replace(
            self,
            work=self.work * factor,
            aim=self.aim * factor,
            deadline=self.deadline * factor,
        )


@dataclass(frozen=True)
class Phase:
    """A time with one load.

    :param seconds: how long it takes, at the scale 1.
    :param load: what is asked, as a part of what the endpoints bear.
    """

    seconds: float
    load: float


@dataclass(frozen=True)
class Load:
    """A load.

    :param phases: its phases, one after another.
    :param organisations: who asks, with how much relative to each other.
    :param slow_seconds: how long each endpoint in turn is slow, at the scale 1; 0 if
        none is.
    :param slowness: how much longer work takes there.
    """

    phases: tuple[Phase, ...]
    organisations: Mapping[str, int] = field(default_factory=lambda: ALIKE)
    slow_seconds: float = 0.0
    slowness: float = 2.5

    def bears(self, bounds: Bounds) -> float:
        """Return what the endpoints bear; requests a second."""
        if not self.slow_seconds:
            return bounds.rate
        usual = bounds.endpoints - 1 + 1 / self.slowness
        return bounds.rate * usual / bounds.endpoints


LOADS: Mapping[str, Load] = {
    "0.75": Load((Phase(10.0, 0.75),)),
    "slow": Load((Phase(10.0, 0.8),), slow_seconds=0.6),
    "2.0": Load((Phase(10.0, 2.0),)),
    "greedy": Load((Phase(10.0, 2.0),), organisations={"org-a": 7, "org-b": 1}),
    "burst": Load((Phase(2.0, 3.0), Phase(6.0, 0.6))),
}


@dataclass(frozen=True)
class Arrival:
    """A caller.

    :param at: when it comes; seconds from the begin of the load.
    :param number: its number, from 0.
    :param phase: the number of its phase.
    :param urgency: its rank, where 0 is the most urgent.
    :param organisation: who asks.
    """

    at: float
    number: int
    phase: int
    urgency: int
    organisation: str


def arrivals(load: Load, bounds: Bounds, scale: float, seed: int) -> Iterator[Arrival]:
    """Yield the callers of a load in the order in which they come.

    :param load: the load.
    :param bounds: what the endpoints bear, with the scale applied.
    :param scale: by how much all times are longer.
    :param seed: of all chance.
    """
    rng = random.Random(seed)
    names = list(load.organisations)
    weights = list(load.organisations.values())
    number = 0
    begin = 0.0
    for place, phase in enumerate(load.phases):
        end = begin + phase.seconds * scale
        at = begin + rng.expovariate(phase.load * bounds.rate)
        while at < end:
            (organisation,) = rng.choices(names, weights)
            yield Arrival(at, number, place, rng.choice(URGENCIES), organisation)
            number += 1
            at += rng.expovariate(phase.load * bounds.rate)
        begin = end
