# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of what a VM knows of the rate limits that endpoints name."""

from __future__ import annotations

import unittest

from walnutquay.state.process.ids import EndpointName
from walnutquay.state.routed.ratelimits import (
    CONFIRMED_SECONDS,
    EXPIRY_SECONDS,
    FORGET_SECONDS,
    MIN_PER_SECOND,
    NamedLimit,
    RateLimitTable,
)

E1 = EndpointName("e1")


class RateLimitTableTest(unittest.TestCase):
    """The latest answer counts."""

    def setUp(self) -> None:
        self.table = RateLimitTable()

    def test_named_changed_and_withdrawn(self):
        self.assertTrue(self.table.apply(E1, NamedLimit(2.0, 10.0)))
        self.assertFalse(self.table.apply(E1, NamedLimit(2.0, 11.0)))
        self.assertTrue(self.table.apply(E1, NamedLimit(3.0, 12.0)))
        self.assertEqual(self.table.rate(E1, 12.5), 3.0)
        self.assertTrue(self.table.apply(E1, NamedLimit(None, 13.0)))
        self.assertIsNone(self.table.rate(E1, 13.5))

    def test_answers_without_a_limit_are_not_recorded(self):
        self.assertFalse(self.table.apply(E1, NamedLimit(None, 10.0)))
        self.assertEqual(self.table.limits, {})

    def test_older_answers_change_nothing(self):
        self.table.apply(E1, NamedLimit(2.0, 10.0))
        for older in (NamedLimit(1.0, 9.0), NamedLimit(None, 9.0)):
            self.assertFalse(self.table.apply(E1, older))
        self.assertEqual(self.table.rate(E1, 10.0), 2.0)

    def test_an_overtaken_answer_does_not_relax_a_limit(self):
        self.table.apply(E1, NamedLimit(2.0, 10.0))
        for laxer in (NamedLimit(3.0, 10.05), NamedLimit(None, 10.05)):
            self.assertFalse(self.table.apply(E1, laxer))
        self.assertTrue(self.table.apply(E1, NamedLimit(1.0, 10.05)))
        self.assertEqual(self.table.rate(E1, 10.1), 1.0)

    def test_what_is_told_again_does_not_seem_new(self):
        self.table.apply(E1, NamedLimit(2.0, 10.0))
        for number in range(1, 200):
            self.table.apply(E1, NamedLimit(2.0, 10.0 + min(0.001 * number, 0.09)))
        self.assertEqual(self.table.limits[E1].at, 10.0)

    def test_old_limits_are_forgotten(self):
        self.table.apply(E1, NamedLimit(2.0, 10.0))
        self.assertEqual(self.table.forget_old(10.0 + EXPIRY_SECONDS), [])
        self.assertEqual(self.table.forget_old(10.0 + FORGET_SECONDS), [E1])

    def test_forgotten_with_its_start(self):
        self.table.apply(E1, NamedLimit(2.0, 10.0))
        self.table.forget(E1)
        self.assertIsNone(self.table.rate(E1, 10.0))


class NamedLimitTest(unittest.TestCase):
    """A limit that no answer confirms is relaxed step by step, then dropped."""

    def test_unconfirmed(self):
        limit = NamedLimit(2.0, 0.0)
        rates = [limit.rate(at) for at in (0.0, CONFIRMED_SECONDS - 0.1)]
        self.assertEqual(rates, [2.0, 2.0])
        rates = [limit.rate(CONFIRMED_SECONDS + at) for at in (0.0, 5.0, 20.0)]
        self.assertEqual(rates, [4.0, 8.0, 8.0])
        self.assertIsNone(limit.rate(EXPIRY_SECONDS))
        self.assertTrue(limit.needs_permit(EXPIRY_SECONDS))
        self.assertFalse(limit.needs_permit(FORGET_SECONDS))

    def test_a_limit_of_zero_still_allows_to_try(self):
        self.assertEqual(NamedLimit(0.0, 0.0).rate(1.0), MIN_PER_SECOND)


if __name__ == "__main__":
    unittest.main()
