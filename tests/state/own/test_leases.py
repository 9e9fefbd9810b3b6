# Licensed under the Apache License 2.0: see LICENSE for details.

"""Leases: two VMs never act at once, and a frozen holder's late orders do no harm."""

from __future__ import annotations

import asyncio
import signal
import unittest
from unittest import mock

from tests.fleetcase import QUALITY, FleetCase
from tests.interleavings import Scheduler, explore
from tests.revisions import revision_at
from tests.worlds import World
from walnutquay.coordination.own import leases as leases_module
from walnutquay.coordination.own.leases import Lease
from walnutquay.state.own.leases import LeaseValue, LeaseView
from walnutquay.state.process.ids import Incarnation, VmName

LEASE_SECONDS = 6.0
ORDER_SECONDS = 0.5
OWN_LEASE = LeaseValue(VmName("a"), Incarnation("inc-a"), LEASE_SECONDS)
OTHER_LEASE = LeaseValue(VmName("b"), Incarnation("inc-b"), LEASE_SECONDS)
RELEASED = LeaseValue(VmName(""), Incarnation(""), LEASE_SECONDS)

# The value observed at time 0, the current time -> whether the lease may be acquired.
MAY_ACQUIRE = [
    (None, 0.0, True),
    (RELEASED, 0.0, True),
    (OWN_LEASE, 0.0, True),
    (OTHER_LEASE, 0.0, False),
    (OTHER_LEASE, LEASE_SECONDS - 0.1, False),
    (OTHER_LEASE, LEASE_SECONDS + 0.1, True),
]
# The value before the acquisition at time 0, the current time -> whether an order may
# be sent.
MAY_SEND_ORDER = [
    (None, 0.0, True),
    (OTHER_LEASE, 0.0, False),
    (OTHER_LEASE, ORDER_SECONDS, True),
    (RELEASED, ORDER_SECONDS / 2, False),
    (OTHER_LEASE, LEASE_SECONDS - ORDER_SECONDS - 0.1, True),
    # The order could still be in progress when the lease expires.
    (OTHER_LEASE, LEASE_SECONDS - ORDER_SECONDS + 0.1, False),
    (OTHER_LEASE, LEASE_SECONDS + 1.0, False),
]


# The maximum number of requests sent to a version that fails every one, before it gets
# no more: its test needs four failures, and further requests may be in progress.
MAX_DISPATCHED = 12


class ViewTest(unittest.TestCase):
    """Decisions from one VM's view of a lease."""

    def view(self, value: LeaseValue | None) -> LeaseView:
        """Return a view that observed a value at time 0."""
        view = LeaseView(Incarnation("inc-a"), ORDER_SECONDS)
        if value is not None:
            view.observe(revision_at(3), value, 0.0)
        return view

    def test_may_acquire(self):
        for value, now, expected in MAY_ACQUIRE:
            with self.subTest(value=value, now=now):
                self.assertEqual(self.view(value).may_acquire(now), expected)

    def test_may_send_order(self):
        for value, now, expected in MAY_SEND_ORDER:
            with self.subTest(value=value, now=now):
                view = self.view(value)
                view.record_acquired(revision_at(4), OWN_LEASE, 0.0)
                self.assertEqual(view.fence(now) is not None, expected)

    def test_observing_another_holder_loses_the_lease(self):
        view = self.view(None)
        view.record_acquired(revision_at(1), OWN_LEASE, 0.0)
        view.observe(revision_at(2), OTHER_LEASE, 1.0)
        self.assertIsNone(view.fence(1.0))
        self.assertFalse(view.is_held(1.0))

    def test_after_a_restore_the_lease_may_be_held_by_any_vm(self):
        view = self.view(OWN_LEASE)
        view.record_acquired(revision_at(4), OWN_LEASE, 0.0)
        view.on_restored(1.0, LEASE_SECONDS)
        self.assertIsNone(view.fence(1.0))
        view.observe(revision_at(2, era=2), OWN_LEASE, 1.5)
        self.assertFalse(view.may_acquire(1.0 + LEASE_SECONDS))
        later = 1.1 + LEASE_SECONDS
        self.assertTrue(view.may_acquire(later))
        view.record_acquired(revision_at(3, era=2), OWN_LEASE, later)
        # An order of the holder before may still be in progress.
        self.assertIsNone(view.fence(later))
        self.assertIsNotNone(view.fence(later + ORDER_SECONDS))

    def test_a_fence_is_not_given_out_again_after_a_restore(self):
        fences = []
        for version in (revision_at(9, era=1), revision_at(4, era=2)):
            view = LeaseView(Incarnation("inc-a"), ORDER_SECONDS)
            view.record_acquired(version, OWN_LEASE, 0.0)
            fences.append(view.fence(0.0))
        self.assertLess(*fences)


