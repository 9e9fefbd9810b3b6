# Licensed under the Apache License 2.0: see LICENSE for details.

"""Keys that callers and operators present, and the hashes that we keep of them."""

from __future__ import annotations

import hashlib

SCHEME = "bearer "
HASH_PREFIX = "sha256:"


def bearer_key(header: str | None) -> str:
    """:param header: an ``Authorization`` header.

    :returns: the key in it; empty if there is none.
    """
    if header is None or not header.lower().startswith(SCHEME):
        return ""
    return header[len(SCHEME) :].strip()


def key_hash(key: str) -> str:
    """:param key: a key or token.

    :returns: its hash, in the form that settings and configuration hold.
    """
    return HASH_PREFIX + hashlib.sha256(key.encode()).hexdigest()
