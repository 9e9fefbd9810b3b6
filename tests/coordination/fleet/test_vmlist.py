# Licensed under the Apache License 2.0: see LICENSE for details.

"""How VMs enter the list of VMs and hear of each other, with few calls to the store."""

from __future__ import annotations

import asyncio
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from walnutquay.coordination.fleet import vmlist
from walnutquay.coordination.fleet.bootstrap import Bootstrap
from walnutquay.coordination.fleet.peers import RELAYS, FleetPeers
from walnutquay.coordination.fleet.vmlist import VmList
from walnutquay.coordination.fleet.watchers import Watchers
from walnutquay.exceptions import PeerError, PlatformUnavailableError
from walnutquay.protocol.messages import AskStart, Envelope, KnownList, VmNews, VmRow
from walnutquay.state.fleet.membership import Address, VmLocation
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import HallName, VmName
from walnutquay.state.process.metrics import Metrics

HALLS = 5
FLEET = 195
SEEDS = 3
PORT = 7000
# What each VM knows of the store's objects.
LISTS = (KnownList("config", b"c"),)
# The pauses of the list, so much shorter.
FASTER = 0.02
# A condition that has not come true by then never will.
WAIT_SECONDS = 20.0


class FakeRegister:
    """The list in the store; counts calls."""

    def __init__(self) -> None:
        self.rows: dict[VmName, VmLocation] = {}
        self.writes = 0
        self.reads = 0
        self.away = False

    async def enter(self, vm: VmName, place: VmLocation) -> None:
        """As the real one."""
        self._call()
        self.writes += 1
        self.rows[vm] = place

    async def leave(self, vm: VmName) -> None:
        """As the real one."""
        self._call()
        self.rows.pop(vm, None)

    async def read(self) -> dict[VmName, VmLocation]:
        """As the real one."""
        self._call()
        self.reads += 1
        return dict(self.rows)

    def _call(self) -> None:
        if self.away:
            raise PlatformUnavailableError("away", step="call", peer="store")


class FakeNetwork:
    """Carries messages between the VMs that are up."""

    def __init__(self) -> None:
        self.up: dict[Address, VmList] = {}
        # Messages that went to another data hall.
        self.far = 0

    async def call(self, address, body, limit, peer=""):
        """As the node's."""
        await asyncio.sleep(0)
        receiver = self.up.get(address)
        if receiver is None:
            raise PeerError("no answer", peer=peer)
        if isinstance(body, AskStart):
            return receiver.starting.answer(envelope(body))
        return receiver.answer(envelope(body))

    def sender(self, vm: VmName, incarnation: str) -> FakeNode:
        """:returns: the node of a VM."""
        return FakeNode(self, vm, incarnation)


class FakeNode:
    """The node of one VM; counts what it sends to other data halls.

    :param network: carries its messages.
    :param vm: the VM.
    :param incarnation: its process.
    """

    def __init__(self, network: FakeNetwork, vm: VmName, incarnation: str) -> None:
        self.network = network
        self.vm = vm
        self.incarnation = incarnation
        self.call = network.call

    def send_all(self, addresses, body):
        """As the real one."""
        own = place_of(int(self.vm.rpartition("-")[2])).hall
        for address in addresses:
            receiver = self.network.up.get(address)
            if receiver is None:
                continue
            self.network.far += receiver.context.hall != own
            message = envelope(body, self.vm, self.incarnation)
            receiver.detect_restart(message)
            receiver.receive(message)


def envelope(body, vm: str = "vm", incarnation: str = "first") -> Envelope:
    """:returns: a message as it comes."""
    return Envelope(vm, incarnation, Stamp(1, 0), body)


def place_of(number: int) -> VmLocation:
    """:returns: where a VM is."""
    return VmLocation(
        Address(f"10.0.0.{number}", PORT), HallName(f"hall-{number % HALLS}")
    )


def name_of(number: int) -> VmName:
    """:returns: a VM's name."""
    return VmName(f"vm-{number}")


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Starts lists of VMs on one store and one network."""

    def setUp(self) -> None:
        self.register = FakeRegister()
        self.network = FakeNetwork()
        self.lists: list[VmList] = []
        for constant in (
            "FIRST_READ_SECONDS",
            "SECOND_READ_SECONDS",
            "READ_SECONDS",
            "NEWS_SECONDS",
            "RETRY_SECONDS",
        ):
            faster = getattr(vmlist, constant) * FASTER
            patch = mock.patch.object(vmlist, constant, faster)
            patch.start()
            self.addCleanup(patch.stop)

    def tearDown(self) -> None:
        for made in self.lists:
            made.tasks.stop()

    def start(self, number: int, first_start: bool = False) -> VmList:
        """:returns: the list of a VM that starts."""
        place = place_of(number)
        context = SimpleNamespace(
            vm=name_of(number),
            hall=place.hall,
            incarnation=f"start {len(self.lists)}",
            rng=random.Random(number),
            metrics=Metrics(),
            timeline=SimpleNamespace(emit=lambda *args, **more: None),
        )
        seeds = [place_of(seed).address for seed in range(SEEDS)]
        node = self.network.sender(context.vm, context.incarnation)
        peers = FleetPeers(context, node, place.address, seeds)
        watchers = Watchers(context, peers)
        starting = Bootstrap(context, peers, lambda: LISTS, first_start)
        made = VmList(context, peers, self.register, watchers, starting, first_start)
        self.network.up[place.address] = made
        self.lists.append(made)
        made.start()
        return made

    async def until(self, condition) -> None:
        """Wait until something is so."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    def all_known(self) -> bool:
        """:returns: whether each VM knows all of them."""
        return all(len(made.peers.known) == len(self.lists) for made in self.lists)


