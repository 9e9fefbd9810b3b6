# Licensed under the Apache License 2.0: see LICENSE for details.

"""Answers of endpoints, without a connection."""

from __future__ import annotations

from collections.abc import AsyncIterator
from types import SimpleNamespace


def fake_answer(body: bytes, **headers: str) -> SimpleNamespace:
    """Return a whole answer with status 200, as the HTTP library gives it.

    :param body: its body.
    :param headers: its headers, besides its length.
    """

    async def iter_chunked(size: int) -> AsyncIterator[bytes]:
        for start in range(0, len(body), size):
            yield body[start : start + size]

    return SimpleNamespace(
        status=200,
        headers={"Content-Length": str(len(body)), **headers},
        content=SimpleNamespace(iter_chunked=iter_chunked),
    )
