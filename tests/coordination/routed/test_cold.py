# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the limit on the requests that cold endpoints receive from all VMs together.

They guard against all VMs choosing the same endpoint right after its start.  1.2 s
after an endpoint had started, it received 21 requests within a second, from as many
VMs: each VM saw that it was the only idle one, and nothing evaluated that it was cold.
"""

from __future__ import annotations

import unittest
from collections.abc import Mapping
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from lab.cold.fleet import SIZES, Case, ColdFleet
from lab.cold.ways import Keepers, Nothing
from standins.worker import Behaviour
from tests.gatewaycase import GatewayCase, Got, catalogue
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, VmName
from walnutquay.state.routed.cold import (
    ColdEndpoints,
    ColdLimit,
    Quota,
    assigned_senders,
    sender_count,
    sender_quota,
)
from walnutquay.transport.timers import monotonic

E1 = EndpointName("e1")
VMS = [VmName(f"vm-{number}") for number in range(61)]
# A rate so low that a cold endpoint receives one request per test, however slow the
# test is.
ONE_PER_TEST = 0.001
COLD_MS = 3_600_000
SEED = 1
STREAM = {"Model": "tiny", "Token_Count": "100,20"}


class QuotaTest(unittest.TestCase):
    """How the limit of a cold endpoint is divided among VMs."""

    def test_all_senders_together_stay_within_the_rate(self):
        for per_second in (0.1, 1.0, 2.5, 10.0, 50.0):
            limit = ColdLimit(per_second, 1.5 * per_second + 5.0)
            for vms in (1, 2, 6, 61, 640):
                count = sender_count(limit.total, vms)
                quota = sender_quota(limit.total, count)
                rate = count * quota.count / quota.seconds
                self.assertLessEqual(rate, per_second * 1.0001)

    def test_two_sets_of_senders_stay_within_the_limit(self):
        # While VMs have different lists of VMs, each list has its own senders.
        for per_second in (0.1, 1.0, 2.5, 10.0, 50.0):
            limit = ColdLimit(per_second, 1.5 * per_second + 5.0)
            for vms in (1, 2, 6, 61, 640):
                count = sender_count(limit.total, vms)
                self.assertLessEqual(
                    2 * count * sender_quota(limit.total, count).count,
                    limit.max_per_second,
                )

    @given(
        st.floats(0, 1e300, allow_nan=False),
        st.floats(0, 1e300, allow_nan=False),
        st.integers(1, 640),
    )
    def test_extreme_rates_give_valid_quotas(
        self, per_second: float, most: float, vms: int
    ):
        limit = ColdLimit(per_second, most)
        count = sender_count(limit.total, vms)
        self.assertTrue(1 <= count <= vms)
        quota = sender_quota(limit.total, count)
        self.assertGreaterEqual(quota.count, 1)
        self.assertGreater(quota.seconds, 0.0)

    def test_all_vms_assign_the_same_senders(self):
        found = assigned_senders(E1, VMS, 10)
        self.assertEqual(found, assigned_senders(E1, list(reversed(VMS)), 10))
        self.assertEqual(len(set(found)), 10)

    def test_endpoints_have_different_senders(self):
        chosen = {
            vm
            for number in range(70)
            for vm in assigned_senders(EndpointName(f"e{number}"), VMS, 10)
        }
        self.assertEqual(chosen, set(VMS))


class ColdEndpointsTest(unittest.TestCase):
    """When an endpoint is cold, and when it may be sent another request."""

    def setUp(self) -> None:
        self.cold = ColdEndpoints()

    def test_cold_time_expires(self):
        self.assertTrue(self.cold.set_cold_seconds(E1, 3.0, 10.0))
        self.assertTrue(self.cold.is_cold(E1, 12.9))
        self.assertFalse(self.cold.is_cold(E1, 13.0))

    def test_turns_cold_again_and_warm(self):
        self.cold.set_cold_seconds(E1, 3.0, 10.0)
        self.assertTrue(self.cold.set_cold_seconds(E1, 2.0, 20.0))
        self.assertTrue(self.cold.set_cold_seconds(E1, 0.0, 21.0))
        self.assertFalse(self.cold.is_cold(E1, 21.0))

    def test_repeated_report_is_no_change(self):
        self.cold.set_cold_seconds(E1, 3.0, 10.0)
        self.assertFalse(self.cold.set_cold_seconds(E1, 2.5, 10.5))

    def test_sliding_window_limits_requests(self):
        quota = Quota(2, 1.0)
        self.cold.set_cold_seconds(E1, 9.0, 0.0)
        for at in (0.1, 0.8):
            self.assertEqual(self.cold.seconds_left(E1, quota, at), 0.0)
            self.cold.record_send(E1, quota.count, at)
        self.assertAlmostEqual(self.cold.seconds_left(E1, quota, 0.9), 0.2)
        self.assertEqual(self.cold.seconds_left(E1, quota, 1.1), 0.0)
        self.cold.record_send(E1, quota.count, 1.1)
        self.assertAlmostEqual(self.cold.seconds_left(E1, quota, 1.1), 0.7)


class FleetTest(unittest.TestCase):
    """Whole fleets in simulated time, the same load with and without the limit."""

    def max_requests(self, strategy: type, size: int, case: Case) -> int:
        """Return the most requests that a cold endpoint received in a second."""
        limit = ColdLimit(10.0, 20.0)
        runs = [
            ColdFleet(seed, SIZES[size], case, strategy, limit).run()
            for seed in range(3)
        ]
        return max(found.most for found in runs)

    def test_hall_back_in_use(self):
        for size in (6, 61, 195):
            self.assertLessEqual(self.max_requests(Keepers, size, Case.HALL), 20)

    def test_all_endpoints_at_once(self):
        self.assertLessEqual(self.max_requests(Keepers, 61, Case.ALL), 20)
        self.assertGreater(self.max_requests(Nothing, 61, Case.ALL), 20)


class ColdCase(GatewayCase):
    """An engine that is cold and one that is warm."""

    workers: Mapping[str, str] = {"e1": "engine", "e2": "engine"}
    per_second = ONE_PER_TEST
    cold = ("e1",)

    async def asyncSetUp(self) -> None:
        self.promises = {"cold_over": 1.0, "cold_extra": 2.0}
        await super().asyncSetUp()

    async def add_worker(self, name: str, service: str, **more: Any) -> Any:
        cold_ms = COLD_MS if name in self.cold else 0
        worker = await super().add_worker(
            name, service, **{"coldLeftMs": cold_ms, **more}
        )
        worker.default = Behaviour(events=2)
        return worker

    async def add_gateway(self, name: str, peers: Any = (), **promises: Any) -> Any:
        if not self.gateways:
            spec = catalogue()
            for service in spec["services"]:
                service.update(coldPerS=self.per_second, coldStartS=COLD_MS)
            await self.store.put("config", "main", spec)
        return await super().add_gateway(name, peers, **self.promises, **promises)

    async def write_entry(self, name: str, **more: Any) -> None:
        """Write an endpoint's entry again."""
        spec = self.endpoints[name].spec("engine", **more)
        await self.store.put("servers", name, spec)

    async def stream(self, **more: Any) -> Got:
        """Return the answer of a streamed request."""
        return await self.call("/stream/x", b"b", **{**STREAM, **more})


