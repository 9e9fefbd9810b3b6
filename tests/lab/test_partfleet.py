# Licensed under the Apache License 2.0: see LICENSE for details.

"""Prompts with a part that ends engines, in whole fleets in simulated time.

Seeds are fixed; more, larger fleets and other moments are played by hand with
``python -m lab.crashes.parts``.
"""

from __future__ import annotations

import unittest

from lab.crashes.costs import SIZES
from lab.crashes.fleet import Moment
from lab.crashes.parts import CASES, PartCase, PartFindings, played

# The rules: sends that may come later than 3 s after the fifth end, and how often sound
# requests begin at the first attempt from 6 s after it, relative to before.
SENDS_AFTER = 3
SERVED_AGAIN = 0.5
# Cases in which ends go on all the time, so that there is no time after them.
ENDLESS = "ten such parts"


class PartFleetTest(unittest.TestCase):
    """Callers bring them through any VM, beside sound prompts."""

    def play(self, case: PartCase, moment: Moment, seed: int = 3) -> PartFindings:
        """:returns: what a small fleet has shown."""
        return played(seed, SIZES[6], case, moment.name)

    def check(self, case: PartCase, moment: Moment) -> None:
        with self.subTest(case=case.name, moment=moment.value):
            found = self.play(case, moment)
            self.assertLessEqual(found.too_late(), SENDS_AFTER)
            if case.name != ENDLESS:
                self.assertGreaterEqual(found.served_again(), SERVED_AGAIN)
            if not case.crashing:
                self.assertEqual(found.ended, {})

    def test_each_case(self):
        for case in CASES:
            self.check(case, Moment.FIRST)

    def test_whenever_it_ends_them(self):
        for moment in (Moment.BEFORE, Moment.LATER):
            for case in CASES[:4]:
                self.check(case, moment)
