# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sessions keep their version; withdrawn ones run nothing: real processes."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter

from tests.fleetcase import FleetCase


class SessionTest(FleetCase):
    """A session keeps its version, whatever happens around it."""

    vms = {"vm-a1": "hall-a", "vm-a2": "hall-a", "vm-b1": "hall-b"}

    async def rollout(self, name: str, action: str, **body) -> None:
        """Act on a roll-out and wait until it is in force everywhere."""
        status, answer = await self.fleet.administer(
            self.vm("vm-a1"), "POST", f"/v1/rollouts/{name}/{action}", body
        )
        self.assertEqual(status, 200, answer)
        await self.fleet.wait_for_revision(answer["revision"])

    async def turn(self, vm: str, **headers: str):
        """One turn of a session on the model that is rolled out."""
        return await self.chat(vm, model="answer", stream=True, **headers)

    async def test_through_a_roll_out_and_the_loss_of_its_vm(self):
        first = await self.turn("vm-a1")
        version = first.headers["x-walnutquay-version"]
        self.assertEqual(version, "small-1")
        token = first.headers["x-walnutquay-token"]
        await self.rollout(
            "r", "start", model="small", old="small-1", new="small-2", stages=[1.0]
        )
        new = await self.turn("vm-a2")
        self.assertEqual(new.headers["x-walnutquay-version"], "small-2")
        await self.fleet.stop_process(self.vm("vm-a1").process, signal.SIGKILL)
        for vm in ("vm-a2", "vm-b1"):
            answer = await self.turn(vm, header_x_walnutquay_token=token)
            self.assertEqual(answer.headers["x-walnutquay-version"], version)
            token = answer.headers["x-walnutquay-token"]

    async def test_a_bare_session_id_through_a_roll_out_and_a_lost_keeper(self):
        headers = {"header_x_walnutquay_session": "reader-7"}
        first = await self.turn("vm-b1", **headers)
        self.assertEqual(first.headers["x-walnutquay-version"], "small-1")
        await self.rollout(
            "r", "start", model="small", old="small-1", new="small-2", stages=[1.0]
        )
        for vm in ("vm-a1", "vm-b1"):
            again = await self.turn(vm, **headers)
            self.assertEqual(again.headers["x-walnutquay-version"], "small-1")
        await self.fleet.stop_process(self.vm("vm-a2").process, signal.SIGKILL)
        for vm in ("vm-a1", "vm-b1"):
            again = await self.turn(vm, **headers)
            self.assertEqual(again.headers["x-walnutquay-version"], "small-1")

    async def test_bare_session_ids_when_vms_join(self):
        sessions = [f"reader-{number}" for number in range(24)]
        for session in sessions:
            await self.turn("vm-a1", header_x_walnutquay_session=session)
        await self.rollout(
            "r", "start", model="small", old="small-1", new="small-2", stages=[1.0]
        )
        # Some of the sessions now have a keeper that has never heard of them.
        await self.fleet.start_vm("vm-c1", "hall-c")
        await self.fleet.wait_for_members()
        await self.fleet.wait_for_revision(2)
        for session in sessions:
            again = await self.turn("vm-c1", header_x_walnutquay_session=session)
            version = again.headers["x-walnutquay-version"]
            self.assertEqual(version, "small-1", session)

    async def test_draining_and_withdrawn(self):
        token = (await self.turn("vm-a1")).headers["x-walnutquay-token"]
        for state, expected in (("draining", 200), ("withdrawn", 410)):
            content = self.content()
            content["versions"][0]["state"] = state
            await self.fleet.apply(content)
            before = (await self.dispatched_versions())["small-1"]
            old = await self.turn("vm-b1", header_x_walnutquay_token=token)
            new = await self.turn("vm-b1")
            self.assertEqual(old.status, expected, old.body)
            self.assertEqual(new.headers["x-walnutquay-version"], "small-2")
            dispatched = (await self.dispatched_versions())["small-1"] - before
            self.assertEqual(dispatched, 1 if state == "draining" else 0)
        self.assertEqual(old.error["code"], "version_withdrawn")
        self.assertEqual(old.ran, "not_run")


class WithdrawnWhileWaitingTest(FleetCase):
    """Requests that wait when their version is withdrawn never reach it."""

    vms = {"vm-a1": "hall-a"}
    engines = ("engine-1",)
    engine_options = {"slots": 1, "queue": 0, "step": 0.03}

    def content(self):
        content = super().content()
        content["endpoints"][0]["slots"] = 1
        return content

    async def test_queued_requests(self):
        sent = [
            asyncio.ensure_future(self.chat("vm-a1", f"p{n}", model="small-1"))
            for n in range(6)
        ]

        async def begun() -> bool:
            return bool(await self.effects("engine-1"))

        await self.until(begun, "the first runs")
        content = self.content()
        content["versions"][0]["state"] = "withdrawn"
        await self.fleet.apply(content)
        in_force = (await self.dispatched_versions())["small-1"]
        answers = await asyncio.gather(*sent)
        after = (await self.dispatched_versions())["small-1"]
        self.assertEqual(in_force, after)
        codes = Counter(a.error["code"] for a in answers if a.status != 200)
        self.assertEqual(codes, {"version_withdrawn": 6 - after})

    async def test_mid_cascade(self):
        # Withdraw the costly version while the cheap one is answering.
        sent = [
            asyncio.ensure_future(self.chat("vm-a1", f"cascade {n}")) for n in range(4)
        ]

        async def begun() -> bool:
            return bool(await self.effects("engine-1"))

        await self.until(begun, "the first step runs")
        content = self.content()
        content["versions"][2]["state"] = "withdrawn"
        await self.fleet.apply(content)
        in_force = (await self.dispatched_versions())["large-1"]
        answers = await asyncio.gather(*sent)
        self.assertEqual((await self.dispatched_versions())["large-1"], in_force)
        for answer in answers:
            self.assertEqual(answer.status, 200, answer.body)
