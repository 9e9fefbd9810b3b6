# Licensed under the Apache License 2.0: see LICENSE for details.

"""A request runs at most once, and "not run" is true: over real processes."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable

from tests.fleetcase import Answer, FleetCase


class AtMostOnceTest(FleetCase):
    """A booking that is repeated under one key; the service is the judge."""

    async def assert_effects(self, most: int, least: int = 0) -> None:
        """Check the service's own count for each key."""
        counts = Counter(key for _, _, key, _ in await self.effects("service-1"))
        for key, count in counts.items():
            self.assertLessEqual(count, 1, key)
        self.assertTrue(least <= len(counts) <= most, counts)

    async def hold(self, seconds: float) -> None:
        """Let the service wait between its effect and its answer."""
        url = self.urls["service-1"]
        await self.fleet.control(url, "hold", {"seconds": seconds})

    async def test_a_repeat_elsewhere_gets_the_same_answer(self):
        first = await self.book("vm-a1", "x", key="k1")
        again = await self.book("vm-b1", "x", key="k1")
        here = await self.book("vm-a1", "x", key="k1")
        self.assertEqual([first.status, again.status, here.status], [200] * 3)
        self.assertEqual(first.body, again.body)
        self.assertEqual(first.body, here.body)
        self.assertEqual(again.headers["x-walnutquay-replayed"], "true")
        await self.assert_effects(1, 1)

    async def test_another_request_under_the_key_is_refused(self):
        await self.book("vm-a1", "x", key="k1")
        other = await self.book("vm-b1", "y", key="k1")
        self.assertEqual(other.status, 422)
        await self.assert_effects(1, 1)

    async def test_a_repeat_while_the_first_is_slow(self):
        await self.hold(1.0)
        first = asyncio.ensure_future(self.book("vm-a1", "x", key="k1"))
        await self.until(lambda: self.has_effects(1), "the first has begun")
        again = await self.book("vm-b1", "x", key="k1")
        self.assertEqual(again.status, 409)
        self.assertEqual(again.ran, "unknown")
        self.assertIn("retry-after", again.headers)
        self.assertEqual((await first).status, 200)
        last = await self.book("vm-b1", "x", key="k1")
        self.assertEqual(last.body, (await first).body)
        await self.assert_effects(1, 1)

    async def has_effects(self, count: int) -> bool:
        """Whether the service has begun so many calls."""
        return len(await self.effects("service-1")) >= count

    async def test_a_repeat_after_the_first_vm_was_killed(self):
        await self.hold(5.0)
        first = asyncio.ensure_future(self.book("vm-a1", "x", key="k1"))
        await self.until(lambda: self.has_effects(1), "the first has begun")
        await self.fleet.stop_process(self.vm("vm-a1").process, signal.SIGKILL)
        await asyncio.gather(first, return_exceptions=True)
        await self.hold(0.0)
        again = await self.book("vm-b1", "x", key="k1")
        self.assertEqual(again.ran, "unknown")
        await self.assert_effects(1, 1)

    async def test_a_repeat_while_the_first_vm_is_paused_and_wakes(self):
        # The pause falls between the claim and the dispatch, or anywhere else.
        for number in range(6):
            key = f"k{number}"
            first = asyncio.ensure_future(self.book("vm-a1", key, key=key))
            await asyncio.sleep(0.002 * number)
            self.vm("vm-a1").process.signal(signal.SIGSTOP)
            told = [await self.heard(key, self.book("vm-b1", key, key=key))]
            self.vm("vm-a1").process.signal(signal.SIGCONT)
            told.append(await self.heard(key, first))
            told.append(await self.heard(key, self.book("vm-b1", key, key=key)))
            bodies = {answer.body for answer in told if answer.status == 200}
            effects = await self.effects_of(key)
            self.assertLessEqual(effects, 1, key)
            self.assertLessEqual(len(bodies), effects, key)

    async def effects_of(self, key: str) -> int:
        """:returns: how often the service has run a key."""
        return sum(effect[2] == key for effect in await self.effects("service-1"))

    async def heard(self, key: str, coming: Awaitable[Answer]) -> Answer:
        """Take an answer, and hold a "not run" against the service's count."""
        answer = await coming
        if answer.status != 200 and answer.ran == "not_run":
            self.assertEqual(await self.effects_of(key), 0, answer.body)
        return answer

    async def test_the_platform_down_refuses_at_once_without_dispatch(self):
        await self.fleet.control(self.fleet.platform, "faults", {"refuse": 503})
        answer = await self.book("vm-a1", "x", key="k1")
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.error["code"], "claim_unavailable")
        self.assertIn("retry-after", answer.headers)
        # Whether the key ran earlier cannot be known now, so it is not said.
        self.assertEqual(answer.ran, "unknown")
        # What carries no key goes on.
        self.assertEqual((await self.book("vm-a1", "y")).status, 200)
        self.assertEqual((await self.chat("vm-a1")).status, 200)
        await self.fleet.control(self.fleet.platform, "faults", {})
        self.assertEqual((await self.book("vm-a1", "x", key="k1")).status, 200)
        await self.assert_effects(2, 2)

    async def test_the_claims_answer_is_lost(self):
        await self.fleet.control(self.fleet.platform, "faults", {"lose_answers": 1})
        answer = await self.book("vm-a1", "x", key="k1")
        again = await self.book("vm-b1", "x", key="k1")
        self.assertEqual((answer.status, again.status), (200, 200))
        self.assertEqual(answer.body, again.body)
        await self.assert_effects(1, 1)

    async def slow_platform(self, seconds: float) -> None:
        """Let the platform answer late."""
        await self.fleet.control(self.fleet.platform, "faults", {"delay": seconds})

    async def test_the_platform_slow_for_long(self):
        # Its answers come after they are given up, and writes land late.
        await self.slow_platform(2.5)
        self.assertEqual((await self.book("vm-a1", "y")).status, 200)
        answer = await self.book("vm-a1", "x", key="k1")
        self.assertEqual(answer.error["code"], "claim_unavailable")
        await self.slow_platform(0.0)
        first = await self.book("vm-b1", "x", key="k1")
        again = await self.book("vm-a1", "x", key="k1")
        self.assertEqual((first.status, again.status), (200, 200))
        self.assertEqual(first.body, again.body)
        await self.assert_effects(2, 2)

    async def test_a_killed_holder_while_the_platform_is_slow(self):
        await self.hold(5.0)
        first = asyncio.ensure_future(self.book("vm-a1", "x", key="k1"))
        await self.until(lambda: self.has_effects(1), "the first has begun")
        await self.slow_platform(0.5)
        await self.fleet.stop_process(self.vm("vm-a1").process, signal.SIGKILL)
        await asyncio.gather(first, return_exceptions=True)
        answers = [await self.book("vm-b1", "x", key="k1") for _ in range(2)]
        self.assertEqual([a.ran for a in answers], ["unknown", "unknown"])
        await self.assert_effects(1, 1)

    async def test_many_repeats_through_both_at_once(self):
        sent = [
            self.book(vm, f"o{number}", key=f"k{number}")
            for number in range(20)
            for vm in ("vm-a1", "vm-b1", "vm-a1", "vm-b1")
        ]
        answers = await asyncio.gather(*sent)
        self.assertTrue(any(answer.status == 409 for answer in answers))
        await self.assert_effects(20, 20)


