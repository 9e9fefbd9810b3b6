# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the estimates from pairs of confidence values, and of sharing them."""

from __future__ import annotations

import random
import unittest

from walnutquay.state.process.ids import ModelName, VmName
from walnutquay.state.routed.confidence import INITIAL_SCATTER
from walnutquay.state.routed.gains import Gains, ModelPair

PAIR = ModelPair(ModelName("small"), ModelName("large"))


def observed_gains(scatter: float, gain: float, pairs: int, seed: int = 1) -> Gains:
    """Return the estimates from a number of random pairs of confidence values."""
    rng = random.Random(seed)
    gains = Gains()
    for _ in range(pairs):
        merit = rng.uniform(20.0, 80.0 - gain)
        first = merit + rng.gauss(0.0, scatter)
        gains.add(PAIR, first, merit + gain + rng.gauss(0.0, scatter))
    return gains


class ScatterTest(unittest.TestCase):
    """The scatter is estimated, whatever its actual value."""

    def test_the_initial_value_is_used_without_observations(self):
        self.assertEqual(Gains().scatter(), INITIAL_SCATTER)

    def test_the_scatter_is_estimated(self):
        for scatter in (3.0, 8.0, 20.0):
            self.assertAlmostEqual(
                observed_gains(scatter, 10.0, 200).scatter(),
                scatter,
                delta=0.25 * scatter + 1.5,
            )

    def test_clipped_values_are_ignored(self):
        gains = Gains()
        for first, second in ((0.0, 60.0), (40.0, 100.0), (0.0, 100.0)):
            gains.add(PAIR, first, second)
        self.assertEqual(gains.scatter(), INITIAL_SCATTER)
        self.assertEqual(gains.rows(), ())


class GainTest(unittest.TestCase):
    """The gain in confidence of a larger model."""

    def test_the_gain_is_estimated(self):
        self.assertAlmostEqual(
            observed_gains(8.0, 30.0, 100).gain(PAIR, 50.0), 30.0, delta=4.0
        )

    def test_the_guess_is_used_without_observations(self):
        self.assertEqual(Gains().gain(PAIR, 50.0), 50.0)

    def test_the_estimate_follows_a_model_that_changes(self):
        gains = observed_gains(8.0, 30.0, 300)
        rng = random.Random(2)
        for _ in range(300):
            first = rng.uniform(20.0, 60.0)
            gains.add(PAIR, first, first + 5.0 + rng.gauss(0.0, 8.0))
        self.assertLess(gains.gain(PAIR, 50.0), 12.0)


class SharingTest(unittest.TestCase):
    """VMs use the counts that their peers send."""

    def test_a_new_vm_uses_the_counts_of_its_peers(self):
        new_vm = Gains()
        for number in range(5):
            new_vm.apply_peer_rows(
                VmName(f"vm-{number}"), observed_gains(8.0, 30.0, 20, number).rows()
            )
        self.assertAlmostEqual(new_vm.gain(PAIR, 50.0), 30.0, delta=4.0)
        self.assertAlmostEqual(new_vm.scatter(), 8.0, delta=2.5)

    def test_repeated_counts_are_counted_once(self):
        new_vm = Gains()
        rows = observed_gains(8.0, 30.0, 10).rows()
        new_vm.apply_peer_rows(VmName("vm-1"), rows)
        once = new_vm.gain(PAIR, 50.0)
        new_vm.apply_peer_rows(VmName("vm-1"), rows)
        self.assertEqual(new_vm.gain(PAIR, 50.0), once)

    def test_received_counts_are_not_forwarded(self):
        new_vm = Gains()
        new_vm.apply_peer_rows(VmName("vm-1"), observed_gains(8.0, 30.0, 10).rows())
        self.assertEqual(new_vm.rows(), ())


if __name__ == "__main__":
    unittest.main()
