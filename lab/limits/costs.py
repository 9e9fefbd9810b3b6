# Licensed under the Apache License 2.0: see LICENSE for details.

"""Use and worst excess of a rate limit, by way: ``python -m lab.limits.costs``.

The worst excess is the most requests in any 4 s, as a share of what is tolerated.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass

import click

from lab.limits.fleet import SIZES, Case, Findings, LimitedFleet
from lab.limits.ways import WAYS, Way

HEADINGS = ("VMs", "limit", "case", "way", "worst", "used", "messages/s", "busiest")


@dataclass(frozen=True)
class Row:
    """The figures of some runs of one case."""

    vms: int
    limit: float
    case: Case
    way: type[Way]
    found: list[Findings]

    def text(self) -> str:
        """Return the row of the table."""
        mean = statistics.mean
        worst = max(one.worst / one.tolerated for one in self.found)
        return (
            f"| {self.vms} | {self.limit:g} | {self.case.value} | {self.way.name} "
            f"| {worst:.2f} | {mean(one.used for one in self.found):.2f} "
            f"| {mean(one.messages for one in self.found):.1f} "
            f"| {max(one.busiest for one in self.found):.1f} |"
        )


@click.command()
@click.option("--seeds", default=3, help="Runs of each case.")
@click.option("--sizes", default="6,61,195,640", help="VMs, separated by commas.")
@click.option("--limits", default="0.5,1.2,8", help="Limits, separated by commas.")
@click.option("--patience", default=0.0, help="Seconds that a request can wait.")
@click.option("--load", default=10.0, help="Requests, as a multiple of the limit.")
@click.option("--ways", default="", help="Ways, separated by commas; all if empty.")
def main(
    seeds: int, sizes: str, limits: str, patience: float, load: float, ways: str
) -> None:
    """Print the table."""
    chosen = [way for way in WAYS if not ways or way.name in ways.split(",")]
    click.echo("| " + " | ".join(HEADINGS) + " |")
    click.echo("|" + " --- |" * len(HEADINGS))
    for vms in map(int, sizes.split(",")):
        for limit in map(float, limits.split(",")):
            for case in Case:
                for way in chosen:
                    found = [
                        LimitedFleet(
                            seed, SIZES[vms], case, way, limit, patience, load
                        ).run()
                        for seed in range(seeds)
                    ]
                    click.echo(Row(vms, limit, case, way, found).text())


if __name__ == "__main__":
    main()
