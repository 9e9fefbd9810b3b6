# Licensed under the Apache License 2.0: see LICENSE for details.

"""The command that runs the daemon for the platform's callers."""

from __future__ import annotations

import socket
import tomllib
from pathlib import Path

import click

from walnutquay.commands.output import fail
from walnutquay.daemon.collector import pause_collector
from walnutquay.env import skip_certificates
from walnutquay.exceptions import SettingsError
from walnutquay.transport.listeners import listen


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
    listeners = open_listeners(path)
    pause_collector()
    skip_certificates()
    from walnutquay.daemon.gateway import run_gateway
    from walnutquay.settings import GatewayOptions, Settings

    try:
        settings = Settings.load(path, model=GatewayOptions)
    except SettingsError as error:
        fail(error.reason)
    run_gateway(settings, listeners)


def open_listeners(path: Path) -> dict[str, socket.socket]:
    """Listen for callers before anything large is imported.

    Settings that cannot be used open nothing; whoever checks them says why.

    :param path: the settings.
    :returns: the sockets by address.
    """
    try:
        plain = tomllib.loads(path.read_text(encoding="utf-8"))
        address = plain["callers"]["address"]
        host, _, port = address.partition(":")
        return {address: listen(host, int(port))}
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return {}
