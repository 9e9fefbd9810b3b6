# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sessions keep their version in a whole fleet's trial, in simulated time.

The platform counts a session's request that runs on the new version in the first half
of its trial though the one before ran on the old, and one that runs on the old version
though the one before ran on the new.  Seeds are fixed; more are run by hand with
``python -m lab.trials.costs``.
"""

from __future__ import annotations

import unittest

from lab.trials.fleet import simulate
from lab.trials.records import Findings

# New sessions a second.
RATE = 40.0


class TrialFleetTest(unittest.TestCase):
    """Requests of a session come to any VM; all of them choose alike."""

    def check(self, found: Findings) -> None:
        """Check that sessions kept their version, and that the trial went its way."""
        self.assertEqual((found.too_early, found.back), (0, 0))
        # Otherwise the trial would show nothing.
        self.assertGreater(found.moved, found.requests / 3)
        self.assertGreater(found.on_new, found.requests / 4)
        self.assertTrue(found.done)

    def test_small_fleet(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                self.check(simulate(seed, 6, RATE))

    def test_each_vm_is_restarted(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                self.check(simulate(seed, 6, RATE, restarts=6))

    def test_some_vms_learn_late(self):
        found = simulate(0, 6, RATE, late=0.9, late_share=0.3)
        self.check(found)

    def test_a_vm_that_asks_one_that_has_had_few_requests(self):
        # The VM that was asked gave the new version sessions already, but said that it
        # did not: it had not looked since.  A session went back to the old version.
        self.check(simulate(26, 6, 48.0, restarts=8, late=0.9, late_share=0.1))

    def test_sessions_that_are_kept_right_before_the_new_version_opens(self):
        # Their VM told of them up to 0.25 s later, with its next look at the trial; the
        # next request of each came to another VM before, which moved it.
        for seed, restarts in ((155, 4), (56, 12)):
            with self.subTest(seed=seed):
                late = {"late": 0.9, "late_share": 0.2}
                self.check(simulate(seed, 6, 48.0, restarts=restarts, **late))

    def test_endpoints_that_run_before_the_order(self):
        late = {"late": 0.9, "late_share": 0.3, "cut_off": True}
        for seed in range(3):
            with self.subTest(seed=seed):
                self.check(simulate(seed, 6, RATE, starts=-2.0, **late))

    def test_large_fleet(self):
        self.check(simulate(0, 61, RATE, restarts=10))
