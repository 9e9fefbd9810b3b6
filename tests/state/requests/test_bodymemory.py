# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which bodies of requests find room."""

from __future__ import annotations

import unittest

from walnutquay.state.process.ids import OrganisationName
from walnutquay.state.requests.bodymemory import (
    ASKING_SECONDS,
    GRACE_SECONDS,
    MAX_WAIT_SECONDS,
    SMALL_BYTES,
    BodyMemory,
    LargeBody,
)

MEGABYTE = 1 << 20
LIMIT = 24 * MEGABYTE
LARGE = 4 * MEGABYTE
SECONDS = 10.0
HOT, OTHER, THIRD = (OrganisationName(name) for name in ("hot", "other", "third"))


class MemoryCase(unittest.TestCase):
    """Bodies of 4 MB before a memory of 24."""

    def setUp(self) -> None:
        self.memory = BodyMemory(LIMIT, SECONDS)

    def take(
        self, organisation: OrganisationName, count: int = 1, now: float = 0.0
    ) -> list[LargeBody]:
        """Return the bodies that find room, of so many that are announced."""
        taken = [self.memory.take_large(organisation, LARGE, now) for _ in range(count)]
        return [body for body in taken if body is not None]


class BoundTest(MemoryCase):
    """All bodies together stay within the limit, however many come."""

    def test_many_at_once(self) -> None:
        for number in range(40):
            self.take(OrganisationName(f"org-{number}"))
        self.assertLessEqual(self.memory.held(0.0), LIMIT)
        self.assertGreater(self.memory.held(0.0), LIMIT / 2)

    def test_many_in_chunks(self) -> None:
        bodies = [
            self.memory.take_large(OrganisationName(f"org-{n}"), 0, 0.0)
            for n in range(40)
        ]
        for _ in range(LARGE // SMALL_BYTES):
            for body in bodies:
                if body in self.memory.large and not self.memory.grow(
                    body, SMALL_BYTES, 0.0
                ):
                    self.memory.give_back(body, 0.0)
                self.assertLessEqual(self.memory.held(0.0), LIMIT)

    def test_one_larger_than_all_room_comes_alone(self) -> None:
        self.assertIsNotNone(self.memory.take_large(HOT, 2 * LIMIT, 0.0))
        self.assertEqual(self.take(OTHER), [])

    def test_small_ones_find_room_beside_large_ones(self) -> None:
        for number in range(40):
            self.take(OrganisationName(f"org-{number}"))
        self.assertTrue(all(self.memory.take_small(1000) for _ in range(1000)))

    def test_small_ones_alone_stay_within_the_limit(self) -> None:
        taken = sum(self.memory.take_small(SMALL_BYTES) for _ in range(1000))
        self.assertEqual(taken, LIMIT // SMALL_BYTES)

    def test_room_comes_back(self) -> None:
        for _ in range(3):
            bodies = self.take(HOT, 10)
            self.assertTrue(bodies)
            for body in bodies:
                self.memory.give_back(body, 0.1)
        self.assertEqual(self.memory.held(0.1), 0)


class ShareTest(MemoryCase):
    """One organisation does not keep others out."""

    def test_one_that_comes_first_leaves_room_for_another(self) -> None:
        self.take(HOT, 40)
        self.assertEqual(len(self.take(OTHER, 1, 1.0)), 1)

    def test_shares_become_even(self) -> None:
        held = {HOT: self.take(HOT, 40), OTHER: self.take(OTHER, 40, 0.5)}
        for step in range(1, 20):
            for name, bodies in held.items():
                now = step * 0.5
                if bodies:
                    self.memory.give_back(bodies.pop(0), now)
                bodies += self.take(name, 40, now)
        self.assertEqual(len(held[HOT]), len(held[OTHER]))

    def test_shares_are_forgotten(self) -> None:
        alone = len(self.take(HOT, 40))
        self.setUp()
        for body in self.take(OTHER) + self.take(THIRD):
            self.memory.give_back(body, 0.0)
        beside = self.take(HOT, 40, 0.1)
        self.assertLess(len(beside), alone)
        for body in beside:
            self.memory.give_back(body, 0.2)
        self.assertEqual(len(self.take(HOT, 40, 0.3 + ASKING_SECONDS)), alone)


class UnsentTest(MemoryCase):
    """A body that is announced and does not come gives its room back."""

    def test_never_sent(self) -> None:
        for number in range(40):
            self.take(OrganisationName(f"org-{number}"))
        self.assertEqual(self.take(HOT, 1, GRACE_SECONDS), [])
        self.assertEqual(self.memory.held(GRACE_SECONDS + 0.1), 0)
        self.assertEqual(len(self.take(HOT, 1, GRACE_SECONDS + 0.1)), 1)

    def test_sent_in_time_keeps_its_room(self) -> None:
        (body,) = self.take(HOT)
        for step in range(1, 10):
            self.assertTrue(self.memory.grow(body, LARGE // 10, float(step)))
            self.assertEqual(body.reserved(float(step)), LARGE)

    def test_one_that_goes_on_late_needs_room_again(self) -> None:
        (late,) = self.take(HOT)
        now = GRACE_SECONDS + 1.0
        for number in range(40):
            self.take(OrganisationName(f"org-{number}"), 1, now)
        self.assertFalse(self.memory.grow(late, LARGE, now))


class WaitTest(MemoryCase):
    """Callers are told to return when there will be room."""

    def test_later_ones_are_told_later(self) -> None:
        waits = [self.memory.seconds_until_room(LARGE, 0.0) for _ in range(20)]
        self.assertEqual(waits, sorted(waits))
        self.assertLess(waits[0], waits[-1])

    def test_never_beyond_the_time_of_a_body(self) -> None:
        waits = [self.memory.seconds_until_room(LARGE, 0.0) for _ in range(1000)]
        self.assertEqual(max(waits), MAX_WAIT_SECONDS)

    def test_those_who_return_as_told_find_room(self) -> None:
        hold = 1.0
        first = self.take(HOT, 40)
        ends = [(hold, body) for body in first]
        due = sorted(self.memory.seconds_until_room(LARGE, 0.0) for _ in range(12))
        served = 0
        for at in due:
            for end, body in list(ends):
                if end <= at:
                    self.memory.give_back(body, at)
                    ends.remove((end, body))
            taken = self.take(HOT, 1, at)
            served += len(taken)
            ends += [(at + hold, body) for body in taken]
        self.assertGreaterEqual(served, len(due) // 2)

    def test_one_of_unknown_length_counts_as_usual(self) -> None:
        for _ in range(30):
            (body,) = self.take(HOT)
            self.memory.give_back(body, 1.0)
        unknown = self.memory.seconds_until_room(0, 2.0)
        known = BodyMemory(LIMIT, SECONDS).seconds_until_room(LARGE, 2.0)
        self.assertAlmostEqual(unknown, known, 1)


if __name__ == "__main__":
    unittest.main()
