# Licensed under the Apache License 2.0: see LICENSE for details.

"""Messages, memory and moved sessions of trials: ``python -m lab.trials.costs``."""

from __future__ import annotations

import random
import tracemalloc

import click

from lab.trials.fleet import NEW, SERVICE, TRIAL_SECONDS, simulate
from walnutquay.state.process.ids import VmName
from walnutquay.state.process.revisions import UNKNOWN_ERA, StoreRevision
from walnutquay.state.store.orders import OrderState, RolloutOrder
from walnutquay.state.trials.reports import TrialReport
from walnutquay.state.trials.trial import Trial

FIRST_REVISION = StoreRevision(UNKNOWN_ERA, 1)


def memory_of(kept: int) -> int:
    """:param kept: sessions that other VMs keep.

    :returns: the bytes that a VM needs to know them.
    """
    order = RolloutOrder(
        "engine", FIRST_REVISION, SERVICE, NEW, TRIAL_SECONDS, OrderState.NEW
    )
    trial = Trial(order, 0.0, 0.15)
    rng = random.Random(0)
    tracemalloc.start()
    for _ in range(kept):
        numbers = (rng.getrandbits(64),)
        trial.receive(VmName("vm-1"), TrialReport("engine", NEW, (), numbers), 0.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


@click.command()
@click.option("--seeds", default=10, help="Trials for each size of fleet.")
@click.option("--sizes", default="6,61", help="Entry VMs, separated by commas.")
@click.option("--per-vm", default=1.0, help="New sessions a second at each VM.")
@click.option("--restarts", default=0, help="VMs restarted, before and during it.")
@click.option("--late", default=0.0, help="Seconds by which some VMs learn late.")
@click.option("--late-share", default=0.0, help="The share of such VMs.")
def main(
    seeds: int, sizes: str, per_vm: float, restarts: int, late: float, late_share: float
) -> None:
    """Print what trials in fleets of several sizes show."""
    for size in map(int, sizes.split(",")):
        for seed in range(seeds):
            found = simulate(
                seed,
                size,
                per_vm * size,
                restarts=restarts,
                late=late,
                late_share=late_share,
            )
            click.echo(
                f"{size} VMs, seed {seed}: {found.requests} requests, {found.on_new} "
                f"on the new version, {found.moved} moved between VMs, too early "
                f"{found.too_early}, back {found.back}; {found.datagrams} datagrams, "
                f"{found.bytes / size / 1000:.1f} KB sent by each VM, "
                f"{found.bytes_between_halls / 1e6:.1f} MB between halls, {found.kept} "
                f"kept, {memory_of(found.kept)} bytes, done {found.done}"
            )


if __name__ == "__main__":
    main()