class FirstStartTest(FleetCase):
    """A whole fleet starts; each VM read the whole list by itself before."""

    async def test_each_writes_once_and_few_read(self):
        for number in range(FLEET):
            self.start(number, first_start=True)
        await self.until(self.all_known)
        self.assertEqual(self.register.writes, FLEET)
        # The seeds at first, then one of each hall, a few times.
        self.assertLess(self.register.reads, FLEET / 4)


class StartAgainTest(FleetCase):
    """A VM is started again where it was."""

    async def asyncSetUp(self) -> None:
        for number in range(12):
            self.start(number, first_start=True)
        await self.until(self.all_known)

    async def test_one_that_was_killed_is_in_the_list_still(self):
        killed = self.lists.pop()
        killed.tasks.stop()
        writes = self.register.writes
        again = self.start(11)
        await self.until(lambda: len(again.peers.known) == 12)
        self.assertEqual(self.register.writes, writes)

    async def test_one_that_has_left_enters_again_and_all_hear_of_it(self):
        left = self.lists.pop()
        await left.stop()
        others = list(self.lists)
        self.assertFalse(any(name_of(11) in made.peers.known for made in others))
        self.start(11)
        await self.until(self.all_known)
        self.assertIn(name_of(11), self.register.rows)

    async def test_one_whose_entry_was_left_behind_is_told_all_news_again(self):
        # A VM was stopped as planned while the store did not answer it, so its entry
        # stayed there; started again, it found the entry and told nobody.  The others
        # still held that it had left, for 25 s, and told it no news: "member came: [],
        # went: [vm-2]" at 0.7 s, its start at 2.1 s, and at 13.7 s two more engines
        # ended under a request that the others had blocked 1.2 s before.
        left, *others = self.lists
        self.register.away = True
        await left.stop()
        self.register.away = False
        self.lists.remove(left)
        with mock.patch.object(vmlist, "NEWS_SECONDS", WAIT_SECONDS):
            again = self.start(0)
            await self.until(lambda: len(again.peers.known) == 12)
            known = [name_of(0) in made.peers.known for made in others]
        self.assertEqual(known, [True] * len(others))

    async def test_in_a_large_fleet_few_messages_cross_between_halls(self):
        for number in range(12, FLEET):
            self.start(number, first_start=True)
        await self.until(self.all_known)
        left = self.lists.pop()
        self.network.far = 0
        await left.stop()
        self.assertLessEqual(self.network.far, RELAYS * HALLS)
        known = [left.context.vm in made.peers.known for made in self.lists]
        self.assertFalse(any(known))

    async def test_all_at_once_without_a_write(self):
        for made in self.lists:
            made.tasks.stop()
        self.lists.clear()
        self.network.up.clear()
        writes = self.register.writes
        for number in range(12):
            self.start(number)
        await self.until(self.all_known)
        self.assertEqual(self.register.writes, writes)

    async def test_a_new_one_while_the_store_is_away(self):
        self.register.away = True
        new = self.start(12)
        await self.until(lambda: len(new.peers.known) >= 12)
        self.register.away = False
        await self.until(self.all_known)
        self.assertIn(name_of(12), self.register.rows)


class NewsTest(FleetCase):
    """What a VM says of itself goes before lists that are older."""

    async def test_one_that_left_is_not_brought_back_by_an_older_list(self):
        made = self.start(0)
        row = VmRow(name_of(1), place_of(1))
        made.apply({name_of(0): place_of(0), row.vm: row.place})
        made.receive(envelope(VmNews(row, leaving=True, incarnation="first")))
        self.assertNotIn(row.vm, made.peers.known)
        made.apply({name_of(0): place_of(0), row.vm: row.place})
        self.assertNotIn(row.vm, made.peers.known)

    async def test_any_message_of_a_later_start_tells_that_one_is_back(self):
        made = self.start(0)
        row = VmRow(name_of(1), place_of(1))
        made.apply({name_of(0): place_of(0), row.vm: row.place})
        # It comes by way of a relay, whose process is another one.
        left = VmNews(row, leaving=True, incarnation="first")
        made.receive(envelope(left, name_of(2), "relay"))
        made.detect_restart(envelope(AskStart(), row.vm, "first"))
        self.assertNotIn(row.vm, made.peers.known)
        made.detect_restart(envelope(AskStart(), row.vm, "second"))
        self.assertEqual(made.peers.known[row.vm], row.place)

    async def test_one_that_came_is_not_lost_by_an_older_list(self):
        made = self.start(0)
        row = VmRow(name_of(1), place_of(1))
        made.apply({name_of(0): place_of(0)})
        made.receive(envelope(VmNews(row)))
        made.apply({name_of(0): place_of(0)})
        self.assertIn(row.vm, made.peers.known)

    async def test_an_entry_that_was_lost_is_written_again(self):
        self.start(0)
        await self.until(lambda: name_of(0) in self.register.rows)
        del self.register.rows[name_of(0)]
        await self.until(lambda: name_of(0) in self.register.rows)
