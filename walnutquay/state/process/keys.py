# Licensed under the Apache License 2.0: see LICENSE for details.

"""API keys of callers and operators, and the hashes that are stored of them."""

from __future__ import annotations

import hashlib

SCHEME = "bearer "
HASH_PREFIX = "sha256:"


def bearer_key(header: str | None) -> str:
    """Extract the key from an ``Authorization`` header.

    :param header: the value of the header, or None if it is missing.
    :returns: the key; empty if the header holds no bearer key.
    """
    if header is None or not header.lower().startswith(SCHEME):
        return ""
    return header[len(SCHEME) :].strip()


def key_hash(key: str) -> str:
    """Return the hash of a key in the form used by settings and configuration.

    :param key: the key or token.
    """
    return HASH_PREFIX + hashlib.sha256(key.encode()).hexdigest()
