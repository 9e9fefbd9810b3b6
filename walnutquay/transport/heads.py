# Licensed under the Apache License 2.0: see LICENSE for details.

"""Where heads of HTTP messages end in what is read.

aiohttp's parsers take what was read as a whole or not at all: messages that came in one
piece with bytes that cannot be read would be lost with them.
"""

from __future__ import annotations

HEAD_END = b"\r\n\r\n"
# Bodies hold blank lines too; so many parts of one read cost little.
MAX_PARTS = 16


def split_after_heads(before: bytes, data: bytes) -> list[bytes]:
    """Split bytes behind each end of a head, the first :data:`MAX_PARTS` of them.

    :param before: what came just before them.
    :param data: the bytes.
    :returns: all of them, in parts; at least one.
    """
    if data.find(HEAD_END) == len(data) - len(HEAD_END) and (
        not before or before == HEAD_END
    ):
        # Most requests come alone, and have no body.
        return [data]
    known = before[1 - len(HEAD_END) :] + data
    start = len(known) - len(data)
    parts: list[bytes] = []
    found = known.find(HEAD_END)
    while found >= 0 and len(parts) < MAX_PARTS:
        end = found + len(HEAD_END)
        parts.append(known[start:end])
        start = end
        found = known.find(HEAD_END, start)
    if start < len(known) or not parts:
        parts.append(known[start:])
    return parts


def last_bytes(before: bytes, data: bytes) -> bytes:
    """:param before: what came just before.

    :param data: what has come.
    :returns: the last bytes of both, as many as an end of a head has.
    """
    return (before + data[-len(HEAD_END) :])[-len(HEAD_END) :]
