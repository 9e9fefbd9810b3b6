# Licensed under the Apache License 2.0: see LICENSE for details.

"""A request that ends engines at the one or the other moment of its answer."""

from __future__ import annotations

import asyncio

from standins.worker import Behaviour
from tests.coordination.requests.test_crashes import CRASHING, EVENTS, CrashCase
from tests.gatewaycase import catalogue
from walnutquay.state.requests.attribution import CRASHES_TO_BLOCK

# Streams may rest for longer than a test takes.
PATIENCE_MS = 60_000


class MomentTest(CrashCase):
    """It is found whenever it ends its engines, and its neighbours are answered."""

    async def come_again(self, events: int) -> None:
        """Send it through two VMs in turn; it ends engines after some events."""
        await self.let_streams_rest()
        second = await self.add_gateway("vm-2", [self.gateway])
        gate = asyncio.Event()
        held = Behaviour(events=EVENTS, gate=gate)
        crash = Behaviour(events=EVENTS, crash_after=events)
        for worker in self.endpoints.values():
            worker.choose = lambda seen: crash if seen.body == CRASHING else held
        beside = [
            asyncio.ensure_future(
                self.stream(f"harmless {n}".encode(), vm, Deadline=f"{PATIENCE_MS}")
            )
            for n, vm in enumerate([self.gateway, second] * 6)
        ]
        await self.until(lambda: self.runs() >= len(beside))
        one, other = self.book_of(self.gateway), self.book_of(second)
        for vm in (second, self.gateway, second, self.gateway):
            await self.call("/once/x", CRASHING, gateway=vm, Model="tiny")
            await self.until(lambda: one.digest() == other.digest())
        gate.set()
        answers = await asyncio.gather(*beside)
        self.assertEqual({(a.status, a.whole) for a in answers}, {(200, True)})
        self.assertEqual(self.crashes, CRASHES_TO_BLOCK)

    async def let_streams_rest(self) -> None:
        """Have no stream moved or ended for its time, on busy machines too."""
        patient = catalogue(2)
        for known in patient["routes"]:
            if known["kind"] == "stream":
                limits = ("timeoutMs", "gapAimMs", "sloMs")
                known.update(dict.fromkeys(limits, PATIENCE_MS))
        await self.store.put("config", "main", patient)
        current = self.gateway.knowledge.catalogue
        await self.until(lambda: current.current.version == patient["version"])

    async def test_before_its_first_event(self):
        await self.come_again(0)

    async def test_after_its_first_event(self):
        await self.come_again(1)

    async def test_after_some_events(self):
        await self.come_again(EVENTS - 1)
