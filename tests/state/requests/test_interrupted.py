# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests interrupted at endpoints that may or may not have crashed."""

from __future__ import annotations

import unittest

from walnutquay.state.process.ids import (
    EndpointName,
    Fingerprint,
    ServiceName,
    VersionName,
)
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace
from walnutquay.state.requests.interrupted import (
    KEPT_SECONDS,
    MAX_KEPT,
    SAME_CRASH_SECONDS,
    InterruptedRequest,
    InterruptedRequests,
)

TARGET = CrashTarget(ServiceName("s"), VersionName("v1"))
ENDPOINT = EndpointName("e1")


def interrupted(name: str, at: float, endpoint: str = ENDPOINT) -> InterruptedRequest:
    """:returns: an interrupted request."""
    name = Fingerprint(name)
    return InterruptedRequest(
        at, CrashTrace(name, TARGET, EndpointName(endpoint), 0.0, 0.1)
    )


class PopCrashedTest(unittest.TestCase):
    """A restart shows which requests were interrupted by the crash before it."""

    def popped(self, *requests: InterruptedRequest, now: float) -> list[str]:
        """:returns: the requests attributed to the endpoint's crash."""
        table = InterruptedRequests()
        for request in requests:
            table.note(request)
        return [trace.fingerprint for trace in table.pop_crashed(ENDPOINT, now)]

    def test_the_last_request_and_those_shortly_before_it(self):
        found = self.popped(
            interrupted("before", 10.0 - 2 * SAME_CRASH_SECONDS),
            interrupted("shortly before", 10.0 - SAME_CRASH_SECONDS),
            interrupted("last", 10.0),
            interrupted("elsewhere", 10.0, "e2"),
            now=13.0,
        )
        self.assertEqual(found, ["shortly before", "last"])

    def test_an_old_interruption_is_not_attributed(self):
        self.assertEqual(self.popped(interrupted("a", 0.0), now=KEPT_SECONDS + 1.0), [])

    def test_a_crash_is_returned_once(self):
        requests = InterruptedRequests()
        requests.note(interrupted("a", 1.0))
        requests.note(interrupted("b", 1.0, "e2"))
        self.assertEqual(len(requests.pop_crashed(ENDPOINT, 2.0)), 1)
        self.assertEqual(requests.pop_crashed(ENDPOINT, 2.0), [])
        self.assertEqual(len(requests.pop_crashed(EndpointName("e2"), 2.0)), 1)

    def test_the_oldest_requests_are_evicted(self):
        requests = InterruptedRequests()
        for number in range(MAX_KEPT + 5):
            requests.note(interrupted(f"r{number}", 1.0))
        self.assertEqual(len(requests.kept), MAX_KEPT)
        self.assertEqual(requests.kept[0].trace.fingerprint, "r5")
