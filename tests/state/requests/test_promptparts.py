# Licensed under the Apache License 2.0: see LICENSE for details.

"""Names of the parts of prompts."""

from __future__ import annotations

import unittest

from walnutquay.state.requests.promptparts import (
    MAX_NAME_LENGTH,
    MAX_PARTS,
    hashed_part,
    part_names,
)


class PartNamesTest(unittest.TestCase):
    """Callers choose names and numbers of parts; what is kept of them is bounded."""

    def test_distinct_and_in_order(self):
        self.assertEqual(part_names(["b", "a", "b", ""]), ("b", "a"))

    def test_long_names_are_hashed_and_stay_distinct(self):
        names = part_names(["x" * 4000, "x" * 4001])
        self.assertEqual(len(set(names)), 2)
        self.assertTrue(all(len(name) <= MAX_NAME_LENGTH for name in names))

    def test_a_name_with_the_separator_is_hashed(self):
        self.assertEqual(part_names(["a,b"]), (hashed_part("a,b"),))

    def test_number_is_bounded(self):
        names = part_names(f"p{n}" for n in range(10 * MAX_PARTS))
        self.assertEqual(len(names), MAX_PARTS)

    def test_no_parts(self):
        self.assertEqual(part_names([]), ())
