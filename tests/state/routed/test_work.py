# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the estimated reading work that is queued at each engine."""

from __future__ import annotations

import unittest

from walnutquay.state.process.ids import EndpointName
from walnutquay.state.routed.work import (
    RATE_SAMPLES,
    PromptWork,
    WorkTable,
    reading_rank,
)

A, B = EndpointName("a"), EndpointName("b")
# The reading rate in seconds per token, and the time for which engines keep a prefix in
# their cache; seconds.
RATE = 20e-6
KEPT_SECONDS = 30.0


def prompt(
    tokens: int, shared_prefix: str = "", shared_prefix_tokens: int = 0
) -> PromptWork:
    """Return the work of reading a prompt with the model ``m``."""
    return PromptWork("m", tokens, shared_prefix, shared_prefix_tokens)


class WaitTest(unittest.TestCase):
    """Queued reading work adds up, and decreases with time."""

    def test_work_adds_up_and_decreases_with_time(self):
        table = WorkTable()
        table.add(A, 2.0, "", 10.0)
        table.add(A, 1.0, "", 10.5)
        self.assertAlmostEqual(table.wait(A, 10.5), 2.5)
        self.assertEqual(table.wait(A, 20.0), 0.0)
        self.assertEqual(table.wait(B, 10.5), 0.0)

    def test_a_cached_prefix_is_not_read_again(self):
        table = WorkTable()
        table.learn("m", 10_000, 10_000 * RATE)
        work = prompt(1000, "subject", 800)
        whole = table.reading(A, work, 0.0, False, KEPT_SECONDS)
        self.assertAlmostEqual(whole, 1000 * RATE)
        table.add(A, whole, work.beginning, 0.0)
        self.assertAlmostEqual(
            table.reading(A, work, 1.0, False, KEPT_SECONDS), 200 * RATE
        )
        self.assertAlmostEqual(table.reading(B, work, 1.0, False, KEPT_SECONDS), whole)
        self.assertAlmostEqual(
            table.reading(A, work, KEPT_SECONDS + 1, False, KEPT_SECONDS), whole
        )

    def test_the_start_of_an_answer_proves_that_its_prompt_was_read(self):
        table = WorkTable()
        table.add(A, 5.0, "", 0.0)
        second = table.add(A, 1.0, "", 0.0)
        table.add(A, 0.5, "", 0.1)
        # It was read far sooner than estimated; only the prompt sent after it is left.
        table.record_read(A, second, 0.2)
        self.assertAlmostEqual(table.wait(A, 0.2), 0.5)
        table.record_read(A, second, 0.4)
        self.assertAlmostEqual(table.wait(A, 0.4), 0.3)

    def test_a_late_answer_leaves_later_work_queued(self):
        table = WorkTable()
        first = table.add(A, 1.0, "", 0.0)
        table.add(A, 2.0, "", 0.0)
        table.record_read(A, first, 2.5)
        self.assertAlmostEqual(table.wait(A, 2.5), 0.5)

    def test_removed_engines_are_forgotten(self):
        table = WorkTable()
        table.add(A, 5.0, "", 0.0)
        table.forget_except({B})
        self.assertEqual(table.wait(A, 0.0), 0.0)


class RateTest(unittest.TestCase):
    """Reading rates are estimated, and outliers have little effect."""

    def test_an_outlier_has_little_effect(self):
        table = WorkTable()
        for _ in range(100):
            table.learn("m", 10_000, 0.3)
        self.assertAlmostEqual(table.rate("m"), 30e-6)
        table.learn("m", 10_000, 30.0)
        self.assertLess(table.rate("m"), 40e-6)

    def test_the_first_prompt_sets_the_rate(self):
        for rate in (1e-7, 1e-5, 1e-3):
            table = WorkTable()
            table.learn("m", 10_000, 10_000 * rate)
            self.assertAlmostEqual(table.rate("m"), rate)

    def test_unknown_waits_do_not_raise_the_rate(self):
        table = WorkTable()
        for number in range(RATE_SAMPLES):
            wait = 4.0 if number % 2 else 0.0
            table.learn("m", 10_000, 0.3 + wait)
        self.assertAlmostEqual(table.rate("m"), 30e-6)

    def test_the_rate_follows_a_model_that_becomes_slower(self):
        table = WorkTable()
        for seconds in (0.3, 3.0):
            for _ in range(RATE_SAMPLES):
                table.learn("m", 10_000, seconds)
        self.assertAlmostEqual(table.rate("m"), 300e-6)

    def test_a_peer_rate_is_used_until_the_first_own_sample(self):
        table = WorkTable()
        table.apply_peer_rate("m", 5e-5)
        table.apply_peer_rate("n", 0.0)
        self.assertEqual((table.rate("m"), table.rate("n")), (5e-5, 0.0))
        table.learn("m", 10_000, 0.3)
        table.apply_peer_rate("m", 5e-5)
        self.assertAlmostEqual(table.rate("m"), 30e-6)

    def test_short_prompts_are_ignored(self):
        table = WorkTable()
        table.learn("m", 10, 0.3)
        self.assertEqual(table.rate("m"), 0.0)


class RankTest(unittest.TestCase):
    """Prompts with shorter reading times go first, on any time scale."""

    def test_a_shorter_reading_time_goes_first(self):
        for scale in (0.01, 1.0, 100.0):
            ranks = [
                reading_rank(fraction * scale, scale) for fraction in (0.01, 0.1, 1.0)
            ]
            self.assertEqual(ranks, sorted(ranks))
            self.assertEqual(len(set(ranks)), 3)

    def test_ranks_are_within_bounds(self):
        for reading, objective in ((0.0, 1.0), (1.0, 0.0), (1e-9, 1.0), (1e9, 1.0)):
            self.assertIn(reading_rank(reading, objective), range(10))
