# Licensed under the Apache License 2.0: see LICENSE for details.

"""Data halls that operators empty: nothing new is sent to their endpoints by any path.

Guards against orders to empty a hall being ignored.  When no part of the program read
them, 4,425 requests from 61 healthy entry VMs reached the endpoints of an emptied hall
within 7 s.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any

from standins.worker import Behaviour
from tests.gatewaycase import GatewayCase
from walnutquay.state.process.events import EventKind

HALLS = {"p1": "hall-a", "p2": "hall-b", "e1": "hall-a", "e2": "hall-b"}
STREAM = {"Model": "*", "Token_Count": "100,20"}


class EmptiedCase(GatewayCase):
    """Two data halls, each with one endpoint of each service."""

    workers: Mapping[str, str] = {
        "p1": "plain",
        "p2": "plain",
        "e1": "engine",
        "e2": "engine",
    }

    async def add_worker(self, name: str, service: str, **more: Any) -> Any:
        return await super().add_worker(name, service, zone=HALLS[name], **more)

    async def empty(self, *halls: str) -> None:
        """Empty data halls, and wait until the gateway has received the orders."""
        for hall in halls:
            await self.store.put("evacuations", hall, {})
        emptied = self.gateway.knowledge.halls.emptied
        await self.until(lambda: all(hall in emptied for hall in halls))

    async def restore(self, hall: str) -> None:
        """Restore a hall, and wait until the gateway has received the deletion."""
        await self.store.remove("evacuations", hall)
        emptied = self.gateway.knowledge.halls.emptied
        await self.until(lambda: hall not in emptied)


class SendingTest(EmptiedCase):
    """Nothing new is sent to an emptied hall by any path."""

    async def test_first_attempts(self):
        await self.empty("hall-a")
        for _ in range(20):
            self.assertEqual((await self.call("/safe/x")).status, 200)
            self.assertEqual((await self.call("/unsafe/x", b"b")).status, 200)
            self.assertEqual((await self.call("/stream/x", b"b", **STREAM)).status, 200)
        self.assertEqual(self.runs("p1", "e1"), 0)

    async def test_retries(self):
        await self.empty("hall-a")
        self.endpoints["p2"].default = Behaviour(status=500)
        self.assertEqual((await self.call("/safe/x")).status, 500)
        self.assertEqual(self.runs("p1"), 0)

    async def test_requests_that_an_endpoint_refuses(self):
        await self.empty("hall-a")
        self.endpoints["p2"].default = Behaviour(status=503, not_run=True)
        self.assertEqual((await self.call("/unsafe/x", b"b")).status, 503)
        self.assertEqual(self.runs("p1"), 0)

    async def test_a_larger_model(self):
        unsure = Behaviour(events=2, headers={"Confidence": "1"})
        for endpoint in ("e1", "e2"):
            self.endpoints[endpoint].default = unsure
        await self.empty("hall-a")
        await self.call("/stream/x", b"b", **STREAM)
        models = [run.headers["model"] for run in self.endpoints["e2"].runs]
        self.assertEqual(models, ["tiny", "huge"])
        self.assertEqual(self.runs("e1"), 0)

    async def test_a_prompt_whose_prefix_is_cached_there(self):
        parts = {**STREAM, "Prefix_Hash": "aa:50,bb:40,cc:10"}
        for _ in range(4):
            await self.call("/stream/x", b"b", **parts)
        await self.empty("hall-a")
        before = self.runs("e1")
        for _ in range(4):
            await self.call("/stream/x", b"b", **parts)
        self.assertEqual(self.runs("e1"), before)


class RunningTest(EmptiedCase):
    """Requests in progress continue; interrupted streams continue elsewhere."""

    async def start_stream(self, behaviour: Behaviour) -> asyncio.Task:
        """Start a stream in a hall, then empty that hall."""
        self.endpoints["e1"].default = behaviour
        await self.empty("hall-b")
        stream = asyncio.ensure_future(self.call("/stream/x", b"b", **STREAM))
        await self.until(lambda: self.runs("e1") == 1)
        await self.restore("hall-b")
        await self.empty("hall-a")
        return stream

    async def test_a_stream_in_progress_continues(self):
        gate = asyncio.Event()
        stream = await self.start_stream(Behaviour(events=3, gate=gate))
        gate.set()
        answer = await stream
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body.count(b"data:"), 3)
        self.assertEqual(self.runs("e2"), 0)

    async def test_an_interrupted_stream_continues_elsewhere(self):
        gate = asyncio.Event()
        stream = await self.start_stream(Behaviour(events=3, cut_after=1, gate=gate))
        self.endpoints["e2"].default = Behaviour(events=3)
        gate.set()
        answer = await stream
        self.assertEqual(answer.body.count(b"data:"), 3)
        self.assertEqual((self.runs("e1"), self.runs("e2")), (1, 1))


class AllHallsTest(EmptiedCase):
    """Callers are asked to retry if all halls of a service are emptied."""

    async def test_refused_at_once(self):
        await self.empty("hall-a", "hall-b")
        for path, body in (("/safe/x", None), ("/unsafe/x", b"b"), ("/stream/x", b"b")):
            answer = await self.call(path, body)
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["Retry-After"]), 0.0)
        self.assertEqual(self.runs(), 0)

    async def test_served_when_one_is_restored(self):
        await self.empty("hall-a", "hall-b")
        await self.restore("hall-b")
        self.assertEqual((await self.call("/unsafe/x", b"b")).status, 200)
        self.assertEqual((self.runs("p1"), self.runs("p2")), (0, 1))


class OrderDistributionTest(EmptiedCase):
    """Orders are kept, distributed and logged like other objects of the store."""

    async def test_it_is_kept_while_the_store_is_unavailable(self):
        await self.empty("hall-a")
        self.store.silent = True
        for _ in range(10):
            await self.call("/safe/x")
        self.store.silent = False
        self.store.refuse = 503
        for _ in range(10):
            await self.call("/safe/x")
        self.assertEqual(self.runs("p1"), 0)

    async def test_restored_while_the_store_is_unavailable_to_this_vm(self):
        await self.empty("hall-a")
        follower = self.gateway.knowledge.hall_follower
        self.store.refuse = 503
        follower.query_now()
        await self.until(lambda: follower.failing_since is not None)
        await self.store.remove("evacuations", "hall-a")
        self.assertIn("hall-a", self.gateway.knowledge.halls.emptied)
        self.store.refuse = None
        await self.until(lambda: "hall-a" not in self.gateway.knowledge.halls.emptied)

    async def test_a_vm_that_starts_receives_it_from_another(self):
        await self.empty("hall-a")
        second = await self.add_gateway("vm-2", [self.gateway])
        for _ in range(10):
            await self.call("/safe/x", gateway=second)
        self.assertEqual(self.runs("p1"), 0)

    async def test_names_that_are_not_halls_are_harmless(self):
        for name in ("nowhere", "p1", "hall-a/../hall-b", "x" * 400):
            await self.store.put("evacuations", name, {"foreign": ["fields"]})
        await self.empty("hall-a")
        self.assertEqual((await self.call("/safe/x")).status, 200)
        self.assertEqual(self.runs("p1"), 0)

    async def test_it_is_logged(self):
        await self.empty("hall-a")
        await self.restore("hall-a")
        events = self.gateway.context.timeline.ring.events
        kinds = (EventKind.HALL_EMPTIED, EventKind.HALL_BACK)
        found = [event for event in events if event.kind in kinds]
        self.assertEqual([event.kind for event in found], list(kinds))
        self.assertEqual({dict(e.facts)["hall"] for e in found}, {"hall-a"})
