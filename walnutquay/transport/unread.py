# Licensed under the Apache License 2.0: see LICENSE for details.

"""Callers who do not read what they are sent."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass

# Where the system tells how many bytes the other side has acknowledged.
ACKNOWLEDGED_OFFSET = 120
TCP_INFO_BYTES = 128


@dataclass
class Unread:
    """A connection with bytes that its caller does not take.

    :param acknowledged: bytes that the caller's system has taken.
    :param since: since when it took no more; monotonic seconds.
    """

    acknowledged: int
    since: float


def acknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the other side's system has taken.

    What this process hands to its own system comes in large pieces: a slow caller
    would seem to read nothing in between.

    :param transport: an open connection.
    :returns: bytes; where the system does not tell, a number that changes as bytes are
        handed to it.
    """
    bound = transport.get_extra_info("socket")
    try:
        info = bound.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        return struct.unpack_from("Q", info, ACKNOWLEDGED_OFFSET)[0]
    except (OSError, struct.error):
        return -transport.get_write_buffer_size()


class UnreadConnections:
    """Tells since when callers have taken nothing of what they are sent."""

    def __init__(self) -> None:
        self.found: dict[asyncio.Transport, Unread] = {}

    def look(self, transports: Iterable[asyncio.Transport], now: float) -> None:
        """Compare what callers have taken with the last look.

        :param transports: all connections.
        :param now: monotonic seconds.
        """
        found = {}
        for transport in transports:
            if not transport.get_write_buffer_size():
                continue
            taken = acknowledged_bytes(transport)
            last = self.found.get(transport)
            same = last is not None and last.acknowledged == taken
            found[transport] = last if same else Unread(taken, now)
        self.found = found

    def postpone(self, seconds: float) -> None:
        """Leave out a time in which nothing could be sent.

        :param seconds: how long the VM was suspended.
        """
        for unread in self.found.values():
            unread.since += seconds

    def since(self, until: float) -> list[asyncio.Transport]:
        """Return the connections that have taken nothing since a time, oldest first.

        :param until: monotonic seconds.
        """
        silent = [one for one, unread in self.found.items() if unread.since <= until]
        return sorted(silent, key=lambda one: self.found[one].since)