class SendingTest(ColdCase):
    """Every request to a cold endpoint counts, and the others go elsewhere."""

    async def test_first_attempts(self):
        for _ in range(12):
            self.assertEqual((await self.stream()).status, 200)
        self.assertEqual((self.runs("e1"), self.runs("e2")), (1, 11))

    async def test_retries(self):
        self.endpoints["e2"].default = Behaviour(status=500)
        for _ in range(6):
            await self.stream()
        self.assertEqual(self.runs("e1"), 1)

    async def test_streams_that_continue_elsewhere(self):
        for _ in range(4):
            self.endpoints["e2"].next.append(Behaviour(events=3, cut_after=1))
            await self.stream()
        self.assertEqual(self.runs("e1"), 1)

    async def test_calls_without_a_prompt(self):
        self.gateway.context.rng.seed(SEED)
        for _ in range(20):
            await self.call("/stream/x", b"b", Model="tiny")
        self.assertEqual(self.runs("e1"), 1)

    async def test_endpoint_that_turns_cold_again(self):
        await self.write_entry("e1")
        gate = self.gateway.path.admission.cold.endpoints
        await self.until(lambda: not gate.is_cold(E1, monotonic()))
        before = self.runs("e1")
        while self.runs("e1") < before + 3:
            await self.stream()
        await self.write_entry("e1", coldLeftMs=COLD_MS)
        await self.until(lambda: gate.is_cold(E1, monotonic()))
        before = self.runs("e1")
        for _ in range(8):
            await self.stream()
        self.assertLessEqual(self.runs("e1") - before, 1)

    async def test_rewritten_entry_does_not_extend_the_cold_time(self):
        gate = self.gateway.path.admission.cold.endpoints
        until = gate.states[E1].until
        await self.write_entry("e1", coldLeftMs=COLD_MS, slots=9)
        registry = self.gateway.knowledge.instances.registry
        await self.until(lambda: registry.known[E1].slots == 9)
        self.assertEqual(gate.states[E1].until, until)

    async def test_changes_are_logged(self):
        events = self.gateway.context.timeline.ring.events
        await self.write_entry("e1")
        await self.until(lambda: events[-1].kind is EventKind.ENDPOINT_WARM)
        cold = [e for e in events if e.kind is EventKind.ENDPOINT_COLD]
        self.assertEqual([event.endpoint for event in cold], ["e1"])
        self.assertEqual(dict(cold[0].facts)["cold_ms"], COLD_MS)