class RepeatableTest(FleetCase):
    """A call that broke is sent again only where the service allows it."""

    vms = {"vm-a1": "hall-a"}
    services = ("service-1", "service-2")

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.lose_answers(99)

    async def lose_answers(self, count: int) -> None:
        """Let both endpoints lose their next answers."""
        for name in self.services:
            faults = {"lose_answers": count}
            await self.fleet.control(self.urls[name], "faults", faults)

    async def count(self) -> int:
        """:returns: the calls that both endpoints have run."""
        return sum([len(await self.effects(name)) for name in self.services])

    async def test_one_that_may_not_be_repeated(self):
        for key in ("", "k1"):
            before = await self.count()
            answer = await self.book("vm-a1", f"x{key}", key=key)
            self.assertEqual((answer.status, answer.ran), (502, "unknown"))
            self.assertEqual(await self.count(), before + 1)

    async def test_one_that_may(self):
        content = self.content()
        content["services"][0]["repeatable"] = ["GET", "POST"]
        await self.fleet.apply(content)
        answer = await self.book("vm-a1", "x")
        # Both lose their answers, and two endpoints are all there are.
        self.assertEqual((answer.status, answer.ran), (502, "unknown"))
        self.assertEqual(await self.count(), 2)
        await self.lose_answers(0)
        self.assertEqual((await self.book("vm-a1", "y")).status, 200)


class NotRunTest(FleetCase):
    """A refusal is true, comes at once, and says when to come back."""

    vms = {"vm-a1": "hall-a"}
    engines = ("engine-1",)
    engine_options = {"slots": 1, "queue": 0, "step": 0.02}

    def content(self):
        content = super().content()
        content["pools"][0]["queue_length"] = 1
        content["pools"][0]["queue_seconds"] = 0.4
        content["endpoints"][0]["slots"] = 1
        return content

    async def freeze(self, frozen: bool) -> None:
        """Let the engine answer nothing, or go on: time alone frees no place."""
        faults = {"frozen": frozen}
        await self.fleet.control(self.urls["engine-1"], "faults", faults)

    async def occupy(self) -> asyncio.Task[Answer]:
        """Take the only place there is, until the engine is thawed."""
        await self.freeze(True)
        blocker = asyncio.ensure_future(self.chat("vm-a1", model="small-1"))

        async def taken() -> bool:
            _, facts = await self.fleet.administer(
                self.vm("vm-a1"), "GET", "/v1/debug/endpoints"
            )
            return facts.get("engine-1", {}).get("in_flight") == 1

        await self.until(taken, "the only place is taken")
        return blocker

    async def test_overload(self):
        blocker = await self.occupy()
        refused = await asyncio.gather(
            *(self.chat("vm-a1", f"p{n}", model="small-1") for n in range(7))
        )
        await self.freeze(False)
        self.assertEqual((await blocker).status, 200)
        for answer in refused:
            self.assertEqual(answer.ran, "not_run", answer.body)
            self.assertIn("retry-after", answer.headers)
        begun = [request for request, _, _ in await self.effects("engine-1")]
        self.assertEqual(len(begun), 1)

    async def test_a_refused_key_is_free_again(self):
        blocker = await self.occupy()
        keyed = await self.chat(
            "vm-a1", "k", model="small-1", header_idempotency_key="k"
        )
        self.assertEqual(keyed.ran, "not_run", keyed.body)
        await self.freeze(False)
        self.assertEqual((await blocker).status, 200)
        again = await self.chat(
            "vm-a1", "k", model="small-1", header_idempotency_key="k"
        )
        self.assertEqual(again.status, 200)

    async def test_no_endpoint_at_all(self):
        await self.fleet.stop_process(self.fleet.processes["engine-1"], signal.SIGKILL)
        answer = await self.chat("vm-a1", model="small-1")
        self.assertEqual((answer.status, answer.ran), (503, "not_run"))
        self.assertIn("retry-after", answer.headers)
