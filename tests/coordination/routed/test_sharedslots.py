# Licensed under the Apache License 2.0: see LICENSE for details.

"""Gateways that share the slots of endpoints which tell their load and pace."""

from __future__ import annotations

import asyncio
from unittest import mock

from standins.worker import Behaviour, Seen, WorkerStandIn
from tests.gatewaycase import GatewayCase, Got
from walnutquay.coordination.routed.slotsharing import SlotSharing
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.protocol.slotmessages import AskSlot
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, ServiceName
from walnutquay.state.routed.overloadscope import Coverage
from walnutquay.state.routed.ownslots import OwnSlots

SLOTS = 2
WORK_SECONDS = 0.05
PLAIN = ServiceName("plain")
VMS = 2
CALLERS = 8
REQUESTS = 6


class SlottedWorker:
    """Gives an endpoint slots, a queue behind them, and a load that it tells.

    :param worker: the endpoint.
    :param pace: the pace that it tells, in hundredths of the usual; None for none.
    """

    def __init__(self, worker: WorkerStandIn, pace: int | None) -> None:
        self.worker = worker
        self.pace = pace
        self.there = 0
        self.peak = 0
        worker.choose = self.choose
        self.tell()

    def tell(self) -> None:
        """Tell the load in the answers that follow."""
        running = min(self.there, SLOTS)
        load = [running, self.there - running, SLOTS]
        if self.pace is not None:
            load.append(self.pace)
        self.worker.headers = {"Load": ",".join(map(str, load))}

    def choose(self, seen: Seen) -> Behaviour:
        """Run a request when those before it are done."""
        seconds = WORK_SECONDS * (1 + self.there // SLOTS)
        self.there += 1
        self.peak = max(self.peak, self.there)
        self.tell()
        asyncio.get_running_loop().call_later(seconds, self.done)
        return Behaviour(pause=seconds)

    def done(self) -> None:
        self.there -= 1
        self.tell()


class SharedSlotsCase(GatewayCase):
    """Some VMs in front of endpoints with few slots."""

    workers = {"p1": "plain", "p2": "plain"}
    pace: int | None = 100
    mode = Coverage.PACED

    async def asyncSetUp(self) -> None:
        # A busy machine must not decide whether a keeper answers in time.
        name = "walnutquay.coordination.routed.slotasks.ANSWER_SECONDS"
        self.enterContext(mock.patch(name, 9.0))
        await super().asyncSetUp()
        for number in range(1, VMS):
            await self.add_gateway(f"vm-{number + 1}", peers=list(self.gateways))
        self.slotted = {
            name: SlottedWorker(worker, self.pace)
            for name, worker in self.endpoints.items()
        }
        for name, worker in self.endpoints.items():
            await self.store.put("servers", name, worker.spec("plain", slots=SLOTS))
        for gateway in self.gateways:
            known = gateway.knowledge.instances.registry.known
            await self.until(
                lambda known=known: (
                    len(known) == len(self.workers)
                    and all(i.slots == SLOTS for i in known.values())
                )
            )

    async def prepare(self, gateway: GatewayDaemon) -> None:
        gateway.sharing.signs.scope.coverage = self.mode
        send = gateway.peers.call
        gateway.questions = 0

        async def counted(name: str, body: object, timeout: float) -> object:
            gateway.questions += isinstance(body, AskSlot)
            return await send(name, body, timeout)

        gateway.peers.call = counted

    async def callers(self) -> list[Got]:
        """Play all callers at once, one request after the other each."""

        async def calls(number: int) -> list[Got]:
            gateway = self.gateways[number % VMS]
            return [
                await self.call(f"/safe/{number}-{n}", gateway=gateway)
                for n in range(REQUESTS)
            ]

        plays = await asyncio.gather(*(calls(n) for n in range(CALLERS)))
        return [got for play in plays for got in play]

    def asked(self) -> list[int]:
        """Return how often each VM asked for a slot."""
        return [g.context.metrics.counters["slots_asked"] for g in self.gateways]

    def sharing(self) -> SlotSharing:
        return self.gateway.sharing


class SharedTest(SharedSlotsCase):
    """Slots that are shared out."""

    async def test_scarce_slots_are_asked_for(self) -> None:
        answers = await self.callers()
        self.assertGreater(min(self.asked()), 0)
        served = [got for got in answers if got.status == 200]
        self.assertEqual({got.status for got in answers} - {200, 429}, set())
        self.assertEqual(self.runs(), len(served))
        for gateway in self.gateways:
            await self.until(
                lambda one=gateway: (
                    not one.sharing.held.slots and not one.sharing.asks.waiting
                )
            )

    async def test_a_refusal_ran_nothing_and_says_so(self) -> None:
        await self.callers()
        self.sharing().signs.on_told(PLAIN, 5.0, float("inf"))
        with mock.patch.object(
            type(self.sharing().ranking), "keeper", return_value=None
        ):
            before = self.runs()
            full = mock.patch.object(OwnSlots, "next_send", return_value=1000.0)
            with full:
                got = await self.call("/unsafe/x", b"b")
        self.assertEqual(got.status, 429)
        self.assertEqual(self.runs(), before)
        self.assertIn("Retry-After", got.headers)
        kinds = [event.kind for event in self.gateway.context.timeline.ring.events]
        self.assertIn(EventKind.SLOT_DENIED, kinds)
        self.assertIn(EventKind.REFUSED, kinds)

    async def test_the_granted_endpoint_may_not_be_sent_to_any_more(self) -> None:
        """It wants a pause by the time the grant comes; the other one is asked for."""
        await self.callers()
        sharing, limits = self.sharing(), self.gateway.path.admission.limits
        registry = self.gateway.knowledge.instances.registry
        sharing.signs.on_told(PLAIN, 5.0, float("inf"))
        acquire, granted = sharing.acquire, []

        async def acquire_late(need: object, found: list) -> object:
            acquired = await acquire(need, found)
            name = acquired.ok.endpoint.name
            if not granted:
                limits.backoffs.on_answer(registry.known[name], 5.0, 503)
            granted.append(name)
            return acquired

        keeper = next(
            g for g in self.gateways if g.context.vm == sharing.ranking._order(PLAIN)[0]
        )
        kept = keeper.sharing.keeper._kept(PLAIN, 0.0)
        kept.queue.scarce_until = float("inf")
        with mock.patch.object(sharing, "acquire", acquire_late):
            got = await self.call("/safe/y")
        self.assertEqual(got.status, 200)
        self.assertEqual(len(granted), 2)
        self.assertNotEqual(granted[0], granted[1])
        counters = self.gateway.context.metrics.counters
        self.assertEqual(counters["slots_given_back"], 1)
        await self.until(lambda: not sharing.held.slots)

    async def test_a_failure_does_not_tell_how_long_work_takes(self) -> None:
        await self.callers()
        sharing = self.sharing()
        sharing.signs.on_told(PLAIN, 5.0, float("inf"))
        for slotted in self.slotted.values():
            slotted.worker.choose = lambda seen: Behaviour(status=500)
        with mock.patch.object(sharing, "release", wraps=sharing.release) as release:
            self.assertEqual((await self.call("/safe/y")).status, 500)
            failed = [call.args[1] for call in release.call_args_list]
            for slotted in self.slotted.values():
                slotted.worker.choose = slotted.choose
            self.assertEqual((await self.call("/safe/z")).status, 200)
        self.assertEqual(set(failed), {0.0})
        self.assertGreater(release.call_args.args[1], 0.0)

    async def test_the_store_is_away(self) -> None:
        await self.store.stop()
        answers = await self.callers()
        self.assertEqual({got.status for got in answers} - {200, 429}, set())
        self.assertGreater(min(self.asked()), 0)

    async def test_figures_tell_of_it(self) -> None:
        await self.callers()
        lines = [
            line for gateway in self.gateways for line in gateway.metrics_api.lines()
        ]
        text = "\n".join(lines)
        self.assertIn('walnutquay_slot_keeper_granted_total{service="plain"}', text)
        self.assertIn('walnutquay_slot_capacity{service="plain",endpoint="p1"} 2', text)


class NoPaceTest(SharedSlotsCase):
    """Endpoints that tell their load and no pace: nothing changes."""

    pace = None

    async def test_nobody_asks(self) -> None:
        answers = await self.callers()
        self.assertEqual({got.status for got in answers}, {200})
        self.assertEqual(self.asked(), [0] * VMS)
        self.assertEqual([g.questions for g in self.gateways], [0] * VMS)
        for gateway in self.gateways:
            self.assertEqual(gateway.sharing.signs.loads, {})
            self.assertEqual(gateway.sharing.keeper.kept, {})


class NeverTest(NoPaceTest):
    """Endpoints that tell a pace where the settings say never."""

    pace = 100
    mode = Coverage.NEVER


class GoneTest(SharedSlotsCase):
    """Endpoints that are gone."""

    async def test_are_forgotten(self) -> None:
        await self.callers()
        self.assertIn(EndpointName("p1"), self.sharing().signs.loads)
        await self.store.remove("servers", "p1")
        await self.until(lambda: "p1" not in self.sharing().signs.loads)