class InterleavingTest(unittest.IsolatedAsyncioTestCase):
    """Two VMs that both assume to be first in rank, with faults and delays."""

    async def test_never_two_at_once(self):
        self.runs_with_holder = 0

        async def run(scheduler: Scheduler) -> None:
            world = World(scheduler)
            now = 100.0
            holder_counts = []

            async def clock() -> None:
                nonlocal now
                for _ in range(5):
                    await scheduler.step("clock", f"{LEASE_SECONDS / 2} s pass")
                    now += LEASE_SECONDS / 2

            def check_one_holder() -> None:
                fences = [
                    lease.view.fence(now)
                    for lease in leases
                    if lease.view.fence(now) is not None
                ]
                holder_counts.append(len(fences))
                self.assertLessEqual(len(fences), 1, fences)

            async def keep(lease: Lease) -> None:
                for _ in range(3):
                    await lease.keep()
                    await scheduler.step(lease.context.vm, "waits")

            with mock.patch.object(leases_module, "monotonic", lambda: now):
                leases = []
                for name in ("a", "b"):
                    parts = world.add_vm(name)
                    leases.append(
                        Lease(
                            parts.context,
                            parts.platform,
                            parts.members,
                            "duty",
                            LEASE_SECONDS,
                            ORDER_SECONDS,
                        )
                    )
                for lease in leases:
                    world.start(keep(lease))
                world.start(clock())
                await scheduler.run(check_one_holder)
                await world.end()
            self.runs_with_holder += max(holder_counts)

        count = await explore(run, faults=2, depth=3, walks=3000)
        self.assertGreater(count, 3000)
        # The check would be vacuous if no VM ever held the lease.
        self.assertGreater(self.runs_with_holder, count / 2)


class FrozenHolderTest(FleetCase):
    """With real processes: the holder is frozen past its lease, and then resumed."""

    settings = {"platform": {"lease_seconds": 2.0}}
    engines = ("engine-1", "engine-2")

    async def start_engine(self, name: str, **more) -> None:
        loaded = {v: q for v, q in QUALITY.items() if v != "small-2"}
        fences = name == "engine-1"
        await super().start_engine(name, versions=loaded, checks_fences=fences)

    def content(self):
        content = super().content()
        content["endpoints"][0]["checks_fences"] = True
        return content

    async def orders(self, engine: str) -> list[dict]:
        """Return the orders that an engine has carried out."""
        return (await self.fleet.control(self.urls[engine], "effects"))["orders"]

    async def holder(self) -> str | None:
        """Return the VM that may send orders now, if any."""
        for name, vm in self.fleet.vms.items():
            _, found = await self.fleet.administer(vm, "GET", "/v1/debug/leases")
            if found["rollouts"]["fence"] is not None:
                return name
        return None

    async def act(self, action: str, **body) -> None:
        """Act on the roll-out through the VM that is still running."""
        status, answer = await self.fleet.administer(
            self.vm(self.alive), "POST", f"/v1/rollouts/r/{action}", body
        )
        self.assertEqual(status, 200, answer)

    async def test_successor_sends_orders_after_holder_is_frozen(self):
        async def is_held() -> bool:
            return await self.holder() is not None

        await self.until(is_held, "a VM holds the lease")
        frozen = await self.holder()
        self.alive = next(name for name in self.vms if name != frozen)
        await self.act("start", model="small", old="small-1", new="small-2")

        async def loaded() -> bool:
            return all([await self.orders(e) for e in self.engines])

        await self.until(loaded, "both engines load the new version")
        before = {e: await self.orders(e) for e in self.engines}
        self.assertEqual({o["from"] for e in before.values() for o in e}, {frozen})
        self.vm(frozen).process.signal(signal.SIGSTOP)
        await self.act("withdraw")

        async def unloaded() -> bool:
            return (await self.orders("engine-1"))[-1]["action"] == "unload"

        await self.until(unloaded, "the successor orders the version to be unloaded")
        self.vm(frozen).process.signal(signal.SIGCONT)
        await asyncio.sleep(3.0)
        fenced = await self.orders("engine-1")
        fences = [order["fence"] for order in fenced]
        self.assertEqual(fences, sorted(fences))
        first = next(i for i, o in enumerate(fenced) if o["from"] == self.alive)
        self.assertEqual({o["from"] for o in fenced[first:]}, {self.alive})
        # The engine that checks no fences was not sent orders that do harm when late.
        actions = {order["action"] for order in await self.orders("engine-2")}
        self.assertEqual(actions, {"load"})

    async def test_a_failing_version_is_withdrawn(self):
        await self.until(self.has_holder, "a VM holds the lease")
        self.alive = "vm-a1"
        await self.act(
            "start", model="small", old="small-1", new="small-2", stages=[1.0]
        )

        async def loaded() -> bool:
            return all([await self.orders(e) for e in self.engines])

        await self.until(loaded, "both engines load the new version")
        for engine in self.engines:
            await self.fleet.control(
                self.urls[engine], "answers", {"fail": {"small-2": 1.0}}
            )

        async def withdrawn() -> bool:
            await self.chat("vm-b1", model="answer", stream=True)
            status = await self.status("vm-a1")
            return status["rollouts"][0]["state"] == "withdrawn"

        await self.until(withdrawn, "the failing version is withdrawn")
        dispatched = (await self.dispatched_versions())["small-2"]
        self.assertLessEqual(dispatched, MAX_DISPATCHED)
        await self.chat("vm-b1", model="answer", stream=True)
        self.assertEqual((await self.dispatched_versions())["small-2"], dispatched)

    async def has_holder(self) -> bool:
        """Return whether some VM holds the lease."""
        return await self.holder() is not None
