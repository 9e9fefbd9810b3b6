# Licensed under the Apache License 2.0: see LICENSE for details.

"""Fingerprints that identify a request independently of the ids of its attempts."""

from __future__ import annotations

import hashlib

from walnutquay.state.process.ids import Fingerprint

LENGTH_BYTES = 8


def fingerprint(*parts: bytes) -> Fingerprint:
    """Hash the parts that identify a request.

    Nobody can construct a request with another request's fingerprint, because the hash
    is cryptographic and each part is hashed together with its length.

    :param parts: the identifying parts, such as the caller, method, path and body.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
