# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the updates between VMs about long prompts."""

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


def pending_prompt(seconds: float) -> PendingPrompt:
    """Return a pending prompt with the given reading time."""
    work = PromptWork("m", 5000, "", 0)
    return PendingPrompt(
        work, EndpointName("e"), HallName("h"), 0.0, seconds, False, 0.0
    )


class PromptUpdatesTest(unittest.IsolatedAsyncioTestCase):
    """VMs exchange updates about long prompts only."""

    def setUp(self) -> None:
        self.sent: list[tuple] = []
        self.applied: list[WorkNews] = []
        admission = SimpleNamespace(
            listeners=[],
            apply_peer_prompt=self.applied.append,
            work=SimpleNamespace(rate=lambda model: RATE),
        )
        self.relayed: list[tuple] = []
        peers = SimpleNamespace(
            send_to_users=lambda *sent: self.sent.append(sent),
            relay_in_hall=lambda *relayed: self.relayed.append(relayed),
        )
        self.dispatcher = Dispatcher()
        PromptUpdates(admission, peers).listen(self.dispatcher)
        self.send = admission.listeners[0]

    def test_long_prompt_is_sent_to_the_users_of_its_hall(self):
        self.send(pending_prompt(MIN_SENT_SECONDS))
        self.assertEqual(
            self.sent, [("h", WorkNews("e", MIN_SENT_SECONDS, "", "m", RATE))]
        )

    def test_short_prompt_is_not_sent(self):
        self.send(pending_prompt(MIN_SENT_SECONDS * 0.9))
        self.assertEqual(self.sent, [])

    async def test_received_update_is_applied_and_relayed(self):
        update = WorkNews("e", 0.2, "", "m", RATE)
        await self.dispatcher.deliver(Envelope("vm", "1", Stamp(1, 0), update))
        self.assertEqual(self.applied, [update])
        self.assertEqual(self.relayed, [("vm", update)])
