# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sockets that notice soon when the other side has fallen silent."""

from __future__ import annotations

import asyncio
import os
import socket
import struct

import aiohttp

# A peer that acknowledges nothing for this long is out of reach; the system's own
# limit is minutes.  A second of silence is survived: some peers pause, and go on.  The
# limit holds for idle connections too, whatever the number of keep-alive probes: with
# a probe each second they end after 3 s.
SILENCE_SECONDS = 2.5
KEEPALIVE_SECONDS = 1
# The option SO_LINGER, switched on, with a wait of 0 s: closing resets the connection,
# and what has not reached the peer yet is dropped.
NO_LINGER = struct.pack("ii", 1, 0)
# The option switched off, as it is at first.
PLAIN_LINGER = struct.pack("ii", 0, 0)


def limit_silence(made: socket.socket) -> None:
    """Let a connection end whose other side acknowledges nothing any more.

    :param made: its socket.
    """
    silence = int(SILENCE_SECONDS * 1000)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)


def limited_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Make a socket whose silence is limited.

    :param info: family, kind and address, as aiohttp gives them.
    """
    family, kind, protocol, _, _ = info
    made = socket.socket(family, kind, protocol)
    try:
        limit_silence(made)
    except OSError:
        made.close()
        raise
    return made


def reset_on_close(made: asyncio.trsock.TransportSocket | None) -> None:
    """Have a connection reset when it is closed, and drop what it still holds.

    :param made: its socket; None where it is gone already.
    """
    if made is not None:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def close_plainly(made: asyncio.trsock.TransportSocket | None) -> None:
    """Take :func:`reset_on_close` back.

    :param made: the connection's socket; None where it is gone already.
    """
    if made is not None:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, PLAIN_LINGER)


def was_reset(bound: asyncio.trsock.TransportSocket | None) -> bool:
    """Tell whether a connection whose stream has ended was reset.

    :param bound: its socket; None where it is gone already.
    """
    if bound is None:
        return False
    # The loop's own object offers no reading.
    with socket.socket(fileno=os.dup(bound.fileno())) as copy:
        try:
            copy.setblocking(False)
            if copy.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return True
            copy.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return False
