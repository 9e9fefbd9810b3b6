# Licensed under the Apache License 2.0: see LICENSE for details.

"""A mechanism that may be taken out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Mutation:
    """A mechanism that is taken out.

    :param guarantee: what it serves.
    :param file: where it is.
    :param old: the text that is replaced.
    :param new: what by.
    :param test: what must fail then.
    """

    guarantee: str
    file: str
    old: str
    new: str
    test: str
