# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests explained from log lines that are made up."""

from __future__ import annotations

import unittest

import orjson

from walnutquay.history.beliefs import Beliefs
from walnutquay.history.causes import Cause, CauseFinder
from walnutquay.history.crashes import endpoint_ends, ends_text
from walnutquay.history.lines import LogLine, read_line
from walnutquay.history.lost import SILENT_SECONDS, lost_requests, lost_text
from walnutquay.history.requests import histories
from walnutquay.history.sessions import version_changes
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.events import Event, EventKind

HOST = "127.0.0.1"
START_SECONDS = 20.0


def line(kind: str, at: float = 0.0, request: str = "r", **more) -> LogLine:
    """:returns: a line; times are seconds."""
    facts = {k: v for k, v in more.items() if k not in LogLine.__slots__}
    known = {k: v for k, v in more.items() if k in LogLine.__slots__}
    fields = {"vm": "vm-1", **known}
    moment = (int(at * 1_000_000), 0)
    return LogLine(
        at=moment, kind=EventKind(kind), request=request, facts=facts, **fields
    )


RECEIVED = line("received", 1.0, route="a", aim_ms=500)
SENT = line("dispatched", 1.0, version="s", endpoint="i-1", runs="v2", slots=8)
SENT_BUSY = line("dispatched", 1.0, endpoint="i-1", slots=8, load=2, reading_ms=900)
CONNECT = line("not-started", 1.1, endpoint="i-1", detail="connect")
TURNED_AWAY = line("not-started", 1.1, endpoint="i-1", detail="refused")
ERROR = line("failed", 1.2, version="s", endpoint="i-1", status=500, step="answer")
RESET = line("failed", 1.2, version="s", endpoint="i-1", step="broken")
TIMEOUT = line("failed", 1.2, version="s", endpoint="i-1", step="exchange")
NO_PLACE = line("refused", 1.3, detail="no_endpoint_available")
DENIED = line("refused", 1.3, detail="invalid_api_key", configuration=4)
UNKNOWN = line("outcome-unknown", 1.3, detail="outcome_unknown")
LATE = line("answered", 2.0, status=200, late=True)
LATE_BY_PAUSE = line("answered", 9.0, status=200, late=True, longest_pause_ms=1500)
BEGUN = line("begun", 1.2)
ORDER = line("ordered", 0.1, "", version="v2", detail="s: running, revision 3")
RESTART = line("started", 5.0, "")
OLD = line("configured", 0.2, "", version="4")
LINK_FULL = line("link-full", 1.1, "", wait_ms=200)
NEW = line("configured", 0.9, "", version="5", vm="vm-2")

# what the logs have -> why the request failed or was late
CASES = [
    ([RECEIVED, SENT, line("answered", 1.1, status=200, late=False)], None),
    ([RECEIVED, SENT, RESTART], Cause.VM_LOST),
    ([RECEIVED, SENT], Cause.UNTOLD),
    ([RECEIVED, SENT, LINK_FULL, TIMEOUT, UNKNOWN], Cause.LINK_FULL),
    ([RECEIVED, SENT, LINK_FULL, CONNECT, NO_PLACE], Cause.LINK_FULL),
    (
        [RECEIVED, SENT, LINK_FULL, line("link-free", 1.2, ""), TIMEOUT, UNKNOWN],
        Cause.NO_TIME,
    ),
    ([RECEIVED, SENT, LINK_FULL, ERROR, UNKNOWN], Cause.ENDPOINT_ERROR),
    ([RECEIVED, line("refused", 1.0, detail="not_ready")], Cause.VM_STARTING),
    ([RECEIVED, line("refused", 1.0, detail="stopping")], Cause.VM_STOPPING),
    ([RECEIVED, line("refused", 1.0, detail="body_too_large")], Cause.CALLER),
    ([OLD, DENIED], Cause.NOT_ALLOWED),
    ([OLD, NEW, DENIED], Cause.OLD_KNOWLEDGE),
    ([RECEIVED, NO_PLACE], Cause.NO_ENDPOINT),
    ([RECEIVED, line("refused", 1.3, detail="queue_full")], Cause.ENDPOINTS_FULL),
    ([RECEIVED, line("refused", 1.3, detail="rate_limited")], Cause.ENDPOINTS_LIMITED),
    (
        [RECEIVED, line("refused", 1.3, detail="endpoints_overloaded")],
        Cause.ENDPOINTS_OVERLOADED,
    ),
    ([RECEIVED, SENT, CONNECT, NO_PLACE], Cause.ENDPOINTS_UNREACHED),
    ([RECEIVED, SENT, TURNED_AWAY, NO_PLACE], Cause.ENDPOINTS_FULL),
    ([RECEIVED, SENT, ERROR, UNKNOWN], Cause.ENDPOINT_ERROR),
    (
        [RECEIVED, SENT, ERROR, line("answered", 1.3, status=500)],
        Cause.ENDPOINT_ERROR,
    ),
    ([ORDER, RECEIVED, SENT, ERROR, UNKNOWN], Cause.NEW_VERSION),
    ([RECEIVED, line("refused", 1.3, detail="ends_endpoints")], Cause.ENDS_ENDPOINTS),
    (
        [RECEIVED, SENT, RESET, line("outcome-unknown", 1.3, detail="ends_endpoints")],
        Cause.ENDS_ENDPOINTS,
    ),
    ([RECEIVED, SENT, RESET, UNKNOWN], Cause.ENDPOINT_LOST),
    ([RECEIVED, SENT, TIMEOUT, UNKNOWN], Cause.NO_TIME),
    ([RECEIVED, SENT, BEGUN, TIMEOUT, line("broken", 1.4)], Cause.NO_TIME),
    ([RECEIVED, SENT, BEGUN, RESET, line("broken", 1.4)], Cause.ENDPOINT_LOST),
    ([RECEIVED, SENT, line("outcome-unknown", 2.0, detail="timeout")], Cause.NO_TIME),
    ([RECEIVED, SENT, line("caller-gone", 2.0)], Cause.CALLER_LEFT),
    ([RECEIVED, SENT, RESET, SENT, LATE], Cause.LATE_AFTER_FAILURE),
    ([RECEIVED, SENT_BUSY, LATE], Cause.LATE_BUSY),
    ([RECEIVED, SENT, line("escalated", 1.4), SENT, LATE], Cause.LATE_LARGER),
    ([RECEIVED, SENT, LATE], Cause.LATE_ENDPOINT),
    ([RECEIVED, SENT, BEGUN, LATE_BY_PAUSE], Cause.LATE_PAUSE),
]


