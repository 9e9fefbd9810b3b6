# Licensed under the Apache License 2.0: see LICENSE for details.

"""Ports for processes that start later, and start again at the same ones."""

from __future__ import annotations

import socket
from collections.abc import Sequence

HOST = "127.0.0.1"
TRIES = 100


class HeldPorts:
    """Keeps ports from being given to others until a process listens there.

    A port that was free a moment ago may be some other connection's own by then: a
    process that is to listen there would not start.  A socket that is bound, and does
    not listen, keeps the system from giving the port out; whoever sets
    ``SO_REUSEADDR`` may still listen there.
    """

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []

    def take(self, count: int) -> Sequence[int]:
        """:param count: how many.

        :returns: ports that are free, and are held from now on.
        """
        taken = [self._hold() for _ in range(count)]
        self.sockets += taken
        return [one.getsockname()[1] for one in taken]

    def _hold(self) -> socket.socket:
        """Hold a port that is free for datagrams as well: VMs use both kinds."""
        for _ in range(TRIES):
            held = socket.socket()
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            held.bind((HOST, 0))
            if _is_free_for_datagrams(held.getsockname()[1]):
                return held
            held.close()
        raise OSError("no port is free for both streams and datagrams")

    def close(self) -> None:
        """Hold them no more."""
        for held in self.sockets:
            held.close()
        self.sockets.clear()


def _is_free_for_datagrams(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
        return True
