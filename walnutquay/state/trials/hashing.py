# Licensed under the Apache License 2.0: see LICENSE for details.

"""Numbers of sessions, by which all VMs choose alike for a version on trial."""

from __future__ import annotations

import xxhash

# Numbers are below this.
HASH_SPAN = float(1 << 64)


def session_hash(session: str, version: str) -> int:
    """Number a session for a trial; all VMs number alike.

    :param session: the session, or the request where it has none.
    :param version: the new version.
    :returns: a number below 2 to the 64.
    """
    return xxhash.xxh3_64_intdigest(f"{version}\n{session}".encode())


def is_assigned_to_new(session: str, version: str, share: float) -> bool:
    """Decide for a session; all VMs decide alike, and a larger share keeps its own.

    :param session: the session, or the request where it has none.
    :param version: the new version.
    :param share: the share of sessions that it gets.
    """
    return session_hash(session, version) / HASH_SPAN < share
