# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the rate limits that endpoints name for the requests of all VMs together."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from standins.worker import Behaviour
from tests.gatewaycase import GatewayCase, Got
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.platform import names
from walnutquay.state.process.events import EventKind


class RateLimitCase(GatewayCase):
    """Two engines, of which one names a rate limit."""

    workers: Mapping[str, str] = {"e1": "engine", "e2": "engine"}

    async def add_worker(self, name: str, service: str, **more: Any) -> Any:
        worker = await super().add_worker(name, service, **more)
        worker.default = Behaviour(events=2)
        return worker

    def name_limit(self, endpoint: str, value: str, **more: Any) -> None:
        """Have an endpoint name a limit in its answers from now on."""
        headers = {names.RATE_LIMIT: value}
        self.endpoints[endpoint].default = Behaviour(events=2, headers=headers, **more)

    async def stream(self, gateway: GatewayDaemon | None = None, **more: Any) -> Got:
        """Return the answer of a streamed request."""
        headers = {"Model": "tiny", "Token_Count": "100,20", **more}
        return await self.call("/stream/x", b"b", gateway, **headers)

    async def until_told(self, gateway: GatewayDaemon, endpoint: str) -> None:
        """Send requests through a VM until the endpoint has answered one of them."""
        before = self.runs(endpoint)
        while self.runs(endpoint) == before:
            await self.stream(gateway)


class LearningTest(RateLimitCase):
    """What a VM learns from the answers of an endpoint, and logs."""

    def logged(self, kind: EventKind) -> list[dict[str, Any]]:
        """Return the facts of the events of a kind."""
        events = self.gateway.context.timeline.ring.events
        return [dict(event.facts) for event in events if event.kind is kind]

    async def test_changes_are_logged_once(self):
        self.name_limit("e1", "100")
        for _ in range(3):
            await self.until_told(self.gateway, "e1")
        found = self.logged(EventKind.ENDPOINT_LIMITED)
        self.assertEqual([facts["limit"] for facts in found], [100.0])

    async def test_every_kind_of_answer_is_read(self):
        limits = self.gateway.path.admission.rate_limits.table.limits
        kinds = (
            Behaviour(status=500),
            Behaviour(status=404),
            Behaviour(status=503, not_run=True),
            Behaviour(events=3, cut_after=1),
        )
        # A lower limit counts at once, a higher one that follows closely does not.
        for number, behaviour in zip((104, 103, 102, 101), kinds, strict=True):
            with self.subTest(behaviour=behaviour):
                behaviour.headers[names.RATE_LIMIT] = str(number)
                self.endpoints["e1"].next.append(behaviour)
                while self.endpoints["e1"].next:
                    await self.stream()
                self.assertEqual(limits["e1"].per_second, number)

    async def test_invalid_limits_change_nothing_and_harm_no_answer(self):
        for value in ("-1", "nan", "1e309"):
            self.name_limit("e1", value)
            for _ in range(4):
                self.assertEqual((await self.stream()).status, 200)
        self.assertEqual(self.gateway.path.admission.rate_limits.table.limits, {})
        counters = self.gateway.context.metrics.counters
        self.assertGreater(counters["rate_limits_invalid"], 0)

    async def test_another_start_is_not_limited(self):
        self.name_limit("e1", "100")
        await self.until_told(self.gateway, "e1")
        table = self.gateway.path.admission.rate_limits.table
        spec = self.endpoints["e1"].spec("engine", born=7)
        await self.store.put("servers", "e1", spec)
        registry = self.gateway.knowledge.instances.registry
        await self.until(lambda: registry.known["e1"].born == 7)
        await self.store.put("servers", "e1", {**spec, "born": 8})
        await self.until(lambda: registry.known["e1"].born == 8)
        self.assertEqual(table.limits, {})
