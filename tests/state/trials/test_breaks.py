# Licensed under the Apache License 2.0: see LICENSE for details.

"""Answers that break off while a version is on trial."""

from __future__ import annotations

import random
import unittest

from walnutquay.state.trials.breaks import BURST_SECONDS, RECURRENCE_SECONDS, Breaks

SECONDS = 20.0


class BreaksTest(unittest.TestCase):
    """A version that goes on breaking its answers counts, and a bad path does not."""

    def setUp(self) -> None:
        self.breaks: Breaks[str] = Breaks()

    def test_version_that_breaks_its_answers(self) -> None:
        for number in range(5):
            self.breaks.add(f"a{number}", 1.0 + number)
        counted = self.breaks.take_counted(SECONDS)
        self.assertEqual(counted, ["a0", "a1", "a2", "a3", "a4"])

    def test_one_alone_does_not_count(self) -> None:
        self.breaks.add("a", 1.0)
        self.assertEqual(self.breaks.take_counted(SECONDS), [])

    def test_two_far_apart_do_not_count(self) -> None:
        self.breaks.add("a", 1.0)
        self.breaks.add("b", 2.0 + RECURRENCE_SECONDS)
        self.assertEqual(self.breaks.take_counted(2 * SECONDS), [])

    def test_connections_that_are_reset_together(self) -> None:
        for number in range(20):
            self.breaks.add(f"a{number}", 1.0 + number * 0.01)
        self.assertEqual(self.breaks.take_counted(SECONDS), [])

    def test_path_that_breaks_answers_of_both_versions(self) -> None:
        rng = random.Random(1)
        for _ in range(40):
            at = rng.random() * SECONDS
            self.breaks.add_other(at - BURST_SECONDS / 2)
            self.breaks.add("a", at)
        self.assertEqual(self.breaks.take_counted(2 * SECONDS), [])

    def test_none_is_decided_while_another_may_break_at_its_moment(self) -> None:
        self.breaks.add("a", 1.0)
        self.breaks.add("b", 3.0)
        self.assertEqual(self.breaks.take_counted(3.0 + BURST_SECONDS / 2), [])
        self.breaks.add_other(3.0 + BURST_SECONDS)
        self.assertEqual(self.breaks.take_counted(SECONDS), [])

    def test_version_that_breaks_answers_beside_a_path_that_did_once(self) -> None:
        self.breaks.add_other(1.0)
        self.breaks.add("a", 1.1)
        self.breaks.add("b", 4.0)
        self.breaks.add("c", 6.0)
        self.assertEqual(self.breaks.take_counted(SECONDS), ["b", "c"])


if __name__ == "__main__":
    unittest.main()
