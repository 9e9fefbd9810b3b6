# Licensed under the Apache License 2.0: see LICENSE for details.

"""Accepted configurations that a restored store has lost."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

from tests.interleavings import Scheduler, explore
from tests.worlds import World
from walnutquay.coordination.own.acceptance import Acceptance
from walnutquay.coordination.own.configurations import HEAD, Configurations
from walnutquay.exceptions import ConflictError
from walnutquay.state.fleet.membership import Address, MemberUpdate
from walnutquay.state.own.configuration import Content, Head
from walnutquay.state.process.ids import HallName, Incarnation, VmName
from walnutquay.state.store.parts import Pool
from walnutquay.transport.timers import monotonic


class Operator:
    """One VM with its configuration, and an operator who uses it."""

    def __init__(self, world: World, name: str) -> None:
        parts = world.add_vm(name)
        self.name = name
        self.members = parts.members
        self.platform = parts.platform
        self.configurations = Configurations(
            parts.context, parts.platform, parts.members, parts.dispatcher
        )
        self.acceptance = Acceptance(parts.context, parts.platform, self.configurations)

    async def add_pool(self, pool: str) -> None:
        """Apply a change that adds a pool."""

        def change(content: Content) -> Content:
            pools = (*content.pools, Pool(name=pool, work="quick"))
            return content.model_copy(update={"pools": pools})

        await self.acceptance.apply(change, f"add {pool}")

    def pools(self) -> list[str]:
        """Return the pools that are in force on this VM."""
        return [pool.name for pool in self.configurations.current.content.pools]

    def hear_of(self, other: Operator) -> None:
        """Apply a heartbeat of another VM."""
        update = MemberUpdate(
            VmName(other.name),
            Incarnation(f"inc-{other.name}"),
            HallName("h"),
            counter=1,
            revision=other.configurations.head.revision,
            leaving=False,
            address=Address("127.0.0.1", 1),
        )
        self.members.table.receive(update, monotonic())


Steps = Callable[[World, Operator, Operator], Awaitable[None]]


class RestoredHeadTest(unittest.IsolatedAsyncioTestCase):
    """What was accepted never reverts, and the store has it again soon."""

    async def play(self, steps: Steps) -> None:
        """Run some steps of two VMs, without faults."""

        async def run(scheduler: Scheduler) -> None:
            world = World(scheduler)
            operators = [Operator(world, name) for name in ("a", "b")]
            world.start(steps(world, *operators))
            await scheduler.run()
            for operator in operators:
                operator.configurations.stop()
            await world.end()

        await explore(run, 0, 0, walks=5)

    async def test_it_is_written_again_at_once(self):
        async def steps(world: World, first: Operator, second: Operator) -> None:
            await first.add_pool("p1")
            backup = world.store.copy()
            await first.add_pool("p2")
            accepted = first.configurations.head
            world.store.restore(backup)
            # Any call of the VM tells it of the restore.
            await first.platform.read("anything")
            for task in list(first.configurations.tasks.running):
                await task
            self.assertEqual(first.pools(), ["p1", "p2"])
            stored = Head.decode(world.store.objects[HEAD][1])
            self.assertEqual(stored.revision, accepted.revision)
            await second.configurations.read_head()
            self.assertEqual(second.pools(), ["p1", "p2"])

        await self.play(steps)

    async def test_no_change_is_accepted_that_leaves_it_out(self):
        async def steps(world: World, first: Operator, second: Operator) -> None:
            await first.add_pool("p1")
            await second.configurations.read_head()
            backup = world.store.copy()
            await first.add_pool("p2")
            world.store.restore(backup)
            # The second VM has only heard that there is a newer revision.
            second.hear_of(first)
            with self.assertRaises(ConflictError):
                await second.add_pool("p3")
            stored = Head.decode(world.store.objects[HEAD][1])
            self.assertEqual(stored.revision, 1)

        await self.play(steps)
