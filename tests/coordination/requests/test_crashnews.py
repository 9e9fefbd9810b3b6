# Licensed under the Apache License 2.0: see LICENSE for details.

"""The exchange of crash traces between VMs."""

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
# The time from recording a trace until each message with it is sent.
FIRST_SECONDS, SECOND_SECONDS = 0.06, 0.31


class RecordingPeers:
    """Other VMs, which keep the messages sent to them."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def broadcast(self, body: Message) -> None:
        """:param body: a message to all of them."""
        self.sent.append(body)


class DelayedTracesTest(unittest.IsolatedAsyncioTestCase):
    """A trace carries its age as of the time at which it is sent."""

    async def test_age_in_both_messages(self):
        peers = RecordingPeers()
        exchange = CrashExchange(peers, CrashHistory(), lambda traces, vm: None)
        times = [100.0, 100.0 + FIRST_SECONDS, 100.0 + SECOND_SECONDS]
        with (
            mock.patch.object(crashnews, "monotonic", lambda: times.pop(0)),
            mock.patch.object(crashnews, "RESEND_SECONDS", 0.0),
        ):
            exchange.announce(TRACE)
            await asyncio.gather(*exchange.tasks.running)
        ages = [trace.age for message in peers.sent for trace in message.traces]
        expected = [TRACE.age + FIRST_SECONDS, TRACE.age + SECOND_SECONDS]
        self.assertEqual([round(age, 6) for age in ages], expected)
