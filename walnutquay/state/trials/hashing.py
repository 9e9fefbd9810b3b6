# Licensed under the Apache License 2.0: see LICENSE for details.

"""Session hashes, by which all VMs assign sessions to versions consistently."""

from __future__ import annotations

import xxhash

# Hashes are less than this.
HASH_RANGE = float(1 << 64)


def session_hash(session: str, version: str) -> int:
    """Hash a session for a trial; the result is the same on all VMs.

    :param session: the session, or the request if it has no session.
    :param version: the new version.
    :returns: a number less than 2 to the power of 64.
    """
    return xxhash.xxh3_64_intdigest(f"{version}\n{session}".encode())


def is_assigned_to_new(session: str, version: str, share: float) -> bool:
    """Decide whether a session is assigned to the new version.

    The result is the same on all VMs.  A larger share includes all sessions of a
    smaller one.

    :param session: the session, or the request if it has no session.
    :param version: the new version.
    :param share: the share of sessions that the new version gets.
    """
    return session_hash(session, version) / HASH_RANGE < share
