# Licensed under the Apache License 2.0: see LICENSE for details.

"""The rules that the platform names as being in force."""

from __future__ import annotations

import unittest

from walnutquay.platform.rules import coverage_by_rules
from walnutquay.state.routed.overloadscope import Coverage


class CoverageTest(unittest.TestCase):
    """Services whose endpoints tell no pace are covered where a rule asks for it."""

    def test_by_rules(self):
        self.assertEqual(Coverage.PACED, coverage_by_rules(()))
        self.assertEqual(Coverage.PACED, coverage_by_rules(("base", "pool")))
        self.assertEqual(Coverage.ALWAYS, coverage_by_rules(("base", "pressure")))
