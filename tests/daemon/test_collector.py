# Licensed under the Apache License 2.0: see LICENSE for details.

"""The garbage collector of a daemon."""

from __future__ import annotations

import gc
import unittest

from walnutquay.daemon.collector import GC_THRESHOLD, pause_collector, tune_collector


class CollectorTest(unittest.TestCase):
    """It rests while a daemon starts, and then sees only what came since."""

    def setUp(self) -> None:
        threshold = gc.get_threshold()
        self.addCleanup(gc.set_threshold, *threshold)
        self.addCleanup(gc.unfreeze)
        self.addCleanup(gc.enable)

    def test_it_rests_while_modules_are_imported(self):
        pause_collector()
        self.assertFalse(gc.isenabled())

    def test_it_runs_once_the_daemon_serves(self):
        pause_collector()
        tune_collector()
        self.assertTrue(gc.isenabled())
        self.assertEqual(gc.get_threshold()[0], GC_THRESHOLD)

    def test_it_passes_over_what_the_start_has_made(self):
        made = [[]]
        tune_collector()
        self.assertFalse(any(each is made for each in gc.get_objects()))
