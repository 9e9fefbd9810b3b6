# Licensed under the Apache License 2.0: see LICENSE for details.

"""The command that shows and compares reports of replays."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
import orjson

from walnutquay.commands.output import fail, json_option, show
from walnutquay.replay.compare import compare, comparison_text
from walnutquay.replay.report import report_text


def _read(path: Path) -> dict[str, Any]:
    try:
        value = orjson.loads(path.read_bytes())
    except OSError as error:
        fail(f"{path}: cannot be read: {error.strerror}")
    except orjson.JSONDecodeError as error:
        fail(f"{path}: is not JSON: {error}")
    if not isinstance(value, dict) or "classes" not in value:
        fail(f"{path}: is no report: it has no 'classes'")
    return value


@click.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.argument("other", type=click.Path(path_type=Path), required=False)
@click.option(
    "--page", type=click.Path(path_type=Path), help="Write a page with plots here."
)
@json_option
def report(path: Path, other: Path | None, page: Path | None, as_json: bool) -> None:
    """Show a replay's report, or compare it with another one's."""
    reports = {path.stem: _read(path)}
    if other is not None:
        reports[f"{other.stem} (2)" if other.stem == path.stem else other.stem] = _read(
            other
        )
    if page is not None:
        try:
            from walnutquay.replay.page import page_of
        except ImportError:
            fail("--page needs matplotlib: install walnutquay[plots]")
        page.write_text(page_of(reports), encoding="utf-8")
    first, *rest = reports.values()
    if rest:
        show(compare(first, rest[0]), as_json, comparison_text)
    else:
        show(first, as_json, report_text)
