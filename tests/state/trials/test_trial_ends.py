# Licensed under the Apache License 2.0: see LICENSE for details.

"""When a trial may end as done."""

from __future__ import annotations

import unittest

from tests.state.trials.test_trials import RUNNING, SECONDS, answers, make_trial


class TrialEndTest(unittest.TestCase):
    """An order is done only if the new version runs, and has answered.

    Guards against orders that were done without it: each request got 503 then.
    """

    def test_no_end_without_endpoints_of_the_new_version(self):
        # The old version's endpoints are stopped at the end: nothing was left to run.
        for own in (answers(0, 0), answers(1000, 0)):
            trial = make_trial()
            trial.own = own
            self.assertFalse(trial.ready_to_end(0.9 * SECONDS, {"v1"}))

    def test_no_end_while_only_the_old_version_has_answered(self):
        trial = make_trial()
        trial.old = answers(100, 0)
        self.assertFalse(trial.ready_to_end(0.9 * SECONDS, RUNNING))

    def test_end_where_there_was_nothing_to_answer(self):
        self.assertTrue(make_trial().ready_to_end(0.9 * SECONDS, RUNNING))
