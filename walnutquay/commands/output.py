# Licensed under the Apache License 2.0: see LICENSE for details.

"""What all commands share: JSON or text, and exit codes that mean something."""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import Any, NoReturn

import click
import orjson


class ExitCode(IntEnum):
    """The exit codes, as the help of ``walnutquay`` lists them."""

    NOT_DONE = 1
    CONFLICT = 3
    PLATFORM = 4
    UNCLEAR = 5
    NOT_EVERYWHERE = 6


def fail(reason: str, code: ExitCode = ExitCode.NOT_DONE) -> NoReturn:
    """Say why a command failed, and exit.

    :param reason: why; names the file and key where there is one.
    :param code: the exit code.
    """
    for line in reason.splitlines():
        click.echo(f"error: {line}", err=True)
    raise SystemExit(code)


def show(value: Any, as_json: bool, text: Callable[[Any], str]) -> None:
    """Print a result.

    :param value: the result.
    :param as_json: whether to print JSON.
    :param text: writes it for people.
    """
    if as_json:
        option = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
        click.echo(orjson.dumps(value, option=option).decode())
    else:
        click.echo(text(value))


json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
