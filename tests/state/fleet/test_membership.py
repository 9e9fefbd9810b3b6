# Licensed under the Apache License 2.0: see LICENSE for details.

"""Membership: what heartbeats, rumours and digests make a VM believe."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from walnutquay.state.fleet.membership import (
    SILENT_SECONDS,
    Address,
    Distance,
    MemberTable,
    MemberUpdate,
    digest_of,
    distance,
    rendezvous,
)
from walnutquay.state.process.ids import MemberState

FLEET = 150
DEAD = "vm-0"


def news(name: str, counter: int = 1, incarnation: str = "1", **more) -> MemberUpdate:
    """:returns: news of a VM."""
    fields = {
        "hall": "h",
        "revision": 1,
        "leaving": False,
        "address": Address("127.0.0.1", 1),
        **more,
    }
    return MemberUpdate(vm=name, incarnation=incarnation, counter=counter, **fields)


# what is heard of vm-b at times 0, 1, 2 ... -> its state at time 5, its counter
HEARD = [
    ([news("vm-b", 1)], MemberState.SILENT, 1),
    ([news("vm-b", 1), news("vm-b", 2)], MemberState.ALIVE, 2),
    # A repeat, or something older, is no news.
    ([news("vm-b", 2), news("vm-b", 2), news("vm-b", 1)], MemberState.SILENT, 2),
    # A later start counts from anew; what an earlier one said comes too late.
    ([news("vm-b", 9), news("vm-b", 1, "2")], MemberState.ALIVE, 1),
    ([news("vm-b", 1, "2"), news("vm-b", 9, "1")], MemberState.SILENT, 1),
    ([news("vm-b", 1), news("vm-b", 2, leaving=True)], MemberState.LEAVING, 2),
]


class MemberTableTest(unittest.TestCase):
    """One VM's view."""

    def table(self) -> MemberTable:
        """:returns: the view of vm-a."""
        return MemberTable("vm-a", random.Random(1))

    def test_table(self):
        for heard, state, counter in HEARD:
            with self.subTest(heard=heard):
                table = self.table()
                for at, item in enumerate(heard):
                    table.receive(item, float(at))
                member = table.members["vm-b"]
                self.assertEqual(table.state_of(member, 5.0), state)
                self.assertEqual(member.counter, counter)

    def test_a_digest_keeps_a_member_alive_and_news_still_count(self):
        table = self.table()
        table.receive(news("vm-b", 1), 0.0)
        digest = digest_of("vm-b", "1") << 32 | 7
        table.receive_digests([digest, 12345], 4.0)
        member = table.members["vm-b"]
        self.assertIs(table.state_of(member, 5.0), MemberState.ALIVE)
        # Heartbeat 5 was overtaken by the digest, its revision was not.
        self.assertTrue(table.receive(news("vm-b", 5, revision=3), 5.0))
        self.assertEqual((member.latest.revision, member.counter), (3, 7))

    def test_a_digest_of_an_earlier_start_says_nothing_of_this_one(self):
        table = self.table()
        table.receive(news("vm-b", 500, "1"), 0.0)
        table.receive(news("vm-b", 1, "2"), 1.0)
        table.receive_digests([digest_of("vm-b", "1") << 32 | 501], 2.0)
        table.receive(news("vm-b", 2, "2"), 3.0)
        self.assertEqual(table.members["vm-b"].counter, 2)
        self.assertEqual(table.members["vm-b"].last_seen_at, 3.0)

    def test_the_list_goes_before_what_vms_say(self):
        table = self.table()
        table.receive(news("vm-b"), 0.0)
        self.assertEqual(table.address("vm-b"), Address("127.0.0.1", 1))
        table.apply_list({"vm-b": Address("127.0.0.1", 2)}, 0.0)
        self.assertEqual(table.address("vm-b"), Address("127.0.0.1", 2))
        table.apply_list({}, 1000.0)
        self.assertEqual(table.members, {})

    def test_all_rank_alike_and_a_loss_moves_only_its_own(self):
        names = [f"vm-{n}" for n in range(7)]
        keys = [f"key-{n}" for n in range(300)]
        first = {key: rendezvous(key, names)[0] for key in keys}
        self.assertEqual(len(set(first.values())), 7)
        fewer = names[1:]
        for key, owner in first.items():
            self.assertEqual(rendezvous(key, reversed(names))[0], owner)
            if owner != names[0]:
                self.assertEqual(rendezvous(key, fewer)[0], owner)


class LargeFleetTest(unittest.TestCase):
    """Views that exchange heartbeats, more of them than one round reaches."""

    def setUp(self):
        self.now = 0.0
        self.counters = dict.fromkeys((f"vm-{n}" for n in range(FLEET)), 0)
        self.tables = {
            name: MemberTable(name, random.Random(number))
            for number, name in enumerate(self.counters)
        }
        for table in self.tables.values():
            for name in self.counters:
                table.receive(news(name, 0), 0.0)

    def round(self, dead: str = "") -> None:
        """Let each VM send its heartbeats once."""
        self.now += 1.0
        for name, table in self.tables.items():
            if name == dead:
                continue
            self.counters[name] += 1
            own = news(name, self.counters[name])
            rumours, digests = table.rumours(self.now), table.digests(self.now)
            for target in table.targets():
                if target == dead:
                    continue
                other = self.tables[target]
                other.receive_digests(digests, self.now)
                for item in (own, *rumours):
                    other.receive(replace(item), self.now)

    def believed(self, state: MemberState) -> set[str]:
        """:returns: VMs that some other believes to be in a state."""
        return {
            member.latest.vm
            for name, table in self.tables.items()
            if name != DEAD
            for member in table.members.values()
            if table.state_of(member, self.now) is state
        }

    def test_the_living_are_never_silent_and_the_dead_soon_are(self):
        for _ in range(12):
            self.round()
            self.assertEqual(self.believed(MemberState.SILENT), set())
        limit = self.tables["vm-1"].silent_after()
        self.assertLess(limit, 3 * SILENT_SECONDS)
        for _ in range(int(limit) + 4):
            self.round(dead=DEAD)
            self.assertLessEqual(self.believed(MemberState.SILENT), {DEAD})
        self.assertNotIn(DEAD, self.believed(MemberState.ALIVE))


# where a VM stands, where another stands -> how far that is
DISTANCES = [
    (("hall-a", "north"), ("hall-a", "north"), Distance.OWN_HALL),
    (("hall-a", "north"), ("hall-b", "north"), Distance.OTHER_HALL),
    (("hall-a", "north"), ("hall-c", "south"), Distance.OTHER_REGION),
    # Two regions may name their halls alike.
    (("hall-a", "north"), ("hall-a", "south"), Distance.OTHER_REGION),
]


class DistanceTest(unittest.TestCase):
    """Copies go to another hall of the region, else to another region."""

    def test_table(self):
        for own, other, expected in DISTANCES:
            with self.subTest(own=own, other=other):
                told = news("vm-2", hall=other[0], region=other[1])
                self.assertIs(distance(*own, told), expected)

    def test_the_own_hall_is_the_last_resort(self):
        self.assertIs(list(Distance)[-1], Distance.OWN_HALL)
