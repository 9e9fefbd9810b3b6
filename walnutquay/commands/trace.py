# Licensed under the Apache License 2.0: see LICENSE for details.

"""The commands that make traces: recorded from a fleet, or from a seed."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import click
import orjson

from walnutquay.commands.client import Fleet, fleet_command
from walnutquay.commands.history import (
    changes,
    crashes,
    failures,
    lost,
    show,
    versions,
)
from walnutquay.commands.output import fail
from walnutquay.exceptions import WalnutquayError
from walnutquay.replay.traces import write_trace
from walnutquay.replay.workloads import Workload, WorkloadGenerator

# Requests that came before the end of a recording may end so much later.
SETTLE_SECONDS = 2.0


@click.group()
def trace() -> None:
    """Follow requests: from VMs' log lines, or as traces to be replayed."""


trace.add_command(show)
trace.add_command(changes)
trace.add_command(crashes)
trace.add_command(failures)
trace.add_command(lost)
trace.add_command(versions)


@trace.command()
@click.option("--seconds", default=60.0, show_default=True, help="For how long.")
@click.option("--out", type=click.Path(path_type=Path), help="Write it here.")
@fleet_command
async def record(fleet: Fleet, seconds: float, out: Path | None) -> None:
    """Record the shape of all requests, on all VMs.

    No words of prompts or bodies are recorded, and no names that callers gave.
    """
    urls = await fleet.members()
    fleets = [Fleet(url, fleet.token) for url in urls]
    body = {"seconds": seconds}
    await asyncio.gather(*(one.call("POST", "/v1/trace", body) for one in fleets))
    await asyncio.sleep(seconds + SETTLE_SECONDS)
    answers = await asyncio.gather(*(fleet.reach(url, "/v1/trace") for url in urls))
    for url, answer in zip(urls, answers, strict=True):
        if answer is None:
            click.echo(f"warning: {url} does not answer; its part is missing", err=True)
    rows: list[dict[str, Any]] = [row for answer in answers for row in answer or ()]
    rows.sort(key=lambda row: row["at"])
    _write((orjson.dumps(row).decode() for row in rows), out)


@trace.command()
@click.argument("workload", type=click.Choice([w.value for w in Workload]))
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=30.0, show_default=True, help="Its length.")
@click.option("--rate", default=40.0, show_default=True, help="Requests a second.")
@click.option("--out", type=click.Path(path_type=Path), help="Write it here.")
def make(
    workload: str, seed: int, seconds: float, rate: float, out: Path | None
) -> None:
    """Make a trace after the workload of one of the first users."""
    generator = WorkloadGenerator(Workload(workload), seed, rate)
    try:
        _write(write_trace(generator.requests(seconds)), out)
    except WalnutquayError as error:
        fail(error.reason)


def _write(lines: Any, out: Path | None) -> None:
    text = "".join(f"{line}\n" for line in lines)
    if out is None:
        sys.stdout.write(text)
        return
    try:
        out.write_text(text, encoding="utf-8")
    except OSError as error:
        fail(f"{out}: cannot be written: {error.strerror}")
