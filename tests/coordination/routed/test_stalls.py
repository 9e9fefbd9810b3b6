# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that wait in vain at one endpoint while others have room."""

from __future__ import annotations

import asyncio
from unittest import mock

from standins.worker import Behaviour, Seen
from tests.gatewaycase import GatewayCase, Got, catalogue
from walnutquay.coordination.routed import failures
from walnutquay.state.process.events import EventKind
from walnutquay.state.routed.retrypauses import retry_pause

# Running, waiting, slots, and work that takes its usual time.
PACE = {"Load": "1,0,8,100"}
EVENTS = 24
PLAIN = ("p1", "p2", "p3")
ENGINES = ("e1", "e2", "e3")
STREAM = {"Model": "tiny", "Deadline": "4500"}


class StallCase(GatewayCase):
    """Endpoints that tell their pace; one of them makes one request wait."""

    workers = {**dict.fromkeys(PLAIN, "plain"), **dict.fromkeys(ENGINES, "engine")}
    headers = PACE
    # An objective of whose double nothing is left before the deadline.
    aims = {"sloMs": 3000, "timeoutMs": 5000}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for endpoint in self.endpoints.values():
            endpoint.headers = dict(self.headers)
        for name in ENGINES:
            self.endpoints[name].default = Behaviour(events=EVENTS, pause=0.002)
        spec = catalogue(version=2)
        for one in spec["routes"]:
            one.update(self.aims)
        await self.store.put("config", "main", spec)
        known = self.gateway.knowledge.catalogue
        await self.until(lambda: known.current.version == 2)

    async def warm(self, path: str = "/safe/x") -> None:
        """Send requests until each endpoint's times are known."""
        streamed = path == "/stream/x"
        names = ENGINES if streamed else PLAIN
        while min(self.runs(name) for name in names) < 6:
            await self.send(path)

    async def send(self, path: str) -> Got:
        if path == "/stream/x":
            return await self.call(path, b"b", **STREAM)
        return await self.call(path, None if path == "/safe/x" else b"b")

    def hold_next(self, names: tuple[str, ...], behaviour: Behaviour) -> list[str]:
        """Answer the next request otherwise.

        :returns: the endpoint that got it, once it has.
        """
        held: list[str] = []

        def chooser(name: str):
            def choose(seen: Seen) -> Behaviour | None:
                if held:
                    return None
                held.append(name)
                return behaviour

            return choose

        for name in names:
            self.endpoints[name].choose = chooser(name)
        return held

    async def send_beside(self, path: str, held: list[str], **more: str) -> Got:
        """Send a request that is held, and others until it is answered."""
        body = None if path == "/safe/x" else b"b"
        call = asyncio.ensure_future(self.call(path, body, **more))
        await self.until(lambda: bool(held))
        while not call.done():
            await self.send("/safe/x" if path == "/unsafe/x" else path)
            await asyncio.sleep(0.02)
        return await call

    def count(self, name: str) -> int:
        return self.gateway.context.metrics.counters[name]

    def stalled(self) -> list[str]:
        events = self.gateway.context.timeline.ring.events
        return [event.detail for event in events if event.kind is EventKind.STALLED]


class MovedRequestTest(StallCase):
    """A request that one endpoint never begins is answered by another one."""

    async def test_safe_call(self):
        await self.warm()
        held = self.hold_next(PLAIN, Behaviour(mute=True))
        answer = await self.send_beside("/safe/x", held, Deadline="4500")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.stalled(), ["move"])
        self.assertEqual(self.count("stalls_moved"), 1)
        await self.until(lambda: any(run.left for run in self.endpoints[held[0]].runs))

    async def test_stream_without_a_head(self):
        await self.warm("/stream/x")
        held = self.hold_next(ENGINES, Behaviour(mute=True))
        answer = await self.send_beside("/stream/x", held, **STREAM)
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual(answer.body.count(b"id:"), EVENTS)
        self.assertEqual(self.stalled(), ["move"])

    async def test_silent_stream(self):
        await self.warm("/stream/x")
        held = self.hold_next(ENGINES, Behaviour(events=EVENTS, pause=30.0))
        answer = await self.send_beside("/stream/x", held, **STREAM)
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body.count(b"id:"), EVENTS)
        self.assertEqual(self.stalled(), ["move"])
        await self.until(lambda: any(run.left for run in self.endpoints[held[0]].runs))

    async def test_crawling_stream(self):
        await self.warm("/stream/x")
        # At this pace it would take nearly twice the time that is left.
        held = self.hold_next(ENGINES, Behaviour(events=EVENTS, pause=0.3))
        stalls = self.gateway.path.stalls
        with mock.patch.object(stalls, "check_gap", return_value=False):
            answer = await self.send_beside("/stream/x", held, **STREAM)
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body.count(b"id:"), EVENTS)
        self.assertEqual(self.stalled(), ["move"])


