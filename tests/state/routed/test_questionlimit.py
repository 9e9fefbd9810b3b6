# Licensed under the Apache License 2.0: see LICENSE for details.

"""How many questions of other VMs one VM decides."""

from __future__ import annotations

import unittest

from walnutquay.state.routed.questionlimit import BURST_SECONDS, QuestionLimit

RATE = 100.0


class QuestionLimitTest(unittest.TestCase):
    """A burst and a rate; what is beyond them is not decided."""

    def decided(self, asked_a_second: int, seconds: int) -> int:
        limit = QuestionLimit(RATE)
        count = asked_a_second * seconds
        return sum(limit.take(number / asked_a_second) for number in range(count))

    def test_below_the_rate_all_are_decided(self):
        self.assertEqual(450, self.decided(90, 5))

    def test_beyond_it_the_rate_and_one_burst(self):
        decided = self.decided(1000, 5)
        self.assertLessEqual(decided, RATE * (5 + BURST_SECONDS))
        self.assertGreaterEqual(decided, RATE * 5)

    def test_a_clock_that_steps_back(self):
        limit = QuestionLimit(RATE)
        taken = sum(limit.take(100.0 - number) for number in range(1000))
        self.assertEqual(RATE * BURST_SECONDS, taken)
