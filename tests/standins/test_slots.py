# Licensed under the Apache License 2.0: see LICENSE for details.

"""The slots of a stand-in for an endpoint."""

from __future__ import annotations

import asyncio
import unittest

from standins.slots import WorkSlots
from standins.worker import WorkerStandIn

REQUEST = b"GET /x HTTP/1.1\r\nRequest-Id: %b\r\nDeadline: %d\r\n\r\n"
LONG_MS = 60_000


class SlotsTest(unittest.IsolatedAsyncioTestCase):
    """An endpoint with one slot and a queue of one."""

    async def asyncSetUp(self) -> None:
        self.worker = WorkerStandIn("p1")
        self.slots = self.worker.slots = WorkSlots(1, 1, work_seconds=0.01)
        await self.worker.start()
        self.addAsyncCleanup(self.worker.stop)

    async def send(self, name: bytes, deadline: int = LONG_MS):
        """Send a request on a connection of its own, and wait until it has come."""
        host, _, port = self.worker.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(REQUEST % (name, deadline))
        while name.decode() not in self.slots.came:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        await asyncio.sleep(0)
        return reader, writer

    async def head(self, reader: asyncio.StreamReader) -> str:
        """Return the head of an answer."""
        return (await reader.readuntil(b"\r\n\r\n")).decode()

    async def test_it_runs_one_queues_one_and_rejects_the_third(self):
        self.slots.work_seconds = 0.2
        first, second, third = [await self.send(n) for n in (b"r1", b"r2", b"r3")]
        rejected = await self.head(third[0])
        self.assertIn(" 503 ", rejected)
        self.assertIn("Not-Run: 1", rejected)
        self.assertIn("Load: 1,1,1,100", rejected)
        self.assertIn(" 200 ", await self.head(first[0]))
        self.assertIn(" 200 ", await self.head(second[0]))
        self.assertEqual(
            [seen.headers["request-id"] for seen in self.worker.runs], ["r1", "r2"]
        )

    async def test_its_pace_is_told_and_may_change(self):
        for pace, told in ((2.5, "0,0,1,250"), (1.0, "0,0,1,100")):
            self.slots.pace = pace
            reader, _ = await self.send(f"at-{told}".encode())
            self.assertIn(f"Load: {told}\r\n", await self.head(reader))

    async def test_a_request_whose_deadline_passes_in_the_queue_is_not_run(self):
        self.slots.work_seconds = 60.0
        await self.send(b"r1")
        reader, _ = await self.send(b"r2", deadline=20)
        self.assertIn("Not-Run: 1", await self.head(reader))
        self.assertEqual((self.slots.running, len(self.slots.waiting)), (1, 0))

    async def test_a_caller_that_leaves_gives_its_slot_to_the_next(self):
        self.slots.work_seconds = 60.0
        _, leaving = await self.send(b"r1")
        _, waiting = await self.send(b"r2")
        await self.send(b"r3")
        self.slots.work_seconds = 0.01
        reader, _ = await self.send(b"r4")
        self.assertIn("Not-Run: 1", await self.head(reader))
        waiting.close()
        while self.slots.waiting:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        reader, _ = await self.send(b"r5")
        leaving.close()
        self.assertIn(" 200 ", await self.head(reader))
        self.assertEqual((self.slots.running, len(self.slots.waiting)), (0, 0))

    async def test_without_slots_nothing_waits_and_no_load_is_told(self):
        self.worker.slots = None
        host, _, port = self.worker.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(REQUEST % (b"r1", 0))
        self.assertNotIn("Load:", await self.head(reader))

    async def test_a_request_runs_once_whose_slots_are_taken_away(self):
        reader, _ = await self.send(b"r1")
        self.worker.slots = None
        await self.head(reader)
        self.assertEqual(len(self.worker.runs), 1)
