# Licensed under the Apache License 2.0: see LICENSE for details.

"""The command that runs the daemon of an entry VM."""

from __future__ import annotations

from pathlib import Path

import click

from walnutquay.commands.output import fail
from walnutquay.exceptions import SettingsError


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    help="The daemon's settings, a TOML file.",
)
def entry(path: Path) -> None:
    """Run the daemon of an entry VM until SIGTERM.

    Once it listens it prints a line of JSON with its ports.
    """
    from walnutquay.daemon.entry import run_entry
    from walnutquay.settings import Settings

    try:
        settings = Settings.load(path)
    except SettingsError as error:
        fail(error.reason)
    run_entry(settings)
