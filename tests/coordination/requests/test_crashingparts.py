# Licensed under the Apache License 2.0: see LICENSE for details.

"""Prompts with a part that crashes the engines that answer them."""

from __future__ import annotations

import asyncio
import itertools
from unittest import mock

from standins.worker import Behaviour, Seen
from tests.coordination.requests.test_crashes import EVENTS, CrashCase
from tests.gatewaycase import Got
from walnutquay.commands.fleetstate import concerns, read_figures, state_of
from walnutquay.coordination.requests.limits import STEP_ENDED
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.state.process.events import EventKind
from walnutquay.state.requests.crashparts import SAME_MOMENT_SECONDS

# The part that crashes engines, and one that all prompts begin with.
CRASHING_PART = "bad0"
FIRST_PART = "5c1e"
# The crashes after which no more engines may crash.
MAX_CRASHES = 5


def prompt(*names: str) -> str:
    """Return the header that lists the parts of a prompt."""
    return ",".join(f"{name}:100" for name in names)


def crash_on_part(seen: Seen) -> Behaviour:
    """Return the behaviour of an engine: it crashes within answers to some prompts."""
    named = seen.headers.get("prefix-hash", "").split(",")
    parts = {text.partition(":")[0] for text in named[:-1]}
    return Behaviour(events=EVENTS, crash_after=1 if CRASHING_PART in parts else None)


class PartCase(CrashCase):
    """Engines that a part of a prompt crashes, whatever else the request holds."""

    workers = {f"e{n}": "engine" for n in range(1, 13)}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.own = itertools.count()
        for worker in self.endpoints.values():
            worker.choose = crash_on_part

    async def ask(
        self,
        *shared: str,
        path: str = "/stream/x",
        gateway: GatewayDaemon | None = None,
        **headers: str,
    ) -> Got:
        """Send a request like no other: its body and the last part are its own."""
        own = f"f{next(self.own):03x}"
        return await self.call(
            path,
            own.encode(),
            gateway=gateway,
            Model="tiny",
            Token_Count="1000,20",
            Prefix_Hash=prompt(*shared, own),
            **headers,
        )


class DistinctRequestsTest(PartCase):
    """Requests that share only a part of their prompts crash engines one by one.

    Guards against evidence that is kept by whole requests alone: each new request began
    without any, and crashed up to three engines before it was refused.
    """

    async def test_engines_crash_no_more_once_the_part_is_known(self):
        second = await self.add_gateway("vm-2", [self.gateway])
        vms = itertools.cycle([self.gateway, second])
        sound = []
        for number in range(8):
            sound.append(await self.ask(FIRST_PART, f"a{number}", gateway=next(vms)))
            bad = (FIRST_PART, f"b{number}", CRASHING_PART)
            await self.ask(*bad, gateway=next(vms))
        self.assertLessEqual(self.crashes, MAX_CRASHES)
        self.assertEqual({(got.status, got.whole) for got in sound}, {(200, True)})

    async def test_refused_at_every_vm_and_shown_to_operators(self):
        second = await self.add_gateway("vm-2", [self.gateway])
        await self.block()
        await self.until(lambda: bool(self.book_of(second).blocked_parts))
        for gateway in (self.gateway, second):
            answer = await self.ask("other", CRASHING_PART, gateway=gateway)
            self.assertEqual(answer.status, 500)
            self.assertIn(b'"ends_endpoints"', answer.body)
            self.assertNotIn("Retry-After", answer.headers)
            self.assertEqual((await self.ask(FIRST_PART, gateway=gateway)).status, 200)
        lines = list(self.gateway.metrics_api.lines())
        label = 'service="engine",version="v1"'
        self.assertIn(f"walnutquay_parts_blocked{{{label}}} 1", lines)
        state = state_of("vm-1", read_figures("\n".join(lines) + "\n"))
        self.assertIn("1 parts of prompts end", " ".join(concerns([state])))
        [event] = [
            event
            for event in self.events_of(EventKind.PART_BLOCKED)
            if event["vm"] == "vm-1"
        ]
        self.assertEqual(event["part"], CRASHING_PART)

    async def block(self) -> None:
        """Crash engines until the part is blocked."""
        number = 0
        while not self.book_of(self.gateway).blocked_parts:
            number += 1
            await self.ask(FIRST_PART, path="/once/x")
            await self.ask(FIRST_PART, f"c{number}", CRASHING_PART, path="/once/x")
            self.assertLessEqual(self.crashes, MAX_CRASHES)


