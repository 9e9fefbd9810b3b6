# Licensed under the Apache License 2.0: see LICENSE for details.

"""The table of measured costs and their fits, as docs/CAPACITY.md shows it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from lab.capacity import aims
from lab.capacity.slopes import SECONDS
from walnutquay.coordination.own.endpoints import MAX_REPORTERS
from walnutquay.state.own.outcomecounts import ROWS_PER_MESSAGE

# Events of a stream of the experiments: its tokens, and two that open and end it.
EVENTS_A_STREAM = 66


@dataclass(frozen=True)
class Cost:
    """A measured cost, as the table of slopes shows it.

    :param key: its name in the measured rows.
    :param name: in words, with its unit.
    :param scale: the factor from the measured unit to that of the table.
    :param spec: how values are printed.
    """

    key: str
    name: str
    scale: float = 1.0
    spec: str = "{:.1f}"

    def text(self, value: float) -> str:
        """:returns: a measured value in the table's unit."""
        return self.spec.format(value * self.scale)


COSTS = (
    Cost("cpu", "processor, % of a core", 100.0, "{:.2f}"),
    Cost("bytes_out", "KB a second, sent", 0.001),
    Cost("bytes_in", "KB a second, received", 0.001),
    Cost("memory_mb", "memory, MB"),
    Cost("platform_reads", "store reads a second", spec="{:.2f}"),
)


# Each experiment's size in the largest planned fleet, for one VM.
LARGEST = {
    "peers": aims.NODES,
    "reports": MAX_REPORTERS,
    "endpoints": aims.WORKERS,
    "requests": aims.REQUESTS / aims.NODES,
    "streams": aims.TOKENS / aims.NODES / EVENTS_A_STREAM,
    "changes": aims.CHANGES_A_DAY / aims.DAY * SECONDS,
    "tallies": ROWS_PER_MESSAGE,
}


def slope_rows(measured: dict[str, Any]) -> Iterator[str]:
    """:param measured: what ``lab.capacity.slopes`` wrote.

    :returns: a row for each experiment and cost.
    """
    for experiment, found in measured.items():
        for cost in COSTS:
            yield _row(experiment, found, cost)


def _row(experiment: str, found: dict[str, Any], cost: Cost) -> str:
    fit = found["fits"][cost.key]
    values = [cost.text(row[cost.key]) for row in found["rows"]]
    largest = fit["slope"] * LARGEST[experiment] + fit["intercept"]
    slope = fit["slope"] * cost.scale
    cells = (
        experiment,
        ", ".join(f"{row['size']:,}" for row in found["rows"]),
        cost.name,
        ", ".join(values),
        f"{fit['intercept'] * cost.scale:.3g} {slope:+.3g} n",
        f"{fit['residual'] * cost.scale:.2g}",
        cost.text(largest),
    )
    return "| " + " | ".join(cells) + " |"
