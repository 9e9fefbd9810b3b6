# Licensed under the Apache License 2.0: see LICENSE for details.

"""Copies of bill records while peers or the platform do not respond."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from types import SimpleNamespace

from tests.interleavings import Scheduler, explore
from tests.revisions import FIRST_ERA, revision_at
from walnutquay.coordination.own import billing as billing_module
from walnutquay.coordination.own.billing import Billing
from walnutquay.coordination.process.context import Context, Timeline
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.exceptions import (
    PeerError,
    PlatformConflictError,
    PlatformUnavailableError,
)
from walnutquay.platform.values import ABSENT, Stored
from walnutquay.protocol.messages import Envelope
from walnutquay.state.fleet.membership import Address, MemberTable, MemberUpdate
from walnutquay.state.own.bills import BillRecord, decode_records
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import HallName, Incarnation, VmName
from walnutquay.state.process.revisions import EraTracker, StoreRevision
from walnutquay.state.requests.stages import CostLine
from walnutquay.transport.timers import monotonic

COST_LINES = (CostLine("small-1", "e1", 3, 4, 0.5),)


class FakePlatform:
    """Stores objects in memory; reads and writes fail while it is unavailable."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[StoreRevision, bytes]] = {}
        self.available = False
        self.eras = EraTracker()
        self.eras.observe(FIRST_ERA)

    async def read(self, name: str) -> Stored:
        """Read an object; version 0 if there is none."""
        # Lets concurrent flushes interleave, as a real request does.
        await asyncio.sleep(0)
        if not self.available:
            raise PlatformUnavailableError("unavailable")
        return Stored(*self.objects.get(name, (ABSENT, b"")))

    async def write(
        self, name: str, value: bytes, expected: StoreRevision
    ) -> StoreRevision:
        """Write an object that does not exist yet."""
        await asyncio.sleep(0)
        if not self.available:
            raise PlatformUnavailableError("unavailable")
        if name in self.objects:
            raise PlatformConflictError("name exists", peer=name)
        self.objects[name] = (revision_at(1), value)
        return revision_at(1)

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
        # Number of the next calls to each VM that fail.
        self.failing_calls: Counter[str] = Counter()

    def start(self, name: str) -> Billing:
        """Start a VM, or restart it with a new incarnation."""
        self.starts[name] += 1
        vm = VmName(name)
        incarnation = Incarnation(f"{self.starts[name]}-{name}")
        context = Context(vm, HallName(name), incarnation, Timeline(vm, 100))
        members = SimpleNamespace(
            call=lambda peer, body, timeout: self.call(name, peer, body),
            broadcast=lambda body: None,
            table=MemberTable(vm, random.Random(1)),
        )
        parts = (context, self.platform, members, Dispatcher())
        self.billing[name] = Billing(*parts)
        return self.billing[name]

    def announce(self, name: str, *, leaving: bool = False) -> None:
        """Add a VM's current incarnation to the member tables of all others."""
        for other, billing in self.billing.items():
            if other != name:
                update = MemberUpdate(
                    VmName(name),
                    self.billing[name].context.incarnation,
                    HallName(name),
                    counter=int(monotonic() * 1000),
                    revision=1,
                    leaving=leaving,
                    address=Address("127.0.0.1", 1),
                )
                billing.members.table.receive(update, monotonic())

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
    """Starts VMs that know each other as members; the platform is unavailable."""

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
        self.owner.tasks.spawn_loop("bill-copy", self.owner._copy_forever)
        self.addCleanup(self.owner.stop)

    async def add(self, *requests: str) -> None:
        """Bill requests at the owner, one after the other."""
        for request in requests:
            async with asyncio.timeout(30.0):
                await self.owner.add(request, "org", COST_LINES)

    async def until(self, condition) -> None:
        """Wait until a condition is true."""
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


class KeeperRestartTest(BillingCase):
    """Guards against lost bills after a restart of the keeper under the same name."""

    async def test_the_next_copy_includes_the_lost_records(self):
        await self.add("r0", "r1", "r2")
        self.fleet.start("b")
        await self.add("r3")
        await self.kill_owner_and_flush("b")
        self.assertEqual(
            self.fleet.platform.bill_counts(), Counter(["r0", "r1", "r2", "r3"])
        )

    async def test_lost_records_are_copied_again_without_a_new_one(self):
        await self.add("r0", "r1")
        keeper = self.fleet.start("b")
        self.fleet.announce("b")
        self.owner.check_keeper()
        await self.until(lambda: keeper.kept)
        await self.kill_owner_and_flush("b")
        self.assertEqual(self.fleet.platform.bill_counts(), Counter(["r0", "r1"]))

    async def test_a_copy_after_a_gap_makes_the_owner_send_all(self):
        await self.add("r0", "r1")
        keeper = self.fleet.start("b")
        await self.add("r2")
        (kept,) = keeper.kept.values()
        self.assertEqual(sorted(kept.records), [0, 1, 2])


