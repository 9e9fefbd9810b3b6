# Licensed under the Apache License 2.0: see LICENSE for details.

"""Fleets in simulated time, with prompts that share a part which ends engines.

``python -m lab.crashes.parts`` prints, for several cases and sizes, the engines that
ended, the prompts that reached engines too late, and what became of sound prompts.
"""

from __future__ import annotations

import asyncio
import math
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import click

from lab.crashes.costs import SIZES, Size
from lab.crashes.engines import Engine, Request
from lab.crashes.fleet import CrashFleet, Moment
from walnutquay.coordination.requests.crashes import CrashWatch
from walnutquay.state.process.ids import PartName

# When the parts come first, and when the last request comes.
ONSET_SECONDS = 6.0
END_SECONDS = 26.0
# From the fifth crash on: when no more requests with the part may be sent, and when
# sound ones must be served again.
CONTACT_SECONDS = 3.0
SERVED_SECONDS = 6.0
FIFTH = 5
# Engines that end by themselves: seconds between two of them.
OWN_END_SECONDS = 1.1

Parts = tuple[str, ...]


@dataclass(frozen=True)
class PartCase:
    """What requests with a crashing part, and sound ones, have in common.

    :param name: for people.
    :param bad: the parts of a request that ends engines, but its own.
    :param sound: those of a sound one.
    :param crashing: the parts that end engines.
    :param share: of all requests, those with such a part.
    :param attempts: the sends of one request.
    :param joining: VMs that start after the onset.
    :param alone: whether engines end by themselves as well.
    """

    name: str
    bad: Callable[[Random, int], Parts]
    sound: Callable[[Random, int], Parts]
    crashing: tuple[str, ...] = ("bad",)
    share: float = 0.1
    attempts: int = 3
    joining: int = 0
    alone: bool = False


def _one_of(rng: Random, name: str, count: int) -> str:
    return f"{name}{rng.randrange(count)}"


CASES = (
    PartCase(
        "the part first",
        lambda rng, n: ("bad", _one_of(rng, "q", 20)),
        lambda rng, n: ("s", _one_of(rng, "q", 20)),
    ),
    PartCase(
        "in the middle, all else shared",
        lambda rng, n: ("s", "bad", "t"),
        lambda rng, n: ("s", "t"),
    ),
    PartCase(
        "1 request of 40",
        lambda rng, n: ("s", _one_of(rng, "q", 20), "bad"),
        lambda rng, n: ("s", _one_of(rng, "q", 20)),
        share=0.025,
    ),
    PartCase(
        "half of all",
        lambda rng, n: ("s", "bad"),
        lambda rng, n: ("s", _one_of(rng, "q", 20)),
        share=0.5,
    ),
    PartCase(
        "two such parts",
        lambda rng, n: ("s", _one_of(rng, "bad", 2)),
        lambda rng, n: ("s", _one_of(rng, "q", 20)),
        crashing=("bad0", "bad1"),
        share=0.2,
    ),
    PartCase(
        "behind eight first parts",
        lambda rng, n: (_one_of(rng, "s", 8), "bad"),
        lambda rng, n: (_one_of(rng, "s", 8), _one_of(rng, "q", 20)),
    ),
    PartCase(
        "no retries",
        lambda rng, n: ("s", "bad"),
        lambda rng, n: ("s", _one_of(rng, "q", 20)),
        attempts=1,
    ),
    PartCase(
        "VMs join",
        lambda rng, n: ("s", "bad"),
        lambda rng, n: ("s", _one_of(rng, "q", 20)),
        joining=2,
    ),
    PartCase(
        "beside a rare part that is never without it",
        lambda rng, n: ("s", "rare", "bad"),
        lambda rng, n: ("s", _one_of(rng, "q", 20)),
    ),
    PartCase(
        "beside a part that is rarely without it",
        lambda rng, n: ("s", "rare", "bad"),
        lambda rng, n: ("s", "rare") if n % 20 == 0 else ("s",),
    ),
    PartCase(
        "ten such parts",
        lambda rng, n: ("s", _one_of(rng, "bad", 10)),
        lambda rng, n: ("s", _one_of(rng, "q", 20)),
        crashing=tuple(f"bad{n}" for n in range(10)),
        share=0.2,
    ),
    PartCase(
        "engines end by themselves as well",
        lambda rng, n: ("s", "bad"),
        lambda rng, n: ("s", _one_of(rng, "q", 20)),
        alone=True,
    ),
    PartCase(
        "no such part, engines end by themselves",
        lambda rng, n: ("s", _one_of(rng, "q", 20)),
        lambda rng, n: ("s", _one_of(rng, "q", 20)),
        crashing=(),
        alone=True,
    ),
)


