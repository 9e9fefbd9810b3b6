# Licensed under the Apache License 2.0: see LICENSE for details.

"""Membership: the view that a VM builds from heartbeats, rumours and digests."""

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


def update(name: str, counter: int = 1, incarnation: str = "1", **more) -> MemberUpdate:
    """Return an update on a VM."""
    fields = {
        "hall": "h",
        "revision": 1,
        "leaving": False,
        "address": Address("127.0.0.1", 1),
        **more,
    }
    return MemberUpdate(vm=name, incarnation=incarnation, counter=counter, **fields)


# updates on vm-b received at times 0, 1, 2 ... -> its state at time 5, its counter
RECEIVED = [
    ([update("vm-b", 1)], MemberState.SILENT, 1),
    ([update("vm-b", 1), update("vm-b", 2)], MemberState.ALIVE, 2),
    # Repeated and older updates have no effect.
    ([update("vm-b", 2), update("vm-b", 2), update("vm-b", 1)], MemberState.SILENT, 2),
    # A later start counts again from 1; updates of an earlier start are outdated.
    ([update("vm-b", 9), update("vm-b", 1, "2")], MemberState.ALIVE, 1),
    ([update("vm-b", 1, "2"), update("vm-b", 9, "1")], MemberState.SILENT, 1),
    ([update("vm-b", 1), update("vm-b", 2, leaving=True)], MemberState.LEAVING, 2),
]


class MemberTableTest(unittest.TestCase):
    """The view of one VM."""

    def table(self) -> MemberTable:
        """Return the view of vm-a."""
        return MemberTable("vm-a", random.Random(1))

    def test_updates(self):
        for received, state, counter in RECEIVED:
            with self.subTest(received=received):
                table = self.table()
                for at, item in enumerate(received):
                    table.receive(item, float(at))
                member = table.members["vm-b"]
                self.assertEqual(table.state_of(member, 5.0), state)
                self.assertEqual(member.counter, counter)

    def test_digest_keeps_member_alive_and_later_update_is_applied(self):
        table = self.table()
        table.receive(update("vm-b", 1), 0.0)
        digest = digest_of("vm-b", "1") << 32 | 7
        table.receive_digests([digest, 12345], 4.0)
        member = table.members["vm-b"]
        self.assertIs(table.state_of(member, 5.0), MemberState.ALIVE)
        # The digest has a newer counter than heartbeat 5, but no revision.
        self.assertTrue(table.receive(update("vm-b", 5, revision=3), 5.0))
        self.assertEqual((member.latest.revision, member.counter), (3, 7))

    def test_digest_of_earlier_start_is_ignored(self):
        table = self.table()
        table.receive(update("vm-b", 500, "1"), 0.0)
        table.receive(update("vm-b", 1, "2"), 1.0)
        table.receive_digests([digest_of("vm-b", "1") << 32 | 501], 2.0)
        table.receive(update("vm-b", 2, "2"), 3.0)
        self.assertEqual(table.members["vm-b"].counter, 2)
        self.assertEqual(table.members["vm-b"].last_seen_at, 3.0)

    def test_vm_list_takes_precedence_over_updates(self):
        table = self.table()
        table.receive(update("vm-b"), 0.0)
        self.assertEqual(table.address("vm-b"), Address("127.0.0.1", 1))
        table.apply_list({"vm-b": Address("127.0.0.1", 2)}, 0.0)
        self.assertEqual(table.address("vm-b"), Address("127.0.0.1", 2))
        table.apply_list({}, 1000.0)
        self.assertEqual(table.members, {})

    def test_ranking_ignores_order_and_removal_moves_only_keys_of_that_vm(self):
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
    """Views that exchange heartbeats in a fleet too large for one round to reach."""

    def setUp(self):
        self.now = 0.0
        self.counters = dict.fromkeys((f"vm-{n}" for n in range(FLEET)), 0)
        self.tables = {
            name: MemberTable(name, random.Random(number))
            for number, name in enumerate(self.counters)
        }
        for table in self.tables.values():
            for name in self.counters:
                table.receive(update(name, 0), 0.0)

    def round(self, dead: str = "") -> None:
        """Send one heartbeat round of each VM."""
        self.now += 1.0
        for name, table in self.tables.items():
            if name == dead:
                continue
            self.counters[name] += 1
            own = update(name, self.counters[name])
            rumours, digests = table.rumours(self.now), table.digests(self.now)
            for target in table.targets():
                if target == dead:
                    continue
                other = self.tables[target]
                other.receive_digests(digests, self.now)
                for item in (own, *rumours):
                    other.receive(replace(item), self.now)

    def vms_seen_as(self, state: MemberState) -> set[str]:
        """Return the VMs that at least one other VM sees in a state."""
        return {
            member.latest.vm
            for name, table in self.tables.items()
            if name != DEAD
            for member in table.members.values()
            if table.state_of(member, self.now) is state
        }

    def test_live_vms_are_never_silent_and_dead_vm_soon_is(self):
        for _ in range(12):
            self.round()
            self.assertEqual(self.vms_seen_as(MemberState.SILENT), set())
        limit = self.tables["vm-1"].silent_after()
        self.assertLess(limit, 3 * SILENT_SECONDS)
        for _ in range(int(limit) + 4):
            self.round(dead=DEAD)
            self.assertLessEqual(self.vms_seen_as(MemberState.SILENT), {DEAD})
        self.assertNotIn(DEAD, self.vms_seen_as(MemberState.ALIVE))


# hall and region of a VM, those of another VM -> the distance
DISTANCES = [
    (("hall-a", "north"), ("hall-a", "north"), Distance.OWN_HALL),
    (("hall-a", "north"), ("hall-b", "north"), Distance.OTHER_HALL),
    (("hall-a", "north"), ("hall-c", "south"), Distance.OTHER_REGION),
    # Halls of two regions may have the same name.
    (("hall-a", "north"), ("hall-a", "south"), Distance.OTHER_REGION),
]


class DistanceTest(unittest.TestCase):
    """Copies are stored in another hall of the region, else in another region."""

    def test_distances(self):
        for own, other, expected in DISTANCES:
            with self.subTest(own=own, other=other):
                reported = update("vm-2", hall=other[0], region=other[1])
                self.assertIs(distance(*own, reported), expected)

    def test_own_hall_is_last_choice(self):
        self.assertIs(list(Distance)[-1], Distance.OWN_HALL)
