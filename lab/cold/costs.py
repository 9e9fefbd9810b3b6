# Licensed under the Apache License 2.0: see LICENSE for details.

"""What cold endpoints get, by way and size: ``python -m lab.cold.costs``."""

from __future__ import annotations

import statistics
from dataclasses import dataclass

import click

from lab.cold.fleet import SIZES, Case, ColdFleet, Findings
from lab.cold.ways import WAYS, ColdWay
from walnutquay.state.routed.cold import ColdLimit

# Requests a second that a cold endpoint bears, and the most that operators allow.
LIMIT = ColdLimit(10.0, 20.0)
HEADINGS = (
    "VMs",
    "cold",
    "way",
    "most in a second",
    "a second, each",
    "refused",
    "running before one",
)


@dataclass(frozen=True)
class Row:
    """The figures of some runs of one case."""

    vms: int
    case: Case
    way: type[ColdWay]
    found: list[Findings]

    def text(self) -> str:
        """:returns: the row of the table."""
        mean = statistics.mean
        refused = sum(one.refused for one in self.found)
        all_of = refused + sum(one.served for one in self.found)
        return (
            f"| {self.vms} | {self.case.value} | {self.way.name} "
            f"| {max(one.most for one in self.found)} "
            f"| {mean(one.by_cold for one in self.found):.1f} "
            f"| {100 * refused / all_of:.1f}% "
            f"| {mean(one.waited for one in self.found):.1f} |"
        )


@click.command()
@click.option("--seeds", default=5, help="Runs of each case.")
@click.option("--sizes", default="6,61,195,640", help="VMs, separated by commas.")
def main(seeds: int, sizes: str) -> None:
    """Print the table."""
    click.echo("| " + " | ".join(HEADINGS) + " |")
    click.echo("|" + " --- |" * len(HEADINGS))
    for vms in map(int, sizes.split(",")):
        for case in Case:
            for way in WAYS:
                found = [
                    ColdFleet(seed, SIZES[vms], case, way, LIMIT).run()
                    for seed in range(seeds)
                ]
                click.echo(Row(vms, case, way, found).text())


if __name__ == "__main__":
    main()
