# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tells an answer that will never be one by the bytes that are no body of it."""

from __future__ import annotations

# Heads, interim answers and what frames chunks have no more bytes than this, and than
# this for each byte of the body: the smallest chunk takes six for one.
MAX_FRAMING_BYTES = 64 << 10
MAX_FRAMING_FACTOR = 16
# Endpoints send one interim answer, or one now and then while they work.
MAX_INTERIM_ANSWERS = 100


class FramingMeter:
    """Counts the bytes of one answer against those of its body."""

    def __init__(self) -> None:
        self.received = 0
        self.interim = 0

    def restart(self) -> None:
        """Begin to count anew: a request is sent, or the head of its answer ended."""
        self.received = 0
        self.interim = 0

    def add_interim(self) -> None:
        """Count an interim answer."""
        self.interim += 1

    def add(self, count: int) -> None:
        """Count bytes that have come.

        :param count: how many.
        """
        self.received += count

    def is_endless(self, body: int) -> bool:
        """Return whether more has come than frames any sound answer.

        :param body: bytes of the body so far.
        """
        sound = MAX_FRAMING_BYTES + (1 + MAX_FRAMING_FACTOR) * body
        return self.received > sound or self.interim > MAX_INTERIM_ANSWERS
