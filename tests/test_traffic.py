# Licensed under the Apache License 2.0: see LICENSE for details.

"""What engines get to read, by the prompts that one VM has sent."""

from __future__ import annotations

import math
import unittest

from walnutquay.state.traffic import PROMPTS, PromptTraffic, SentPrompt


def traffic(count: int, gap: float, seconds: float = 0.2) -> PromptTraffic:
    """:returns: prompts of 1,000 tokens, one each so many seconds from 0 on."""
    found = PromptTraffic()
    for number in range(count):
        found.add(SentPrompt(number * gap, 1_000, seconds, 0.5))
    return found


class DemandTest(unittest.TestCase):
    """Rates follow from the last prompts."""

    def test_of_all_vms_for_each_engine(self):
        demand = traffic(PROMPTS, 0.5).demand(PROMPTS * 0.5, 6, 12)
        self.assertAlmostEqual(demand.arrivals, 2.0 * 6 / 12)
        self.assertAlmostEqual(demand.busy, 0.2 * 2.0 * 6 / 12)
        self.assertAlmostEqual(demand.weight, 0.5)

    def test_it_falls_when_no_more_come(self):
        found = traffic(PROMPTS, 0.5)
        rates = [found.demand(now, 1, 1).arrivals for now in (8.0, 20.0, 200.0)]
        self.assertEqual(rates, sorted(rates, reverse=True))
        self.assertLess(rates[-1], 0.1)

    def test_a_burst_is_seen_within_a_few_prompts(self):
        found = traffic(PROMPTS, 1.0)
        for number in range(PROMPTS):
            found.add(SentPrompt(PROMPTS + number * 0.1, 1_000, 0.2, 0.5))
        self.assertGreater(found.demand(PROMPTS * 1.1, 1, 1).arrivals, 5.0)

    def test_nothing_is_known_at_first(self):
        self.assertEqual(traffic(0, 1.0).demand(0.0, 6, 12).arrivals, 0.0)
        self.assertEqual(traffic(1, 1.0).kept_seconds(1.0, 6, 12, 1_000), math.inf)


class KeptTest(unittest.TestCase):
    """Engines keep what they have read until their memory is full."""

    def test_memory_over_what_is_read(self):
        found = traffic(PROMPTS, 0.5)
        now = PROMPTS * 0.5
        self.assertAlmostEqual(found.kept_seconds(now, 6, 12, 30_000), 30.0)
        self.assertAlmostEqual(found.kept_seconds(now, 12, 12, 30_000), 15.0)

    def test_without_memory_nothing_is_kept(self):
        self.assertEqual(traffic(PROMPTS, 0.5).kept_seconds(8.0, 6, 12, 0), 0.0)


if __name__ == "__main__":
    unittest.main()
