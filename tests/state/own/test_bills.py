# Licensed under the Apache License 2.0: see LICENSE for details.

"""Bills: no record is lost or stored twice, whatever the order of steps."""

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
    """Return the record with the given number."""
    return BillRecord(number, f"r{number}", "org", 1.0, LINES)


class BillLogTest(unittest.TestCase):
    """A log keeps the records that are not stored, and chooses the next batch."""

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

    def test_stored_records_are_not_added_again(self):
        log = BillLog(OWNER)
        log.add(record(0))
        log.mark_stored_below(2)
        log.add(record(1))
        self.assertEqual(log.records, {})
        log.mark_stored_below(1)
        self.assertEqual(log.next_batch, 2)

    def test_records_survive_encoding(self):
        records = [record(0), record(1)]
        self.assertEqual(decode_records(encode_records(records)), records)
        self.assertLess(batch_name(OWNER, 9), batch_name(OWNER, 10))


class InterleavingTest(unittest.IsolatedAsyncioTestCase):
    """Owner and keeper flush the same records despite faults, crashes and delays."""

    def assert_stored_once(self, world: World, numbers: range) -> None:
        """Check that the platform has each record once, in batches of the owner."""
        found: Counter[int] = Counter()
        for name, (_, value) in world.store.objects.items():
            self.assertTrue(name.startswith(f"bills/{OWNER}/"))
            found.update(r.number for r in decode_records(value))
        self.assertEqual(found, Counter(numbers), "stored")

    async def search(self, owner_crashes: bool, faults: int, depth: int) -> int:
        """Run all orders of two flushes by the owner and two for it by the keeper."""

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

            async def run_owner() -> None:
                await owner.flush()
                # It continues to bill, although the keeper treats it as dead.
                bill(3)
                await owner.flush()

            async def run_keeper() -> None:
                await keeper.flush_for_dead()
                if OWNER in keeper.kept:
                    await keeper.flush_for_dead()

            world.start(run_owner())
            world.start(run_keeper())
            if owner_crashes:
                world.start(world.crasher("a"))
            await scheduler.run()
            # Without further faults, a VM that has not crashed stores the rest.
            scheduler.faults = 0
            survivor = keeper if "a" in scheduler.dead else owner
            world.start(
                survivor.flush() if survivor is owner else survivor.flush_for_dead()
            )
            await scheduler.run()
            await world.end()
            last_is_billed = 3 in owner.log.records or owner.log.next_batch > 3
            numbers = range(4 if last_is_billed else 3)
            self.assert_stored_once(world, numbers)

        return await explore(run, faults, depth)

    async def test_owner_and_keeper_flush_concurrently(self):
        order_count = await self.search(False, faults=2, depth=3)
        self.assertGreater(order_count, 1000)

    async def test_owner_crashes_at_any_step(self):
        order_count = await self.search(True, faults=2, depth=3)
        self.assertGreater(order_count, 1000)
