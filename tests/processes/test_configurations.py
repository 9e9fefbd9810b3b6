# Licensed under the Apache License 2.0: see LICENSE for details.

"""Configuration: accepted once, in force everywhere, never back."""

from __future__ import annotations

import asyncio
import signal
import socket
import unittest
from unittest import mock

from tests.fleetcase import FleetCase
from tests.interleavings import Scheduler, explore
from tests.worlds import World
from walnutquay.coordination.own import acceptance, partstore
from walnutquay.coordination.own.acceptance import Acceptance, Accepted
from walnutquay.coordination.own.configurations import HEAD, Configurations
from walnutquay.exceptions import ConflictError, PlatformError, PlatformUnclearError
from walnutquay.state.own.checking import parse_content
from walnutquay.state.own.configuration import (
    Configuration,
    Content,
    Head,
    configuration_from_parts,
    first_head,
)
from walnutquay.state.process.ids import NO_REVISION
from walnutquay.state.store.parts import Pool

BAD_PROGRAM = "def route(request, candidates):\n    return 1 // 0\n"

# a file's content -> what the problem names
BAD_FILES = [
    ({"organisations": [{"name": "a", "wieght": 1}]}, "did you mean 'weight'"),
    ({"polcies": []}, "did you mean 'policies'"),
    ({"organisations": [{"name": "A B"}]}, "organisations[0].name"),
    ({"organisations": [{"name": "a", "versions": ["v"]}]}, "'v' is not defined"),
    ({"pools": [{"name": "p", "work": "slow"}]}, "pools[0].work"),
    ({"pools": [{"name": "p", "work": "quick"}] * 2}, "stands twice"),
    ({"policies": [{"name": "p", "source": BAD_PROGRAM}]}, "policies[0].source"),
    (
        {
            "versions": [{"name": "v", "model": "m"}],
            "pools": [{"name": "p", "work": "quick"}],
            "services": [{"name": "v", "pool": "p"}],
        },
        "a version is called 'v' too",
    ),
    (
        {
            "versions": [{"name": "v", "model": "m"}],
            "rollouts": [{"name": "r", "model": "m", "old": "v", "new": "w"}],
        },
        "rollouts[0].new",
    ),
    (
        {
            "organisations": [
                {"name": n, "keys": ["sha256:" + "0" * 64]} for n in ("a", "b")
            ]
        },
        "'a''s already",
    ),
]


class CheckTest(unittest.TestCase):
    """What is wrong in a file is named with its key and reason."""

    def test_table(self):
        for plain, named in BAD_FILES:
            with self.subTest(named=named):
                _, problems = parse_content(plain, "f.toml")
                text = "\n".join(map(str, problems))
                self.assertIn(named, text)
                self.assertIn("f.toml: ", text)


class PartsTest(unittest.TestCase):
    """Content goes into parts and comes back, whatever its size."""

    def content(self, count: int) -> Content:
        """:returns: so many endpoints."""
        plain = {
            "pools": [{"name": "p", "work": "quick"}],
            "endpoints": [
                {
                    "name": f"endpoint-{number:05d}",
                    "pool": "p",
                    "hall": "hall-1",
                    "address": f"http://10.0.{number // 250}.{number % 250}:8000",
                }
                for number in range(count)
            ],
        }
        content, problems = parse_content(plain, "f")
        self.assertEqual(problems, [])
        return content

    def test_the_size_to_design_for_fits_the_platforms_values(self):
        content = self.content(6800)
        parts = Configuration(NO_REVISION, content).part_bytes()
        self.assertLess(max(map(len, parts.values())), 1 << 20)
        back = configuration_from_parts(3, parts).content
        self.assertEqual(set(back.endpoints), set(content.endpoints))
        self.assertEqual(back.pools, content.pools)

    def test_a_change_moves_one_part(self):
        before = Configuration(NO_REVISION, self.content(100)).part_bytes()
        after = Configuration(NO_REVISION, self.content(101)).part_bytes()
        self.assertEqual(sum(before[name] != after[name] for name in before), 1)