@dataclass
class PartFindings:
    """What a run has shown.

    :param ended: when engines ended, by the part that ended them.
    :param reached: when requests with a part were sent that reached engines.
    :param sound: when sound requests came, and whether their first try began.
    :param refused: sound requests that were refused for good.
    """

    ended: dict[str, list[float]] = field(default_factory=dict)
    reached: dict[str, list[float]] = field(default_factory=dict)
    sound: list[tuple[float, bool]] = field(default_factory=list)
    refused: int = 0

    def crashes(self) -> int:
        """:returns: the engines that ended by the part with most of them."""
        return max((len(times) for times in self.ended.values()), default=0)

    def too_late(self) -> int:
        """:returns: the sends by which the rule on late sends is judged, at most."""
        most = 0
        for part, times in self.ended.items():
            if len(times) >= FIFTH:
                limit = sorted(times)[FIFTH - 1] + CONTACT_SECONDS
                late = [at for at in self.reached.get(part, ()) if at > limit]
                most = max(most, len(late))
        return most

    def served_again(self) -> float:
        """:returns: how often sound requests begin at first, relative to before."""
        ends = [sorted(times)[:FIFTH][-1] for times in self.ended.values()]
        start = max(ends, default=ONSET_SECONDS) + SERVED_SECONDS
        before = [ok for at, ok in self.sound if at < ONSET_SECONDS]
        after = [ok for at, ok in self.sound if at > start]
        if not after or not any(before):
            return math.nan
        return statistics.mean(after) / statistics.mean(before)


class PartFleet(CrashFleet):
    """A fleet whose callers bring prompts with parts.

    :param seed: of all chance.
    :param size: the fleet.
    :param case: the requests.
    :param moment: when the part ends engines.
    """

    def __init__(
        self, seed: int, size: Size, case: PartCase, moment: Moment = Moment.FIRST
    ) -> None:
        super().__init__(
            seed, size.vms, size.engines, size.slots, size.rate, moment=moment
        )
        self.case = case
        self.attempts = case.attempts
        self.shown = PartFindings()
        # Requests that were tried, and those whose first try began.
        self.tries: set[str] = set()
        self.firsts: set[str] = set()

    async def bring_requests(self) -> None:
        """Have all callers bring their requests."""
        joining = self.case.joining
        if self.case.alone:
            self._spawn(self._end_by_themselves())
        number = 0
        while self.loop.time() < END_SECONDS:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            number += 1
            late = self.loop.time() > ONSET_SECONDS
            if joining and self.loop.time() > ONSET_SECONDS + 3.0 * joining:
                joining -= 1
                self.add_vm()
            bad = late and self.rng.random() < self.case.share
            make = self.case.bad if bad else self.case.sound
            parts = tuple(PartName(name) for name in make(self.rng, number))
            self._spawn(self._caller(f"r{number}", parts))

    async def _caller(self, name: str, parts: tuple[PartName, ...]) -> None:
        crashing = [part for part in parts if part in self.case.crashing]
        came = self.loop.time()
        request = Request(name, bool(crashing), came + 10.0, parts)
        outcome = await self._serve(self.rng.choice(self.vms), request)
        if not crashing:
            self.shown.sound.append((came, name in self.firsts))
            self.shown.refused += outcome == "refused"

    async def _end_by_themselves(self) -> None:
        await asyncio.sleep(ONSET_SECONDS)
        while True:
            await asyncio.sleep(OWN_END_SECONDS)
            if self.engines:
                self._end(self.rng.choice(self.engines))

    async def _try(
        self, watch: CrashWatch, engine: Engine, request: Request
    ) -> float | bool | None:
        sent = self.loop.time()
        first = request.name not in self.tries
        self.tries.add(request.name)
        began = await super()._try(watch, engine, request)
        if began is not None and first:
            self.firsts.add(request.name)
        if began is not None or request.crashes:
            for part in request.parts:
                if part in self.case.crashing:
                    self.shown.reached.setdefault(part, []).append(sent)
        return began

    def _crash(self, engine: Engine, request: Request) -> None:
        for part in request.parts:
            if part in self.case.crashing:
                self.shown.ended.setdefault(part, []).append(self.loop.time())
        self._end(engine)


def row(size: Size, case: PartCase, found: list[PartFindings]) -> str:
    """:returns: the figures of some runs, on one line."""
    crashes = [one.crashes() for one in found]
    served = [one.served_again() for one in found]
    refused = sum(one.refused for one in found)
    sound = sum(len(one.sound) for one in found)
    return (
        f"| {size.vms} | {case.name} | {statistics.mean(crashes):.1f}, {max(crashes)} "
        f"| {max(one.too_late() for one in found)} | {min(served):.2f} "
        f"| {refused} of {sound} |"
    )


@click.command()
@click.option("--seeds", default=5, help="Runs of each case.")
@click.option("--first", default=0, help="The first seed.")
@click.option("--sizes", default="6,61,195", help="Entry VMs, separated by commas.")
@click.option(
    "--moment",
    type=click.Choice([one.name.lower() for one in Moment]),
    default="first",
    help="When they end their engines.",
)
@click.option("--only", default="", help="The beginning of the name of a case.")
def main(seeds: int, first: int, sizes: str, moment: str, only: str) -> None:
    """Print the table."""
    click.echo(
        "| VMs | case | engines ended by a part: mean, most | sent later than 3 s "
        "after the fifth, most | sound ones that begin at first, relative to before, "
        "least | sound ones refused for good |"
    )
    click.echo("|" + " --- |" * 6)
    for size in (SIZES[int(name)] for name in sizes.split(",")):
        for case in CASES:
            if case.name.startswith(only):
                seeds_played = range(first, first + seeds)
                found = [played(seed, size, case, moment) for seed in seeds_played]
                click.echo(row(size, case, found))


def played(seed: int, size: Size, case: PartCase, moment: str) -> PartFindings:
    """:returns: what a run has shown."""
    fleet = PartFleet(seed, size, case, Moment[moment.upper()])
    fleet.run()
    return fleet.shown


if __name__ == "__main__":
    main()
