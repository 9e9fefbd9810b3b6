# Licensed under the Apache License 2.0: see LICENSE for details.

"""A caller with a plain socket, who reads answers strictly; for use in a thread."""

from __future__ import annotations

import socket
from contextlib import suppress

from standins.answers import End, ReadAnswer, take_answer
from walnutquay.transport.sockets import NO_LINGER

HOST = "127.0.0.1"
READ_BYTES = 1 << 16
# A read that lasts so long will never end.
WAIT_SECONDS = 10.0


class RawCaller:
    """One connection to a server.

    :param port: the server's.
    """

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection((HOST, port), WAIT_SECONDS)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.unread = b""
        self.end = End.OPEN
        self.was_reset = False

    def __enter__(self) -> RawCaller:
        return self

    def __exit__(self, *error: object) -> None:
        self.socket.close()

    def send(self, data: bytes) -> None:
        """Send bytes; a server that has gone is noticed where they are answered."""
        try:
            self.socket.sendall(data)
        except ConnectionResetError:
            # The system tells of a reset once; a read would see a plain end.
            self.was_reset = True
        except BrokenPipeError:
            pass

    def half_close(self) -> None:
        """Say that nothing more will be sent."""
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Leave at once, with a reset."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.socket.close()

    def answer(self, method: str = "GET") -> ReadAnswer | None:
        """:param method: the method of the request that is answered.

        :returns: the next answer; None where the connection ends before it.
        """
        while True:
            found = take_answer(self.unread, method, self.end)
            if found is not None:
                answer, self.unread = found
                return answer
            if self.end is not End.OPEN:
                return None
            self._receive()

    def until(self, mark: bytes) -> None:
        """Receive until some bytes have come, or the connection has ended."""
        while mark not in self.unread and self.end is End.OPEN:
            self._receive()

    def rest(self) -> bytes:
        """:returns: all that comes until the connection ends."""
        while self.end is End.OPEN:
            self._receive()
        return self.unread

    def _receive(self) -> None:
        try:
            data = self.socket.recv(READ_BYTES)
        except ConnectionError:
            self.end = End.RESET
            return
        self.unread += data
        if not data:
            self.end = End.RESET if self.was_reset else End.CLOSED
