# Licensed under the Apache License 2.0: see LICENSE for details.

"""The commands that empty data halls and fill them again."""

from __future__ import annotations

import secrets

import click

from walnutquay.commands.administer import OPERATION_BYTES, report
from walnutquay.commands.client import Fleet, fleet_command
from walnutquay.commands.output import json_option

SECONDS = 30.0


@click.group()
def hall() -> None:
    """Empty a data hall, or use it again."""


def _action(name: str, text: str) -> None:
    """Add the command of an action that takes nothing but the hall."""

    @hall.command(name, help=text)
    @click.argument("hall_name", metavar="HALL")
    @json_option
    @fleet_command
    async def act(fleet: Fleet, hall_name: str, as_json: bool) -> None:
        body = {"operation": secrets.token_hex(OPERATION_BYTES)}
        accepted = await fleet.call("POST", f"/v1/halls/{hall_name}/{name}", body)
        await report(fleet, accepted, wait=True, seconds=SECONDS, as_json=as_json)


_action("empty", "Send its endpoints nothing more; what runs there runs on.")
_action("fill", "Send its endpoints requests again.")
