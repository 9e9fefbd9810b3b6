# Licensed under the Apache License 2.0: see LICENSE for details.

"""Whom a VM tells: all of a small fleet, few of a large one, and whom it concerns."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace

from walnutquay.coordination.fleet.peers import (
    RELAYS,
    TOLD,
    TOLD_FAR,
    TOLD_IN_HALL,
    FleetPeers,
)
from walnutquay.protocol.messages import AskStart
from walnutquay.state.fleet.membership import Address, VmLocation
from walnutquay.state.process.ids import HallName, VmName

HALLS = [HallName(f"hall-{number}") for number in range(5)]
HERE, THERE = HALLS[0], HALLS[3]
BODY = AskStart()


class FakeNode:
    """Notes what is sent to whom."""

    def __init__(self) -> None:
        self.sent: list[Address] = []

    def send_all(self, addresses, body) -> None:
        """As the real one."""
        self.sent.extend(addresses)


def peers(vms: int) -> FleetPeers:
    """:returns: the peers of the first of so many VMs, spread over the halls."""
    context = SimpleNamespace(vm=VmName("vm-0"), hall=HERE, rng=random.Random(1))
    made = FleetPeers(context, FakeNode(), Address("10.0.0.0", 1), [])
    made.known = {
        VmName(f"vm-{number}"): VmLocation(
            Address(f"10.0.0.{number}", 1), HALLS[number % len(HALLS)]
        )
        for number in range(vms)
    }
    return made


class TellingTest(unittest.TestCase):
    """Messages that may be lost."""

    def halls_told(self, made: FleetPeers) -> list[HallName]:
        """:returns: the data hall of each VM that was told; never the sender itself."""
        places = {place.address: place.hall for place in made.known.values()}
        self.assertNotIn(made.own, made.node.sent)
        self.assertEqual(len(made.node.sent), len(set(made.node.sent)))
        return [places[address] for address in made.node.sent]

    def test_all_of_a_small_fleet(self):
        for send_to_some in (
            lambda made: made.send_to_some(BODY),
            lambda made: made.send_to_users(THERE, BODY),
            lambda made: made.broadcast(BODY),
        ):
            made = peers(TOLD + 1)
            send_to_some(made)
            self.assertEqual(len(self.halls_told(made)), TOLD)

    def test_some_of_a_large_one_mostly_of_this_hall(self):
        made = peers(195)
        made.send_to_some(BODY)
        halls = self.halls_told(made)
        self.assertEqual(len(halls), TOLD)
        self.assertEqual(len(halls) - halls.count(HERE), TOLD_FAR)

    def test_the_vms_of_one_hall(self):
        for hall, others in ((HERE, 38), (THERE, 39)):
            made = peers(195)
            made.send_to_hall(hall, BODY)
            self.assertEqual(self.halls_told(made), [hall] * others)

    def told_users(self, vms: int, hall: HallName) -> tuple[set[Address], int]:
        """Tell the users of a hall, and let those who are to pass it on.

        :returns: who hears of it, and how often it crosses between halls.
        """
        made = peers(vms)
        places = {place.address: vm for vm, place in made.known.items()}
        made.send_to_users(hall, BODY)
        heard = set(made.node.sent)
        crossed = sum(made.known[places[one]].hall != HERE for one in heard)
        for address in list(heard):
            there = peers(vms)
            vm = places[address]
            there.context = SimpleNamespace(
                vm=vm, hall=there.known[vm].hall, rng=random.Random(1)
            )
            there.relay_in_hall(VmName("vm-0"), BODY)
            self.assertLessEqual(
                {there.known[places[one]].hall for one in there.node.sent}, {hall}
            )
            heard |= set(there.node.sent)
        return heard, crossed

    def test_the_users_of_one_hall(self):
        for hall, others, crossed in ((HERE, 38, 0), (THERE, 39, 1)):
            heard, far = self.told_users(195, hall)
            self.assertEqual((len(heard), far), (others, crossed))

    def test_users_in_a_very_large_hall(self):
        for hall in (HERE, THERE):
            heard, far = self.told_users(640, hall)
            self.assertEqual((len(heard), far), (TOLD_IN_HALL, hall is THERE))

    def test_a_small_fleet_passes_nothing_on(self):
        made = peers(TOLD + 1)
        made.relay_in_hall(VmName("vm-3"), BODY)
        self.assertEqual(made.node.sent, [])

    def test_the_other_halls(self):
        made = peers(195)
        made.send_to_other_halls(BODY)
        halls = self.halls_told(made)
        self.assertEqual((len(halls), halls.count(HERE)), (156, 0))

    def test_relays(self):
        made = peers(195)
        made.send_to_relays(BODY)
        halls = self.halls_told(made)
        self.assertEqual(sorted(halls), sorted(HALLS[1:] * RELAYS))
        # Each VM of a hall takes the same ones for its relays.
        relays = []
        for vm, place in made.known.items():
            made.context.vm, made.context.hall = vm, place.hall
            relays += [vm] if made.is_relay() else []
        self.assertEqual(len(relays), RELAYS * len(HALLS))
        self.assertEqual(made.hall_of(VmName("vm-7")), HALLS[2])
        self.assertIsNone(made.hall_of(VmName("vm-999")))

    def test_size(self):
        self.assertEqual(peers(195).size, 195)
        alone = peers(0)
        self.assertEqual(alone.size, 1)
        alone.seeds = [Address("10.0.0.1", 1), Address("10.0.0.2", 1)]
        self.assertEqual(alone.size, 3)
