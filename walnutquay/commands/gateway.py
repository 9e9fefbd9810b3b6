# Licensed under the Apache License 2.0: see LICENSE for details.

"""The command that runs the daemon for the platform's callers."""

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
    envvar="WALNUTQUAY_SETTINGS",
    required=True,
    help="The daemon's settings, a TOML file.",
)
def gateway(path: Path) -> None:
    """Serve the platform's callers until SIGTERM."""
    from walnutquay.daemon.gateway import run_gateway
    from walnutquay.settings import GatewayOptions, Settings

    try:
        settings = Settings.load(path, model=GatewayOptions)
    except SettingsError as error:
        fail(error.reason)
    run_gateway(settings)
