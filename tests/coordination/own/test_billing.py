# Licensed under the Apache License 2.0: see LICENSE for details.

"""Copies of bill records while peers or the platform do not respond."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from types import SimpleNamespace

from walnutquay.coordination.own import billing as billing_module
from walnutquay.coordination.own.billing import Billing
from walnutquay.coordination.process.context import Context, Timeline
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.exceptions import (
    PeerError,
    PlatformConflictError,
    PlatformUnavailableError,
)
from walnutquay.platform.values import Stored
from walnutquay.protocol.messages import Envelope
from walnutquay.state.fleet.membership import Address, MemberNews, MemberTable
from walnutquay.state.own.bills import decode_records
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import HallName, Incarnation, VmName
from walnutquay.state.requests.stages import CostLine
from walnutquay.transport.timers import monotonic

COST_LINES = (CostLine("small-1", "e1", 3, 4, 0.5),)


class FakePlatform:
    """Stores objects in memory; reads and writes fail while it is unavailable."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.available = False

    async def read(self, name: str) -> Stored:
        """Read an object; version 0 if there is none."""
        if not self.available:
            raise PlatformUnavailableError("unavailable")
        return Stored(*self.objects.get(name, (0, b"")))

    async def write(self, name: str, value: bytes, expected: int) -> int:
        """Write an object that does not exist yet."""
        if not self.available:
            raise PlatformUnavailableError("unavailable")
        if name in self.objects:
            raise PlatformConflictError("name exists", peer=name)
        self.objects[name] = (1, value)
        return 1

    def bill_counts(self) -> Counter[str]:
        """:returns: the number of stored records of each request."""
        return Counter(
            record.request
            for _, value in self.objects.values()
            for record in decode_records(value)
        )


class FakeFleet:
    """The billing of several VMs, with calls between them routed in memory."""

    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.billing: dict[str, Billing] = {}
        self.starts: Counter[str] = Counter()
        # How many of the next calls to each VM fail.
        self.failing_calls: Counter[str] = Counter()

    def start(self, name: str) -> Billing:
        """Start a VM, or restart it with a new incarnation."""
        self.starts[name] += 1
        vm = VmName(name)
        incarnation = Incarnation(f"{self.starts[name]}-{name}")
        context = Context(vm, HallName(name), incarnation, Timeline(vm, 100))
        members = SimpleNamespace(
            call=lambda peer, body, timeout: self.call(name, peer, body),
            tell_all=lambda body: None,
            table=MemberTable(vm, random.Random(1)),
        )
        parts = (context, self.platform, members, Dispatcher())
        self.billing[name] = Billing(*parts)
        return self.billing[name]

    def announce(self, name: str, *, leaving: bool = False) -> None:
        """Add a VM's current incarnation to the member tables of all others."""
        for other, billing in self.billing.items():
            if other != name:
                news = MemberNews(
                    VmName(name),
                    self.billing[name].context.incarnation,
                    HallName(name),
                    counter=int(monotonic() * 1000),
                    revision=1,
                    leaving=leaving,
                    address=Address("127.0.0.1", 1),
                )
                billing.members.table.hear(news, monotonic())

    def kill(self, name: str) -> None:
        """Stop a VM and remove it from the member tables of all others."""
        self.billing.pop(name).stop()
        for billing in self.billing.values():
            billing.members.table.members.pop(name, None)

    async def call(self, sender: str, peer: str, body: object) -> object:
        """Send a copy request to a VM."""
        if peer not in self.billing:
            raise PeerError("not running", peer=peer)
        if self.failing_calls[peer]:
            self.failing_calls[peer] -= 1
            raise PeerError("timed out", peer=peer)
        incarnation = self.billing[sender].context.incarnation
        envelope = Envelope(sender, incarnation, Stamp(1, 0), body)
        return self.billing[peer].on_copy(envelope)


