# Licensed under the Apache License 2.0: see LICENSE for details.

"""The memory that answers take until their callers have read them."""

from __future__ import annotations

from collections.abc import Callable

from walnutquay.transport.client import READ_BYTES


class AnswerMemory:
    """Limits the bytes of answers that this VM holds, over all callers.

    An answer that is held whole can be asked for again elsewhere if it breaks.  One
    that finds no room is passed on as it comes, no faster than its caller reads.

    :param limit: bytes of all answers together.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        # Bytes of answers that are being read.
        self.reading = 0
        # Returns the bytes that have been read and not sent yet.
        self.unsent: Callable[[], int] = lambda: 0

    def has_room(self, size: int) -> bool:
        """Return whether an answer may be held whole.

        The first part of an answer is no more than what every connection may hold.

        :param size: bytes of it that have been read.
        """
        return size <= READ_BYTES or self.reading + self.unsent() <= self.limit
