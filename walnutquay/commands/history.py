# Licensed under the Apache License 2.0: see LICENSE for details.

"""The commands that read what happened from VMs' log lines."""

from __future__ import annotations

from pathlib import Path

import click

from walnutquay.commands.output import fail
from walnutquay.history.beliefs import Beliefs
from walnutquay.history.crashes import ends_text
from walnutquay.history.lines import LineFile, read_files
from walnutquay.history.lost import lost_requests, lost_text
from walnutquay.history.report import failures_text, judge, request_text
from walnutquay.history.requests import histories
from walnutquay.history.sessions import version_changes

logs_argument = click.argument(
    "logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path)
)


def _read(logs: tuple[Path, ...]) -> LineFile:
    try:
        found = read_files(logs)
    except OSError as error:
        fail(f"{error.filename}: cannot be read: {error.strerror}")
    if not found.lines:
        fail("there is no event in these files")
    return found


@click.command()
@click.argument("request")
@logs_argument
def show(request: str, logs: tuple[Path, ...]) -> None:
    """Tell the way of REQUEST, why it ended so, and what its VM believed then.

    LOGS are files of log lines, of all VMs; the more there are, the more is told.
    """
    found = _read(logs)
    every = histories(found.lines)
    history = every.get(request)
    if history is None:
        fail(f"no line has the request {request}: its VM may have been lost first")
    sessions = {line.session for line in history.lines if line.session}
    others = [
        other
        for other in every.values()
        if other is not history
        and any(line.session in sessions for line in other.lines if line.session)
    ]
    click.echo(request_text(history, others, Beliefs(found.lines)))


@click.command()
@click.option("--from", "begin", type=float, required=True, help="Seconds since 1970.")
@click.option("--to", "end", type=float, required=True, help="Seconds since 1970.")
@logs_argument
def changes(begin: float, end: float, logs: tuple[Path, ...]) -> None:
    """Tell what VMs came to believe in a span of time."""
    for line in Beliefs(_read(logs).lines).changes(begin, end):
        click.echo(line.text())


@click.command()
@logs_argument
def lost(logs: tuple[Path, ...]) -> None:
    """Tell which requests VMs had when they were lost, and which endpoints had them.

    An endpoint that a request was sent to may have run it: look there before a request
    that may run only once is sent again.
    """
    click.echo(lost_text(lost_requests(_read(logs).lines)))


@click.command()
@logs_argument
def crashes(logs: tuple[Path, ...]) -> None:
    """Tell which endpoints ended while they ran requests, and with which requests.

    A request that was at several of these ends may be what ends them.
    """
    click.echo(ends_text(_read(logs).lines))


@click.command()
@logs_argument
def versions(logs: tuple[Path, ...]) -> None:
    """Tell which sessions changed their version, at which VMs, and what decided it."""
    changed = version_changes(_read(logs).lines)
    for change in changed:
        click.echo(change.text())
    click.echo(f"{len(changed)} changes of version within a session")


@click.command()
@click.option(
    "--picture",
    type=click.Path(path_type=Path),
    help="Draw endings, latencies and refusals over time into this file.",
)
@logs_argument
def failures(picture: Path | None, logs: tuple[Path, ...]) -> None:
    """Group failed and late requests by cause."""
    found = _read(logs)
    judged = judge(found.lines)
    click.echo(failures_text(judged))
    if found.skipped:
        click.echo(f"{found.skipped} lines were no events and are left out", err=True)
    if picture is None:
        return
    if not judged:
        fail("there is no request to draw")
    try:
        from walnutquay.history.picture import write_picture
    except ImportError:
        fail("--picture needs matplotlib: install walnutquay[plots]")
    write_picture(judged, picture)
