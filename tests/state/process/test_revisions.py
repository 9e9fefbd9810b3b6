# Licensed under the Apache License 2.0: see LICENSE for details.

"""Revisions are ordered across restores of the store."""

from __future__ import annotations

import unittest

from tests.revisions import revision_at
from walnutquay.state.process.revisions import NOTHING_STORED, Era, EraTracker


class OrderTest(unittest.TestCase):
    """Any revision of a later era is higher; within an era, numbers decide."""

    def test_order(self):
        ordered = [
            NOTHING_STORED,
            revision_at(5, era=0),
            revision_at(0, era=1),
            revision_at(9, era=1),
            revision_at(3, era=2),
            revision_at(4, era=2),
        ]
        self.assertEqual(sorted(reversed(ordered)), ordered)

    def test_a_number_given_out_again_is_another_revision(self):
        self.assertNotEqual(revision_at(3, era=1), revision_at(3, era=2))

    def test_only_a_change_has_a_true_revision(self):
        self.assertFalse(NOTHING_STORED)
        self.assertFalse(revision_at(0))
        self.assertTrue(revision_at(1))

    def test_fences_only_rise(self):
        revisions = [revision_at(7), revision_at(1 << 39), revision_at(1, era=2)]
        fences = [revision.fence for revision in revisions]
        self.assertEqual(fences, sorted(set(fences)))
        # Engines may read numbers as doubles.
        self.assertLess(revision_at(1, era=8191).fence, 1 << 53)


class EraTrackerTest(unittest.TestCase):
    """A restore is reported once; an era never goes back."""

    def setUp(self) -> None:
        self.restores: list[Era] = []
        self.eras = EraTracker()
        self.eras.restore_listeners.append(self.restores.append)

    def test_the_first_era_is_no_restore(self):
        self.eras.observe(Era(3))
        self.assertEqual((self.eras.current, self.restores), (3, []))

    def test_a_restore_is_reported_once(self):
        for era in (3, 4, 4, 3, 0, 6):
            self.eras.observe(Era(era))
        self.assertEqual((self.eras.current, self.restores), (6, [4, 6]))
