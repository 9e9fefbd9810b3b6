# Licensed under the Apache License 2.0: see LICENSE for details.

"""Answers with neither a length nor chunks, which end with their connections."""

from __future__ import annotations

from dataclasses import replace

from standins.worker import Behaviour
from tests.coordination.routed.test_tunnels import TunnelCase
from tests.gatewaycase import GatewayCase
from walnutquay.state.process.ids import EndpointName

EVENTS = 3
STREAM = b"".join(f"id: {n}\ndata: word {n}\n\n".encode() for n in range(1, EVENTS + 1))
WHOLE = Behaviour(events=EVENTS, framed=False)
# Bytes of an event that come before the connection ends within it.
WITHIN = 5
# Streams that are broken off: by a reset, within an event or behind one, or by the
# connection's orderly end within an event.
BROKEN = (
    replace(WHOLE, cut_after=1),
    replace(WHOLE, cut_after=0, within=WITHIN),
    replace(WHOLE, cut_after=1, within=WITHIN),
    replace(WHOLE, cut_after=1, within=WITHIN, cut_orderly=True),
    replace(WHOLE, cut_after=2, within=WITHIN, cut_orderly=True),
)


class StreamEnds:
    """What callers get of such streams; run directly and through another VM."""

    async def test_whole_stream(self):
        self.answer_with(WHOLE)
        for path in ("/stream/x", "/once/x"):
            answer = await self.call(path, b"b", Model="tiny")
            self.assertEqual((answer.status, answer.whole), (200, True))
            self.assertEqual(answer.body, STREAM)

    async def test_broken_stream_is_resumed_where_that_is_allowed(self):
        for broken in BROKEN:
            with self.subTest(broken=broken):
                self.answer_with(WHOLE, broken)
                answer = await self.call("/stream/x", b"b", Model="tiny")
                self.assertEqual((answer.status, answer.whole), (200, True))
                self.assertEqual(answer.body, STREAM)

    async def test_broken_stream_never_looks_whole(self):
        for broken in BROKEN:
            with self.subTest(broken=broken):
                before = self.runs()
                self.answer_with(WHOLE, broken)
                answer = await self.call("/once/x", b"b", Model="tiny")
                self.assertEqual(self.runs() - before, 1)
                self.assertTrue(STREAM.startswith(answer.body) or not answer.whole)
                self.assertFalse(answer.status == 200 and answer.whole)

    def answer_with(self, default: Behaviour, *first: Behaviour) -> None:
        """Have the first requests answered so, at whichever engine, others alike."""
        left = list(first)
        for worker in self.endpoints.values():
            worker.choose = lambda seen: left.pop(0) if left else default


class PlainEnds:
    """What callers get of such plain answers; run directly and through another VM."""

    async def test_whole_answer(self):
        for status in (200, 201, 404, 500):
            with self.subTest(status=status):
                self.answer_plainly(Behaviour(status, b"all of it", framed=False))
                answer = await self.call("/unsafe/x", b"b")
                self.assertEqual((answer.status, answer.body), (status, b"all of it"))
                self.assertTrue(answer.whole)

    async def test_answer_without_a_body(self):
        self.answer_plainly(Behaviour(204, b"", framed=False))
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual((answer.status, answer.body), (204, b""))

    async def test_broken_answer_never_looks_whole(self):
        for cut in (0, 1, 9):
            with self.subTest(cut=cut):
                body = Behaviour(body=b"0123456789", cut_after=cut, framed=False)
                self.answer_plainly(body)
                answer = await self.call("/unsafe/x", b"b")
                self.assertEqual(answer.status, 502)

    async def test_long_answer_is_passed_on_to_its_end(self):
        body = bytes(range(256)) * 4096
        self.answer_plainly(Behaviour(body=body, framed=False))
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual(answer.body, body)

    def answer_plainly(self, behaviour: Behaviour) -> None:
        """Have all endpoints answer so."""
        for worker in self.endpoints.values():
            worker.choose = lambda seen: behaviour


class DirectTest(StreamEnds, PlainEnds, GatewayCase):
    """The VM has the connection to the endpoint itself."""

    workers = {"p1": "plain", "e1": "engine", "e2": "engine"}


class ThroughAnotherVmTest(StreamEnds, PlainEnds, TunnelCase):
    """Another VM forwards the connection."""

    async def asyncSetUp(self) -> None:
        """Let the second VM connect without a link, which would hide resets."""
        await super().asyncSetUp()
        known = self.helper.knowledge.instances.registry.known
        for name, worker in self.endpoints.items():
            endpoint = EndpointName(name)
            address = f"http://{worker.address}"
            known[endpoint] = replace(known[endpoint], address=address)
