# Licensed under the Apache License 2.0: see LICENSE for details.

"""Endpoints that crash when they have to reject many requests."""

from __future__ import annotations

import asyncio
from unittest import mock

from standins.brittle import BrittleWorker
from tests.gatewaycase import WAIT_SECONDS, GatewayCase
from walnutquay.coordination.routed.places import Places
from walnutquay.exceptions import PeerError
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName

SLOTS = 3
BORNE = 1
WORK_SECONDS = 0.05
AWAY_SECONDS = 1.0
# Callers at each VM, each of which sends one request after the other.
CALLERS = 5
REQUESTS = 12


class BrittleCase(GatewayCase):
    """Some VMs in front of brittle endpoints."""

    workers = {"p1": "plain", "p2": "plain", "p3": "plain"}
    vms = 3
    # The slots that their entries name.
    named_slots = SLOTS

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in range(1, self.vms):
            await self.add_gateway(f"vm-{number + 1}", peers=list(self.gateways))
        self.brittle = {
            name: BrittleWorker(worker, SLOTS, BORNE, WORK_SECONDS, AWAY_SECONDS)
            for name, worker in self.endpoints.items()
        }
        for name, worker in self.endpoints.items():
            await self.store.put(
                "servers", name, worker.spec("plain", slots=self.named_slots)
            )
        for gateway in self.gateways:
            known = gateway.knowledge.instances.registry.known
            await self.until(
                lambda known=known: (
                    all(i.slots == self.named_slots for i in known.values())
                    and len(known) == len(self.workers)
                )
            )

    @property
    def falls(self) -> int:
        """How often endpoints have ended."""
        return sum(worker.crashes for worker in self.endpoints.values())

    async def all_know(self) -> None:
        """Let all VMs learn that all endpoints are brittle."""
        for _ in range(60):
            for gateway in self.gateways:
                await self.call("/safe/warm", gateway=gateway)
            tables = [g.path.admission.limits.places.brittle for g in self.gateways]
            if all(len(table) == len(self.workers) for table in tables):
                return
        self.fail("not all VMs have learnt of all endpoints")

    async def callers(self, path: str = "") -> list[int]:
        """Play all callers at once, each with its own paths unless one is given.

        :returns: the statuses that they got.
        """

        async def calls(vm: int, caller: int) -> list[int]:
            gateway = self.gateways[vm]
            return [
                (
                    await self.call(path or f"/safe/{vm}-{caller}-{n}", None, gateway)
                ).status
                for n in range(REQUESTS)
            ]

        plays = [
            calls(vm, caller) for vm in range(self.vms) for caller in range(CALLERS)
        ]
        return [status for got in await asyncio.gather(*plays) for status in got]

    async def play_known(self) -> None:
        """Play all callers at once, where all VMs know that the endpoints are brittle.

        Few of them crash, and most requests are served.
        """
        await self.all_know()
        before = self.falls
        statuses = await self.callers()
        self.assertLessEqual(self.falls - before, 2 + len(self.workers) // 10)
        self.assertNotIn(500, statuses)
        self.assertGreater(statuses.count(200), len(statuses) // 2)


class OverloadTest(BrittleCase):
    """More callers than the endpoints have slots."""

    async def test_brittle_endpoints_fall_over(self) -> None:
        await self.play_known()

    async def test_a_path_that_all_ask_for_is_blocked_for_falls(self) -> None:
        self.assertNotIn(500, await self.callers("/safe/same"))
        for gateway in self.gateways:
            kinds = [event.kind for event in gateway.context.timeline.ring.events]
            self.assertNotIn(EventKind.REQUEST_BLOCKED, kinds)


class OverstatedSlotsTest(BrittleCase):
    """Endpoints whose entries name more slots than they have."""

    named_slots = SLOTS + 2

    async def test_they_do_not_crash_again_and_again(self) -> None:
        await self.play_known()


class BrittleAnnouncementTest(BrittleCase):
    """What VMs learn of brittle endpoints."""

    vms = 2

    def places(self, vm: int = 0) -> Places:
        return self.gateways[vm].path.admission.limits.places

    async def test_other_vms_are_told(self) -> None:
        await self.call("/safe/x")
        await self.until(lambda: bool(self.places(1).brittle))

    async def test_an_answer_without_it_ends_it(self) -> None:
        await self.all_know()
        for worker in self.endpoints.values():
            worker.headers = {}
        # A single caller's requests never go to the endpoint that seems slowest, and
        # on a busy machine those of many callers may not for a while.
        async with asyncio.timeout(WAIT_SECONDS):
            while self.places().brittle:
                callers = range(SLOTS * len(self.workers))
                await asyncio.gather(*(self.call("/safe/x") for _ in callers))

    async def test_an_endpoint_that_is_gone_is_forgotten(self) -> None:
        await self.all_know()
        await self.store.remove("servers", "p1")
        await self.until(lambda: "p1" not in self.places().brittle)

    async def test_the_issuer_cannot_be_reached(self) -> None:
        await self.all_know()
        places = self.places()
        known = self.gateway.knowledge.instances.registry.known
        call = mock.AsyncMock(side_effect=PeerError("silent"))
        with (
            mock.patch.object(places.peers, "call", call),
            mock.patch.object(places.ranking, "primary", return_value="vm-2"),
        ):
            state = self.gateway.path.parts.table.state_of("p1")
            state.in_flight = 0
            instance = known[EndpointName("p1")]
            self.assertTrue(await places.acquire(instance))
            state.in_flight = SLOTS
            self.assertFalse(await places.acquire(instance))
            state.in_flight = 0

    async def test_a_rejection_holds_all_vms_back(self) -> None:
        await self.all_know()
        instance = self.gateway.knowledge.instances.registry.known[EndpointName("p1")]
        self.places().on_rejected(instance)
        brittle = self.places(1).brittle[EndpointName("p1")]
        await self.until(lambda: bool(brittle.rejections))
        self.assertTrue(self.places(1).has_overflowed(EndpointName("p1")))


class CrashTest(BrittleCase):
    """Crashes of brittle endpoints."""

    vms = 1

    async def crash(self, rejected: bool) -> list[EventKind]:
        """Let an endpoint crash under a request, after a rejection or without one."""
        await self.all_know()
        known = self.gateway.knowledge.instances.registry.known
        places = self.gateway.path.admission.limits.places
        for name, worker in self.endpoints.items():
            worker.choose = lambda seen, worker=worker: worker.crash()
            if rejected:
                places.on_rejected(known[EndpointName(name)])
                places.brittle[EndpointName(name)].denied_until = 0.0
        await self.call("/unsafe/x")
        return [event.kind for event in self.gateway.context.timeline.ring.events]

    def suspected(self) -> int:
        return len(self.gateway.path.parts.crashes.book.crashes_by_request)

    async def test_for_want_of_room_is_put_down_to_the_request(self) -> None:
        self.assertIn(EventKind.ENDPOINT_ENDED, await self.crash(rejected=True))
        self.assertEqual(self.suspected(), 0)

    async def test_without_a_rejection_is_not_put_down_to_the_request(self) -> None:
        self.assertIn(EventKind.ENDPOINT_ENDED, await self.crash(rejected=False))
        self.assertEqual(self.suspected(), 1)
