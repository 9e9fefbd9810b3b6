# Licensed under the Apache License 2.0: see LICENSE for details.

"""Finds words of the platform's pages that docs/design/platform.md does not list.

``python -m lab.pages.words FOLDER`` reads the pages ``PROTOCOL*.md`` and ``NEWS*.md``
and every list of words ``wire.json`` below the folder.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Collection, Iterator
from pathlib import Path
from typing import Any

import click
import orjson

PAGE = Path(__file__).parents[2] / "docs" / "design" / "platform.md"
HEADING = "## Every word of the platform's pages"
NEXT_HEADING = "\n## "
MARKED = re.compile(r"`([^`\n]+)`")
PAGES = ("PROTOCOL*.md", "NEWS*.md")
WORD_LIST = "wire.json"


def listed_words(page: str) -> dict[str, str]:
    """Return the words of the table, with what it says on whether they are read.

    :param page: the text of the page.
    """
    section = page.partition(HEADING)[2].partition(NEXT_HEADING)[0]
    words: dict[str, str] = {}
    for line in section.splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split(" | ")]
        if line.startswith("|") and len(cells) >= 3:
            words |= dict.fromkeys(MARKED.findall(cells[0]), cells[1])
    return words


def page_words(folder: Path, without: Collection[str] = ()) -> set[str]:
    """Return the words of the platform's pages.

    :param folder: the folder of the pages.
    :param without: names of folders below it that are left out.
    """
    words: set[str] = set()
    for pattern in PAGES:
        for page in sorted(folder.glob(pattern)):
            words |= set(MARKED.findall(page.read_text(encoding="utf-8")))
    for path in sorted(folder.rglob(WORD_LIST)):
        if path.parent.name in without:
            continue
        words |= set(_texts(orjson.loads(path.read_bytes())))
    return {word for word in words if word}


def _texts(value: Any) -> Iterator[str]:
    if isinstance(value, dict):
        value = list(value.values())
    if isinstance(value, list):
        for item in value:
            yield from _texts(item)
    elif isinstance(value, str):
        yield value


@click.command()
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
@click.option("--without", multiple=True, help="A folder below it to leave out.")
def main(folder: Path, without: tuple[str, ...]) -> None:
    """Print the words of the pages in FOLDER that the design does not list."""
    listed = listed_words(PAGE.read_text(encoding="utf-8"))
    missing = sorted(page_words(folder, without) - set(listed))
    for word in missing:
        click.echo(word)
    sys.exit(1 if missing else 0)


if __name__ == "__main__":
    main()
