# Licensed under the Apache License 2.0: see LICENSE for details.

"""Bytes on a connection that belong to no request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import aiohttp


class StrayKind(Enum):
    """How it is known that bytes are no answer to the request under way."""

    # No request was under way.
    IDLE = "idle"
    # It names an earlier request of the connection.
    EARLIER = "earlier"
    # It names a request that the connection has never carried.
    FOREIGN = "foreign"
    # It names no request, though earlier answers on the connection did.
    UNNAMED = "unnamed"


@dataclass(frozen=True, slots=True)
class Stray:
    """Bytes on a connection that belong to no request.

    :param kind: how that is known.
    :param address: ``IP:port`` of who sent them.
    :param size: how many bytes came at once; 0 for an answer.
    :param request: the request that was under way.
    :param named: the request that an answer names.
    """

    kind: StrayKind
    address: str
    size: int = 0
    request: str = ""
    named: str = ""


OnStray = Callable[[Stray], None]


def ignore_stray(stray: Stray) -> None:
    """:param stray: bytes that nobody is told of."""


class StrayAnswerError(aiohttp.ClientError):
    """An answer that is not the one to the request under way."""
