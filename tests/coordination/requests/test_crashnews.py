# Licensed under the Apache License 2.0: see LICENSE for details.

"""What VMs tell each other of requests at endpoints that ended."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from walnutquay.coordination.requests import crashnews
from walnutquay.coordination.requests.crashnews import CrashExchange
from walnutquay.protocol.messages import Message
from walnutquay.state.process.ids import (
    EndpointName,
    Fingerprint,
    ServiceName,
    VersionName,
)
from walnutquay.state.requests.crashes import CrashHistory
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace

TRACE = CrashTrace(
    Fingerprint("bad"),
    CrashTarget(ServiceName("engine"), VersionName("v1")),
    EndpointName("e1"),
    age=0.5,
    held=0.04,
)
# From the moment at which a trace is noted until each message with it is sent.
FIRST_SECONDS, SECOND_SECONDS = 0.06, 0.31


class HeardPeers:
    """Other VMs that keep what they are told."""

    def __init__(self) -> None:
        self.told: list[Message] = []

    def broadcast(self, body: Message) -> None:
        """:param body: a message to all of them."""
        self.told.append(body)


class DelayedNewsTest(unittest.IsolatedAsyncioTestCase):
    """News of an end tell its age at the moment at which they are sent."""

    async def test_both_times_that_they_are_told(self):
        peers = HeardPeers()
        exchange = CrashExchange(peers, CrashHistory(), lambda traces, vm: None)
        times = [100.0, 100.0 + FIRST_SECONDS, 100.0 + SECOND_SECONDS]
        with (
            mock.patch.object(crashnews, "monotonic", lambda: times.pop(0)),
            mock.patch.object(crashnews, "AGAIN_SECONDS", 0.0),
        ):
            exchange.tell(TRACE)
            await asyncio.gather(*exchange.tasks.running)
        ages = [trace.age for news in peers.told for trace in news.traces]
        expected = [TRACE.age + FIRST_SECONDS, TRACE.age + SECOND_SECONDS]
        self.assertEqual([round(age, 6) for age in ages], expected)