class RacingOperatorsTest(unittest.IsolatedAsyncioTestCase):
    """Two operators through two VMs, in all orders, with faults."""

    async def test_each_is_told_the_truth(self):
        async def run(scheduler: Scheduler) -> None:
            world = World(scheduler)
            told: dict[str, object] = {}
            for name in ("a", "b"):
                parts = world.add_vm(name)
                keeper = Configurations(
                    parts.context, parts.platform, parts.members, parts.dispatcher
                )
                operator = Acceptance(parts.context, parts.platform, keeper)
                world.start(self.operate(operator, name, told))
            await scheduler.run()
            await world.end()
            self.judge(world, told)

        orders = await explore(run, faults=2, depth=3)
        self.assertGreater(orders, 1000)

    async def operate(self, operator: Acceptance, name: str, told: dict) -> None:
        """Apply a change that names its operator."""

        def change(content: Content) -> Content:
            pools = (*content.pools, Pool(name=name, work="quick"))
            return content.model_copy(update={"pools": pools})

        try:
            told[name] = await operator.apply(change, f"op-{name}", if_revision=0)
        except (ConflictError, PlatformError) as error:
            told[name] = error

    def judge(self, world: World, told: dict) -> None:
        """Compare what operators were told with the head that stands."""
        _, data = world.store.objects.get(HEAD, (0, b""))
        head = Head.decode(data) if data else first_head()
        self.assertLessEqual(head.revision, 1)
        for name, word in told.items():
            stands = head.revision_of(f"op-{name}")
            if isinstance(word, Accepted):
                self.assertEqual(stands, word.revision, "accepted")
            elif not isinstance(word, PlatformUnclearError):
                self.assertIsNone(stands, f"{name} was told {word!r}")

    def setUp(self):
        for module, constant in (
            (acceptance, "SETTLE_PAUSE"),
            (acceptance, "CHANGE_PAUSE"),
            (partstore, "WRITE_PAUSE"),
        ):
            patch = mock.patch.object(module, constant, 0)
            patch.start()
            self.addCleanup(patch.stop)


class SpreadTest(FleetCase):
    """Over real processes, three VMs in two halls."""

    vms = {"vm-a1": "hall-a", "vm-a2": "hall-a", "vm-b1": "hall-b"}
    engines = ("engine-1",)

    async def put(self, vm: str, content: dict, **more):
        """Apply without waiting."""
        body = {"content": content, **more}
        return await self.fleet.administer(
            self.vm(vm), "PUT", "/v1/configuration", body
        )

    def queue_of(self, length: int) -> dict:
        """:returns: a small change."""
        pools = self.content()["pools"]
        pools[0]["queue_length"] = length
        return {"pools": pools}

    async def test_racing_operators(self):
        answers = await asyncio.gather(
            *(
                self.put(vm, self.queue_of(n), if_revision=1)
                for n, vm in enumerate(self.vms, 1)
            )
        )
        statuses = sorted(status for status, _ in answers)
        self.assertEqual(statuses, [200, 409, 409])
        for status, answer in answers:
            if status == 409:
                self.assertEqual(answer["error"]["revision"], 2)

    async def test_a_lost_answer_is_settled(self):
        await self.fleet.control(self.fleet.platform, "faults", {"lose_answers": 2})
        status, answer = await self.put("vm-a1", self.queue_of(5), operation="mine")
        self.assertEqual((status, answer["revision"]), (200, 2))
        again = await self.put("vm-b1", self.queue_of(5), operation="mine")
        self.assertEqual(again[1]["revision"], 2)

    async def test_an_outage_right_after_acceptance(self):
        # The others cannot have heard of it from the platform.
        await self.fleet.cut_platform("vm-a2", "vm-b1")
        status, answer = await self.put("vm-a1", self.queue_of(5))
        await self.fleet.control(self.fleet.platform, "faults", {"refuse": 503})
        self.assertEqual(status, 200)
        await self.fleet.wait_for_revision(answer["revision"])

    async def test_a_fresh_vm_during_an_outage_learns_from_peers(self):
        await self.fleet.control(self.fleet.platform, "faults", {"refuse": 503})
        await self.fleet.stop_process(self.vm("vm-b1").process, signal.SIGKILL)
        await self.fleet.start_vm("vm-b1", "hall-b")
        await self.fleet.wait_for_revision(1)
        self.assertEqual((await self.chat("vm-b1")).status, 200)

    async def test_a_fresh_vm_with_nobody_is_not_ready(self):
        await self.fleet.control(self.fleet.platform, "faults", {"refuse": 503})
        for vm in self.vms:
            await self.fleet.stop_process(self.vm(vm).process, signal.SIGKILL)
        await self.fleet.start_vm("vm-a1", "hall-a")
        ready = await self.send("vm-a1", "GET", "/readyz", key="")
        self.assertEqual(ready.status, 503)
        answer = await self.chat("vm-a1")
        self.assertEqual((answer.status, answer.ran), (503, "not_run"))

    async def test_a_restored_older_store_does_not_bring_it_back(self):
        old = await self.fleet.control(self.fleet.platform, "snapshot")
        _, answer = await self.put("vm-a1", self.queue_of(5))
        await self.fleet.wait_for_revision(answer["revision"])
        url = f"{self.fleet.platform}/_control/snapshot"
        async with self.fleet.session.put(url, json=old) as done:
            self.assertEqual(done.status, 200)

        async def repaired() -> bool:
            objects = await self.fleet.control(self.fleet.platform, "snapshot")
            return Head.decode(objects[HEAD][1].encode("latin-1")).revision == 2

        await self.until(repaired, "the store is brought up to date")
        await self.fleet.start_vm("vm-b2", "hall-b")
        await self.fleet.wait_for_revision(2)
        for vm in self.fleet.vms:
            _, got = await self.fleet.administer(
                self.vm(vm), "GET", "/v1/configuration"
            )
            self.assertEqual(got["content"]["pools"][0]["queue_length"], 5)

    async def test_a_bad_program_is_refused_at_apply(self):
        policies = [{"name": "p", "source": BAD_PROGRAM}]
        status, answer = await self.put("vm-a1", {"policies": policies})
        self.assertEqual(status, 422)
        self.assertIn("policies[0].source", answer["error"]["reason"])
        self.assertEqual((await self.status("vm-a1"))["revision"], 1)

    async def test_a_strangers_packets_are_dropped_and_counted(self):
        port = self.vm("vm-a1").process.ports["peers"]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for data in (b"", b"x", b"y" * 2000):
                stranger.sendto(data, ("127.0.0.1", port))
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write((20).to_bytes(4, "big") + b"z" * 20)
        self.assertEqual(await reader.read(), b"")
        writer.close()

        async def counted() -> bool:
            counters = (await self.status("vm-a1"))["metrics"]["counters"]
            return counters.get("peer_refused", 0) >= 4

        await self.until(counted, "the packets are counted")


