# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that broke where it is not known whether the endpoint has ended."""

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


def broken(name: str, at: float, endpoint: str = ENDPOINT) -> InterruptedRequest:
    """:returns: a request that broke."""
    name = Fingerprint(name)
    return InterruptedRequest(
        at, CrashTrace(name, TARGET, EndpointName(endpoint), 0.0, 0.1)
    )


class EndedTest(unittest.TestCase):
    """The next start tells what broke by the end before it."""

    def ended(self, *seen: InterruptedRequest, now: float) -> list[str]:
        """:returns: the requests that broke by the endpoint's end."""
        requests = InterruptedRequests()
        for one in seen:
            requests.note(one)
        return [trace.fingerprint for trace in requests.pop_crashed(ENDPOINT, now)]

    def test_what_broke_last_and_with_it(self):
        found = self.ended(
            broken("before", 10.0 - 2 * SAME_CRASH_SECONDS),
            broken("beside", 10.0 - SAME_CRASH_SECONDS),
            broken("last", 10.0),
            broken("elsewhere", 10.0, "e2"),
            now=13.0,
        )
        self.assertEqual(found, ["beside", "last"])

    def test_what_broke_long_ago_had_another_reason(self):
        self.assertEqual(self.ended(broken("a", 0.0), now=KEPT_SECONDS + 1.0), [])

    def test_each_end_counts_once(self):
        requests = InterruptedRequests()
        requests.note(broken("a", 1.0))
        requests.note(broken("b", 1.0, "e2"))
        self.assertEqual(len(requests.pop_crashed(ENDPOINT, 2.0)), 1)
        self.assertEqual(requests.pop_crashed(ENDPOINT, 2.0), [])
        self.assertEqual(len(requests.pop_crashed(EndpointName("e2"), 2.0)), 1)

    def test_the_oldest_go_first(self):
        requests = InterruptedRequests()
        for number in range(MAX_KEPT + 5):
            requests.note(broken(f"r{number}", 1.0))
        self.assertEqual(len(requests.kept), MAX_KEPT)
        self.assertEqual(requests.kept[0].trace.fingerprint, "r5")
