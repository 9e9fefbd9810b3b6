# Licensed under the Apache License 2.0: see LICENSE for details.

"""The pauses between the events of a stream."""

from __future__ import annotations

from dataclasses import dataclass

# The number of reads with events that are evaluated together.
READS_PER_PART = 8


@dataclass(frozen=True, slots=True)
class StreamPart:
    """The pauses within a part of a stream.

    :param mean: the mean pause for each event; seconds.
    :param longest: the longest pause; seconds.
    """

    mean: float
    longest: float


class PauseMeter:
    """Measures how long an endpoint takes between events.

    The time in which the caller takes the events is not the endpoint's, and is left
    out: a caller that reads slowly must not make its endpoint look slow.

    :param now: when the answer's head came; monotonic seconds.
    """

    def __init__(self, now: float) -> None:
        self.waiting_since = now
        self.reads = 0
        self.events = 0
        self.total = 0.0
        self.longest = 0.0

    def received(self, events: int, now: float) -> StreamPart | None:
        """Record events that an endpoint sent.

        :param events: the number of events.
        :param now: monotonic seconds.
        :returns: a part of the stream, once it is long enough.
        """
        pause = now - self.waiting_since
        self.total += pause
        self.longest = max(self.longest, pause)
        self.reads += 1
        self.events += events
        self.waiting_since = now
        if self.reads < READS_PER_PART:
            return None
        part = StreamPart(self.total / self.events, self.longest)
        self.reads = self.events = 0
        self.total = self.longest = 0.0
        return part

    def passed_on(self, now: float) -> None:
        """Record that the caller has taken the events.

        :param now: monotonic seconds.
        """
        self.waiting_since = now
