# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sessions that stay on the old version, kept by this VM or received from others."""

from __future__ import annotations

import unittest
from unittest import mock

from walnutquay.state.trials import kept as kept_sessions
from walnutquay.state.trials.kept import KeptSessions


class KeptSessionsTest(unittest.TestCase):
    """The hashes of kept sessions, from this VM and from others."""

    def test_own_session_is_new_once(self):
        sessions = KeptSessions()
        self.assertTrue(sessions.keep(5, 1.0))
        self.assertFalse(sessions.keep(5, 2.0))
        self.assertEqual(sessions.since(5), 1.0)

    def test_sessions_kept_by_others_are_not_new(self):
        sessions = KeptSessions()
        self.assertEqual(sessions.receive([5, 6], 1.0), 2)
        self.assertEqual(sessions.receive([5, 7], 2.0), 1)
        self.assertFalse(sessions.keep(5, 3.0))
        self.assertEqual((sessions.since(5), sessions.since(8)), (1.0, None))
        self.assertEqual(sessions.all(), (5, 6, 7))

    def test_both_tables_are_bounded(self):
        sessions = KeptSessions()
        with (
            mock.patch.object(kept_sessions, "MAX_OWN", 2),
            mock.patch.object(kept_sessions, "MAX_RECEIVED", 3),
        ):
            kept = [sessions.keep(session_hash, 0.0) for session_hash in range(4)]
            sessions.receive(range(10, 20), 0.0)
        self.assertEqual(kept, [True, True, False, False])
        self.assertEqual(len(sessions.received), 3)
