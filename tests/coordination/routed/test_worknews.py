# Licensed under the Apache License 2.0: see LICENSE for details.

"""Long prompts that engines were given, told between VMs."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.routed.places import ReadingNote
from walnutquay.coordination.routed.worknews import HEAVY_SECONDS, WorkExchange
from walnutquay.protocol.messages import Envelope, WorkNews
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import EndpointName, HallName
from walnutquay.state.routed.work import PromptWork

RATE = 0.00002


def prompt(seconds: float) -> ReadingNote:
    """:returns: a prompt that takes an engine so long to read."""
    work = PromptWork("m", 5000, "", 0)
    return ReadingNote(work, EndpointName("e"), HallName("h"), 0.0, seconds, False, 0.0)


class WorkExchangeTest(unittest.IsolatedAsyncioTestCase):
    """VMs hear of what would delay them, and of nothing else."""

    def setUp(self) -> None:
        self.told: list[tuple] = []
        self.heard: list[WorkNews] = []
        places = SimpleNamespace(
            listeners=[],
            hear=self.heard.append,
            work=SimpleNamespace(rate=lambda model: RATE),
        )
        self.passed: list[tuple] = []
        peers = SimpleNamespace(
            send_to_users=lambda *told: self.told.append(told),
            relay_in_hall=lambda *passed: self.passed.append(passed),
        )
        self.dispatcher = Dispatcher()
        WorkExchange(places, peers).listen(self.dispatcher)
        self.sent = places.listeners[0]

    def test_a_long_prompt_is_told_where_its_engine_is_used(self):
        self.sent(prompt(HEAVY_SECONDS))
        self.assertEqual(
            self.told, [("h", WorkNews("e", HEAVY_SECONDS, "", "m", RATE))]
        )

    def test_a_short_one_is_not(self):
        self.sent(prompt(HEAVY_SECONDS * 0.9))
        self.assertEqual(self.told, [])

    async def test_what_another_vm_tells_counts(self):
        news = WorkNews("e", 0.2, "", "m", RATE)
        await self.dispatcher.deliver(Envelope("vm", "1", Stamp(1, 0), news))
        self.assertEqual(self.heard, [news])
        self.assertEqual(self.passed, [("vm", news)])
