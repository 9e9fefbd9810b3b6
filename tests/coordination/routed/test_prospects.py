# Licensed under the Apache License 2.0: see LICENSE for details.

"""Prompts that no engine can begin in time, with real VMs and engines."""

from __future__ import annotations

from standins.worker import Behaviour
from tests.gatewaycase import GatewayCase, Got
from walnutquay.state.process.ids import EndpointName
from walnutquay.state.requests.endpoints import FAILED_RATIO
from walnutquay.transport.timers import monotonic

ENGINES = ("e1", "e2")
STREAM = {"Model": "*", "Token_Count": "3000,10", "Prefix_Hash": "aa:2000,bb:1000"}
QUEUED_SECONDS = 60.0


class ProspectsCase(GatewayCase):
    """Two engines that have a minute to read, and tell how long work takes there."""

    workers = {name: "engine" for name in ENGINES}
    load = "1,0,8,100"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name in ENGINES:
            told = Behaviour(events=2, headers={"Load": self.load})
            self.endpoints[name].default = told
        await self.stream("4000")
        self.sent = self.runs()
        work = self.gateway.path.admission.work
        for name in ENGINES:
            work.add(EndpointName(name), QUEUED_SECONDS, "", monotonic())

    async def stream(self, deadline: str) -> Got:
        return await self.call("/stream/x", b"b", Deadline=deadline, **STREAM)


class HopelessPromptTest(ProspectsCase):
    """A prompt whose turn comes after its deadline is refused before it is sent."""

    async def test_refused_at_once(self):
        answer = await self.stream("4000")
        self.assertEqual(answer.status, 429)
        self.assertIn(b"deadline_cannot_be_met", answer.body)
        self.assertNotIn("Retry-After", answer.headers)
        self.assertEqual(self.runs(), self.sent)
        metrics = self.gateway.context.metrics
        self.assertEqual(metrics.counters["hopeless_prompts"], 1)

    async def test_sent_while_one_engine_is_free(self):
        work = self.gateway.path.admission.work
        work.busy_until[EndpointName("e2")] = monotonic()
        answer = await self.stream("4000")
        self.assertEqual((answer.status, answer.whole), (200, True))

    async def test_failures_make_no_prompt_hopeless(self):
        work, table = self.gateway.path.admission.work, self.gateway.path.parts.table
        now = monotonic()
        # Reading takes three quarters of the time that is left, at best.
        work.rates["tiny"] = 0.003
        for name in ENGINES:
            work.busy_until[EndpointName(name)] = now
            table.report(EndpointName(name), 1, "", now, 1.0)
            for _ in range(10):
                table.state_of(name).learn_speed(FAILED_RATIO, now)
        answer = await self.stream("4000")
        self.assertEqual((answer.status, answer.whole), (200, True))


class WithoutPaceTest(ProspectsCase):
    """Where endpoints tell no pace, prompts are sent as before."""

    load = "1,0,8"

    async def test_sent(self):
        answer = await self.stream("4000")
        self.assertEqual((answer.status, answer.whole), (200, True))
