# Licensed under the Apache License 2.0: see LICENSE for details.

"""Rate limiting of the event log that keeps the events of failed requests.

Each event is logged at once while the rate is within the limit.  Beyond it, the
events of a request are held back until the request has ended.  If it failed or was
answered late, the events held back are logged, up to the limits below; if it
succeeded, they are only counted.
"""

from __future__ import annotations

from collections import OrderedDict

import logbook

from walnutquay.state.process.events import Event, EventKind
from walnutquay.state.process.metrics import Metrics

log = logbook.Logger("walnutquay.events")

# Limit of the lines per second that are logged at once: about five times the 42 to
# 63 lines per second that VMs wrote in runs without faults.  The processor time
# that 300 lines per second take has not been measured.
LINES_PER_SECOND = 300.0
# Capacity of the token bucket, in seconds at the rate above.
BURST_SECONDS = 2.0
# Maximum number of requests whose lines are held back.  Beyond it, the lines of the
# oldest request are dropped and counted.
MAX_HELD_REQUESTS = 2_000
# Beyond this, further lines of the request are dropped and counted.
MAX_HELD_LINES_PER_REQUEST = 40

SUCCESS_KINDS = frozenset({EventKind.ANSWERED})
FAILURE_KINDS = frozenset(
    {EventKind.REFUSED, EventKind.UNKNOWN, EventKind.CALLER_GONE, EventKind.BROKEN}
)


def is_late(event: Event) -> bool:
    """Return whether an event ends a request with a late answer.

    :param event: the event.
    """
    return event.kind in SUCCESS_KINDS and ("late", True) in event.facts


class EventLog:
    """A rate-limited log of events.

    :param metrics: the metrics that count the lines not logged.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.tokens = LINES_PER_SECOND * BURST_SECONDS
        self.filled_at = 0.0
        # Events held back until their request has ended, by request id.
        self.held: OrderedDict[str, list[Event]] = OrderedDict()

    def log_event(self, event: Event) -> None:
        """Log an event at once, hold it back, or only count it.

        :param event: the event.
        """
        self._refill(event.stamp.physical / 1_000_000)
        if not event.request:
            self._write(event)
            return
        if event.kind in FAILURE_KINDS or is_late(event):
            for earlier in self.held.pop(event.request, ()):
                self._write(earlier)
            self._write(event)
            return
        if event.kind in SUCCESS_KINDS and event.request in self.held:
            self._count_dropped(len(self.held.pop(event.request)) + 1)
            return
        if self.tokens >= 1.0 and event.request not in self.held:
            self._write(event)
            return
        self._hold(event)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.filled_at)
        self.filled_at = now
        capacity = LINES_PER_SECOND * BURST_SECONDS
        self.tokens = min(capacity, self.tokens + elapsed * LINES_PER_SECOND)

    def _hold(self, event: Event) -> None:
        lines = self.held.setdefault(event.request, [])
        if len(lines) >= MAX_HELD_LINES_PER_REQUEST:
            self._count_dropped(1)
            return
        lines.append(event)
        if len(self.held) > MAX_HELD_REQUESTS:
            _, oldest = self.held.popitem(last=False)
            self._count_dropped(len(oldest))

    def _count_dropped(self, count: int) -> None:
        self.metrics.count("log_lines_left_out", count)

    def _write(self, event: Event) -> None:
        self.tokens = max(0.0, self.tokens - 1.0)
        log.info("{}", event.kind.value, extra=event.plain())
