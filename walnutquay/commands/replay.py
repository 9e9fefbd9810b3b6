# Licensed under the Apache License 2.0: see LICENSE for details.

"""The command that replays a recorded trace against an address."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from walnutquay.commands.output import ExitCode, fail, json_option, show
from walnutquay.exceptions import WalnutquayError


@click.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option(
    "--to",
    "addresses",
    multiple=True,
    required=True,
    help="Where to send, such as http://10.0.0.5:8080; several take turns.",
)
@click.option("--key", required=True, help="Key; {organisation} is put in.")
@click.option("--speed", default=1.0, show_default=True, help="Times as fast.")
@click.option(
    "--report", type=click.Path(path_type=Path), help="Write the report here, as JSON."
)
@click.option("--quiet", is_flag=True, help="Show no progress.")
@json_option
def replay(
    path: Path,
    addresses: tuple[str, ...],
    key: str,
    speed: float,
    report: Path | None,
    quiet: bool,
    as_json: bool,
) -> None:
    """Send a trace's requests at their recorded times, and judge the outcomes."""
    from walnutquay.replay.player import Player
    from walnutquay.replay.report import report_text
    from walnutquay.replay.traces import read_trace

    try:
        trace = read_trace(path)
    except WalnutquayError as error:
        fail(error.reason)
    player = Player(list(addresses), key, speed, progress=not quiet)
    result = asyncio.run(player.play(trace))
    if report is not None:
        report.write_text(result.to_json(), encoding="utf-8")
    show(result.plain(), as_json, report_text)
    if result.violations:
        raise SystemExit(ExitCode.NOT_DONE)