class CutHallTest(FleetCase):
    """A data hall that is cut off goes on with what it may."""

    vms = {"vm-a1": "hall-a", "vm-b1": "hall-b", "vm-b2": "hall-b"}
    engines = ("engine-1",)

    def make_fleet(self):
        fleet = super().make_fleet()
        fleet.cuttable = True
        return fleet

    def content(self, **states: str):
        content = super().content()
        for version in content["versions"]:
            name = version["name"]
            version["state"] = states.get(name.replace("-", "_"), "active")
            if name == "small-2":
                version["unconfirmed_for"] = 1.5
        return content

    async def cut(self) -> None:
        """Cut hall-b off from hall-a and the platform."""
        self.fleet.cut("hall-b")
        await self.fleet.cut_platform("vm-b1", "vm-b2")

    async def heal(self) -> None:
        """Heal all cuts."""
        self.fleet.cut("hall-b", cut=False)
        await self.fleet.cut_platform()

    async def withdraw_while_cut(self) -> int:
        """:returns: the revision that hall-b cannot hear of."""
        await self.cut()
        content = self.content(small_1="withdrawn", small_2="withdrawn")
        status, answer = await self.fleet.administer(
            self.vm("vm-a1"), "PUT", "/v1/configuration", {"content": content}
        )
        self.assertEqual(status, 200)
        return answer["revision"]

    async def test_a_young_version_ends_by_itself_and_a_settled_one_goes_on(self):
        revision = await self.withdraw_while_cut()

        async def ended() -> bool:
            answers = [
                await self.chat(vm, model="small-2") for vm in ("vm-b1", "vm-b2")
            ]
            codes = {a.error["code"] for a in answers if a.status != 200}
            return len(codes) == 1 and {a.status for a in answers} == {503}

        await self.until(ended, "the young version gets no new work")
        before = (await self.dispatched_versions())["small-2"]
        for vm in ("vm-b1", "vm-b2"):
            answer = await self.chat(vm, model="small-2")
            self.assertEqual(answer.error["code"], "version_unconfirmed")
        self.assertEqual((await self.dispatched_versions())["small-2"], before)
        self.assertEqual((await self.chat("vm-b1", model="small-1")).status, 200)
        await self.heal()
        await self.fleet.wait_for_revision(revision)
        answer = await self.chat("vm-b1", model="small-1")
        self.assertEqual(answer.error["code"], "version_withdrawn")

    async def test_what_needs_no_claim_goes_on_and_what_does_is_refused(self):
        await self.cut()
        self.assertEqual((await self.chat("vm-b1")).status, 200)
        self.assertEqual((await self.book("vm-b1", "x")).status, 200)
        answer = await self.book("vm-b1", "y", key="k")
        self.assertEqual(answer.error["code"], "claim_unavailable")
        await self.heal()

        async def booked() -> bool:
            return (await self.book("vm-b1", "y", key="k")).status == 200

        await self.until(booked, "the key can be claimed again")
        self.assertEqual(len(await self.effects("service-1")), 2)

    async def test_a_key_held_behind_a_cut_is_never_run_again(self):
        self.assertEqual((await self.book("vm-a1", "x", key="k")).status, 200)
        # The platform is reached, the holder is not.
        self.fleet.cut("hall-b")
        answer = await self.book("vm-b1", "x", key="k")
        self.assertEqual((answer.status, answer.ran), (502, "unknown"))
        self.fleet.cut("hall-b", cut=False)
        again = await self.book("vm-b1", "x", key="k")
        self.assertEqual(again.status, 200)
        self.assertEqual(len(await self.effects("service-1")), 1)

    async def test_spread_under_packet_loss(self):
        self.fleet.cut("hall-b", cut=False, loss=0.6)
        await self.fleet.cut_platform("vm-b1", "vm-b2")
        for state in ("draining", "active", "draining"):
            await self.fleet.apply(self.content(small_1=state), self.vm("vm-a1"))
