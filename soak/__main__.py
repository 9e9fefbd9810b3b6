# Licensed under the Apache License 2.0: see LICENSE for details.

"""Plays a soak: ``python -m soak --seed N --seconds S``."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import click

from soak.callers import Callers
from soak.calm import Calm
from soak.faults import Faults
from soak.fleet import SoakFleet
from soak.judge import Judge

RATE = 20.0
VMS, PLAIN, ENGINES = 3, 3, 5
LOOK_SECONDS = 0.2
# Soaks by hand play so many bursts of callers when nothing else is wrong.
CALM_BURSTS = 2
# Digits of times in the report.
DIGITS = 2


@dataclass
class Report:
    """What a soak has shown.

    :param seed: its seed.
    :param broken: promises that were broken.
    :param late: promises that were not kept in time.
    :param faults: how often each fault was brought about.
    :param outcomes: how requests ended, by their status.
    :param slowest: the longest time of a request that was answered; seconds.
    """

    seed: int
    broken: list[str]
    late: list[str]
    faults: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    slowest: float = 0.0

    def text(self) -> str:
        """:returns: the report for people."""
        lines = [
            f"seed {self.seed}: {sum(self.faults.values())} faults, "
            f"{sum(self.outcomes.values())} requests",
            "  " + ", ".join(f"{k} {v}" for k, v in sorted(self.outcomes.items())),
            "  " + ", ".join(f"{k} {v}" for k, v in sorted(self.faults.items())),
            f"  slowest answer {self.slowest:.{DIGITS}f} s",
        ]
        lines += [f"  BROKEN: {words}" for words in self.broken]
        lines += [f"  LATE: {words}" for words in self.late]
        return "\n".join(lines)


async def soak(
    seed: int,
    seconds: float,
    vms: int = VMS,
    logs: Path | None = None,
    calm_bursts: int = 0,
) -> Report:
    """Play a soak.

    :param seed: what all chance comes from.
    :param seconds: for how long faults begin.
    :param vms: entry VMs.
    :param logs: where the VMs' lines are kept if anything is found.
    :param calm_bursts: bursts of callers that are played when all faults are over.
    """
    # Ended from outside, a soak still ends its VMs: they would go on without it.
    end = asyncio.current_task().cancel
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, end)
    fleet = SoakFleet(vms, PLAIN, ENGINES)
    try:
        await fleet.start()
    except BaseException:
        await fleet.stop()
        raise
    callers = Callers(fleet, seed, RATE)
    faults = Faults(fleet, callers, seed)
    helpers = [asyncio.ensure_future(job) for job in (faults.revive(), _watch(fleet))]
    try:
        load = asyncio.ensure_future(callers.run(seconds))
        await faults.run(seconds)
        await load
        calm = Calm(fleet, callers)
        recovered = await calm.broken()
        unheard = await calm.unheard(faults.overloading, calm_bursts)
        await callers.close()
        judge = Judge(fleet, callers, faults)
        broken, late = judge.broken() + recovered, judge.timed() + unheard
        if logs and (broken or late):
            fleet.keep_logs(logs / f"seed-{seed}")
        answered = [one for one in callers.sent if one.status == 200]
        return Report(
            seed,
            broken,
            late,
            Counter(name for _, name in faults.done),
            Counter("left" if one.left else str(one.status) for one in callers.sent),
            max((one.ended_at - one.sent_at for one in answered), default=0.0),
        )
    finally:
        for helper in helpers:
            # One that has failed says so here.
            if not helper.cancel():
                helper.result()
        await faults.close()
        await fleet.stop()


async def _watch(fleet: SoakFleet) -> None:
    """Look for processes that end by themselves."""
    while True:
        for vm in fleet.vms:
            vm.look()
        await asyncio.sleep(LOOK_SECONDS)


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", default=1, show_default=True, help="How many are played.")
@click.option("--seconds", default=60.0, show_default=True, help="Of faults, each.")
@click.option("--vms", default=VMS, show_default=True, help="Entry VMs.")
@click.option("--logs", type=Path, help="Where lines of seeds with findings are kept.")
def main(seed: int, seeds: int, seconds: float, vms: int, logs: Path | None) -> None:
    """Play soaks, one seed after the other, and report each."""
    failed = 0
    for number in range(seed, seed + seeds):
        report = asyncio.run(soak(number, seconds, vms, logs, CALM_BURSTS))
        click.echo(report.text())
        failed += bool(report.broken or report.late)
    click.echo(f"{seeds} seeds, {failed} with findings")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
