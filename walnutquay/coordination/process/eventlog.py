# Licensed under the Apache License 2.0: see LICENSE for details.

"""Bounds how many events are logged, and keeps failed requests whole.

Each event is logged at once while no more come than the limit.  Beyond it, the
events of a request wait until it has ended: one that failed or was answered late is
logged whole, of one that went well the lines are only counted.
"""

from __future__ import annotations

from collections import OrderedDict

import logbook

from walnutquay.state.process.events import Event, EventKind
from walnutquay.state.process.metrics import Metrics

log = logbook.Logger("walnutquay.events")

# Lines a second that are logged at once: five times the 42 to 63 that VMs were
# seen to write without faults.  What 300 cost in processor time was not measured.
LINES_PER_SECOND = 300.0
# Lines that may be saved up for a burst, in seconds of the rate.
BURST_SECONDS = 2.0
# Requests whose lines wait for their end; the oldest give way, counted.
MAX_HELD = 2_000
MAX_HELD_LINES = 40

WELL_ENDED = frozenset({EventKind.ANSWERED})
BADLY_ENDED = frozenset(
    {EventKind.REFUSED, EventKind.UNKNOWN, EventKind.CALLER_GONE, EventKind.BROKEN}
)


def is_late(event: Event) -> bool:
    """:param event: an event.

    :returns: whether it ends a request with an answer that came too late.
    """
    return event.kind in WELL_ENDED and ("late", True) in event.facts


class EventLog:
    """Logs events, with a bound.

    :param metrics: where lines that were left out are counted.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.tokens = LINES_PER_SECOND * BURST_SECONDS
        self.filled_at = 0.0
        # Lines that wait for their request's end, by request.
        self.held: OrderedDict[str, list[Event]] = OrderedDict()

    def log_event(self, event: Event) -> None:
        """Log an event, now, later or never.

        :param event: the event.
        """
        self._refill(event.stamp.physical / 1_000_000)
        if not event.request:
            self._write(event)
            return
        if event.kind in BADLY_ENDED or is_late(event):
            for earlier in self.held.pop(event.request, ()):
                self._write(earlier)
            self._write(event)
            return
        if event.kind in WELL_ENDED and event.request in self.held:
            self._leave_out(len(self.held.pop(event.request)) + 1)
            return
        if self.tokens >= 1.0 and event.request not in self.held:
            self._write(event)
            return
        self._hold(event)

    def _refill(self, now: float) -> None:
        passed = max(0.0, now - self.filled_at)
        self.filled_at = now
        most = LINES_PER_SECOND * BURST_SECONDS
        self.tokens = min(most, self.tokens + passed * LINES_PER_SECOND)

    def _hold(self, event: Event) -> None:
        lines = self.held.setdefault(event.request, [])
        if len(lines) >= MAX_HELD_LINES:
            self._leave_out(1)
            return
        lines.append(event)
        if len(self.held) > MAX_HELD:
            _, oldest = self.held.popitem(last=False)
            self._leave_out(len(oldest))

    def _leave_out(self, count: int) -> None:
        self.metrics.count("log_lines_left_out", count)

    def _write(self, event: Event) -> None:
        self.tokens = max(0.0, self.tokens - 1.0)
        log.info("{}", event.kind.value, extra=event.plain())
