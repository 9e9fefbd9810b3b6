# Licensed under the Apache License 2.0: see LICENSE for details.

"""In-memory fakes at the interfaces of claims, billing and configuration.

Their steps are let go by :mod:`tests.interleavings`, so answers can be lost,
writes can land late, and VMs can die between any two steps.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

from tests.interleavings import CrashedError, Scheduler
from tests.revisions import FIRST_ERA
from walnutquay.coordination.process.context import Context, Timeline
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.exceptions import (
    PeerError,
    PlatformConflictError,
    PlatformUnavailableError,
    PlatformUnclearError,
)
from walnutquay.platform.values import ABSENT, Stored
from walnutquay.protocol.messages import Envelope, Message
from walnutquay.state.fleet.membership import MemberTable
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import HallName, Incarnation, VmName
from walnutquay.state.process.revisions import Era, EraTracker, StoreRevision

# How a write may go: done and answered; done, the answer lost; not done, the
# answer lost; done later, at any time; refused.
WRITE_WAYS = ("ok", "lost", "never", "late", "down")
READ_WAYS = ("ok", "down")


@dataclass
class Store:
    """The platform's objects, shared by all VMs of a world."""

    scheduler: Scheduler
    objects: dict[str, tuple[StoreRevision, bytes]] = field(default_factory=dict)
    late: set[asyncio.Task] = field(default_factory=set)
    # Counts all changes; an object's version is the count at its last change.
    revision: int = 0
    era: Era = FIRST_ERA

    def put(
        self, name: str, value: bytes | None, expected: StoreRevision
    ) -> StoreRevision:
        """Carry a conditional write out; without a change the version stays."""
        version, present = self.objects.get(name, (ABSENT, None))
        # The store knows numbers only: it may have given one out in an earlier era.
        if version.number != expected.number:
            raise PlatformConflictError("another version", peer=name)
        if value == present:
            return version
        self.revision += 1
        if value is None:
            del self.objects[name]
        else:
            self.objects[name] = (self.newest(), value)
        return self.newest()

    def newest(self) -> StoreRevision:
        """Return the revision of the last change."""
        return StoreRevision(self.era, self.revision)

    def copy(self) -> tuple[dict[str, tuple[StoreRevision, bytes]], int]:
        """Return a backup."""
        return dict(self.objects), self.revision

    def restore(
        self, backup: tuple[dict[str, tuple[StoreRevision, bytes]], int]
    ) -> None:
        """Go back to a backup, in the next era."""
        objects, self.revision = backup
        self.era = Era(self.era + 1)
        self.objects = {
            name: (StoreRevision(self.era, version.number), value)
            for name, (version, value) in objects.items()
        }

    async def land(
        self, name: str, value: bytes | None, expected: StoreRevision
    ) -> None:
        """Carry a write out late, long after its caller has given it up."""
        await self.scheduler.step("network", f"late write of {name}")
        try:
            self.put(name, value, expected)
        except PlatformConflictError:
            return


@dataclass
class FakePlatform:
    """The platform as one VM reaches it."""

    store: Store
    vm: str
    up: bool = True
    eras: EraTracker = field(default_factory=EraTracker)

    async def read(self, name: str) -> Stored:
        """As the real one."""
        way = await self.store.scheduler.step(self.vm, f"read {name}", *READ_WAYS)
        if way == "down":
            raise PlatformUnavailableError("down")
        self.eras.observe(self.store.era)
        return Stored(*self.store.objects.get(name, (ABSENT, b"")))

    async def write(
        self, name: str, value: bytes | None, expected: StoreRevision
    ) -> StoreRevision:
        """As the real one."""
        scheduler = self.store.scheduler
        way = await scheduler.step(self.vm, f"write {name}", *WRITE_WAYS)
        if way == "down":
            raise PlatformUnavailableError("down")
        if expected and not self.eras.is_current(expected):
            raise PlatformConflictError("of an earlier era", peer=name)
        if way == "late":
            task = asyncio.ensure_future(self.store.land(name, value, expected))
            self.store.late.add(task)
        if way in ("late", "never"):
            raise PlatformUnclearError("no answer")
        try:
            version = self.store.put(name, value, expected)
        finally:
            if way != "lost":
                self.eras.observe(self.store.era)
        if expected and expected.era != self.store.era:
            raise PlatformUnclearError("the store was restored")
        if way == "lost":
            raise PlatformUnclearError("the answer is lost")
        return version

    async def delete(self, name: str, expected: StoreRevision) -> None:
        """As the real one."""
        await self.write(name, None, expected)


class FakeMembers:
    """The other VMs, reached through the scheduler."""

    def __init__(self, world: World, vm: str) -> None:
        self.world = world
        self.vm = vm
        self.table = MemberTable(VmName(vm), random.Random(1))
        self.update_listeners: list = []

    async def call(self, name: str, body: Message, timeout: float) -> Message:
        """Ask a VM; a dead one does not answer, nor one that is cut off."""
        scheduler = self.world.scheduler
        step = f"ask {name} {type(body).__name__}"
        way = await scheduler.step(self.vm, step, "ok", "cut")
        target = self.world.vms.get(name)
        if way == "cut" or target is None or name in scheduler.dead:
            raise PeerError("no answer", peer=name)
        envelope = Envelope(self.vm, f"inc-{self.vm}", Stamp(1, 0), body)
        answer = await target.dispatcher.deliver(envelope)
        assert answer is not None
        return answer

    def broadcast(self, body: Message) -> None:
        """Nothing is told: all that it could bring about is less work."""


class World:
    """VMs that share a store, for one run of the search."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.store = Store(scheduler)
        self.vms: dict[str, SimpleNamespace] = {}
        self.tasks: list[asyncio.Task] = []

    def add_vm(self, name: str) -> SimpleNamespace:
        """:returns: the fakes that a VM's parts are made with."""
        vm = VmName(name)
        context = Context(
            vm, HallName("h"), Incarnation(f"inc-{name}"), Timeline(vm, 10)
        )
        parts = SimpleNamespace(
            name=name,
            context=context,
            dispatcher=Dispatcher(),
            members=FakeMembers(self, name),
            platform=FakePlatform(self.store, name),
        )
        self.vms[name] = parts
        return parts

    def start(self, coroutine) -> None:
        """Run something as a process that may die."""
        self.tasks.append(asyncio.ensure_future(self._mortal(coroutine)))

    async def _mortal(self, coroutine) -> None:
        try:
            await coroutine
        except CrashedError:
            return

    async def end(self) -> None:
        """End what still waits, and raise what failed."""
        await self.scheduler.settle()
        for task in [*self.tasks, *self.store.late]:
            if task.done():
                task.result()
            else:
                task.cancel()
        await asyncio.gather(*self.tasks, *self.store.late, return_exceptions=True)

    async def restorer(self) -> None:
        """Restore the store at any point, from a backup of any earlier one."""
        await self.scheduler.step("store", "backup")
        backup = self.store.copy()
        await self.scheduler.step("store", "restore")
        self.store.restore(backup)

    async def crasher(self, name: str) -> None:
        """Let a VM die at any point, or not at all."""
        way = await self.scheduler.step("fate", f"{name} dies?", "no", "yes")
        if way == "yes":
            self.scheduler.crash(name)
