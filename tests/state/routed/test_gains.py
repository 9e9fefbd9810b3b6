# Licensed under the Apache License 2.0: see LICENSE for details.

"""What pairs of opinions tell of models, and how VMs learn from each other."""

from __future__ import annotations

import random
import unittest

from walnutquay.state.process.ids import ModelName, VmName
from walnutquay.state.routed.confidence import INITIAL_SCATTER
from walnutquay.state.routed.gains import Gains, ModelPair

PAIR = ModelPair(ModelName("small"), ModelName("large"))


def seen(scatter: float, gain: float, pairs: int, seed: int = 1) -> Gains:
    """:returns: what so many pairs of opinions tell."""
    rng = random.Random(seed)
    gains = Gains()
    for _ in range(pairs):
        deserved = rng.uniform(20.0, 80.0 - gain)
        first = deserved + rng.gauss(0.0, scatter)
        gains.add(PAIR, first, deserved + gain + rng.gauss(0.0, scatter))
    return gains


class ScatterTest(unittest.TestCase):
    """How far opinions scatter is learnt, from any start."""

    def test_at_first_it_is_a_guess(self):
        self.assertEqual(Gains().scatter(), INITIAL_SCATTER)

    def test_it_is_learnt(self):
        for scatter in (3.0, 8.0, 20.0):
            self.assertAlmostEqual(
                seen(scatter, 10.0, 200).scatter(), scatter, delta=0.25 * scatter + 1.5
            )

    def test_opinions_at_the_ends_of_the_scale_say_nothing(self):
        gains = Gains()
        for first, second in ((0.0, 60.0), (40.0, 100.0), (0.0, 100.0)):
            gains.add(PAIR, first, second)
        self.assertEqual(gains.scatter(), INITIAL_SCATTER)
        self.assertEqual(gains.rows(), ())


class GainTest(unittest.TestCase):
    """How much more a larger model thinks of its answers."""

    def test_it_is_learnt(self):
        self.assertAlmostEqual(seen(8.0, 30.0, 100).gain(PAIR, 50.0), 30.0, delta=4.0)

    def test_a_guess_until_then(self):
        self.assertEqual(Gains().gain(PAIR, 50.0), 50.0)

    def test_it_changes_with_the_model(self):
        gains = seen(8.0, 30.0, 300)
        rng = random.Random(2)
        for _ in range(300):
            first = rng.uniform(20.0, 60.0)
            gains.add(PAIR, first, first + 5.0 + rng.gauss(0.0, 8.0))
        self.assertLess(gains.gain(PAIR, 50.0), 12.0)


class SharingTest(unittest.TestCase):
    """VMs learn from each other."""

    def test_a_new_vm_knows_what_the_others_have_seen(self):
        fresh = Gains()
        for number in range(5):
            fresh.hear(VmName(f"vm-{number}"), seen(8.0, 30.0, 20, number).rows())
        self.assertAlmostEqual(fresh.gain(PAIR, 50.0), 30.0, delta=4.0)
        self.assertAlmostEqual(fresh.scatter(), 8.0, delta=2.5)

    def test_what_is_told_again_counts_once(self):
        fresh = Gains()
        rows = seen(8.0, 30.0, 10).rows()
        fresh.hear(VmName("vm-1"), rows)
        once = fresh.gain(PAIR, 50.0)
        fresh.hear(VmName("vm-1"), rows)
        self.assertEqual(fresh.gain(PAIR, 50.0), once)

    def test_what_was_heard_is_not_told_on(self):
        fresh = Gains()
        fresh.hear(VmName("vm-1"), seen(8.0, 30.0, 10).rows())
        self.assertEqual(fresh.rows(), ())


if __name__ == "__main__":
    unittest.main()
