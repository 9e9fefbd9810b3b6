# Licensed under the Apache License 2.0: see LICENSE for details.

"""Answers of services that end with their connections: over our own interface."""

from __future__ import annotations

from standins.worker import Behaviour, WorkerStandIn
from tests.fleetcase import FleetCase


class ServiceAnswerTest(FleetCase):
    """An answer without a length is whole only if its connection ended orderly."""

    vms = {"vm-a1": "hall-a"}
    services = ("service-1",)

    async def start_service(self, name: str) -> None:
        """Run the endpoint in this process, where its answers can be chosen."""
        self.worker = WorkerStandIn(name)
        await self.worker.start()
        self.addAsyncCleanup(self.worker.stop)
        self.urls[name] = f"http://{self.worker.address}"

    async def test_orderly_end(self):
        self.worker.default = Behaviour(body=b'{"done": 1}', framed=False)
        answer = await self.book("vm-a1", "one")
        self.assertEqual((answer.status, answer.json), (200, {"done": 1}))

    async def test_reset(self):
        body = b'{"done": 1, "more": 2}'
        self.worker.default = Behaviour(body=body, framed=False, cut_after=11)
        answer = await self.book("vm-a1", "one")
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.ran, "unknown")
