# Licensed under the Apache License 2.0: see LICENSE for details.

"""The choice of endpoints on our own interface."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from walnutquay.coordination.own.admission import Admission
from walnutquay.coordination.requests.slots import SlotRequest
from walnutquay.state.process.ids import OrganisationName, RequestId
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.store.parts import Endpoint

ENDPOINTS = [
    Endpoint(name=f"e{n}", pool="p", hall="h", address=f"http://10.0.0.{n}", slots=2)
    for n in range(8)
]
PAIRS = 50


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
