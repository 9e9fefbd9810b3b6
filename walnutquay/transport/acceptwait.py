# Licensed under the Apache License 2.0: see LICENSE for details.

"""Measures how long new connections wait until this process accepts them.

The system queues them, and tells nothing of the queue; so a connection of this process
to itself is timed.
"""

from __future__ import annotations

import asyncio
import socket

from walnutquay.transport.timers import monotonic

ANYWHERE = "0.0.0.0"
LOCAL = "127.0.0.1"
# A connection that has not been recognised by then is given up, and no other is made:
# its address may have been translated on the way.  Callers wait less for a connection.
GIVE_UP_SECONDS = 5.0
# A result is valid for so long.
VALID_SECONDS = 2.0


class AcceptWait:
    """The time that a new connection takes until it is accepted."""

    def __init__(self) -> None:
        # Where this process listens; None before that.
        self.address: tuple[str, int] | None = None
        # The connection under way, and when it began.
        self.probe: socket.socket | None = None
        self.began = 0.0
        # Whether one has been recognised so far: until then nothing is known of a wait.
        self.works = False
        # The last result, in seconds, and when it came.
        self.last = 0.0
        self.measured_at = float("-inf")

    def listens_at(self, listener: socket.socket) -> None:
        """Tell where connections are accepted.

        :param listener: the listening socket.
        """
        host, port = listener.getsockname()
        self.address = (LOCAL if host == ANYWHERE else host, port)

    def seconds(self, now: float) -> float:
        """Return the wait, or the time that has passed if that is longer.

        :param now: monotonic seconds.
        """
        last = self.last if now - self.measured_at < VALID_SECONDS else 0.0
        if self.probe is None:
            return last
        passed = now - self.began
        if passed < GIVE_UP_SECONDS:
            return max(last, passed) if self.works else 0.0
        self.close()
        self.address, self.last = None, 0.0
        return 0.0

    async def measure(self) -> None:
        """Begin to measure, unless that is under way."""
        if self.address is None or self.probe is not None:
            return
        probe = self.probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        probe.setblocking(False)
        self.began = monotonic()
        try:
            await asyncio.get_running_loop().sock_connect(probe, self.address)
        except OSError:
            self.close()

    def is_probe(self, transport: asyncio.Transport) -> bool:
        """Return whether an accepted connection is the one that is measured.

        :param transport: the connection.
        """
        # Its own address is known once the system has connected it, which may be before
        # this process is told.
        if self.probe is None:
            return False
        if transport.get_extra_info("peername") != self.probe.getsockname():
            return False
        self.works = True
        self.measured_at = monotonic()
        self.last = self.measured_at - self.began
        self.close()
        return True

    def close(self) -> None:
        """Stop measuring."""
        if self.probe is not None:
            self.probe.close()
        self.probe = None