class BillingCase(unittest.IsolatedAsyncioTestCase):
    """Starts VMs that know each other, with the platform unavailable."""

    vm_names = ("a", "b")

    async def asyncSetUp(self) -> None:
        self.fleet = FakeFleet()
        for name in self.vm_names:
            self.fleet.start(name)
        for name in self.vm_names:
            self.fleet.announce(name)
        self.owner = self.fleet.billing["a"]
        self.start_copying()

    def start_copying(self) -> None:
        """Start the owner's copy task without its flush timers."""
        self.owner.tasks.forever("bill-copy", self.owner._copy_forever)
        self.addCleanup(self.owner.stop)

    async def add(self, *requests: str) -> None:
        """Bill requests at the owner, one after the other."""
        for request in requests:
            async with asyncio.timeout(30.0):
                await self.owner.add(request, "org", COST_LINES)

    async def until(self, condition) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(30.0):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.001)

    def uncopied_requests(self, billing: Billing) -> list[str]:
        """:returns: requests that were answered without a copy of their record."""
        events = billing.context.timeline.ring.select()
        return [e.request for e in events if e.kind is EventKind.BILL_UNCOPIED]

    async def kill_owner_and_flush(self, keeper: str) -> None:
        """Kill the owner, make the platform available and flush at a keeper."""
        self.fleet.kill("a")
        self.fleet.platform.available = True
        await self.fleet.billing[keeper].flush_for_dead()


class UncopiedAnswerTest(BillingCase):
    """Guards against answers whose bill is lost if the VM is killed."""

    async def test_an_answer_waits_for_a_peer_that_fails_temporarily(self):
        self.fleet.failing_calls["b"] = 3
        await self.add("r0")
        self.assertEqual(self.uncopied_requests(self.owner), [])
        await self.kill_owner_and_flush("b")
        self.assertEqual(self.fleet.platform.bill_counts(), Counter(["r0"]))

    async def test_a_failure_does_not_exclude_the_only_peer(self):
        # Guards against answering without a copy for two seconds after a failure.
        self.fleet.failing_calls["b"] = 1
        await self.add("r0", "r1", "r2")
        self.assertEqual(self.uncopied_requests(self.owner), [])

    async def test_without_peers_the_record_is_stored_before_the_answer(self):
        self.fleet.kill("b")
        self.fleet.platform.available = True
        await self.add("r0")
        self.assertEqual(self.uncopied_requests(self.owner), [])
        self.assertEqual(self.fleet.platform.bill_counts(), Counter(["r0"]))

    async def test_without_peers_and_platform_answers_do_not_wait(self):
        self.fleet.kill("b")
        await self.add("r0")
        self.assertEqual(self.uncopied_requests(self.owner), ["r0"])
        counters = self.owner.context.metrics.counters
        self.assertEqual(counters["bills_without_copy"], 1)

    async def test_a_peer_that_joins_later_gets_the_copy(self):
        self.fleet.kill("b")
        await self.add("r0")
        self.fleet.start("b")
        self.fleet.announce("b")
        await self.until(lambda: self.fleet.billing["b"].kept)
        await self.kill_owner_and_flush("b")
        self.assertEqual(self.fleet.platform.bill_counts(), Counter(["r0"]))

    async def test_the_wait_for_an_unresponsive_peer_is_bounded(self):
        self.fleet.failing_calls["b"] = 1_000_000
        before = billing_module.COPY_WAIT_SECONDS
        billing_module.COPY_WAIT_SECONDS = 0.2
        try:
            await self.add("r0")
        finally:
            billing_module.COPY_WAIT_SECONDS = before
        self.assertEqual(self.uncopied_requests(self.owner), ["r0"])


class SleepTest(BillingCase):
    """Guards against lost or duplicate bills when a VM declared dead resumes."""

    async def test_records_before_and_after_the_sleep_are_stored_once(self):
        await self.add("r0", "r1")
        keeper = self.fleet.billing["b"]
        keeper.members.table.members.clear()
        self.fleet.platform.available = True
        await keeper.flush_for_dead()
        self.fleet.platform.available = False
        await self.add("r2")
        await self.kill_owner_and_flush("b")
        self.assertEqual(self.fleet.platform.bill_counts(), Counter(["r0", "r1", "r2"]))