class LateVmTest(PartCase):
    """VMs that were absent when a part was blocked learn of the block."""

    async def block(self) -> None:
        await DistinctRequestsTest.block(self)

    async def test_vm_that_starts_later(self):
        await self.block()
        crashes = self.crashes
        second = await self.add_gateway("vm-2", [self.gateway])
        await self.until(lambda: bool(self.book_of(second).blocked_parts))
        answer = await self.ask("x", CRASHING_PART, gateway=second)
        self.assertEqual((answer.status, self.crashes), (500, crashes))

    async def test_all_vms_were_lost(self):
        await self.block()
        crashes = self.crashes
        record = self.gateway.crash_record
        await self.until(lambda: record.write_count)
        await self.close_gateway(self.gateway)
        second = await self.add_gateway("vm-2")
        await self.until(lambda: bool(self.book_of(second).blocked_parts))
        answer = await self.ask("x", CRASHING_PART, gateway=second)
        self.assertEqual((answer.status, self.crashes), (500, crashes))


class SelfEndingEnginesTest(PartCase):
    """Engines that crash by themselves get no part blocked that prompts share."""

    async def test_sound_prompts_are_served_on(self):
        runs = itertools.count(1)

        def crash_sometimes(seen: Seen) -> Behaviour:
            unlucky = next(runs) % 6 == 0
            return Behaviour(events=EVENTS, crash_after=1 if unlucky else None)

        for worker in self.endpoints.values():
            worker.choose = crash_sometimes
        for number in range(40):
            answer = await self.ask(FIRST_PART, f"q{number % 4}")
            self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertGreaterEqual(self.crashes, 3)
        self.assertEqual(self.book_of(self.gateway).blocked_parts, {})


class FirstPartTest(PartCase):
    """The first part of a prompt, which sound ones do not have, crashes engines."""

    async def test_no_more_than_five_crash(self):
        for number in range(8):
            await self.ask(FIRST_PART, f"q{number % 2}")
            await self.ask(CRASHING_PART, f"q{number % 2}")
        self.assertLessEqual(self.crashes, MAX_CRASHES)
        self.assertEqual((await self.ask(FIRST_PART, "q0")).status, 200)


class SuspectTest(PartCase):
    """Requests with a part under suspicion meet at one engine, whoever sends them."""

    async def test_many_at_once_crash_one_engine(self):
        second = await self.add_gateway("vm-2", [self.gateway])
        for number in range(2):
            await self.ask(FIRST_PART)
            bad = (FIRST_PART, f"b{number}", CRASHING_PART)
            await self.ask(*bad, path="/once/x")
            # Crashes of one moment would count once.
            await asyncio.sleep(SAME_MOMENT_SECONDS)
        one, other = self.book_of(self.gateway), self.book_of(second)
        await self.until(lambda: one.digest() == other.digest())
        before = self.crashes
        await asyncio.gather(
            *(
                self.ask(FIRST_PART, CRASHING_PART, path="/once/x", gateway=vm)
                for vm in (self.gateway, second) * 3
            )
        )
        self.assertEqual(self.crashes, before + 1)


class UnderWayTest(PartCase):
    """Requests with the part that wait at engines are ended as it is blocked."""

    async def test_one_that_waits_is_cancelled(self):
        gate = asyncio.Event()
        waiting = [Behaviour(events=EVENTS, gate=gate)]
        for worker in self.endpoints.values():
            worker.choose = lambda seen: (
                waiting.pop() if waiting else crash_on_part(seen)
            )
        held = asyncio.ensure_future(
            self.ask("x", CRASHING_PART, path="/once/x", Deadline="9000")
        )
        await self.until(lambda: not waiting)
        holder = next(worker for worker in self.endpoints.values() if worker.runs)
        table = self.gateway.path.admission.table
        table.state_of(holder.name).ejected_until = float("inf")
        await DistinctRequestsTest.block(self)
        answer = await held
        self.assertFalse(answer.whole)
        self.assertEqual(holder.crashes, 0)
        steps = [line["step"] for line in self.events_of(EventKind.FAILED)]
        self.assertEqual(steps.count(STEP_ENDED), 1)
        gate.set()
        await self.until(lambda: holder.runs[0].left)


class FullEnginesTest(PartCase):
    """A blocked request is refused at once, also where it would have to wait."""

    async def test_it_does_not_wait_for_a_slot(self):
        await DistinctRequestsTest.block(self)
        admission = self.gateway.path.admission
        waits = mock.AsyncMock(side_effect=AssertionError("it waits"))
        with mock.patch.object(admission, "acquire", waits):
            answer = await self.ask("x", CRASHING_PART)
        self.assertEqual(answer.status, 500)
        self.assertIn(b'"ends_endpoints"', answer.body)
