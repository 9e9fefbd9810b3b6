# Licensed under the Apache License 2.0: see LICENSE for details.

"""What requests that end engines cost fleets of several sizes.

``python -m lab.crashes.costs`` prints, for each way to deal with them, the engines that
ended for each such request, and what became of the others.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass

import click

from lab.crashes.fleet import CrashFleet
from lab.crashes.ways import WAYS, Findings, Way


@dataclass(frozen=True)
class Size:
    """A fleet: entry VMs, engines, slots of each, other requests a second."""

    vms: int
    engines: int
    slots: int
    rate: float


SIZES = {
    6: Size(6, 5, 128, 30.0),
    61: Size(61, 24, 32, 100.0),
    195: Size(195, 39, 16, 186.0),
}


def played(
    size: Size, way: Way, seeds: range, crashing: int, copies: int
) -> list[Findings]:
    """:returns: what the runs of all seeds have shown."""
    return [
        CrashFleet(
            seed, size.vms, size.engines, size.slots, size.rate, crashing, copies, way
        ).run()
        for seed in seeds
    ]


def row(size: Size, way: Way, found: list[Findings], case: str) -> str:
    """:returns: the figures of some runs, on one line."""
    ends = [count for one in found for count in one.ended.values()]
    late = [count for one in found for count in one.sent_after.values()]
    hit, refused, lost, served = (
        sum(getattr(one, name) for one in found)
        for name in ("hit", "refused", "lost", "served")
    )
    kilobytes = sum(one.bytes for one in found) / len(found) / size.vms / 1000.0
    return (
        f"| {size.vms} | {case} | {way.name} | {statistics.mean(ends):.1f}, "
        f"{max(ends)} | {max(late, default=0)} | {hit} | {refused} | {lost} of "
        f"{served + refused + lost} | {kilobytes:.1f} |"
    )


@click.command()
@click.option("--seeds", default=10, help="Runs of each case.")
@click.option("--first", default=0, help="The first seed.")
@click.option("--sizes", default="6,61,195", help="Entry VMs, separated by commas.")
@click.option("--ways", default=len(WAYS), help="How many ways, the built one first.")
def main(seeds: int, first: int, sizes: str, ways: int) -> None:
    """Print the table."""
    click.echo(
        "| VMs | requests, copies at a time | way | engines ended a request: mean, "
        "most | sends after the third and 3 s, most | tries of others that broke | "
        "others refused for good | others lost | KB told by each VM |"
    )
    click.echo("|" + " --- |" * 9)
    for size in (SIZES[int(name)] for name in sizes.split(",")):
        for crashing, copies in ((1, 1), (1, 4), (3, 1)):
            for way in WAYS[:ways]:
                found = played(size, way, range(first, first + seeds), crashing, copies)
                click.echo(row(size, way, found, f"{crashing}, {copies}"))


if __name__ == "__main__":
    main()
