# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that fail wherever they run."""

from __future__ import annotations

from standins.worker import Behaviour, Seen
from tests.gatewaycase import GatewayCase
from walnutquay.state.requests.endpoints import FAILURES_TO_EJECT
from walnutquay.transport.timers import monotonic

# A path whose requests every endpoint answers with 500.
FAILING = "/safe/failing"


def by_path(seen: Seen) -> Behaviour:
    """:returns: how an endpoint answers."""
    return Behaviour(status=500 if seen.target == FAILING else 200)


class RepeatedFailureTest(GatewayCase):
    """A caller that repeats one does not shut others out of endpoints."""

    workers = {f"p{n}": "plain" for n in range(1, 5)}

    def left_out(self) -> list[str]:
        """:returns: the endpoints that are left out for their failures."""
        table = self.gateway.path.admission.table
        return [n for n in self.endpoints if table.of(n).ejected_until > monotonic()]

    async def test_it_is_held_against_no_endpoint(self):
        for worker in self.endpoints.values():
            worker.choose = by_path
        for _ in range(FAILURES_TO_EJECT * len(self.endpoints)):
            answer = await self.call(FAILING)
            self.assertEqual(answer.status, 500)
        self.assertEqual(self.left_out(), [])

    async def test_what_others_answer_is_held_against_the_endpoint(self):
        self.endpoints["p1"].default = Behaviour(status=500)
        table = self.gateway.path.admission.table
        while not table.of("p1").failures:
            answer = await self.call("/safe/x")
            self.assertEqual(answer.status, 200)
