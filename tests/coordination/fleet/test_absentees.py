# Licensed under the Apache License 2.0: see LICENSE for details.

"""Only permanently lost VMs are removed from the list of VMs."""

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
    """A network on which VMs can be down or cut off."""

    def __init__(self) -> None:
        self.down: set[Address] = set()
        self.calls = 0

    def node_of(self, own: Address) -> SimpleNamespace:
        """Return the node of a VM."""

        async def call(address, body, limit, peer=""):
            self.calls += 1
            if own in self.down or address in self.down:
                raise PeerError("no answer", peer=peer)
            return VmsAre()

        return SimpleNamespace(call=call)


class AbsenceCase(unittest.IsolatedAsyncioTestCase):
    """A fleet of 30 VMs in three halls."""

    vms = 30

    def setUp(self) -> None:
        self.now = 1000.0
        patch = mock.patch.object(absentees, "monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.network = Network()
        self.unavailable = False
        self.rows = {self.name(n): self.location(n) for n in range(self.vms)}
        self.fleet = {self.name(n): self.start(n) for n in range(self.vms)}

    def name(self, number: int) -> VmName:
        """Return the name of a VM."""
        return VmName(f"vm-{number}")

    def location(self, number: int) -> VmLocation:
        """Return the location of a VM."""
        hall = HallName(f"hall-{number % HALLS}")
        return VmLocation(Address(f"10.0.0.{number}", PORT), hall)

    async def leave(self, vm: VmName) -> None:
        """Remove the entry of a VM; see Register."""
        if self.unavailable:
            raise PlatformUnavailableError("unavailable", step="delete", peer="store")
        self.rows.pop(vm, None)

    def start(self, number: int) -> AbsenceMonitor:
        """Return the monitor of a VM."""
        location = self.location(number)
        context = SimpleNamespace(
            vm=self.name(number),
            hall=location.hall,
            rng=random.Random(number),
            metrics=Metrics(),
            timeline=SimpleNamespace(emit=lambda *args, **more: None),
        )
        node = self.network.node_of(location.address)
        peers = FleetPeers(context, node, location.address, [])
        return AbsenceMonitor(context, peers, SimpleNamespace(leave=self.leave))

    def lose(self, *numbers: int) -> None:
        """Cut VMs off, as after a loss of power."""
        self.network.down |= {self.location(number).address for number in numbers}

    async def rounds(self, count: int) -> None:
        """Run a number of check rounds of all VMs."""
        for _ in range(count):
            self.now += CHECK_SECONDS
            for monitor in self.fleet.values():
                monitor.peers.known = dict(self.rows)
                await monitor.check()


class RemovalTest(AbsenceCase):
    """The entries of VMs that do not come back are removed."""

    async def test_lost_vms_are_removed(self):
        self.lose(4, 7, 11)
        await self.rounds(ROUNDS)
        self.assertEqual(len(self.rows), self.vms)
        await self.rounds(1)
        gone = {self.name(n) for n in (4, 7, 11)}
        self.assertEqual(self.rows.keys(), self.fleet.keys() - gone)

    async def test_vm_that_returns_in_time_is_kept(self):
        self.lose(4)
        await self.rounds(ROUNDS - 1)
        self.network.down.clear()
        await self.rounds(1)
        self.lose(4)
        await self.rounds(ROUNDS - 1)
        self.assertEqual(len(self.rows), self.vms)

    async def test_vm_that_is_cut_off_removes_no_other(self):
        # It reaches the store, but no other VM.
        self.lose(4)
        for _ in range(2 * ROUNDS):
            self.now += CHECK_SECONDS
            monitor = self.fleet[self.name(4)]
            monitor.peers.known = dict(self.rows)
            await monitor.check()
        self.assertEqual(len(self.rows), self.vms)

    async def test_hall_that_is_lost_as_a_whole_is_kept(self):
        # It comes back as a whole; until then no VM of it can check the others.
        self.lose(*range(0, self.vms, HALLS))
        await self.rounds(2 * ROUNDS)
        self.assertEqual(len(self.rows), self.vms)

    async def test_removal_is_retried_after_store_was_unavailable(self):
        self.lose(4)
        self.unavailable = True
        await self.rounds(ROUNDS + 3)
        self.unavailable = False
        await self.rounds(1)
        self.assertNotIn(self.name(4), self.rows)

    async def test_vm_that_was_suspended_checks_more_than_once(self):
        self.lose(4)
        await self.rounds(1)
        self.now += 2 * ABSENT_SECONDS
        await self.rounds(1)
        self.assertIn(self.name(4), self.rows)


class CostTest(AbsenceCase):
    """The calls of each VM for the checks do not grow with the fleet."""

    vms = 195

    async def test_calls(self):
        await self.rounds(1)
        self.assertEqual(self.network.calls, CHECKERS * self.vms)
        most = max(len(monitor.assigned()) for monitor in self.fleet.values())
        self.assertLessEqual(most, 4 * CHECKERS)
