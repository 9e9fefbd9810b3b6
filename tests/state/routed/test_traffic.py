# Licensed under the Apache License 2.0: see LICENSE for details.

"""What engines get to read, by the prompts that one VM has sent."""

from __future__ import annotations

import math
import random
import unittest

from walnutquay.state.routed.traffic import (
    MAX_PROMPTS,
    PROMPTS,
    PromptTraffic,
    SentPrompt,
)


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

    def test_some_prompts_at_a_time_are_no_rate(self):
        # One of 195 VMs before 39 engines: 0.95 prompts a second, some three at a time,
        # so 4.75 for each engine.  After the first three it took them for 400 (mean).
        rng = random.Random(3)
        seen = []
        for _ in range(200):
            found, now = PromptTraffic(), 0.0
            while len(found.prompts) < PROMPTS:
                now += rng.expovariate(0.95 / 3.0)
                for _ in range(int(rng.expovariate(1.0 / 3.0)) + 1):
                    seen.append(found.demand(now, 195, 39).arrivals)
                    found.add(SentPrompt(now, 1_000, 0.1, 1.0))
                    now += 0.004
        self.assertLess(sum(seen) / len(seen), 2.5 * 4.75)
        far_off = sum(rate > 10.0 * 4.75 for rate in seen)
        self.assertLess(far_off, 0.01 * len(seen))

    def test_what_is_kept_is_bounded(self):
        found = traffic(10_000, 0.001)
        self.assertEqual(len(found.prompts), MAX_PROMPTS)

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
