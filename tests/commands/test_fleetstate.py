# Licensed under the Apache License 2.0: see LICENSE for details.

"""The state of a fleet, read from metrics addresses."""

from __future__ import annotations

import asyncio
import unittest

from standins.worker import Behaviour
from tests.gatewaycase import GatewayCase
from walnutquay.commands.fleetstate import (
    Figure,
    VmState,
    Waiting,
    all_waiting,
    concerns,
    read_figures,
    read_states,
    state_of,
    states_text,
)
from walnutquay.daemon.metricsapi import escaped
from walnutquay.platform import names

GOOD = VmState("a:1", ready=True, configuration=3, endpoints={"s/ready": 2})

# the states of VMs -> what an operator should look at
CONCERNS = [
    ([GOOD], []),
    ([GOOD, VmState("b:1", reached=False)], ["b:1 does not answer"]),
    ([VmState("a:1", configuration=3)], ["a:1 is not ready"]),
    (
        [GOOD, VmState("b:1", ready=True, configuration=2)],
        ["configurations differ: [2, 3]"],
    ),
    (
        [GOOD, VmState("b:1", ready=True, configuration=3, era=2)],
        ["VMs know different eras of the store: [0, 2]"],
    ),
    (
        [VmState("a:1", ready=True, age=40.0)],
        ["a:1 last heard of the store 40 s ago"],
    ),
    (
        [VmState("a:1", ready=True, endpoints={"s/ejected": 1, "t/ready": 1})],
        ["a:1 has no ready endpoint of s"],
    ),
]


class ConcernTest(unittest.TestCase):
    """What is not as it should be is said."""

    def test_table(self):
        for states, expected in CONCERNS:
            with self.subTest(expected=expected):
                self.assertEqual(concerns(states), expected)

    def test_all_refusals_are_counted(self):
        figures = [
            Figure("refused_queue_full_total", {}, 2.0),
            Figure("denied_invalid_api_key_total", {}, 3.0),
            Figure("unknown_timeout_total", {}, 4.0),
        ]
        state = state_of("a:1", figures)
        self.assertEqual((state.refused, state.unknown), (5, 4))

    def test_what_is_no_figure(self):
        with self.assertRaises(ValueError):
            read_figures("walnutquay_ready one\n")


class ReadTest(GatewayCase):
    """The figures of a VM that runs, and of one that does not."""

    async def test_both(self):
        await self.call("/safe/x")
        await self.call("/nowhere/x")
        address = f"127.0.0.1:{self.gateway.metrics_api.server.port}"
        up, down = await read_states([address, "127.0.0.1:9"])
        self.assertEqual((up.reached, up.ready, up.configuration), (True, True, 1))
        self.assertEqual((up.answered, up.refused, up.vms, up.era), (1, 1, 1, 1))
        self.assertEqual(up.endpoints["plain/ready"], 2)
        self.assertFalse(down.reached)
        text = states_text([up, down])
        self.assertIn("look at: 127.0.0.1:9 does not answer", text)
        self.assertIn("plain/ready=2", text)

    async def test_a_hall_that_is_emptied_and_what_still_runs_there(self):
        gate = asyncio.Event()
        self.endpoints["e1"].default = Behaviour(events=2, gate=gate)
        stream = asyncio.ensure_future(self.call("/once/x", b"b", Model="tiny"))
        await self.until(lambda: self.runs("e1") == 1)
        await self.store.put("evacuations", "hall-a", {})
        await self.until(lambda: "hall-a" in self.gateway.knowledge.halls.emptied)
        address = f"127.0.0.1:{self.gateway.metrics_api.server.port}"
        (state,) = await read_states([address])
        self.assertEqual(state.emptied, {"hall-a": 1})
        self.assertEqual(state.endpoints["plain/emptied"], 2)
        text = states_text([state])
        self.assertIn("emptied: hall-a, known to 1 of 1 VMs, 1 requests still", text)
        self.assertIn(f"{address} has no ready endpoint of plain", text)
        gate.set()
        await stream
        (state,) = await read_states([address])
        self.assertEqual(state.emptied, {"hall-a": 0})

    async def test_an_endpoint_with_a_rate_limit(self):
        headers = {names.RATE_LIMIT: "0.5"}
        self.endpoints["e1"].default = Behaviour(events=2, headers=headers)
        await self.call("/once/x", b"b", Model="tiny")
        address = f"127.0.0.1:{self.gateway.metrics_api.server.port}"
        (state,) = await read_states([address])
        self.assertEqual(state.limits, {"e1": 0.5})
        self.assertEqual(state.endpoints["engine/limited"], 1)
        text = states_text([state])
        self.assertIn("limited: e1 to 0.5 requests a second, 0.0 used, known to", text)
        self.assertNotIn("has no ready endpoint", text)

    async def test_an_endpoint_that_backs_off(self):
        headers = {names.RETRY_AFTER: "600"}
        refused = Behaviour(status=503, not_run=True, headers=headers)
        self.endpoints["e1"].default = refused
        await self.call("/once/x", b"b", Model="tiny")
        address = f"127.0.0.1:{self.gateway.metrics_api.server.port}"
        (state,) = await read_states([address])
        self.assertGreater(state.backoffs["e1"], 500.0)
        self.assertEqual(state.endpoints["engine/backing-off"], 1)
        text = states_text([state])
        self.assertIn("backing off: e1 wants no requests of 1 of 1 VMs, for 600", text)
        self.assertIn(f"look at: e1 wants no requests of {address} for 600", text)
        self.assertIn("has no ready endpoint of engine", text)

    async def test_whose_work_waits(self):
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(mute=True)
        calls = [asyncio.ensure_future(self.call("/safe/x")) for _ in range(2)]
        calls.append(asyncio.ensure_future(self.call("/unsafe/x", b"b")))
        await self.until(lambda: len(self.gateway.path.under_way) == len(calls))
        address = f"127.0.0.1:{self.gateway.metrics_api.server.port}"
        states = await read_states([address])
        rows = {(row.organisation, row.route): row for row in all_waiting(states)}
        self.assertEqual(set(rows), {("org-a", "safe"), ("org-a", "unsafe")})
        self.assertEqual(rows["org-a", "safe"].count, 2)
        self.assertIn("oldest", states_text(states))
        for call in calls:
            call.cancel()
        await self.until(lambda: not self.gateway.path.under_way)

    def test_all_vms_together(self):
        states = [
            VmState(
                "a:1", waiting=(Waiting("o", "r", 2, 1.0), Waiting("p", "r", 1, 0.5))
            ),
            VmState("b:1", waiting=(Waiting("o", "r", 3, 4.0),)),
        ]
        expected = [Waiting("o", "r", 5, 4.0), Waiting("p", "r", 1, 0.5)]
        self.assertEqual(all_waiting(states), expected)

    def test_names_that_break_no_line(self):
        name = 'a"b\\c\nd'
        figure = f'walnutquay_requests_waiting{{organisation="{escaped(name)}"}} 1'
        found = read_figures(f"{figure}\n")
        self.assertEqual(found[0].labels["organisation"], name)
