# Licensed under the Apache License 2.0: see LICENSE for details.

"""VMs that were suspended: the boot-time clock advances while timers stand still.

The tests patch the clock that the system call returns.  A real suspension, in which
timers stop as well, cannot be produced in a test.
"""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

from standins.worker import Behaviour
from tests.gatewaycase import GatewayCase, catalogue
from walnutquay.state.process.events import EventKind
from walnutquay.transport.timers import WAKE_SECONDS, TimerService

# Longer than any time limit used here.
SLEPT_SECONDS = 1000.0
# The time within which a test finishes unless it hangs.
HANG_SECONDS = 20.0


class Clock:
    """A clock whose boot time, which counts suspensions, can be advanced."""

    def __init__(self) -> None:
        self.slept = 0.0
        self.real = time.clock_gettime

    def __call__(self, clock: int) -> float:
        extra = self.slept if clock == time.CLOCK_BOOTTIME else 0.0
        return self.real(clock) + extra


class WakeTest(unittest.IsolatedAsyncioTestCase):
    """The timer service reports a suspension and its duration."""

    async def test_callback_runs_once_with_the_duration(self):
        clock = Clock()
        durations: list[float] = []
        with mock.patch.object(time, "clock_gettime", clock):
            timers = TimerService()
            timers.on_wake(durations.append)
            await asyncio.sleep(0.3)
            self.assertEqual(durations, [])
            clock.slept = SLEPT_SECONDS
            async with asyncio.timeout(HANG_SECONDS):
                while not durations:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            timers.stop()
        self.assertEqual(len(durations), 1)
        self.assertGreater(durations[0], SLEPT_SECONDS - WAKE_SECONDS)

    async def test_periodic_calls_do_not_accumulate(self):
        clock = Clock()
        with mock.patch.object(time, "clock_gettime", clock):
            timers = TimerService()
            calls: list[None] = []
            timers.every("often", 0.05, lambda: calls.append(None))
            clock.slept = SLEPT_SECONDS
            await asyncio.sleep(0.3)
            timers.stop()
        self.assertLess(len(calls), 10)


class SuspendedCase(GatewayCase):
    """A gateway on a machine that is suspended."""

    async def asyncSetUp(self) -> None:
        self.clock = Clock()
        patched = mock.patch.object(time, "clock_gettime", self.clock)
        patched.start()
        self.addCleanup(patched.stop)
        await super().asyncSetUp()

    def woke(self) -> list[dict[str, object]]:
        """:returns: the facts of the wake events."""
        events = self.gateway.context.timeline.ring.events
        return [dict(e.facts) for e in events if e.kind is EventKind.WOKE]


class InFlightRequestTest(SuspendedCase):
    """Requests in progress when the machine is suspended."""

    async def test_expired_request_is_answered_at_once(self):
        spec = catalogue(2)
        for route in spec["routes"]:
            route["timeoutMs"] = 100_000
        await self.store.put("config", "main", spec)
        current = self.gateway.knowledge.catalogue
        await self.until(lambda: current.current.version == 2)
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(mute=True)
        for path, body in (("/safe/x", None), ("/unsafe/x", b"b")):
            with self.subTest(path=path):
                before = self.runs("p1", "p2")
                call = asyncio.ensure_future(self.call(path, body, Deadline="100000"))
                await self.until(lambda: self.runs("p1", "p2") > before)  # noqa: B023
                self.clock.slept += SLEPT_SECONDS
                async with asyncio.timeout(HANG_SECONDS):
                    answer = await call
                self.assertEqual(answer.status, 504)
                runs = self.endpoints["p1"].runs + self.endpoints["p2"].runs
                await self.until(lambda: all(run.left for run in runs))  # noqa: B023
        self.assertGreater(self.woke()[0]["slept_ms"], 0)


class KnowledgeTest(SuspendedCase):
    """No request is sent by stale state while the store can confirm the newest."""

    async def test_state_is_confirmed_before_the_first_request(self):
        # The store answers so slowly that the request would otherwise be sent first.
        self.store.late_seconds = 0.1
        self.clock.slept += SLEPT_SECONDS
        await self.until(lambda: bool(self.woke()))
        answer = await self.call("/safe/x")
        self.assertEqual(answer.status, 200)
        knowledge = self.gateway.knowledge
        for follower in knowledge.followers():
            self.assertGreater(follower.confirmed_at, knowledge.woke_at)

    async def test_known_state_is_used_while_the_store_is_unreachable(self):
        self.store.silent = True
        self.clock.slept += SLEPT_SECONDS
        await self.until(lambda: bool(self.woke()))
        self.assertEqual((await self.call("/safe/x")).status, 200)

    async def test_key_revoked_during_the_suspension(self):
        await self.until(lambda: self.store.waiting > 0)
        self.gateway.knowledge.stop()
        spec = catalogue(2)
        spec["tenants"][0]["apiKeys"] = ["only-this-key"]
        await self.store.put("config", "main", spec)
        # It follows the store again when it wakes.
        self.gateway.knowledge.follow()
        self.store.late_seconds = 0.1
        self.clock.slept += SLEPT_SECONDS
        await self.until(lambda: bool(self.woke()))
        self.assertEqual((await self.call("/safe/x")).status, 401)
