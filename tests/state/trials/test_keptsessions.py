# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sessions that stay on the old version, and what VMs tell each other of them."""

from __future__ import annotations

import unittest
from unittest import mock

from walnutquay.state.trials import kept as kept_sessions
from walnutquay.state.trials.kept import KeptSessions


class KeptSessionsTest(unittest.TestCase):
    """The numbers of kept sessions, this VM's and the others'."""

    def test_own_ones_are_told_once(self):
        found = KeptSessions()
        self.assertTrue(found.keep(5, 1.0))
        self.assertFalse(found.keep(5, 2.0))
        self.assertEqual(found.since(5), 1.0)

    def test_what_others_keep_need_not_be_told(self):
        found = KeptSessions()
        self.assertEqual(found.receive([5, 6], 1.0), 2)
        self.assertEqual(found.receive([5, 7], 2.0), 1)
        self.assertFalse(found.keep(5, 3.0))
        self.assertEqual((found.since(5), found.since(8)), (1.0, None))
        self.assertEqual(found.all(), (5, 6, 7))

    def test_both_tables_are_bounded(self):
        found = KeptSessions()
        with (
            mock.patch.object(kept_sessions, "MAX_OWN", 2),
            mock.patch.object(kept_sessions, "MAX_HEARD", 3),
        ):
            kept = [found.keep(number, 0.0) for number in range(4)]
            found.receive(range(10, 20), 0.0)
        self.assertEqual(kept, [True, True, False, False])
        self.assertEqual(len(found.received), 3)
