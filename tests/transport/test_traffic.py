# Licensed under the Apache License 2.0: see LICENSE for details.

"""Counting what connections carry."""

from __future__ import annotations

from tests.gatewaycase import GatewayCase

BODY = 20_000


class CountedRequestTest(GatewayCase):
    """Requests and answers are counted on both of their connections."""

    async def test_body_crosses_the_link_in_and_out(self):
        link = self.gateway.context.link
        counts = {"in": 0, "out": 0}
        send, receive = link.send, link.receive

        def sent(count: int, now: float) -> None:
            counts["out"] += count
            send(count, now)

        def received(count: int, now: float) -> None:
            counts["in"] += count
            receive(count, now)

        link.send, link.receive = sent, received
        answer = await self.call("/safe/x", b"b" * BODY)
        self.assertEqual(answer.status, 200)
        for count in counts.values():
            self.assertGreater(count, BODY)
            self.assertLess(count, BODY + 10_000)

    async def test_metrics_tell(self):
        await self.call("/safe/x", b"b")
        lines = "\n".join(self.gateway.metrics_api.lines())
        self.assertIn('walnutquay_link_bytes_per_second{direction="sent"}', lines)
        self.assertIn("walnutquay_link_wait_seconds", lines)
