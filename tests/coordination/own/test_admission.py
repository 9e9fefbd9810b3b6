# Licensed under the Apache License 2.0: see LICENSE for details.

"""The choice of endpoints on our own interface."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from unittest import mock

from walnutquay.coordination.own.admission import Admission
from walnutquay.coordination.requests.slots import SlotRequest
from walnutquay.state.process.ids import OrganisationName, RequestId
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.store.parts import Endpoint, Pool
from walnutquay.transport.timers import monotonic

ENDPOINTS = [
    Endpoint(name=f"e{n}", pool="p", hall="h", address=f"http://10.0.0.{n}", slots=2)
    for n in range(8)
]
PAIRS = 50
# Shorter timers end in time.
EARLY_SECONDS = 0.01
# A request would wait for ten seconds.
LIMIT_SECONDS = 8.0


class SuspectsTest(unittest.TestCase):
    """Requests that were at the same crashes."""

    def setUp(self) -> None:
        table = EndpointTable("h", random.Random(1))
        self.admission = Admission(mock.Mock(), mock.Mock(), table)

    def choose(self, suspect: str, other: str) -> str | None:
        """:returns: the endpoint for a request that was at a crash beside another."""
        need = SlotRequest(
            RequestId("r"),
            OrganisationName("o"),
            1.0,
            "v",
            9.0,
            0.0,
            suspect=suspect,
            companions=frozenset({other}),
        )
        found = self.admission._choose(ENDPOINTS, 0.0, need)
        return None if found is None else found.name

    def test_both_go_on_to_the_same_endpoint(self):
        for n in range(PAIRS):
            one, other = f"a{n}", f"b{n}"
            self.assertNotEqual(self.choose(one, other), self.choose(other, one))

    def test_one_waits_while_only_others_have_room(self):
        for endpoint in ENDPOINTS:
            self.admission.table.state_of(endpoint.name).in_flight = endpoint.slots
        self.assertIsNone(self.choose("a", "b"))
        for endpoint in ENDPOINTS:
            with self.subTest(free=endpoint.name):
                state = self.admission.table.state_of(endpoint.name)
                state.in_flight = 0
                self.assertEqual(self.choose("a", "b"), endpoint.name)
                state.in_flight = endpoint.slots


class EarlyLoop:
    """A loop whose timers end a little too early, as those of a busy loop do.

    :param loop: the loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def call_later(self, seconds: float, action: Callable, *args: Any) -> Any:
        early = seconds / 2.0 if seconds > EARLY_SECONDS else seconds
        return self.loop.call_later(early, action, *args)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


class FullEndpointTest(unittest.IsolatedAsyncioTestCase):
    """The only endpoint has refused the last request that was there."""

    async def test_a_request_waits_until_its_time_is_over(self):
        endpoint = ENDPOINTS[0]
        current = SimpleNamespace(
            pools={"p": Pool(name="p", work="quick")},
            endpoints_of_version={"v": [endpoint]},
            endpoints_of_service={},
            emptied_halls=frozenset(),
            regions={},
        )
        configurations = SimpleNamespace(current=current, listeners=[])
        table = EndpointTable("h", random.Random(1))
        context = mock.Mock(vm="vm-1", hall="h")
        admission = Admission(context, configurations, table)
        early = EarlyLoop(asyncio.get_running_loop())
        with mock.patch.object(asyncio, "get_running_loop", return_value=early):
            first = (await admission.acquire(need("a"))).ok
            admission.full(first)
            admission.release(first)
            async with asyncio.timeout(LIMIT_SECONDS):
                second = await admission.acquire(need("b"))
        self.assertIs(second.ok.endpoint, endpoint)


def need(request: str) -> SlotRequest:
    """:returns: a request for a version."""
    organisation = OrganisationName("o")
    now = monotonic()
    return SlotRequest(RequestId(request), organisation, 1.0, "v", now + 60.0, now)
