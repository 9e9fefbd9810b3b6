# Licensed under the Apache License 2.0: see LICENSE for details.

"""Charges the losses of bench days to causes, from the bench's reports and logs.

``python -m lab.days.losses --bench PROGRAM --site FILE --day NAME [--day ...]
--seed N [--seed ...]`` runs the days and prints a table.

How much each kind of request lost by failures, by lateness and by answers of too
small a model is exact: it follows from the report.  The first two are shared out over
causes in proportion to the tries that the VMs' lines give each cause; tries that no
line tells of (no VM took them, or the VM was lost) are a cause of their own.
"""

from __future__ import annotations

import tempfile
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import click

from lab.days.bench import Bench, DayRun, RequestClass, read_classes
from walnutquay.history.causes import Cause
from walnutquay.history.lines import read_files
from walnutquay.history.report import Judged, judge
from walnutquay.history.requests import RequestHistory

TOO_SMALL = "the answer's model was too small"
NO_LINE = "no VM took the last try, or the VM was lost"
UNEXPLAINED = "unexplained"
# Causes that no choice of a router's could have avoided.
NOT_OURS = frozenset({NO_LINE, Cause.VM_LOST.value, Cause.ENDPOINT_ERROR.value})


@dataclass(frozen=True, slots=True)
class Loss:
    """What one kind of request lost to one cause.

    :param cause: the cause.
    :param name: the kind of request; empty for prices.
    :param share: the part of all credit that was owed.
    """

    cause: str
    name: str
    share: float


def class_of(
    history: RequestHistory, classes: Sequence[RequestClass]
) -> RequestClass | None:
    """:param history: a request.

    :param classes: the deployment's kinds of request.
    :returns: its kind, by what its first line tells; None where it is none of them.
    """
    line = history.received
    if line is None:
        return None
    kind, aim = line.facts.get("route_kind"), line.number("aim_ms")
    left = line.number("left_ms")
    # A site file may give aims for another scale of traffic than the one that is run.
    return min(
        (one for one in classes if one.kind == kind),
        key=lambda one: (abs(one.aim_ms - aim), abs(one.deadline_ms - left)),
        default=None,
    )


def losses_of(
    run: DayRun, judged: Iterable[Judged], classes: Sequence[RequestClass]
) -> list[Loss]:
    """Charge what one day lost.

    :param run: the day.
    :param judged: its tries, with what the lines say of them.
    :param classes: the deployment's kinds of request.
    """
    failed: dict[str, list[Judged]] = defaultdict(list)
    late: dict[str, list[Judged]] = defaultdict(list)
    for one in judged:
        found = class_of(one.history, classes)
        if found is not None and one.finding is not None:
            (late if one.history.late else failed)[found.name].append(one)
    counts = run.report.classes
    owed = sum(one.worth * counts[one.name].asked for one in classes)
    losses: list[Loss] = []
    for one in classes:
        count = counts[one.name]
        by_failure = count.failed * one.worth / owed
        by_lateness = count.late * (one.worth - one.late_worth) / owed
        whole = (1.0 - count.credit) * count.asked * one.worth / owed
        # A try that failed may have been answered late at the next.
        losses += _shared(by_failure, failed[one.name], one.name, count.failed)
        losses += _shared(by_lateness, late[one.name], one.name, 0.0)
        losses.append(Loss(TOO_SMALL, one.name, whole - by_failure - by_lateness))
    prices = run.report.prices.items()
    return losses + [Loss(f"price: {name}", "", price) for name, price in prices]


def _shared(
    loss: float, tries: Sequence[Judged], name: str, ended: float
) -> list[Loss]:
    """Share a loss out over the causes of its tries.

    :param ended: requests that ended so; where there are fewer tries, the rest left
        no line.
    """
    causes: dict[str, float] = defaultdict(float)
    for one in tries:
        assert one.finding is not None
        cause = one.finding.cause
        causes[UNEXPLAINED if cause is Cause.UNTOLD else cause.value] += 1.0
    causes[NO_LINE] += max(0.0, ended - len(tries))
    total = sum(causes.values())
    if not total:
        return [Loss(UNEXPLAINED, name, loss)] if loss else []
    return [Loss(cause, name, loss * part / total) for cause, part in causes.items()]