def sent(at: float, session: str, vm: str, runs: str, service: str = "s") -> LogLine:
    """:returns: the line of a request that was sent to an endpoint."""
    return line("dispatched", at, vm=vm, session=session, version=service, runs=runs)


def broke(at: float, endpoint: str, request: str, mark: str, **more) -> LogLine:
    """:returns: the line of a request whose endpoint ended."""
    facts = {"ended": True, "fingerprint": mark, "step": "broken", **more}
    return line("failed", at, request, endpoint=endpoint, **facts)


class EndpointEndsTest(unittest.TestCase):
    """Endpoints that ended while they ran requests, and what ran at several ends."""

    LINES = (
        broke(1.0, "i-1", "a", "f1", ran_ms=90, vm="vm-1", parts="s,q"),
        broke(1.1, "i-1", "b", "f2", ran_ms=900, vm="vm-2"),
        line("failed", 1.2, "c", endpoint="i-2", step="broken", ended=False),
        broke(1.3, "i-2", "d", "f1", ran_ms=110, vm="vm-2"),
        broke(9.0, "i-1", "e", "f3", vm="vm-2", parts="s"),
    )

    def test_what_breaks_together_is_one_end(self):
        ends = [(end.endpoint, len(end.broken)) for end in endpoint_ends(self.LINES)]
        self.assertEqual(ends, [("i-1", 2), ("i-2", 1), ("i-1", 1)])

    def test_a_request_at_several_ends_is_told(self):
        text = ends_text(self.LINES)
        self.assertIn("3 endpoints ended while they ran requests", text)
        self.assertIn("f1 was at 2 ends, had run 90 to 110 ms: a, d", text)
        self.assertNotIn("f2 was", text)

    def test_a_part_at_several_ends_is_told(self):
        text = ends_text(self.LINES)
        self.assertIn("part s was at 2 ends, in 2 requests", text)
        self.assertNotIn("part q", text)


class LostTest(unittest.TestCase):
    """Work that went with a VM: whose it was, and which endpoints had it."""

    def lost(self, *lines: LogLine) -> list[str]:
        """:returns: the requests that were lost."""
        ordered = sorted(lines, key=lambda one: one.at)
        return [found.history.request for found in lost_requests(ordered)]

    def test_a_vm_that_started_anew(self):
        self.assertEqual(self.lost(RECEIVED, SENT, RESTART), ["r"])

    def test_a_vm_that_was_never_heard_of_again(self):
        other = line("configured", 1.0 + SILENT_SECONDS, "", vm="vm-2")
        self.assertEqual(self.lost(RECEIVED, SENT, other), ["r"])

    def test_a_vm_that_may_still_serve_it(self):
        other = line("configured", 0.9 + SILENT_SECONDS, "", vm="vm-2")
        self.assertEqual(self.lost(RECEIVED, SENT, other), [])
        self.assertEqual(self.lost(), [])

    def test_what_has_ended_was_not_lost(self):
        for end in (UNKNOWN, NO_PLACE, LATE, line("caller-gone", 1.2)):
            with self.subTest(end=end.kind):
                self.assertEqual(self.lost(RECEIVED, SENT, end, RESTART), [])

    def test_what_came_after_the_start_goes_on(self):
        after = [line("received", 5.5, "q"), line("dispatched", 5.6, "q")]
        self.assertEqual(self.lost(RECEIVED, SENT, RESTART, *after), ["r"])

    def test_who_may_have_run_it(self):
        lines = [
            line("received", 1.0, route="tag", organisation="org-a"),
            line("dispatched", 1.1, endpoint="i-1"),
            line("not-started", 1.2, endpoint="i-1", detail="connect"),
            line("dispatched", 1.3, endpoint="i-2"),
            line("begun", 1.4, endpoint="i-2"),
            RESTART,
        ]
        (found,) = lost_requests(lines)
        self.assertEqual(found.endpoints, ("i-2",))
        self.assertEqual((found.organisation, found.begun), ("org-a", True))
        text = lost_text([found])
        self.assertIn("r  org-a  tag  after 0.400 s, sent to i-2", text)
        self.assertIn("1 requests were lost with 1 VMs", text)


