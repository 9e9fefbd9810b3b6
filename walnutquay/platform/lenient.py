# Licensed under the Apache License 2.0: see LICENSE for details.

"""Reads answers of the store in which single objects cannot be read.

A list with one object of foreign bytes is no JSON as a whole; the others in it hold.
"""

from __future__ import annotations

import json
import re
from typing import Any

import orjson

# What lies deeper is left out: no object that we know of has more levels.
MAX_DEPTH = 32
# Strings, which may hold brackets, and brackets.
TOKENS = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]')
OPENING = frozenset("[{")
CLOSING = frozenset("]}")
# A whole number of so many digits fits into 64 bits; longer ones are read as fractions,
# and Python reads none of some thousand digits.
MAX_WHOLE_DIGITS = 18
# The levels that lists for other VMs put around an object.
LEVELS_AROUND = 8


def read_json(content: bytes) -> Any:
    """Read an answer, as far as it can be read.

    :param content: its bytes.
    :raises ValueError: if it is no JSON even without what is foreign in it.
    """
    try:
        return orjson.loads(content)
    except orjson.JSONDecodeError:
        text = content.decode("utf-8", "replace")
    try:
        return json.loads(_without_depth(text), parse_int=_whole)
    except RecursionError as error:
        raise ValueError("it is too deep, and not whole") from error


def _whole(digits: str) -> int | float:
    """Read a whole number, which may have any number of digits."""
    is_short = len(digits.lstrip("-")) <= MAX_WHOLE_DIGITS
    return int(digits) if is_short else float(digits)


def _without_depth(text: str) -> str:
    """Put null in the place of what lies too deep for a parser."""
    kept = []
    begin = depth = 0
    for token in TOKENS.finditer(text):
        if token.group() in OPENING:
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.append(text[begin : token.start()])
        elif token.group() in CLOSING:
            if depth == MAX_DEPTH + 1:
                kept.append("null")
                begin = token.end()
            depth -= 1
    return "".join([*kept, text[begin:]])


def is_plain(value: Any) -> bool:
    """:param value: what was read.

    :returns: whether it can be written as JSON again, for other VMs.
    """
    for _ in range(LEVELS_AROUND):
        value = [value]
    try:
        orjson.dumps(value)
    except (orjson.JSONEncodeError, RecursionError):
        return False
    return True