class SeveralVmsTest(ColdCase):
    """Several VMs together send no more than a single one."""

    async def test_three_vms(self):
        second = await self.add_gateway("vm-2", [self.gateway])
        third = await self.add_gateway("vm-3", [self.gateway, second])
        for gateway in (self.gateway, second, third):
            gateway.peers.known = dict(third.peers.known)
        for gateway in (self.gateway, second, third):
            for _ in range(6):
                await self.call("/stream/x", b"b", gateway, **STREAM)
        self.assertEqual(self.runs("e1"), 1)
        self.assertEqual(self.runs("e2"), 17)


class AllColdTest(ColdCase):
    """If all endpoints are cold, requests over the limit are refused at once."""

    cold = ("e1", "e2")

    async def test_refused_with_retry_after(self):
        answers = [await self.stream() for _ in range(6)]
        self.assertEqual([one.status for one in answers], [200, 200, *[503] * 4])
        self.assertTrue(all(b'"not_run"' in one.body for one in answers[2:]))
        retry_after = [float(one.headers["Retry-After"]) for one in answers[2:]]
        self.assertTrue(all(0.5 <= seconds <= 1.5 for seconds in retry_after))
        self.assertEqual(self.runs(), 2)

    async def test_answer_is_kept_if_no_larger_model_is_available(self):
        for endpoint in self.endpoints.values():
            endpoint.default = Behaviour(events=2, headers={"Confidence": "1"})
        for _ in range(2):
            answer = await self.stream(Model="*")
            if answer.status == 200 and self.runs() == 2:
                break
        self.assertEqual(answer.status, 200)


class HallBackTest(ColdCase):
    """A hall that was emptied is cold when it is back, whatever its entries say."""

    cold = ()

    async def add_worker(self, name: str, service: str, **more: Any) -> Any:
        # VMs prefer endpoints in their own data hall.
        hall = "hall-a" if name == "e1" else "hall-b"
        return await super().add_worker(name, service, zone=hall, **more)

    async def test_its_endpoints_count_as_cold(self):
        await self.store.put("evacuations", "hall-a", {})
        emptied = self.gateway.knowledge.halls.emptied
        await self.until(lambda: "hall-a" in emptied)
        await self.store.remove("evacuations", "hall-a")
        await self.until(lambda: "hall-a" not in emptied)
        for _ in range(12):
            self.assertEqual((await self.stream()).status, 200)
        self.assertLessEqual(self.runs("e1"), 1)


class NoLimitTest(ColdCase):
    """If operators configure no rate, cold endpoints are used like others."""

    per_second = 0.0

    async def test_cold_endpoints_are_used(self):
        for _ in range(8):
            await self.stream()
        self.assertGreater(self.runs("e1"), 1)
