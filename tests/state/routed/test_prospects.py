# Licensed under the Apache License 2.0: see LICENSE for details.

"""Whether any engine can begin to answer a prompt before its caller gives up."""

from __future__ import annotations

import unittest

from walnutquay.state.routed.prospects import earliest_begin, is_hopeless
from walnutquay.state.routed.work import PromptWork

RATE = 0.001
PROMPT = PromptWork("m", 3000, "shared", 1000)


class EarliestBeginTest(unittest.TestCase):
    """At best, the fastest engine with the least to read has the prefix cached."""

    def test_of_several_engines(self):
        engines = [(9.0, 0.5), (1.0, 3.0), (2.0, 1.0)]
        self.assertEqual(4.0, earliest_begin(PROMPT, RATE, engines))

    def test_unknown_rate_counts_the_queue_only(self):
        self.assertEqual(1.5, earliest_begin(PROMPT, 0.0, [(1.5, 1.0)]))

    def test_without_engines(self):
        self.assertEqual(0.0, earliest_begin(PROMPT, RATE, []))

    def test_prefix_longer_than_the_prompt(self):
        prompt = PromptWork("m", 10, "shared", 1000)
        self.assertEqual(0.0, earliest_begin(prompt, RATE, [(0.0, 1.0)]))


class IsHopelessTest(unittest.TestCase):
    """Only what is too late by far is refused; an absurd deadline refuses not all."""

    def test_table(self):
        cases = {
            (2.1, 1.0): True,
            (1.9, 1.0): False,
            (0.0, 0.001): False,
            (0.0, 1e9): False,
            (100.0, 1e9): False,
            (0.01, 0.0): True,
            (0.01, -1.0): True,
        }
        for (begin, left), hopeless in cases.items():
            self.assertIs(hopeless, is_hopeless(begin, left), (begin, left))
