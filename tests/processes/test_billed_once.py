# Licensed under the Apache License 2.0: see LICENSE for details.

"""Each request is billed once, and a planned stop cuts none: real processes."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter

import aiohttp

from tests.fleetcase import KEY, FleetCase
from walnutquay.protocol.chat import END_MARK


class BilledOnceTest(FleetCase):
    """Bills are counted from the platform's objects alone."""

    vms = {"vm-a1": "hall-a", "vm-a2": "hall-a", "vm-b1": "hall-b"}

    async def send_many(self, vm: str, count: int) -> set[str]:
        """:returns: the ids of the requests that were answered whole."""
        answered = set()
        for start in range(0, count, 20):
            batch = [self.book(vm, f"{start + n}") for n in range(20)]
            for answer in await asyncio.gather(*batch, return_exceptions=True):
                if not isinstance(answer, BaseException) and answer.status == 200:
                    answered.add(answer.headers["x-walnutquay-request"])
        return answered

    async def assert_billed(self, answered: set[str], exactly: bool = True) -> None:
        """Wait until each answered request has its record, then count them."""

        async def all_there() -> bool:
            return answered <= {r.request for r in await self.bill_records()}

        await self.until(all_there, "each answered request is billed")
        await asyncio.sleep(1.0)
        found = Counter(record.request for record in await self.bill_records())
        self.assertEqual(set(found.values()), {1})
        if exactly:
            self.assertEqual(set(found), answered)

    async def test_a_kill_between_answer_and_flush(self):
        # While the platform is down nothing is flushed; then the VM is killed.
        await self.fleet.control(self.fleet.platform, "faults", {"refuse": 503})
        answered = await self.send_many("vm-a1", 200)
        self.assertEqual(len(answered), 200)
        await self.fleet.stop_process(self.vm("vm-a1").process, signal.SIGKILL)
        await self.fleet.control(self.fleet.platform, "faults", {})
        await self.assert_billed(answered)

    async def test_a_whole_hall_is_lost_before_the_flush(self):
        await self.fleet.control(self.fleet.platform, "faults", {"refuse": 503})
        answered = await self.send_many("vm-a1", 60)
        answered |= await self.send_many("vm-a2", 60)
        for vm in ("vm-a1", "vm-a2"):
            await self.fleet.stop_process(self.vm(vm).process, signal.SIGKILL)
        await self.fleet.control(self.fleet.platform, "faults", {})
        await self.assert_billed(answered)

    async def test_a_kill_in_the_middle_of_requests(self):
        sending = asyncio.ensure_future(self.send_many("vm-a1", 2000))
        await asyncio.sleep(0.7)
        await self.fleet.stop_process(self.vm("vm-a1").process, signal.SIGKILL)
        await self.assert_billed(await sending, exactly=False)

    async def test_lost_answers_of_the_bills_writes(self):
        await self.fleet.control(self.fleet.platform, "faults", {"lose_answers": 4})
        answered = await self.send_many("vm-a1", 100)
        answered |= await self.send_many("vm-b1", 100)
        await self.assert_billed(answered)

    async def test_a_paused_vm_wakes_after_its_peer_flushed_for_it(self):
        await self.fleet.control(self.fleet.platform, "faults", {"refuse": 503})
        answered = await self.send_many("vm-a1", 100)
        self.vm("vm-a1").process.signal(signal.SIGSTOP)
        await self.fleet.control(self.fleet.platform, "faults", {})

        async def flushed() -> bool:
            return len(await self.bill_records()) >= 100

        await self.until(flushed, "a peer has flushed for the paused VM")
        self.vm("vm-a1").process.signal(signal.SIGCONT)
        answered |= await self.send_many("vm-a1", 100)
        await self.assert_billed(answered)


class PlannedStopTest(FleetCase):
    """A planned stop under load cuts nothing and loses no bill."""

    vms = {"vm-a1": "hall-a", "vm-a2": "hall-a", "vm-b1": "hall-b"}
    engine_options = {"slots": 64, "step": 0.02, "tokens": 40}

    def content(self):
        content = super().content()
        for endpoint in content["endpoints"]:
            endpoint["slots"] = 64
        return content

    before = 0

    async def has_begun(self, count: int) -> bool:
        """Whether the engines have begun so many more requests than before."""
        return (await self.dispatched_versions()).total() >= self.before + count

    async def test_all_in_turn_with_streams_running(self):
        answered = set()
        for vm in self.vms:
            self.before = (await self.dispatched_versions()).total()
            sent = [
                asyncio.ensure_future(
                    self.chat(vm, f"{vm} {n}", model="small-1", stream=n % 2 == 0)
                )
                for n in range(20)
            ]
            await self.until(lambda: self.has_begun(20), "all have begun")
            code = await self.fleet.stop_process(self.vm(vm).process)
            self.assertEqual(code, 0)
            for answer in await asyncio.gather(*sent):
                self.assertEqual(answer.status, 200)
                if answer.headers["content-type"] == "text/event-stream":
                    self.assertTrue(answer.body.endswith(END_MARK))
                answered.add(answer.headers["x-walnutquay-request"])
        found = Counter(record.request for record in await self.bill_records())
        self.assertEqual(found, Counter(answered))

    async def test_a_caller_who_keeps_its_connection_is_never_cut(self):
        # It does not ask the balancer, and sends until it is told to go elsewhere.
        url = self.vm("vm-a1").url("callers") + "/v1/chat/completions"
        headers = {"authorization": f"Bearer {KEY}"}
        body = {
            "model": "small-1",
            "messages": [{"role": "user", "content": "x"}],
            "max_tokens": 2,
        }
        told: Counter[str] = Counter()

        async def caller() -> None:
            async with aiohttp.ClientSession() as session:
                last = False
                while not last:
                    async with session.post(url, json=body, headers=headers) as answer:
                        value = await answer.json()
                        last = answer.headers.get("connection") == "close"
                    told[value.get("error", {}).get("ran", "answered")] += 1

        callers = [asyncio.ensure_future(caller()) for _ in range(8)]
        await self.until(lambda: self.has_begun(20), "all have begun")
        self.assertEqual(await self.fleet.stop_process(self.vm("vm-a1").process), 0)
        await asyncio.gather(*callers)
        self.assertLessEqual(set(told), {"answered", "not_run"})
        self.assertGreater(told["answered"], 20)
