# Licensed under the Apache License 2.0: see LICENSE for details.

"""Long prompts that engines were given, told between VMs."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.routed.admission import PendingPrompt
from walnutquay.coordination.routed.promptupdates import MIN_SENT_SECONDS, PromptUpdates
from walnutquay.protocol.messages import Envelope, WorkNews
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import EndpointName, HallName
from walnutquay.state.routed.work import PromptWork

RATE = 0.00002


def prompt(seconds: float) -> PendingPrompt:
    """:returns: a prompt that takes an engine so long to read."""
    work = PromptWork("m", 5000, "", 0)
    return PendingPrompt(
        work, EndpointName("e"), HallName("h"), 0.0, seconds, False, 0.0
    )


class PromptUpdatesTest(unittest.IsolatedAsyncioTestCase):
    """VMs hear of what would delay them, and of nothing else."""

    def setUp(self) -> None:
        self.told: list[tuple] = []
        self.heard: list[WorkNews] = []
        admission = SimpleNamespace(
            listeners=[],
            apply_peer_prompt=self.heard.append,
            work=SimpleNamespace(rate=lambda model: RATE),
        )
        self.passed: list[tuple] = []
        peers = SimpleNamespace(
            tell_users=lambda *told: self.told.append(told),
            pass_on_here=lambda *passed: self.passed.append(passed),
        )
        self.dispatcher = Dispatcher()
        PromptUpdates(admission, peers).listen(self.dispatcher)
        self.sent = admission.listeners[0]

    def test_a_long_prompt_is_told_where_its_engine_is_used(self):
        self.sent(prompt(MIN_SENT_SECONDS))
        self.assertEqual(
            self.told, [("h", WorkNews("e", MIN_SENT_SECONDS, "", "m", RATE))]
        )

    def test_a_short_one_is_not(self):
        self.sent(prompt(MIN_SENT_SECONDS * 0.9))
        self.assertEqual(self.told, [])

    async def test_what_another_vm_tells_counts(self):
        update = WorkNews("e", 0.2, "", "m", RATE)
        await self.dispatcher.deliver(Envelope("vm", "1", Stamp(1, 0), update))
        self.assertEqual(self.heard, [update])
        self.assertEqual(self.passed, [("vm", update)])
