# Licensed under the Apache License 2.0: see LICENSE for details.

"""Answers without end, by the client that both interfaces use."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from standins.behaviour import Behaviour
from standins.worker import WorkerStandIn
from walnutquay.coordination.own.engines import EngineCall, Engines
from walnutquay.exceptions import EndpointError
from walnutquay.protocol.services import HEADER_REQUEST_ID
from walnutquay.transport import client
from walnutquay.transport.client import HttpClient, read_whole
from walnutquay.transport.timers import monotonic

BLOCK = 4096
MOST_BYTES = 4 << 20
# What never ends comes in an answer that is sound so far.
HEAD = b"HTTP/1.1 200 OK\r\n" + HEADER_REQUEST_ID.encode() + b": d1\r\n"
PLACES = {
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "header fields": (HEAD, b"X: y\r\n" * BLOCK),
    "chunk line": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;", b"x" * BLOCK),
    "body": (HEAD + b"Connection: close\r\n\r\n", b"x" * BLOCK),
}
# A failure that has not come by then never will.
WAIT_SECONDS = 10.0
BODY_BYTES = 1 << 20


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Each place of an answer, read whole or as a stream of our own interface."""

    async def asyncSetUp(self) -> None:
        self.worker = WorkerStandIn("e1")
        await self.worker.start()
        self.addAsyncCleanup(self.worker.stop)
        self.client = HttpClient(HEADER_REQUEST_ID)
        self.addAsyncCleanup(self.client.close)
        patch = mock.patch.object(client, "MAX_WHOLE_BYTES", BODY_BYTES)
        patch.start()
        self.addCleanup(patch.stop)

    def call(self) -> EngineCall:
        """:returns: a dispatch to the engine."""
        endpoint = SimpleNamespace(
            name="e1", address=f"http://{self.worker.address}", hall="h"
        )
        deadline = monotonic() + 10 * WAIT_SECONDS
        return EngineCall("d1", endpoint, b"{}", "quick", deadline, 10 * WAIT_SECONDS)

    def sent(self) -> int:
        """:returns: the most bytes that a request got."""
        return max(run.endless for run in self.worker.runs)

    async def test_whole_answers(self):
        for name, endless in PLACES.items():
            with self.subTest(name):
                self.worker.default = Behaviour(endless=endless)
                async with asyncio.timeout(WAIT_SECONDS):
                    with self.assertRaises(EndpointError):
                        await self.read()
                self.assertLess(self.sent(), MOST_BYTES)

    async def read(self) -> bytes:
        """Read an answer whole."""
        async with self.client.request(
            "POST",
            f"http://{self.worker.address}/x",
            peer="e1",
            data=b"b",
            headers={HEADER_REQUEST_ID: "d1"},
            timeout=10 * WAIT_SECONDS,
        ) as answer:
            return await read_whole(answer, "e1")

    async def test_streams_of_engines(self):
        for name, endless in PLACES.items():
            with self.subTest(name):
                self.worker.default = Behaviour(endless=endless)
                engines = Engines(self.client)
                async with asyncio.timeout(WAIT_SECONDS):
                    with self.assertRaises(EndpointError):
                        async for _ in engines.events(self.call()):
                            pass
                self.assertLess(self.sent(), MOST_BYTES)

    async def test_slow_senders(self):
        slow = mock.patch("standins.worker.ENDLESS_PAUSE_SECONDS", 0.002)
        for name, (first, again) in PLACES.items():
            with self.subTest(name), slow:
                self.worker.default = Behaviour(endless=(first, again))
                async with asyncio.timeout(WAIT_SECONDS):
                    with self.assertRaises(EndpointError):
                        await self.read()
