# Licensed under the Apache License 2.0: see LICENSE for details.

"""When a VM whose link is full listens for new connections."""

from __future__ import annotations

import random
import unittest

from walnutquay.state.fleet.connectiongate import (
    MEASURED_CONNECTIONS,
    SKEW_FACTOR,
)
from walnutquay.state.fleet.intake import (
    FULL_SECONDS,
    LEAST_PER_SECOND,
    LONGEST_PAUSE_SECONDS,
    TICK_SECONDS,
    Intake,
)

FREE, FULL = 0.01, 2 * FULL_SECONDS
RATE = 100.0
# Of those who are taken, at least so many must be served in time, though all others
# come at once; and next to nobody may be refused by two VMs one after the other.
LEAST_SERVED = 0.75
MOST_REFUSED_TWICE = 0.01


class IntakeTest(unittest.TestCase):
    """Decisions at single moments."""

    def setUp(self) -> None:
        self.intake = Intake()
        self.now = 100.0

    def tick(self, wait: float, skewed: bool = True) -> bool:
        self.now += TICK_SECONDS
        self.intake.tick(wait, RATE, skewed, self.now)
        return self.intake.listens

    def test_all_are_taken_while_the_link_is_free(self):
        for _ in range(100):
            self.assertTrue(self.tick(FREE))
            self.assertTrue(self.intake.take(self.now))
        self.assertFalse(self.intake.is_limited)

    def test_none_is_taken_while_the_link_is_full(self):
        self.assertFalse(self.tick(FULL))
        self.assertTrue(self.intake.is_limited)

    def test_all_are_taken_where_all_vms_are_equally_busy(self):
        self.assertTrue(self.tick(FULL, skewed=False))
        self.assertFalse(self.intake.is_limited)

    def test_what_is_begun_is_finished_first(self):
        self.tick(FULL)
        between = FULL_SECONDS * 0.9
        self.assertFalse(self.tick(between))
        self.assertTrue(self.tick(FREE))

    def test_some_are_taken_at_least_once_a_while(self):
        self.tick(FULL)
        ticks = int(LONGEST_PAUSE_SECONDS / TICK_SECONDS) + 1
        self.assertIn(True, [self.tick(FULL) for _ in range(ticks)])

    def test_rate_falls_once_for_each_time_that_the_link_is_full(self):
        for _ in range(5):
            self.tick(FULL)
        first = self.intake.per_second
        self.assertLess(first, RATE)
        self.tick(FREE)
        self.tick(FULL)
        self.assertLess(self.intake.per_second, first)

    def test_rate_never_falls_to_nothing(self):
        for _ in range(20):
            self.tick(FULL)
            self.tick(FREE)
        self.assertGreaterEqual(self.intake.per_second, LEAST_PER_SECOND)

    def test_all_are_taken_again_within_seconds_of_a_storm(self):
        self.tick(FULL)
        for _ in range(25):
            self.tick(FREE)
        self.assertFalse(self.intake.is_limited)


class Vm:
    """A VM with a link that carries bytes one after the other.

    :param capacity: requests that the link carries in a second.
    """

    def __init__(self, capacity: float) -> None:
        self.capacity = capacity
        self.intake = Intake()
        self.listens = True
        # Requests that wait for the link.
        self.queue = 0.0
        self.taken: list[float] = []
        self.waits: list[float] = []

    def wait(self) -> float:
        return self.queue / self.capacity

    def connect(self, now: float) -> bool:
        """:returns: whether a caller is not refused."""
        if not self.listens:
            return False
        # What was sent crosses the link, whether or not the connection is taken.
        self.queue += 1.0
        if self.intake.take(now):
            self.taken.append(now)
            self.waits.append(self.wait())
        return True

    def rate(self, now: float) -> int:
        """:returns: connections taken in the last second."""
        return sum(at > now - 1.0 for at in self.taken[-1000:])

    def tick(self, told: float, idle: bool, usual_rate: float, now: float) -> None:
        """:param told: the wait that is known.

        :param idle: whether the other VMs are idle.
        :param usual_rate: their connections in the last second.
        :param now: monotonic seconds.
        """
        self.queue = max(0.0, self.queue - self.capacity * TICK_SECONDS)
        rate = self.rate(now)
        many = rate >= MEASURED_CONNECTIONS and rate > SKEW_FACTOR * usual_rate
        skewed = idle and (many or self.intake.is_limited)
        self.intake.tick(told, rate, skewed, now)
        self.listens = self.intake.listens


class FleetReplayTest(unittest.TestCase):
    """New connections come evenly, or most to one VM and then to the next one."""

    # What one VM's link carries, relative to its even share of all callers.
    ROOM = 4.0
    # New connections a second, of each VM's even share.
    EVEN_RATE = 10.0
    SECONDS = 6.0
    CONTACT_SECONDS = 1.0
    # Callers count a wait of this length as failed.
    PATIENCE_SECONDS = 0.5
    LAG_SECONDS = 0.15

    def replay(
        self, size: int, seed: int, skew: float = 0.9, factor: float = 1.0
    ) -> tuple[float, float]:
        """:param size: the number of VMs.

        :param seed: of all chance.
        :param skew: the share of new connections that one VM gets.
        :param factor: how much more often callers come.
        :returns: the share of those who were taken that waited little, and of callers
            who were refused twice.
        """
        rng = random.Random(seed)
        vms = [Vm(self.ROOM * self.EVEN_RATE) for _ in range(size)]
        lag = int(self.LAG_SECONDS / TICK_SECONDS)
        told = [[0.0] * lag for _ in vms]
        tries = refused = 0
        self.refused_once = 0
        for step in range(int(2 * self.SECONDS / TICK_SECONDS)):
            now = step * TICK_SECONDS
            favourite = vms[int(now / self.SECONDS)]
            for _ in range(int(factor * size * self.EVEN_RATE * TICK_SECONDS)):
                tries += 1
                first = favourite if rng.random() < skew else rng.choice(vms)
                second = rng.choice(vms)
                while second is first:
                    second = rng.choice(vms)
                self.refused_once += not first.listens
                if not first.connect(now) and not second.connect(now):
                    refused += 1
            idle = sorted(vm.wait() for vm in vms)[size // 2] < FULL_SECONDS / 2
            usual_rate = sorted(vm.rate(now) for vm in vms)[size // 2]
            for vm, waits in zip(vms, told, strict=True):
                waits.append(vm.wait())
                vm.tick(waits.pop(0), idle, usual_rate, now)
        late = served = 0
        for vm in vms:
            for at, wait in zip(vm.taken, vm.waits, strict=True):
                if at % self.SECONDS < self.CONTACT_SECONDS:
                    continue
                late += wait > self.PATIENCE_SECONDS
                served += wait <= self.PATIENCE_SECONDS
        return served / (served + late), refused / tries

    def test_fleets_of_all_sizes(self):
        for size in (6, 30, 61, 195):
            with self.subTest(size=size):
                share, refused_twice = self.replay(size, seed=size)
                self.assertGreaterEqual(share, LEAST_SERVED)
                self.assertLessEqual(refused_twice, MOST_REFUSED_TWICE)

    def test_nobody_is_refused_in_a_burst_that_is_not_skewed(self):
        for size in (6, 61):
            for factor in (0.9 * self.ROOM, 2.0 * self.ROOM):
                with self.subTest(size=size, factor=factor):
                    self.replay(size, size, skew=0.0, factor=factor)
                    self.assertEqual(self.refused_once, 0)
