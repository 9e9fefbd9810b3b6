# Licensed under the Apache License 2.0: see LICENSE for details.

"""Endpoints that restart under the same names."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from standins.worker import Behaviour
from tests.coordination.store.test_knowledge import instance
from tests.gatewaycase import GatewayCase
from tests.revisions import revision_at
from walnutquay.coordination.requests.slots import Grant
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, ServiceName, WorkKind
from walnutquay.state.store.halls import EmptiedHall
from walnutquay.state.store.instances import InstanceRegistry

# Unix milliseconds of an endpoint's first start, and of its next one.
FIRST, NEXT = 1_700_000_000_000, 1_700_000_060_000
# The next start if the clock was set back meanwhile.
BEFORE = FIRST - 5_000


class RegistryTest(unittest.TestCase):
    """A start is identified by the endpoint's name and the start time."""

    def setUp(self) -> None:
        self.registry = InstanceRegistry(2.0)
        self.first = replace(instance("a"), born=FIRST)
        self.registry.put(self.first, 0.0)

    def usable(self) -> bool:
        """Return whether the endpoint may be sent requests."""
        return bool(self.registry.usable_instances(ServiceName("s")))

    def test_a_restart_of_a_leaving_endpoint_is_usable(self):
        for born in (NEXT, BEFORE):
            with self.subTest(born=born):
                self.registry.put(replace(self.first, leaving=True), 1.0)
                self.assertFalse(self.usable())
                self.registry.put(replace(self.first, born=born), 2.0)
                self.assertTrue(self.usable())
                self.registry.put(self.first, 3.0)

    def test_the_same_start_stays_leaving(self):
        self.registry.put(replace(self.first, leaving=True), 1.0)
        self.registry.put(self.first, 2.0)
        self.assertFalse(self.usable())

    def test_an_entry_without_a_start_time(self):
        self.registry.put(replace(self.first, leaving=True), 1.0)
        self.registry.put(replace(self.first, born=None), 2.0)
        self.assertFalse(self.usable())

    def test_usable_instances_follow_each_change(self):
        order = EmptiedHall(self.first.hall, revision_at(1))
        emptied = self.registry.emptied
        for change, usable in (
            (lambda: emptied.put(order), False),
            (lambda: emptied.restore(order.hall), True),
            (lambda: self.registry.remove(EndpointName("a"), 1.0), False),
            (lambda: self.registry.put(self.first, 2.0), True),
            (lambda: self.registry.replace_all([], 3.0), False),
        ):
            change()
            self.assertEqual(self.usable(), usable)

    def test_a_restart_has_its_own_first_seen_time(self):
        self.registry.put(replace(self.first, born=NEXT), 7.0)
        name = EndpointName("a")
        self.assertEqual(self.registry.first_seen[name], 7.0)
        self.assertFalse(self.registry.is_current(self.first))
        self.assertTrue(self.registry.is_current(self.registry.known[name]))


class RestartCase(GatewayCase):
    """Endpoints whose entries contain their start times."""

    workers = {"p1": "plain", "e1": "engine", "e2": "engine"}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name, service in self.workers.items():
            await self.enter(name, service, FIRST)

    async def enter(self, name: str, service: str, born: int, **more) -> None:
        """Write an endpoint's entry, and wait until the gateway has received it."""
        spec = self.endpoints[name].spec(service, born=born, **more)
        await self.store.put("servers", name, spec)
        known = self.gateway.knowledge.instances.registry.known
        await self.until(lambda: name in known and known[name].born == born)


class StateResetTest(RestartCase):
    """The state of an earlier start does not apply to the next one."""

    async def test_failures_load_and_prefill(self):
        admission = self.gateway.path.admission
        name = EndpointName("e1")
        await self.call("/stream/x", b"b", Model="tiny", Token_Count="100,5")
        facts = admission.table.state_of(name)
        facts.ejected_until = float("inf")
        admission.work.add(name, 100.0, "beginning", 0.0)
        await self.enter("e1", "engine", NEXT)
        self.assertIsNot(admission.table.state_of(name), facts)
        self.assertNotIn(name, admission.work.busy_until)

    async def test_a_slot_of_an_earlier_start_is_released_to_it(self):
        admission = self.gateway.path.admission
        endpoint = self.gateway.knowledge.instances.registry.known[EndpointName("p1")]
        grant = Grant(endpoint, 0.0, WorkKind.QUICK)
        admission.table.state_of(endpoint.name).in_flight += 1
        await self.enter("p1", "plain", NEXT)
        admission.release(grant)
        self.assertEqual(admission.table.state_of(endpoint.name).in_flight, 0)

    async def test_an_unreachable_endpoint_restarts_at_another_address(self):
        reachability = self.gateway.path.admission.reachability
        await self.endpoints["p1"].stop()
        self.assertNotEqual((await self.call("/safe/x")).status, 200)
        await self.until(lambda: "p1" in reachability.unreachable)
        await self.endpoints["p1"].start()
        await self.enter("p1", "plain", NEXT)
        self.assertNotIn("p1", reachability.unreachable)
        self.assertEqual((await self.call("/safe/x")).status, 200)


class StreamTest(RestartCase):
    """Requests that ran at an earlier start are not waited for."""

    async def test_a_hanging_stream_continues_elsewhere(self):
        held = [Behaviour(mute=True)]
        for name in ("e1", "e2"):
            self.endpoints[name].default = Behaviour(events=3)
            self.endpoints[name].choose = lambda seen: held.pop() if held else None
        call = asyncio.ensure_future(
            self.call("/stream/x", b"b", Model="tiny", Deadline="9000")
        )
        await self.until(lambda: self.runs("e1", "e2") == 1)
        hung = next(name for name in ("e1", "e2") if self.endpoints[name].runs)
        # The port still answers, as the next start listens there, but that start has
        # none of the earlier requests.
        await self.enter(hung, "engine", NEXT)
        answer = await call
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual(self.runs("e1", "e2"), 2)
        self.assertTrue(any(run.left for run in self.endpoints[hung].runs))
        events = self.gateway.context.timeline.ring.events
        failed = [dict(e.facts) for e in events if e.kind is EventKind.FAILED]
        self.assertEqual([facts["ended"] for facts in failed], [True])
