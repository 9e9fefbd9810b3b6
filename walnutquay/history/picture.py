# Licensed under the Apache License 2.0: see LICENSE for details.

"""A picture of requests over time: how they ended, how long they took, refusals."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path

import numpy
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from walnutquay.history.report import Judged
from walnutquay.history.requests import MILLISECONDS
from walnutquay.state.process.events import EventKind

SIZE = (11.0, 9.0)
DOTS_PER_INCH = 110
PERCENTILES = (50, 99)
IN_TIME = "in time"


def _ending(one: Judged) -> str:
    """:returns: under which name a request is drawn."""
    if one.finding is None:
        return IN_TIME
    return "late" if one.history.late else one.finding.cause.value


def _stack(axes: Axes, counts: dict[int, Counter[str]], title: str) -> None:
    """Draw how many of each name there were in each second."""
    names = sorted({name for row in counts.values() for name in row})
    if not names:
        axes.set(title=f"{title}: none")
        return
    seconds = range(min(counts), max(counts) + 1)
    rows = [[counts[second][name] for second in seconds] for name in names]
    axes.stackplot(seconds, *rows, labels=names)
    axes.legend(loc="upper left", fontsize="x-small")
    axes.set(title=title, ylabel="requests a second")


def write_picture(judged: Sequence[Judged], path: Path) -> None:
    """Draw requests over time.

    :param judged: requests, at least one.
    :param path: the file to write; its ending says in which format.
    """
    begin = judged[0].history.came
    endings: dict[int, Counter[str]] = defaultdict(Counter)
    refusals: dict[int, Counter[str]] = defaultdict(Counter)
    waits: dict[int, list[float]] = defaultdict(list)
    for one in judged:
        second = int(one.history.came - begin)
        endings[second][_ending(one)] += 1
        end = one.history.end
        if end is not None and end.kind is EventKind.REFUSED:
            refusals[second][end.detail] += 1
        if one.history.answered:
            waits[second].append(one.history.first_ms)
    figure = Figure(figsize=SIZE, layout="constrained")
    upper, middle, lower = figure.subplots(3, 1, sharex=True)
    _stack(upper, endings, "how requests ended")
    for percentile in PERCENTILES:
        heights = [numpy.percentile(waits[s], percentile) for s in sorted(waits)]
        middle.plot(sorted(waits), heights, label=f"p{percentile}")
    middle.legend()
    title = "until the first part of an answer"
    middle.set(title=title, ylabel="ms", yscale="log")
    middle.set_ylim(bottom=1.0, top=60 * MILLISECONDS)
    _stack(lower, refusals, "refusals")
    lower.set(xlabel=f"seconds since {begin:.3f}")
    figure.savefig(path, dpi=DOTS_PER_INCH)
