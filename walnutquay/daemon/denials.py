# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that are answered before they reach a path."""

from __future__ import annotations

from walnutquay.state.requests.refusals import Refusal, RefusalCode


class BadCallError(Exception):
    """A request that is answered before it reaches the path.

    :param refusal: why.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


def bad_request(reason: str) -> BadCallError:
    """Return the error for a request that cannot be read.

    :param reason: what is wrong with it.
    """
    return BadCallError(Refusal(RefusalCode.BAD_REQUEST, reason))