class KeptRequestTest(StallCase):
    """Requests stay where a second attempt would not help, or is not allowed."""

    async def test_all_endpoints_are_slow(self):
        await self.warm()
        for name in PLAIN:
            self.endpoints[name].default = Behaviour(mute=True)
        before = self.runs(*PLAIN)
        calls = [self.call("/safe/x", Deadline="2000") for _ in range(6)]
        answers = await asyncio.gather(*calls)
        self.assertEqual({answer.status for answer in answers}, {504})
        self.assertEqual(self.runs(*PLAIN), before + 6)
        self.assertEqual(self.count("stalls_moved"), 0)

    async def test_unsafe_call_is_answered_before_its_deadline(self):
        await self.warm()
        held = self.hold_next(PLAIN, Behaviour(mute=True))
        answer = await self.send_beside("/unsafe/x", held, Deadline="2000")
        self.assertEqual(answer.status, 504)
        self.assertEqual(self.stalled(), ["end"])
        sent = [run for name in PLAIN for run in self.endpoints[name].runs]
        unsafe = [run for run in sent if run.target == "/unsafe/x"]
        self.assertEqual(len(unsafe), 1)

    async def test_no_retry_is_left(self):
        await self.warm()
        held = self.hold_next(PLAIN, Behaviour(mute=True))
        budget = self.gateway.path.budgets.of("plain")
        with mock.patch.object(type(budget), "left", 0.0):
            answer = await self.send_beside("/safe/x", held, Deadline="2000")
        self.assertEqual(answer.status, 504)
        self.assertGreater(self.count("stalls_kept_for_budget"), 0)
        self.assertEqual(self.stalled(), ["end"])

    async def test_few_are_moved_at_a_time(self):
        await self.warm()
        held = self.hold_next(PLAIN, Behaviour(mute=True))
        limit = self.gateway.path.stalls.limit
        with mock.patch.object(limit, "take", return_value=False):
            answer = await self.send_beside("/safe/x", held, Deadline="2000")
        self.assertEqual(answer.status, 504)
        self.assertGreater(self.count("stalls_kept_for_share"), 0)


class NoPaceTest(StallCase):
    """Where endpoints do not tell their pace, requests wait as long as before."""

    headers = {"Load": "1,0,8"}

    async def test_held_call(self):
        await self.warm()
        held = self.hold_next(PLAIN, Behaviour(mute=True))
        answer = await self.send_beside("/safe/x", held, Deadline="2000")
        self.assertEqual(answer.status, 504)
        self.assertEqual(self.stalled(), [])
        self.assertFalse(self.gateway.path.stalls.heads.kinds.entries)

    async def test_failures_are_retried_at_once(self):
        await self.warm()
        held = self.hold_next(PLAIN, Behaviour(status=500))
        with mock.patch.object(failures, "retry_pause") as pause:
            answer = await self.send_beside("/safe/x", held)
        self.assertEqual(answer.status, 200)
        pause.assert_not_called()


class SilentBodyTest(StallCase):
    """The limit for the head of an answer does not hold for its body."""

    aims = {"sloMs": 200, "gapAimMs": 800}

    async def test_stream_with_a_long_pause(self):
        await self.call("/stream/x", b"b", **STREAM)
        before = self.runs(*ENGINES)
        # Longer than twice the objective, shorter than four pauses.
        self.hold_next(ENGINES, Behaviour(events=3, pause=0.9))
        answer = await self.call("/stream/x", b"b", **STREAM)
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body.count(b"id:"), 3)
        self.assertEqual(self.runs(*ENGINES), before + 1)


class QuickFailureTest(StallCase):
    """Attempts are not used up while all endpoints fail for a moment."""

    async def test_retry_waits(self):
        await self.warm("/stream/x")
        for name in ENGINES:
            self.endpoints[name].choose = lambda seen: Behaviour(status=500)
        pauses = []

        def heal_in_pause(failure, chance):
            pauses.append(retry_pause(failure, chance))
            if pauses[-1] > 0.0 and failure.attempts == 2:
                for name in ENGINES:
                    self.endpoints[name].choose = lambda seen: None
            return pauses[-1]

        with mock.patch.object(failures, "retry_pause", heal_in_pause):
            answer = await self.call("/stream/x", b"b", **STREAM)
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual(len(pauses), 2)
        self.assertLess(pauses[0], pauses[1])

    async def test_a_stop_is_not_held_up(self):
        await self.warm("/stream/x")

        def fail_and_stop(seen: Seen) -> Behaviour:
            self.gateway.path.closed = True
            return Behaviour(status=500)

        for name in ENGINES:
            self.endpoints[name].choose = fail_and_stop
        with mock.patch.object(failures, "retry_pause") as pause:
            answer = await self.call("/stream/x", b"b", **STREAM)
        self.assertEqual(answer.status, 500)
        pause.assert_not_called()