def table(days: Sequence[Sequence[Loss]]) -> str:
    """:param days: the losses of each day.

    :returns: a table in Markdown of the mean day, the largest cause first.
    """
    names = sorted({loss.name for losses in days for loss in losses if loss.name})
    sums: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for losses in days:
        for loss in losses:
            sums[loss.cause][loss.name] += loss.share / len(days)
    rows = sorted(sums.items(), key=lambda row: -sum(row[1].values()))
    head = ["cause", *names, "all", "avoidable"]
    text = [f"| {' | '.join(head)} |", f"|{' --- |' * len(head)}"]
    for cause, row in rows:
        whole = sum(row.values())
        if whole < 0.0005:
            continue
        cells = [f"{row[name]:.4f}" if row[name] else "" for name in names]
        ours = "no" if cause in NOT_OURS else ""
        text.append(f"| {' | '.join([cause, *cells, f'{whole:.4f}', ours])} |")
    return "\n".join(text)


def draw(runs: Sequence[DayRun], judged: Sequence[Sequence[Judged]], path: Path):
    """Draw the credit and the causes over time.

    :param runs: the days.
    :param judged: the tries of each.
    :param path: the picture to write.
    """
    from matplotlib.figure import Figure

    figure = Figure(figsize=(11.0, 8.0), layout="constrained")
    upper, lower = figure.subplots(2, 1, sharex=True)
    seconds: dict[str, list[float]] = defaultdict(list)
    for day, tries in zip(runs, judged, strict=True):
        windows = day.report.windows
        upper.plot(list(windows), list(windows.values()), alpha=0.5, linewidth=1)
        first = min(one.history.came for one in tries)
        for one in tries:
            if one.finding is not None:
                cause = one.finding.cause.value
                seconds[cause].append(one.history.came - first)
    upper.set(ylabel="credit earned", ylim=(0.0, 1.05), title="by second it came")
    causes = sorted(seconds, key=lambda cause: -len(seconds[cause]))
    lower.hist(
        [seconds[cause] for cause in causes],
        bins=range(0, 62, 2),
        stacked=True,
        label=causes,
    )
    lower.legend(fontsize="x-small")
    lower.set(xlabel="seconds", ylabel="tries that failed or were late")
    figure.savefig(path, dpi=110)


@click.command()
@click.option("--bench", required=True, type=click.Path(path_type=Path))
@click.option("--site", required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--day", "days", required=True, multiple=True)
@click.option("--seed", "seeds", required=True, multiple=True, type=int)
@click.option("--jobs", default=3, help="Days at once.")
@click.option("--timed", is_flag=True, help="Charge processor time.")
@click.option("--why", default="losses of bench days, by cause")
@click.option("--picture", type=click.Path(path_type=Path))
def main(bench, site, days, seeds, jobs, timed, why, picture) -> None:
    """Run days and charge what they lost to causes."""
    with tempfile.TemporaryDirectory(prefix="walnutquay-losses-") as folder:
        setup = Bench(bench, Path.cwd(), site, Path(folder), why, timed)
        runs = setup.run_all(days, seeds, jobs)
        judged = [judge(read_files([day.log]).lines) for day in runs]
    classes = read_classes(site)
    losses = [
        losses_of(day, tries, classes) for day, tries in zip(runs, judged, strict=True)
    ]
    for day in runs:
        broken = ", ".join(day.report.broken) or "none"
        click.echo(f"{day.day} {day.seed}: {day.report.worth:.3f}, broken: {broken}")
    click.echo(table(losses))
    if picture is not None:
        draw(runs, judged, picture)


if __name__ == "__main__":
    main()
