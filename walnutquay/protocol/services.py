# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which headers of a service call and its answer are passed on."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

HEADER_REQUEST_ID = "x-request-id"
HEADER_ORGANISATION = "x-walnutquay-organisation"
OWN_PREFIX = "x-walnutquay-"

# These belong to one connection, or are worked out anew (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    }
)
# The caller's key and token are between it and the entry VM.
SECRET = frozenset({"authorization", "cookie"})


def call_headers(headers: Iterable[tuple[str, str]]) -> Iterator[tuple[str, str]]:
    """:param headers: what the caller sent.

    :returns: what the service is sent of it.
    """
    for name, value in headers:
        lower = name.lower()
        if lower in HOP_BY_HOP or lower in SECRET or lower.startswith(OWN_PREFIX):
            continue
        yield lower, value


def answer_headers(headers: Iterable[tuple[str, str]]) -> Iterator[tuple[str, str]]:
    """:param headers: what the service answered.

    :returns: what the caller is sent of it, but for the content type.
    """
    for name, value in headers:
        lower = name.lower()
        if lower in HOP_BY_HOP or lower.startswith(OWN_PREFIX):
            continue
        if lower not in ("content-type", HEADER_REQUEST_ID):
            yield lower, value
