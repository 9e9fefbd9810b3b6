# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that the crashes of a request do not tell from it."""

from __future__ import annotations

from tests.state.requests.test_crashhistory import BAD, GOOD, CrashHistoryCase, answer


class CompanionsTest(CrashHistoryCase):
    """Requests that were at all crashes of another."""

    def test_a_request_at_some_of_the_crashes_counts(self):
        self.crash("a", BAD, GOOD, "x")
        self.assertEqual(self.history.companions(BAD), {GOOD, "x"})
        self.crash("b", BAD, GOOD, "y")
        self.assertEqual(self.history.companions(BAD), {GOOD})
        self.crash("c", BAD)
        self.assertEqual(self.history.companions(BAD), frozenset())

    def test_answered_requests_count(self):
        self.crash("a", BAD, GOOD)
        self.record(answer(GOOD))
        self.assertEqual(self.history.companions(BAD), frozenset())

    def test_a_request_without_crashes_has_some(self):
        self.crash("a", GOOD)
        self.assertEqual(self.history.companions(BAD), frozenset())
