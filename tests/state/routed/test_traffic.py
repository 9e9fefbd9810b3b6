# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the load on engines, estimated from the prompts that one VM has sent."""

from __future__ import annotations

import math
import random
import unittest

from walnutquay.state.routed.traffic import (
    MAX_PROMPTS,
    MIN_PROMPTS,
    PromptTraffic,
    SentPrompt,
)


def traffic(count: int, gap: float, seconds: float = 0.2) -> PromptTraffic:
    """Return prompts of 1,000 tokens, sent at regular intervals from time 0.

    :param count: the number of prompts.
    :param gap: seconds between two prompts.
    :param seconds: the time to read each.
    """
    found = PromptTraffic()
    for number in range(count):
        found.add(SentPrompt(number * gap, 1_000, seconds, 0.5))
    return found


class DemandTest(unittest.TestCase):
    """Rates are computed from the most recent prompts."""

    def test_the_load_of_all_vms_is_divided_among_engines(self):
        demand = traffic(MIN_PROMPTS, 0.5).demand(MIN_PROMPTS * 0.5, 6, 12)
        self.assertAlmostEqual(demand.arrivals, 2.0 * 6 / 12)
        self.assertAlmostEqual(demand.busy, 0.2 * 2.0 * 6 / 12)
        self.assertAlmostEqual(demand.weight, 0.5)

    def test_the_rate_falls_when_no_more_prompts_come(self):
        found = traffic(MIN_PROMPTS, 0.5)
        rates = [found.demand(now, 1, 1).arrivals for now in (8.0, 20.0, 200.0)]
        self.assertEqual(rates, sorted(rates, reverse=True))
        self.assertLess(rates[-1], 0.1)

    def test_a_higher_rate_is_detected_within_a_few_prompts(self):
        found = traffic(MIN_PROMPTS, 1.0)
        for number in range(MIN_PROMPTS):
            found.add(SentPrompt(MIN_PROMPTS + number * 0.1, 1_000, 0.2, 0.5))
        self.assertGreater(found.demand(MIN_PROMPTS * 1.1, 1, 1).arrivals, 5.0)

    def test_a_burst_does_not_inflate_the_rate(self):
        # One of 195 VMs with 39 engines sends 0.95 prompts a second, some three at a
        # time, so each engine gets 4.75.  A rate computed from the first three prompts
        # alone was 400 on average.
        rng = random.Random(3)
        estimates = []
        for _ in range(200):
            found, now = PromptTraffic(), 0.0
            while len(found.prompts) < MIN_PROMPTS:
                now += rng.expovariate(0.95 / 3.0)
                for _ in range(int(rng.expovariate(1.0 / 3.0)) + 1):
                    estimates.append(found.demand(now, 195, 39).arrivals)
                    found.add(SentPrompt(now, 1_000, 0.1, 1.0))
                    now += 0.004
        self.assertLess(sum(estimates) / len(estimates), 2.5 * 4.75)
        too_high = sum(rate > 10.0 * 4.75 for rate in estimates)
        self.assertLess(too_high, 0.01 * len(estimates))

    def test_the_number_of_prompts_kept_is_bounded(self):
        found = traffic(10_000, 0.001)
        self.assertEqual(len(found.prompts), MAX_PROMPTS)

    def test_defaults_are_returned_without_enough_prompts(self):
        self.assertEqual(traffic(0, 1.0).demand(0.0, 6, 12).arrivals, 0.0)
        self.assertEqual(traffic(1, 1.0).kept_seconds(1.0, 6, 12, 1_000), math.inf)


class KeptSecondsTest(unittest.TestCase):
    """Engines keep prompts in their cache until their memory is full."""

    def test_memory_divided_by_token_rate(self):
        found = traffic(MIN_PROMPTS, 0.5)
        now = MIN_PROMPTS * 0.5
        self.assertAlmostEqual(found.kept_seconds(now, 6, 12, 30_000), 30.0)
        self.assertAlmostEqual(found.kept_seconds(now, 12, 12, 30_000), 15.0)

    def test_nothing_is_kept_without_memory(self):
        self.assertEqual(traffic(MIN_PROMPTS, 0.5).kept_seconds(8.0, 6, 12, 0), 0.0)


if __name__ == "__main__":
    unittest.main()
