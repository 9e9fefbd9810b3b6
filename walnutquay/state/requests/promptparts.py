# Licensed under the Apache License 2.0: see LICENSE for details.

"""The parts of prompts, by names of bounded length and number."""

from __future__ import annotations

from collections.abc import Iterable

from walnutquay.state.process.ids import PartName
from walnutquay.state.requests.fingerprints import fingerprint

# Callers choose the names of parts and how many there are: of a longer name a hash is
# kept, and only the first parts of a longer prompt.
MAX_NAME_LENGTH = 32
MAX_PARTS = 256
# Separates names in messages and log lines.
SEPARATOR = ","


def part_names(parts: Iterable[str]) -> tuple[PartName, ...]:
    """Return the distinct names of parts, in order.

    :param parts: the names or texts of the parts.
    """
    distinct = dict.fromkeys(part for part in parts if part)
    return tuple(_bounded(part) for part in list(distinct)[:MAX_PARTS])


def hashed_part(text: str) -> PartName:
    """Return the name of a part that has none of its own.

    :param text: the part's text.
    """
    digest = fingerprint(text.encode(errors="surrogatepass"))
    return PartName(digest[:MAX_NAME_LENGTH])


def _bounded(name: str) -> PartName:
    if len(name) <= MAX_NAME_LENGTH and SEPARATOR not in name:
        return PartName(name)
    return hashed_part(name)
