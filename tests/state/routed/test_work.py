# Licensed under the Apache License 2.0: see LICENSE for details.

"""The reading of prompts that lies before each engine."""

from __future__ import annotations

import unittest

from walnutquay.state.process.ids import EndpointName
from walnutquay.state.routed.work import (
    PACES,
    PromptWork,
    WorkTable,
    preferred_endpoint,
    reading_rank,
)

A, B = EndpointName("a"), EndpointName("b")
# Seconds a token, and for how long engines keep what they have read.
RATE = 20e-6
KEPT = 30.0


def prompt(
    tokens: int, shared_prefix: str = "", shared_prefix_tokens: int = 0
) -> PromptWork:
    """:returns: the reading of a prompt by the model ``m``."""
    return PromptWork("m", tokens, shared_prefix, shared_prefix_tokens)


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
        table.learn("m", 10_000, 10_000 * RATE)
        work = prompt(1000, "subject", 800)
        whole = table.reading(A, work, 0.0, False, KEPT)
        self.assertAlmostEqual(whole, 1000 * RATE)
        table.add(A, whole, work.beginning, 0.0)
        self.assertAlmostEqual(table.reading(A, work, 1.0, False, KEPT), 200 * RATE)
        self.assertAlmostEqual(table.reading(B, work, 1.0, False, KEPT), whole)
        self.assertAlmostEqual(table.reading(A, work, KEPT + 1, False, KEPT), whole)

    def test_a_beginning_answer_proves_what_has_been_read(self):
        table = WorkTable()
        table.add(A, 5.0, "", 0.0)
        second = table.add(A, 1.0, "", 0.0)
        table.add(A, 0.5, "", 0.1)
        # Far sooner than was thought: only what came behind it is left.
        table.record_read(A, second, 0.2)
        self.assertAlmostEqual(table.wait(A, 0.2), 0.5)
        table.record_read(A, second, 0.4)
        self.assertAlmostEqual(table.wait(A, 0.4), 0.3)

    def test_a_late_answer_takes_nothing_away(self):
        table = WorkTable()
        first = table.add(A, 1.0, "", 0.0)
        table.add(A, 2.0, "", 0.0)
        table.record_read(A, first, 2.5)
        self.assertAlmostEqual(table.wait(A, 2.5), 0.5)

    def test_gone_engines_are_forgotten(self):
        table = WorkTable()
        table.add(A, 5.0, "", 0.0)
        table.forget_except({B})
        self.assertEqual(table.wait(A, 0.0), 0.0)


class RateTest(unittest.TestCase):
    """Reading times are learnt, and some odd times do not move them."""

    def test_learning(self):
        table = WorkTable()
        for _ in range(100):
            table.learn("m", 10_000, 0.3)
        self.assertAlmostEqual(table.rate("m"), 30e-6)
        table.learn("m", 10_000, 30.0)
        self.assertLess(table.rate("m"), 40e-6)

    def test_any_pace_is_known_from_the_first_prompt(self):
        for rate in (1e-7, 1e-5, 1e-3):
            table = WorkTable()
            table.learn("m", 10_000, 10_000 * rate)
            self.assertAlmostEqual(table.rate("m"), rate)

    def test_waits_that_are_not_known_do_not_make_a_model_slow(self):
        table = WorkTable()
        for number in range(PACES):
            waited = 4.0 if number % 2 else 0.0
            table.learn("m", 10_000, 0.3 + waited)
        self.assertAlmostEqual(table.rate("m"), 30e-6)

    def test_a_model_that_became_slower(self):
        table = WorkTable()
        for seconds in (0.3, 3.0):
            for _ in range(PACES):
                table.learn("m", 10_000, seconds)
        self.assertAlmostEqual(table.rate("m"), 300e-6)

    def test_what_others_have_learnt_counts_until_the_first_own_prompt(self):
        table = WorkTable()
        table.apply_peer_rate("m", 5e-5)
        table.apply_peer_rate("n", 0.0)
        self.assertEqual((table.rate("m"), table.rate("n")), (5e-5, 0.0))
        table.learn("m", 10_000, 0.3)
        table.apply_peer_rate("m", 5e-5)
        self.assertAlmostEqual(table.rate("m"), 30e-6)

    def test_short_prompts_say_nothing(self):
        table = WorkTable()
        table.learn("m", 10, 0.3)
        self.assertEqual(table.rate("m"), 0.0)


class RankTest(unittest.TestCase):
    """Prompts that are read sooner go first, on any scale of time."""

    def test_shorter_goes_first(self):
        for scale in (0.01, 1.0, 100.0):
            ranks = [reading_rank(part * scale, scale) for part in (0.01, 0.1, 1.0)]
            self.assertEqual(ranks, sorted(ranks))
            self.assertEqual(len(set(ranks)), 3)

    def test_within_bounds(self):
        for reading, aim in ((0.0, 1.0), (1.0, 0.0), (1e-9, 1.0), (1e9, 1.0)):
            self.assertIn(reading_rank(reading, aim), range(10))


class PreferredTest(unittest.TestCase):
    """All VMs prefer the same engine for a beginning."""

    def test_order_does_not_matter(self):
        names = [EndpointName(f"e{n}") for n in range(9)]
        for shared_prefix in ("x", "y", "z"):
            first = preferred_endpoint(names, shared_prefix)
            self.assertEqual(first, preferred_endpoint(names[::-1], shared_prefix))
        self.assertIsNone(preferred_endpoint(names, ""))
        self.assertIsNone(preferred_endpoint([], "x"))
