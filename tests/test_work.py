# Licensed under the Apache License 2.0: see LICENSE for details.

"""The reading of prompts that lies before each engine."""

from __future__ import annotations

import unittest

from walnutquay.state.ids import EndpointName
from walnutquay.state.work import FIRST_GUESS, PromptWork, WorkTable, preferred_of

A, B = EndpointName("a"), EndpointName("b")


def prompt(tokens: int, subject: str = "", subject_tokens: int = 0) -> PromptWork:
    """:returns: the reading of a prompt by the model ``m``."""
    return PromptWork("m", tokens, subject, subject_tokens)


class WaitTest(unittest.TestCase):
    """Reading adds up, and passes with time."""

    def test_it_adds_up_and_passes(self):
        table = WorkTable()
        table.add(A, 2.0, "", 10.0)
        table.add(A, 1.0, "", 10.5)
        self.assertAlmostEqual(table.wait(A, 10.5), 2.5)
        self.assertEqual(table.wait(A, 20.0), 0.0)
        self.assertEqual(table.wait(B, 10.5), 0.0)

    def test_what_is_cached_is_not_read_again(self):
        table = WorkTable()
        work = prompt(1000, "subject", 800)
        whole = table.reading(A, work, 0.0, False)
        self.assertAlmostEqual(whole, 1000 * FIRST_GUESS)
        table.add(A, whole, work.beginning, 0.0)
        self.assertAlmostEqual(table.reading(A, work, 1.0, False), 200 * FIRST_GUESS)
        self.assertAlmostEqual(table.reading(B, work, 1.0, False), whole)
        self.assertAlmostEqual(table.reading(A, work, 60.0, False), whole)

    def test_a_beginning_answer_proves_what_has_been_read(self):
        table = WorkTable()
        table.add(A, 5.0, "", 0.0)
        second = table.add(A, 1.0, "", 0.0)
        table.add(A, 0.5, "", 0.1)
        # Far sooner than was thought: only what came behind it is left.
        table.has_read(A, second, 0.2)
        self.assertAlmostEqual(table.wait(A, 0.2), 0.5)
        table.has_read(A, second, 0.4)
        self.assertAlmostEqual(table.wait(A, 0.4), 0.3)

    def test_a_late_answer_takes_nothing_away(self):
        table = WorkTable()
        first = table.add(A, 1.0, "", 0.0)
        table.add(A, 2.0, "", 0.0)
        table.has_read(A, first, 2.5)
        self.assertAlmostEqual(table.wait(A, 2.5), 0.5)

    def test_gone_engines_are_forgotten(self):
        table = WorkTable()
        table.add(A, 5.0, "", 0.0)
        table.forget_except({B})
        self.assertEqual(table.wait(A, 0.0), 0.0)


class RateTest(unittest.TestCase):
    """Reading times are learnt, and one odd time moves them little."""

    def test_learning(self):
        table = WorkTable()
        for _ in range(100):
            table.learn("m", 10_000, 0.3)
        self.assertAlmostEqual(table.rate("m"), 30e-6)
        table.learn("m", 10_000, 30.0)
        self.assertLess(table.rate("m"), 40e-6)

    def test_short_prompts_say_nothing(self):
        table = WorkTable()
        table.learn("m", 10, 0.3)
        self.assertEqual(table.rate("m"), FIRST_GUESS)


class PreferredTest(unittest.TestCase):
    """All VMs prefer the same engine for a beginning."""

    def test_order_does_not_matter(self):
        names = [EndpointName(f"e{n}") for n in range(9)]
        for subject in ("x", "y", "z"):
            first = preferred_of(names, subject)
            self.assertEqual(first, preferred_of(names[::-1], subject))
        self.assertIsNone(preferred_of(names, ""))
        self.assertIsNone(preferred_of([], "x"))