class VersionChangesTest(unittest.TestCase):
    """Sessions whose requests ran on two versions are found, and where."""

    def test_found(self):
        lines = [
            sent(1.0, "a", "vm-1", "v1"),
            sent(1.1, "b", "vm-1", "v1"),
            sent(1.2, "c", "vm-1", "v1", service="other"),
            sent(2.0, "a", "vm-2", "v2"),
            sent(2.1, "b", "vm-1", "v2"),
            sent(2.2, "c", "vm-1", "v2"),
            sent(3.0, "a", "vm-1", "v2"),
        ]
        found = version_changes(lines)
        self.assertEqual(
            [(change.after.session, change.same_vm) for change in found],
            [("a", False), ("b", True)],
        )
        self.assertIn("another VM", found[0].text())


class CauseTest(unittest.TestCase):
    """Each cause has lines by which it is known."""

    def test_table(self):
        for lines, expected in CASES:
            with self.subTest(expected=expected, lines=[o.kind.value for o in lines]):
                history = histories(lines)["r"]
                found = CauseFinder(Beliefs(lines)).find(history)
                self.assertIs(found.cause if found else None, expected)

    def test_no_cause_is_forgotten(self):
        self.assertEqual({cause for _, cause in CASES if cause}, set(Cause))


class BeliefTest(unittest.TestCase):
    """What a VM believed is put together up to a time, and no further."""

    LINES = (
        line("started", 0.0, ""),
        line("configured", 1.0, "", version="4"),
        line("platform-down", 2.0, "", detail="servers"),
        line("endpoint-listed", 3.0, "", endpoint="i-1"),
        line("endpoint-unreached", 4.0, "", endpoint="i-1"),
        line("platform-up", 5.0, ""),
        line("started", 6.0, ""),
    )

    def test_an_endpoint_that_backs_off(self):
        lines = (
            line("endpoint-listed", 1.0, "", endpoint="i-1"),
            line("endpoint-backoff", 2.0, "", endpoint="i-1"),
            line("endpoint-backoff-over", 4.0, "", endpoint="i-1"),
        )
        beliefs = Beliefs(lines)
        self.assertEqual(
            beliefs.at("vm-1", (3_000_000, 0)).state_of("i-1"), "backing off"
        )
        self.assertEqual(beliefs.at("vm-1", (5_000_000, 0)).state_of("i-1"), "listed")

    def test_over_time(self):
        beliefs = Beliefs(self.LINES)
        early, late = (
            beliefs.at("vm-1", (3_500_000, 0)),
            beliefs.at("vm-1", (5_500_000, 0)),
        )
        self.assertIsNotNone(early.store)
        self.assertEqual(early.state_of("i-1"), "listed")
        self.assertIsNone(late.store)
        self.assertEqual(late.state_of("i-1"), "not reached")
        self.assertEqual(late.configuration.version, "4")

    def test_a_new_process_knows_nothing(self):
        belief = Beliefs(self.LINES).at("vm-1", (7_000_000, 0))
        self.assertIsNone(belief.configuration)
        self.assertEqual(belief.endpoints, {})

    def test_changes_of_a_span(self):
        found = Beliefs(self.LINES).changes(2.0, 4.0)
        kinds = [one.kind for one in found]
        self.assertEqual(kinds, [self.LINES[n].kind for n in (2, 3, 4)])


class ReadTest(unittest.TestCase):
    """Lines are read as they were written; others are counted, not guessed at."""

    def test_there_and_back(self):
        event = Event(
            Stamp(7, 1), "vm-1", EventKind.FAILED, "r", facts=(("step", "answer"),)
        )
        data = b"collector: " + orjson.dumps({"level": "INFO", **event.plain()})
        found = read_line(data)
        assert found is not None
        self.assertEqual(
            (found.at, found.kind, found.request, found.facts),
            ((7, 1), EventKind.FAILED, "r", {"step": "answer"}),
        )

    def test_behind_a_line_that_was_cut(self):
        event = Event(Stamp(7, 1), "vm-1", EventKind.FAILED, "r")
        line = orjson.dumps({"time": "2026-02-06T06:32:43", **event.plain()})
        for cut in (1, 20, len(line) - 1):
            found = read_line(line[:cut] + line + b"\n")
            assert found is not None
            self.assertEqual(found.request, "r")

    def test_what_is_no_event(self):
        for data in (b"", b"text", b"{", b"[1]", b'{"message":"x"}', b'{"at":1}'):
            with self.subTest(data):
                self.assertIsNone(read_line(data))
