# Licensed under the Apache License 2.0: see LICENSE for details.

"""Bills: no record is lost or stored twice, in any order of steps."""

from __future__ import annotations

import unittest
from collections import Counter

from tests.interleavings import Scheduler, explore
from tests.worlds import World
from walnutquay.coordination.own.billing import Billing
from walnutquay.protocol.messages import Envelope
from walnutquay.protocol.ownmessages import BillCopy
from walnutquay.state.own.bills import (
    BillLog,
    BillRecord,
    batch_name,
    decode_records,
    encode_records,
)
from walnutquay.state.process.clock import Stamp
from walnutquay.state.requests.stages import CostLine

OWNER = "inc-a"
LINES = (CostLine("small-1", "e1", 3, 4, 0.5),)


def record(number: int) -> BillRecord:
    """:returns: a record."""
    return BillRecord(number, f"r{number}", "org", 1.0, LINES)


class BillLogTest(unittest.TestCase):
    """What is not stored yet, and what the next batch holds."""

    def test_batches_have_no_gap(self):
        log = BillLog(OWNER)
        for number in (0, 1, 3):
            log.add(record(number))
        self.assertEqual([r.number for r in log.batch(10)], [0, 1])
        self.assertEqual([r.number for r in log.batch(1)], [0])
        log.mark_stored(log.batch(10))
        self.assertEqual(log.batch(10), [])
        log.add(record(2))
        self.assertEqual([r.number for r in log.batch(10)], [2, 3])

    def test_what_is_stored_is_not_taken_in_again(self):
        log = BillLog(OWNER)
        log.add(record(0))
        log.mark_stored_below(2)
        log.add(record(1))
        self.assertEqual(log.records, {})
        log.mark_stored_below(1)
        self.assertEqual(log.next_batch, 2)

    def test_records_are_the_same_after_the_wire(self):
        records = [record(0), record(1)]
        self.assertEqual(decode_records(encode_records(records)), records)
        self.assertLess(batch_name(OWNER, 9), batch_name(OWNER, 10))


class InterleavingTest(unittest.IsolatedAsyncioTestCase):
    """Owner and keeper flush the same records, with faults, deaths and pauses."""

    def assert_stored_once(self, world: World, numbers: range) -> None:
        """Count the records in the platform, and nowhere else."""
        found: Counter[int] = Counter()
        for name, (_, value) in world.store.objects.items():
            self.assertTrue(name.startswith(f"bills/{OWNER}/"))
            found.update(r.number for r in decode_records(value))
        self.assertEqual(found, Counter(numbers), "stored")

    async def search(self, owner_dies: bool, faults: int, depth: int) -> int:
        """Run all orders of: owner flushes twice, keeper flushes for it twice."""

        async def run(scheduler: Scheduler) -> None:
            world = World(scheduler)
            owner, keeper = (
                Billing(p.context, p.platform, p.members, p.dispatcher)
                for p in (world.add_vm("a"), world.add_vm("b"))
            )

            def bill(*numbers: int) -> None:
                records = [record(number) for number in numbers]
                for item in records:
                    owner.log.add(item)
                data = encode_records(records)
                copy = BillCopy(OWNER, data, owner.log.next_batch)
                keeper.on_copy(Envelope("a", OWNER, Stamp(1, 0), copy))

            bill(0, 1, 2)

            async def owner_runs() -> None:
                await owner.flush()
                # It goes on billing, though the keeper takes it for dead.
                bill(3)
                await owner.flush()

            async def keeper_runs() -> None:
                await keeper.flush_for_dead()
                if OWNER in keeper.kept:
                    await keeper.flush_for_dead()

            world.start(owner_runs())
            world.start(keeper_runs())
            if owner_dies:
                world.start(world.crasher("a"))
            await scheduler.run()
            # Faults end; whoever lives stores the rest.
            scheduler.faults = 0
            last = keeper if "a" in scheduler.dead else owner
            world.start(last.flush() if last is owner else last.flush_for_dead())
            await scheduler.run()
            await world.end()
            billed = 3 in owner.log.records or owner.log.next_batch > 3
            numbers = range(4 if billed else 3)
            self.assert_stored_once(world, numbers)

        return await explore(run, faults, depth)

    async def test_owner_and_keeper_at_once(self):
        orders = await self.search(False, faults=2, depth=3)
        self.assertGreater(orders, 1000)

    async def test_an_owner_that_dies_anywhere(self):
        orders = await self.search(True, faults=2, depth=3)
        self.assertGreater(orders, 1000)
