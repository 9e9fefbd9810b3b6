# Licensed under the Apache License 2.0: see LICENSE for details.

"""Records of the version that last served each session of one VM."""

from __future__ import annotations

import unittest

from walnutquay.state.process.ids import ServiceName, VersionName
from walnutquay.state.trials.sessionrecords import SeenSession, SessionRecords

KEEP_SECONDS = 6.0
S = ServiceName("s")
V1 = VersionName("v1")
V2 = VersionName("v2")


class SessionRecordsTest(unittest.TestCase):
    """A session expires some time after its last request has ended."""

    def setUp(self):
        self.records = SessionRecords(KEEP_SECONDS)

    def version(self, now: float, service: ServiceName = S) -> str | None:
        """Return the recorded version of the session; None if it has expired."""
        record = self.records.find(service, "a", now)
        return None if record is None else record.version

    def test_session_does_not_expire_during_a_long_stream(self):
        self.records.began(S, "a", V1, 0.0)
        self.assertEqual(self.version(100.0), V1)
        self.records.ended(S, "a", 100.0)
        self.assertEqual(self.version(105.9), V1)
        self.assertIsNone(self.version(106.0))

    def test_overlapping_requests(self):
        self.records.began(S, "a", V1, 0.0)
        self.records.began(S, "a", V1, 1.0)
        self.records.ended(S, "a", 2.0)
        self.assertEqual(self.version(50.0), V1)
        self.records.ended(S, "a", 50.0)
        self.assertIsNone(self.version(60.0))

    def test_services_have_separate_records(self):
        self.records.began(S, "a", V1, 0.0)
        self.assertIsNone(self.version(1.0, ServiceName("other")))

    def test_request_without_session(self):
        self.assertIsNone(self.records.find(S, "", 0.0))

    def test_end_without_a_start_is_ignored(self):
        self.records.ended(S, "a", 1.0)
        self.records.began(S, "a", V1, 2.0)
        self.records.ended(S, "a", 3.0)
        self.records.ended(S, "a", 3.0)
        self.assertIsNone(self.version(9.5))

    def test_record_from_another_vm(self):
        for version, age, now, applied, expected in (
            (V1, 1.0, 2.0, True, V1),
            # Older than the applied record.
            (V2, 2.0, 2.0, False, V1),
            (V2, 0.5, 2.0, True, V2),
        ):
            with self.subTest(version=version, age=age):
                seen = SeenSession(S, "a", version, age)
                self.assertIs(self.records.apply(seen, now), applied)
                self.assertEqual(self.version(now), expected)

    def test_own_request_in_progress_takes_precedence(self):
        self.records.began(S, "a", V1, 0.0)
        self.assertFalse(self.records.apply(SeenSession(S, "a", V2, 0.0), 5.0))
        self.assertEqual(self.version(5.0), V1)

    def test_recent_yields_unexpired_sessions(self):
        self.records.began(S, "a", V1, 0.0)
        self.records.ended(S, "a", 0.0)
        self.records.began(S, "b", V1, 0.0)
        found = list(self.records.recent(10.0))
        self.assertEqual(found, [SeenSession(S, "b", V1, 0.0)])
