# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that fail at every endpoint."""

from __future__ import annotations

from standins.worker import Behaviour, Seen
from tests.gatewaycase import GatewayCase
from walnutquay.state.requests.endpoints import FAILURES_TO_EJECT
from walnutquay.transport.timers import monotonic

# A path whose requests every endpoint answers with 500.
FAILING = "/safe/failing"


def by_path(seen: Seen) -> Behaviour:
    """:returns: the behaviour of an endpoint."""
    return Behaviour(status=500 if seen.target == FAILING else 200)


class RepeatedFailureTest(GatewayCase):
    """Repeating a failing request does not eject endpoints that others use."""

    workers = {f"p{n}": "plain" for n in range(1, 5)}

    def ejected(self) -> list[str]:
        """:returns: the endpoints that are ejected for their failures."""
        table = self.gateway.path.admission.table
        return [
            n for n in self.endpoints if table.state_of(n).ejected_until > monotonic()
        ]

    async def test_request_that_fails_everywhere_ejects_no_endpoint(self):
        for worker in self.endpoints.values():
            worker.choose = by_path
        for _ in range(FAILURES_TO_EJECT * len(self.endpoints)):
            answer = await self.call(FAILING)
            self.assertEqual(answer.status, 500)
        self.assertEqual(self.ejected(), [])

    async def test_failure_that_other_endpoints_answer_counts(self):
        self.endpoints["p1"].default = Behaviour(status=500)
        table = self.gateway.path.admission.table
        while not table.state_of("p1").failures:
            answer = await self.call("/safe/x")
            self.assertEqual(answer.status, 200)
