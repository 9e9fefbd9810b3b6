# Licensed under the Apache License 2.0: see LICENSE for details.

"""The recipients of messages: all VMs of a small fleet, a sample of a large one."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace

from walnutquay.coordination.fleet.peers import (
    FAR_RECIPIENTS,
    MAX_HALL_RECIPIENTS,
    MAX_RECIPIENTS,
    RELAYS,
    FleetPeers,
)
from walnutquay.protocol.messages import AskStart
from walnutquay.state.fleet.membership import Address, VmLocation
from walnutquay.state.process.ids import HallName, VmName

HALLS = [HallName(f"hall-{number}") for number in range(5)]
HERE, THERE = HALLS[0], HALLS[3]
BODY = AskStart()


class FakeNode:
    """Records the recipients of messages."""

    def __init__(self) -> None:
        self.sent: list[Address] = []

    def send_all(self, addresses, body) -> None:
        """Record the recipients; see PeerNode."""
        self.sent.extend(addresses)


def peers(vms: int) -> FleetPeers:
    """Return the peers of the first VM of a fleet that is spread over the halls."""
    context = SimpleNamespace(vm=VmName("vm-0"), hall=HERE, rng=random.Random(1))
    fleet_peers = FleetPeers(context, FakeNode(), Address("10.0.0.0", 1), [])
    fleet_peers.known = {
        VmName(f"vm-{number}"): VmLocation(
            Address(f"10.0.0.{number}", 1), HALLS[number % len(HALLS)]
        )
        for number in range(vms)
    }
    return fleet_peers


class RecipientsTest(unittest.TestCase):
    """The recipients of messages that may be lost."""

    def recipient_halls(self, fleet_peers: FleetPeers) -> list[HallName]:
        """Return the data hall of each recipient; the sender is never one of them."""
        halls = {
            location.address: location.hall for location in fleet_peers.known.values()
        }
        self.assertNotIn(fleet_peers.own, fleet_peers.node.sent)
        self.assertEqual(len(fleet_peers.node.sent), len(set(fleet_peers.node.sent)))
        return [halls[address] for address in fleet_peers.node.sent]

    def test_all_vms_of_a_small_fleet(self):
        for send in (
            lambda fleet_peers: fleet_peers.send_to_some(BODY),
            lambda fleet_peers: fleet_peers.send_to_users(THERE, BODY),
            lambda fleet_peers: fleet_peers.broadcast(BODY),
        ):
            fleet_peers = peers(MAX_RECIPIENTS + 1)
            send(fleet_peers)
            self.assertEqual(len(self.recipient_halls(fleet_peers)), MAX_RECIPIENTS)

    def test_sample_of_a_large_fleet_is_mostly_in_this_hall(self):
        fleet_peers = peers(195)
        fleet_peers.send_to_some(BODY)
        halls = self.recipient_halls(fleet_peers)
        self.assertEqual(len(halls), MAX_RECIPIENTS)
        self.assertEqual(len(halls) - halls.count(HERE), FAR_RECIPIENTS)

    def test_vms_of_one_hall(self):
        for hall, others in ((HERE, 38), (THERE, 39)):
            fleet_peers = peers(195)
            fleet_peers.send_to_hall(hall, BODY)
            self.assertEqual(self.recipient_halls(fleet_peers), [hall] * others)

    def send_to_users_and_relay(
        self, vms: int, hall: HallName
    ) -> tuple[set[Address], int]:
        """Send a message to the users of a hall, and relay it at each recipient.

        :returns: the addresses that receive it, and the number of messages that cross
            between data halls.
        """
        fleet_peers = peers(vms)
        vms_by_address = {
            location.address: vm for vm, location in fleet_peers.known.items()
        }
        fleet_peers.send_to_users(hall, BODY)
        receivers = set(fleet_peers.node.sent)
        crossed = sum(
            fleet_peers.known[vms_by_address[one]].hall != HERE for one in receivers
        )
        for address in list(receivers):
            receiver = peers(vms)
            vm = vms_by_address[address]
            receiver.context = SimpleNamespace(
                vm=vm, hall=receiver.known[vm].hall, rng=random.Random(1)
            )
            receiver.relay_in_hall(VmName("vm-0"), BODY)
            self.assertLessEqual(
                {
                    receiver.known[vms_by_address[one]].hall
                    for one in receiver.node.sent
                },
                {hall},
            )
            receivers |= set(receiver.node.sent)
        return receivers, crossed

    def test_users_of_one_hall(self):
        for hall, others, crossed in ((HERE, 38, 0), (THERE, 39, 1)):
            receivers, far = self.send_to_users_and_relay(195, hall)
            self.assertEqual((len(receivers), far), (others, crossed))

    def test_users_of_a_very_large_hall(self):
        for hall in (HERE, THERE):
            receivers, far = self.send_to_users_and_relay(640, hall)
            self.assertEqual(
                (len(receivers), far), (MAX_HALL_RECIPIENTS, hall is THERE)
            )

    def test_small_fleet_relays_nothing(self):
        fleet_peers = peers(MAX_RECIPIENTS + 1)
        fleet_peers.relay_in_hall(VmName("vm-3"), BODY)
        self.assertEqual(fleet_peers.node.sent, [])

    def test_other_halls(self):
        fleet_peers = peers(195)
        fleet_peers.send_to_other_halls(BODY)
        halls = self.recipient_halls(fleet_peers)
        self.assertEqual((len(halls), halls.count(HERE)), (156, 0))

    def test_relays(self):
        fleet_peers = peers(195)
        fleet_peers.send_to_relays(BODY)
        halls = self.recipient_halls(fleet_peers)
        self.assertEqual(sorted(halls), sorted(HALLS[1:] * RELAYS))
        # All VMs of a hall agree on its relays.
        relays = []
        for vm, location in fleet_peers.known.items():
            fleet_peers.context.vm, fleet_peers.context.hall = vm, location.hall
            relays += [vm] if fleet_peers.is_relay() else []
        self.assertEqual(len(relays), RELAYS * len(HALLS))
        self.assertEqual(fleet_peers.hall_of(VmName("vm-7")), HALLS[2])
        self.assertIsNone(fleet_peers.hall_of(VmName("vm-999")))

    def test_size(self):
        self.assertEqual(peers(195).size, 195)
        alone = peers(0)
        self.assertEqual(alone.size, 1)
        alone.seeds = [Address("10.0.0.1", 1), Address("10.0.0.2", 1)]
        self.assertEqual(alone.size, 3)