class KeeperLeavesTest(BillingCase):
    """Guards against lost bills when the keeper of the only copies leaves or stops."""

    vm_names = ("a", "b", "c")

    def other_peer(self) -> str:
        """:returns: the peer that keeps no copies."""
        return "c" if self.owner.copy_peer == "b" else "b"

    async def test_another_peer_gets_all_records_without_a_new_one(self):
        await self.add("r0", "r1")
        other = self.other_peer()
        self.fleet.announce(self.owner.copy_peer, leaving=True)
        self.owner.check_keeper()
        await self.until(lambda: self.fleet.billing[other].kept)
        await self.kill_owner_and_flush(other)
        self.assertEqual(self.fleet.platform.bill_counts(), Counter(["r0", "r1"]))

    async def test_a_stopping_keeper_copies_the_records_of_a_dead_vm(self):
        await self.add("r0", "r1")
        keeper, other = self.owner.copy_peer, self.other_peer()
        self.fleet.kill("a")
        self.assertTrue(await self.fleet.billing[keeper].leave_to_peer())
        self.fleet.kill(keeper)
        self.fleet.platform.available = True
        await self.fleet.billing[other].flush_for_dead()
        self.assertEqual(self.fleet.platform.bill_counts(), Counter(["r0", "r1"]))

    async def test_a_stopping_keeper_without_peers_reports_failure(self):
        await self.add("r0")
        keeper, other = self.owner.copy_peer, self.other_peer()
        self.fleet.kill("a")
        self.fleet.kill(other)
        self.assertFalse(await self.fleet.billing[keeper].leave_to_peer())

    async def test_concurrent_flushes_for_a_dead_vm_store_its_records_once(self):
        # Guards against a KeyError when another flush has already dropped the log.
        await self.add("r0", "r1")
        keeper = self.fleet.billing[self.owner.copy_peer]
        self.fleet.kill("a")
        self.fleet.platform.available = True
        await asyncio.gather(*(keeper.flush_for_dead() for _ in range(3)))
        self.assertEqual(self.fleet.platform.bill_counts(), Counter(["r0", "r1"]))
        self.assertEqual(keeper.kept, {})

    async def test_a_planned_stop_copies_records_after_a_gap(self):
        await self.add("r0", "r1")
        keeper = self.fleet.billing[self.owner.copy_peer]
        other = self.fleet.billing[self.other_peer()]
        (kept,) = keeper.kept.values()
        del kept.records[0]
        kept.end = 0
        self.fleet.kill("a")
        self.assertTrue(await keeper.leave_to_peer())
        (kept,) = other.kept.values()
        self.assertEqual(list(kept.records), [1])


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


class SuspendedVmTest(BillingCase):
    """Guards against lost or duplicate bills when a VM declared dead resumes."""

    async def test_records_before_and_after_the_suspension_are_stored_once(self):
        await self.add("r0", "r1")
        keeper = self.fleet.billing["b"]
        keeper.members.table.members.clear()
        self.fleet.platform.available = True
        await keeper.flush_for_dead()
        self.fleet.platform.available = False
        await self.add("r2")
        await self.kill_owner_and_flush("b")
        self.assertEqual(self.fleet.platform.bill_counts(), Counter(["r0", "r1", "r2"]))


class KeeperRestartOrdersTest(unittest.IsolatedAsyncioTestCase):
    """Guards against confirmed copies whose earlier records a restart has lost."""

    async def run_order(self, scheduler: Scheduler) -> None:
        """Copy four records while the keeper restarts up to twice."""
        fleet = FakeFleet()
        owner = fleet.start("a")
        fleet.start("b")
        fleet.announce("b")
        deliver = fleet.call
        # The last record copied to each start of the keeper.
        last_copied: dict[int, int] = {}

        async def call(sender: str, peer: str, body: object) -> object:
            way = await scheduler.step("a", "copy", "ok", "lost", "no answer")
            if way == "lost":
                raise PeerError("lost", peer=peer)
            answer = await deliver(sender, peer, body)
            if way == "no answer":
                raise PeerError("no answer", peer=peer)
            return answer

        fleet.call = call

        async def copy_records() -> None:
            for number in range(4):
                owner.log.add(BillRecord(number, f"r{number}", "org", 1.0, COST_LINES))
                if await owner._copy(owner.log.records_from(number)):
                    last_copied[fleet.starts["b"]] = number

        async def restart_keeper() -> None:
            for _ in range(2):
                way = await scheduler.step("b", "restart", "no", "yes")
                if way == "yes":
                    fleet.start("b")

        tasks = [
            asyncio.ensure_future(job) for job in (copy_records(), restart_keeper())
        ]
        await scheduler.run()
        await asyncio.gather(*tasks)
        fleet.kill("a")
        fleet.platform.available = True
        await fleet.billing["b"].flush_for_dead()
        billed = fleet.platform.bill_counts()
        last = last_copied.get(fleet.starts["b"], -1)
        self.assertLessEqual({f"r{n}" for n in range(last + 1)}, set(billed))
        self.assertLessEqual(set(billed.values()), {1})

    async def test_all_orders(self):
        orders = await explore(self.run_order, faults=4, depth=5)
        self.assertGreater(orders, 1000)
