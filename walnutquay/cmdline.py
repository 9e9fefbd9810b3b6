# Licensed under the Apache License 2.0: see LICENSE for details.

"""The command line of walnutquay."""

from __future__ import annotations

import sys
from importlib import import_module

from walnutquay.env import forbid_io_uring, ignore_hangup

forbid_io_uring()
ignore_hangup(sys.argv[1:])

import click  # noqa: E402

from walnutquay.version import __version__  # noqa: E402

# The module of each command; a daemon on a small VM imports only its own.
MODULES = {
    "entry": "entry",
    "gateway": "gateway",
    "fleet": "fleetstate",
    "check": "check",
    "apply": "administer",
    "get": "administer",
    "status": "administer",
    "rollout": "administer",
    "hall": "halls",
    "policy": "administer",
    "timeline": "administer",
    "trace": "trace",
    "replay": "replay",
    "report": "report",
    "debug": "administer",
}


class LazyGroup(click.Group):
    """Imports a command's module when the command is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """:param ctx: the call.

        :returns: the commands' names.
        """
        return list(MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """:param ctx: the call.

        :param cmd_name: a command's name.
        :returns: the command, or None where there is none.
        """
        module = MODULES.get(cmd_name)
        if module is None:
            return None
        return getattr(import_module(f"walnutquay.commands.{module}"), cmd_name)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="walnutquay")
def main() -> None:
    """Route requests to models and versions, and administer the fleet.

    Exit codes: 0 done; 1 not done, and the message says why; 2 wrong usage;
    3 another change came first; 4 the platform does not answer; 5 it cannot be
    told whether the change took effect; 6 not in force everywhere in time.
    """
