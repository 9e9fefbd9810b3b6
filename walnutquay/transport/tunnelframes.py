# Licensed under the Apache License 2.0: see LICENSE for details.

"""Frames around what a VM passes on of an endpoint's connection.

A process that ends closes its sockets as the endpoint would, so an orderly end between
two VMs proves nothing.  A frame without bytes tells that the endpoint itself has closed
its connection.
"""

from __future__ import annotations

from walnutquay.exceptions import MessageError

LENGTH_BYTES = 4
# The largest frame; a loop reads less than that at once.
MAX_FRAME = 4 << 20


def frame_header(size: int) -> bytes:
    """Return what goes before the bytes of a frame.

    :param size: how many bytes the frame has.
    """
    return size.to_bytes(LENGTH_BYTES, "big")


END_FRAME = frame_header(0)


class FrameReader:
    """Takes the frames off the bytes of a forwarded connection."""

    def __init__(self) -> None:
        # Whether the endpoint has closed its connection, and all of it has come.
        self.ended = False
        # Bytes of the frame under way that are still to come, and of its header.
        self.left = 0
        self.header = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the endpoint's bytes, as far as they have come.

        :param data: what has arrived.
        :raises MessageError: if it is no frame.
        """
        found = []
        while data:
            if not self.left:
                data = self._read_header(data)
                continue
            found.append(data[: self.left])
            data = data[self.left :]
            self.left -= len(found[-1])
        return found

    def _read_header(self, data: bytes) -> bytes:
        """Read on in a header, and return what follows it."""
        if self.ended:
            raise MessageError("bytes behind the last frame", step="tunnel")
        missing = LENGTH_BYTES - len(self.header)
        self.header += data[:missing]
        if len(self.header) == LENGTH_BYTES:
            self.left = int.from_bytes(self.header, "big")
            self.header = b""
            self.ended = not self.left
        if self.left > MAX_FRAME:
            raise MessageError(f"a frame of {self.left} bytes", step="tunnel")
        return data[missing:]
