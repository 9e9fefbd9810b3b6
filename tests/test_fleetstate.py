# Licensed under the Apache License 2.0: see LICENSE for details.

"""The state of a fleet, read from metrics addresses."""

from __future__ import annotations

import unittest

from tests.gatewaycase import GatewayCase
from walnutquay.commands.fleetstate import (
    Figure,
    VmState,
    concerns,
    read_figures,
    read_states,
    state_of,
    states_text,
)

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
        self.assertEqual((up.answered, up.refused, up.vms), (1, 1, 1))
        self.assertEqual(up.endpoints["plain/ready"], 2)
        self.assertFalse(down.reached)
        text = states_text([up, down])
        self.assertIn("look at: 127.0.0.1:9 does not answer", text)
        self.assertIn("plain/ready=2", text)
