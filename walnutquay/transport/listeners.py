# Licensed under the Apache License 2.0: see LICENSE for details.

"""Listening sockets that exist before the rest of a daemon is imported.

Importing the libraries takes some 0.4 s on a small VM.  Callers who connect in the
meantime are refused where nothing listens, and wait where something does.  This
module imports nothing but the standard library's sockets.
"""

from __future__ import annotations

import socket

BACKLOG = 1024


def listen(host: str, port: int) -> socket.socket:
    """Open a listening socket.

    :param host: the IP number to listen at.
    :param port: the port; 0 takes a free one.
    """
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        made.bind((host, port))
        made.listen(BACKLOG)
    except OSError:
        made.close()
        raise
    made.setblocking(False)
    return made


def take_all(transport: object) -> bool:
    """Take each new connection.

    :param transport: its transport.
    """
    return True
