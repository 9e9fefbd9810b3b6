# Licensed under the Apache License 2.0: see LICENSE for details.

"""The command that checks settings and configuration files."""

from __future__ import annotations

from pathlib import Path

import click

from walnutquay.commands.output import fail, json_option, show
from walnutquay.commands.tomlfile import read_configuration
from walnutquay.exceptions import ConfigurationError, SettingsError
from walnutquay.settings import Settings
from walnutquay.state.own.checking import parse_content


@click.command()
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path),
    help="A daemon's settings.",
)
@click.argument("configurations", nargs=-1, type=click.Path(path_type=Path))
@json_option
def check(
    settings_path: Path | None, configurations: tuple[Path, ...], as_json: bool
) -> None:
    """Check settings and whole configuration files; nothing is changed."""
    if settings_path is None and not configurations:
        raise click.UsageError("name a settings file or a configuration file")
    problems: list[str] = []
    if settings_path is not None:
        try:
            Settings.load(settings_path)
        except SettingsError as error:
            problems.extend(error.reason.splitlines())
    for path in configurations:
        try:
            _, found = parse_content(read_configuration(path), str(path))
        except ConfigurationError as error:
            problems.extend(error.reason.splitlines())
        else:
            problems.extend(map(str, found))
    if problems and not as_json:
        fail("\n".join(problems))
    show({"problems": problems}, as_json, lambda _: "no problems")
    if problems:
        raise SystemExit(1)
