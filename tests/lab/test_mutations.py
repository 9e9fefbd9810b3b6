# Licensed under the Apache License 2.0: see LICENSE for details.

"""The list of mechanisms to take out still fits the sources."""

from __future__ import annotations

import unittest

from lab.mutants.run import MUTATIONS, is_there, is_wanted


class MutationsTest(unittest.TestCase):
    """Whoever moves a mechanism moves its entry, too."""

    def test_each_mechanism_is_found_once(self):
        for mutation in MUTATIONS:
            with self.subTest(mutation.guarantee):
                self.assertTrue(is_there(mutation), mutation.old)

    def test_each_proof_is_found(self):
        for mutation in MUTATIONS:
            with self.subTest(mutation.guarantee):
                found = unittest.defaultTestLoader.loadTestsFromName(mutation.test)
                self.assertGreater(found.countTestCases(), 0)
                self.assertNotIn("_FailedTest", str(found))

    def test_some_are_chosen_by_number_or_name(self):
        def chosen(*names: str) -> list[int]:
            return [n for n, m in enumerate(MUTATIONS) if is_wanted(n, m, names)]

        self.assertEqual(chosen(), list(range(len(MUTATIONS))))
        self.assertEqual(chosen("3", "7"), [3, 7])
        self.assertGreater(len(chosen("roll-outs")), 3)
        self.assertEqual(chosen("nothing is named so"), [])
