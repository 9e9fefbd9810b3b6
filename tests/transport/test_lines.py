# Licensed under the Apache License 2.0: see LICENSE for details.

"""Log lines: never waited for, bounded, whole for requests that failed."""

from __future__ import annotations

import os
import unittest

from walnutquay.coordination.process.eventlog import (
    BURST_SECONDS,
    LINES_PER_SECOND,
    EventLog,
)
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.events import Event, EventKind
from walnutquay.state.process.metrics import Metrics
from walnutquay.transport.lines import MAX_WAITING_BYTES, LineWriter

LINE = b"x" * 1000 + b"\n"


class WriterTest(unittest.TestCase):
    """A reader that stops costs lines, and no time."""

    def setUp(self) -> None:
        self.reader, self.pipe = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.pipe)
        self.writer = LineWriter(self.pipe)

    def test_lines_arrive_in_order(self):
        for number in range(10):
            self.writer.write(b"%d\n" % number)
        self.assertEqual(os.read(self.reader, 100), b"0\n1\n2\n3\n4\n5\n6\n7\n8\n9\n")

    def test_a_reader_that_stops(self):
        count = 3 * MAX_WAITING_BYTES // len(LINE)
        for _ in range(count):
            self.writer.write(LINE)
        self.assertLessEqual(self.writer.waiting_bytes, MAX_WAITING_BYTES)
        self.assertGreater(self.writer.dropped, count // 3)
        # Once it reads again, what waited arrives whole, and nothing twice.
        os.set_blocking(self.reader, False)
        found = b""
        while True:
            self.writer.flush()
            try:
                found += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                break
        lines = found.splitlines(keepends=True)
        self.assertEqual(len(lines), count - self.writer.dropped)
        self.assertEqual(set(lines), {LINE})

    def test_no_reader_at_all(self):
        reader, pipe = os.pipe()
        writer = LineWriter(pipe)
        os.close(reader)
        writer.write(LINE)
        os.close(pipe)
        self.assertEqual((writer.dropped, writer.waiting_bytes), (1, 0))


class BoundTest(unittest.TestCase):
    """Beyond the bound, only requests that failed are logged whole."""

    def setUp(self) -> None:
        self.metrics = Metrics()
        self.log = EventLog(self.metrics)
        self.written: list[Event] = []
        self.log._write = self.write

    def write(self, event: Event) -> None:
        """Take a line in place of the log."""
        self.log.tokens = max(0.0, self.log.tokens - 1.0)
        self.written.append(event)

    def log_event(self, kind: EventKind, request: str, now: float = 1.0) -> None:
        """Log an event at a time."""
        stamp = Stamp(int(now * 1_000_000), 0)
        self.log.log_event(Event(stamp, "vm", kind, request))

    def test_few_lines_go_out_at_once(self):
        self.log_event(EventKind.RECEIVED, "r1")
        self.assertEqual(len(self.written), 1)

    def test_many_are_bounded_and_counted(self):
        count = 5 * int(LINES_PER_SECOND * BURST_SECONDS)
        for number in range(count):
            self.log_event(EventKind.RECEIVED, f"r{number}")
            self.log_event(EventKind.ANSWERED, f"r{number}")
        self.assertLessEqual(len(self.written), LINES_PER_SECOND * BURST_SECONDS + 1)
        left_out = self.metrics.counters["log_lines_left_out"]
        self.assertEqual(left_out + len(self.written), 2 * count)

    def test_a_request_that_fails_is_whole(self):
        self.log.tokens = 0.0
        self.log.filled_at = 1.0
        for kind in (EventKind.RECEIVED, EventKind.DISPATCHED, EventKind.FAILED):
            self.log_event(kind, "r1")
        self.assertEqual(self.written, [])
        self.log_event(EventKind.UNKNOWN, "r1")
        kinds = [event.kind.value for event in self.written]
        self.assertEqual(kinds, ["received", "dispatched", "failed", "outcome-unknown"])

    def test_what_changes_a_belief_is_always_logged(self):
        self.log.tokens = 0.0
        self.log.filled_at = 1.0
        self.log_event(EventKind.BRAKED, "")
        self.assertEqual(len(self.written), 1)
