# Licensed under the Apache License 2.0: see LICENSE for details.

"""Writes lines to a descriptor without ever waiting for its reader."""

from __future__ import annotations

import asyncio
import os
from collections import deque

# Bytes that may wait for a reader who is slow.  At a kilobyte a request this is
# some thousand requests, and 1 in 100 of the smallest VM's memory.
MAX_WAITING_BYTES = 1 << 20
# Bytes of one write: what a pipe takes whole on Linux.
WRITE_BYTES = 1 << 16
# While the reader takes nothing, a write is tried this often; seconds.
RETRY_SECONDS = 0.1


class LineWriter:
    """Writes lines from the loop, and drops the newest ones when too many wait.

    The lines of one turn of the loop go out together.

    :param descriptor: where to write; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.waiting: deque[bytes] = deque()
        self.waiting_bytes = 0
        # Lines that were dropped since the start.
        self.dropped = 0
        self.scheduled = False
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """:param line: a line with its end; dropped where too many wait."""
        if self.waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self.waiting.append(line)
        self.waiting_bytes += len(line)
        if self.scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before the loop runs and after it has ended there is only this turn.
            self.flush()
            return
        self.scheduled = True
        loop.call_soon(self._turn)

    def flush(self) -> bool:
        """Write what waits, as far as the reader takes it.

        :returns: whether nothing is left.
        """
        while self.waiting:
            data = b"".join(self.waiting)[:WRITE_BYTES]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody reads any more; nothing can be told to anyone.
                self.dropped += len(self.waiting)
                self.waiting.clear()
                self.waiting_bytes = 0
                return True
            self._written(written)
        return True

    def _written(self, count: int) -> None:
        self.waiting_bytes -= count
        while count:
            line = self.waiting.popleft()
            if len(line) > count:
                self.waiting.appendleft(line[count:])
                return
            count -= len(line)

    def _turn(self) -> None:
        if self.flush():
            self.scheduled = False
        else:
            asyncio.get_running_loop().call_later(RETRY_SECONDS, self._turn)
