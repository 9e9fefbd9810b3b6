# Licensed under the Apache License 2.0: see LICENSE for details.

"""What tells one request from another, whatever ids its tries have."""

from __future__ import annotations

import hashlib

from walnutquay.state.process.ids import Fingerprint

LENGTH_BYTES = 8


def fingerprint(*parts: bytes) -> Fingerprint:
    """Hash what makes a request.

    Nobody can make a request with another's fingerprint: the hash is a cryptographic
    one, and each part goes in with its length.

    :param parts: what makes the request, such as its caller, method, path and body.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
