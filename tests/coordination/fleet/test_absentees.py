# Licensed under the Apache License 2.0: see LICENSE for details.

"""VMs that were lost for good are taken out of the list of VMs, and no others."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace
from unittest import mock

from walnutquay.coordination.fleet import absentees
from walnutquay.coordination.fleet.absentees import (
    ABSENT_SECONDS,
    CHECK_SECONDS,
    CHECKERS,
    AbsenceMonitor,
)
from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.exceptions import PeerError, PlatformUnavailableError
from walnutquay.protocol.messages import VmsAre
from walnutquay.state.fleet.membership import Address, VmLocation
from walnutquay.state.process.ids import HallName, VmName
from walnutquay.state.process.metrics import Metrics

HALLS = 3
PORT = 7000
ROUNDS = round(ABSENT_SECONDS / CHECK_SECONDS)


class Network:
    """Reaches the VMs that are up, but for those that are cut off."""

    def __init__(self) -> None:
        self.down: set[Address] = set()
        self.calls = 0

    def node_of(self, own: Address) -> SimpleNamespace:
        """:returns: the node of a VM."""

        async def call(address, body, limit, peer=""):
            self.calls += 1
            if own in self.down or address in self.down:
                raise PeerError("no answer", peer=peer)
            return VmsAre()

        return SimpleNamespace(call=call)


class AbsenteesCase(unittest.IsolatedAsyncioTestCase):
    """A fleet of 30 VMs in three halls."""

    vms = 30

    def setUp(self) -> None:
        self.now = 1000.0
        patch = mock.patch.object(absentees, "monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.network = Network()
        self.away = False
        self.rows = {self.name(n): self.place(n) for n in range(self.vms)}
        self.fleet = {self.name(n): self.start(n) for n in range(self.vms)}

    def name(self, number: int) -> VmName:
        """:returns: a VM's name."""
        return VmName(f"vm-{number}")

    def place(self, number: int) -> VmLocation:
        """:returns: where a VM is."""
        hall = HallName(f"hall-{number % HALLS}")
        return VmLocation(Address(f"10.0.0.{number}", PORT), hall)

    async def leave(self, vm: VmName) -> None:
        """As the register's."""
        if self.away:
            raise PlatformUnavailableError("away", step="delete", peer="store")
        self.rows.pop(vm, None)

    def start(self, number: int) -> AbsenceMonitor:
        """:returns: what a VM does."""
        place = self.place(number)
        context = SimpleNamespace(
            vm=self.name(number),
            hall=place.hall,
            rng=random.Random(number),
            metrics=Metrics(),
            timeline=SimpleNamespace(emit=lambda *args, **more: None),
        )
        node = self.network.node_of(place.address)
        peers = FleetPeers(context, node, place.address, [])
        return AbsenceMonitor(context, peers, SimpleNamespace(leave=self.leave))

    def lose(self, *numbers: int) -> None:
        """Let VMs lose their power, or be cut off."""
        self.network.down |= {self.place(number).address for number in numbers}

    async def rounds(self, count: int) -> None:
        """Let all VMs that live check some times."""
        for _ in range(count):
            self.now += CHECK_SECONDS
            for made in self.fleet.values():
                made.peers.known = dict(self.rows)
                await made.check()


class TakingOutTest(AbsenteesCase):
    """Entries of VMs that do not come back."""

    async def test_those_that_were_lost_go(self):
        self.lose(4, 7, 11)
        await self.rounds(ROUNDS)
        self.assertEqual(len(self.rows), self.vms)
        await self.rounds(1)
        gone = {self.name(n) for n in (4, 7, 11)}
        self.assertEqual(self.rows.keys(), self.fleet.keys() - gone)

    async def test_one_that_is_back_in_time_stays(self):
        self.lose(4)
        await self.rounds(ROUNDS - 1)
        self.network.down.clear()
        await self.rounds(1)
        self.lose(4)
        await self.rounds(ROUNDS - 1)
        self.assertEqual(len(self.rows), self.vms)

    async def test_one_that_is_cut_off_takes_nobody_out(self):
        # It reaches the store, and none of the others.
        self.lose(4)
        for _ in range(2 * ROUNDS):
            self.now += CHECK_SECONDS
            made = self.fleet[self.name(4)]
            made.peers.known = dict(self.rows)
            await made.check()
        self.assertEqual(len(self.rows), self.vms)

    async def test_a_hall_that_is_lost_as_a_whole_stays(self):
        # It comes back as a whole; until then nobody there can tell who is gone.
        self.lose(*range(0, self.vms, HALLS))
        await self.rounds(2 * ROUNDS)
        self.assertEqual(len(self.rows), self.vms)

    async def test_the_store_is_away_as_one_is_to_go(self):
        self.lose(4)
        self.away = True
        await self.rounds(ROUNDS + 3)
        self.away = False
        await self.rounds(1)
        self.assertNotIn(self.name(4), self.rows)

    async def test_one_that_was_suspended_asks_more_than_once(self):
        self.lose(4)
        await self.rounds(1)
        self.now += 2 * ABSENT_SECONDS
        await self.rounds(1)
        self.assertIn(self.name(4), self.rows)


class CostTest(AbsenteesCase):
    """What checking costs does not grow with the fleet."""

    vms = 195

    async def test_calls(self):
        await self.rounds(1)
        self.assertEqual(self.network.calls, CHECKERS * self.vms)
        most = max(len(made.checked()) for made in self.fleet.values())
        self.assertLessEqual(most, 4 * CHECKERS)
