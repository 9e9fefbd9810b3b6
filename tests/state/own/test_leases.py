# Licensed under the Apache License 2.0: see LICENSE for details.

"""Leases: two VMs never act at once, and a frozen holder's orders do no harm."""

from __future__ import annotations

import asyncio
import signal
import unittest
from unittest import mock

from tests.fleetcase import QUALITY, FleetCase
from tests.interleavings import Scheduler, explore
from tests.worlds import World
from walnutquay.coordination.own import leases as leases_module
from walnutquay.coordination.own.leases import Lease
from walnutquay.state.own.leases import LeaseValue, LeaseView
from walnutquay.state.process.ids import Incarnation, VmName

SECONDS = 6.0
ORDER = 0.5
OWN = LeaseValue(VmName("a"), Incarnation("inc-a"), SECONDS)
OTHER = LeaseValue(VmName("b"), Incarnation("inc-b"), SECONDS)
NOBODY = LeaseValue(VmName(""), Incarnation(""), SECONDS)

# what the object held when it was seen at time 0, now -> whether it may be taken
MAY_TAKE = [
    (None, 0.0, True),
    (NOBODY, 0.0, True),
    (OWN, 0.0, True),
    (OTHER, 0.0, False),
    (OTHER, SECONDS - 0.1, False),
    (OTHER, SECONDS + 0.1, True),
]
# what stood before it was taken at time 0, now -> whether an order may be sent
MAY_ORDER = [
    (None, 0.0, True),
    (OTHER, 0.0, False),
    (OTHER, ORDER, True),
    (NOBODY, ORDER / 2, False),
    (OTHER, SECONDS - ORDER - 0.1, True),
    # It could still be under way when the lease ends.
    (OTHER, SECONDS - ORDER + 0.1, False),
    (OTHER, SECONDS + 1.0, False),
]


# Requests that a version which fails each may get before it is held back: its test
# needs four failures, and others may be on their way.
MAX_BEGUN = 12


class ViewTest(unittest.TestCase):
    """The pure decisions."""

    def view(self, value: LeaseValue | None) -> LeaseView:
        """:returns: a view that saw a value at time 0."""
        view = LeaseView(Incarnation("inc-a"), ORDER)
        if value is not None:
            view.observe(3, value, 0.0)
        return view

    def test_may_take(self):
        for value, now, expected in MAY_TAKE:
            with self.subTest(value=value, now=now):
                self.assertEqual(self.view(value).may_acquire(now), expected)

    def test_may_order(self):
        for value, now, expected in MAY_ORDER:
            with self.subTest(value=value, now=now):
                view = self.view(value)
                view.record_acquired(4, OWN, 0.0)
                self.assertEqual(view.fence(now) is not None, expected)

    def test_one_that_sees_another_holder_has_lost_it(self):
        view = self.view(None)
        view.record_acquired(1, OWN, 0.0)
        view.observe(2, OTHER, 1.0)
        self.assertIsNone(view.fence(1.0))
        self.assertFalse(view.is_held(1.0))


class InterleavingTest(unittest.IsolatedAsyncioTestCase):
    """Two VMs that each believe to be first in rank, with faults and pauses."""

    async def test_never_two_at_once(self):
        self.orders = 0

        async def run(scheduler: Scheduler) -> None:
            world = World(scheduler)
            now = 100.0
            held = []

            async def clock() -> None:
                nonlocal now
                for _ in range(5):
                    await scheduler.step("clock", f"{SECONDS / 2} s pass")
                    now += SECONDS / 2

            def two_at_once() -> None:
                fences = [
                    lease.view.fence(now)
                    for lease in leases
                    if lease.view.fence(now) is not None
                ]
                held.append(len(fences))
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
                            SECONDS,
                            ORDER,
                        )
                    )
                for lease in leases:
                    world.start(keep(lease))
                world.start(clock())
                await scheduler.run(two_at_once)
                await world.end()
            self.orders += max(held)

        count = await explore(run, faults=2, depth=3, walks=3000)
        self.assertGreater(count, 3000)
        # The check would be empty if nobody ever held the lease.
        self.assertGreater(self.orders, count / 2)


class FrozenHolderTest(FleetCase):
    """Over real processes: the holder is frozen past its lease, and woken."""

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
        """:returns: the orders that an engine has carried out."""
        return (await self.fleet.control(self.urls[engine], "effects"))["orders"]

    async def holder(self) -> str | None:
        """:returns: the VM that may send orders now."""
        for name, vm in self.fleet.vms.items():
            _, found = await self.fleet.administer(vm, "GET", "/v1/debug/leases")
            if found["rollouts"]["fence"] is not None:
                return name
        return None

    async def act(self, action: str, **body) -> None:
        """Act on the roll-out through whichever VM answers."""
        status, answer = await self.fleet.administer(
            self.vm(self.alive), "POST", f"/v1/rollouts/r/{action}", body
        )
        self.assertEqual(status, 200, answer)

    async def test_orders_before_and_after(self):
        async def held() -> bool:
            return await self.holder() is not None

        await self.until(held, "a VM holds the lease")
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

        await self.until(unloaded, "the successor orders the version away")
        self.vm(frozen).process.signal(signal.SIGCONT)
        await asyncio.sleep(3.0)
        fenced = await self.orders("engine-1")
        fences = [order["fence"] for order in fenced]
        self.assertEqual(fences, sorted(fences))
        first = next(i for i, o in enumerate(fenced) if o["from"] == self.alive)
        self.assertEqual({o["from"] for o in fenced[first:]}, {self.alive})
        # The engine that checks no fence was never sent what does harm late.
        actions = {order["action"] for order in await self.orders("engine-2")}
        self.assertEqual(actions, {"load"})

    async def test_a_brake_becomes_official(self):
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
        begun = (await self.dispatched_versions())["small-2"]
        self.assertLessEqual(begun, MAX_BEGUN)
        await self.chat("vm-b1", model="answer", stream=True)
        self.assertEqual((await self.dispatched_versions())["small-2"], begun)

    async def has_holder(self) -> bool:
        """Whether some VM holds the lease."""
        return await self.holder() is not None
