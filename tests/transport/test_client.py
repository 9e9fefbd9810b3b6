# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests to endpoints: how often they are sent, and what that proves."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import AsyncIterator

from tests.scriptedendpoint import ID, Asked, ScriptedEndpointCase, answer
from walnutquay.exceptions import EndpointError, NotStartedError
from walnutquay.state.routed.links import Reach
from walnutquay.transport.client import STEP_BROKEN, HttpClient, probe


class OnceTest(ScriptedEndpointCase):
    """A request that may not be repeated is sent once."""

    async def test_an_endpoint_that_closes_without_an_answer(self):
        for method in ("GET", "PUT", "DELETE", "POST"):
            with self.subTest(method=method):
                sent: list[str] = []

                async def script(
                    asked: Asked, sent: list[str] = sent
                ) -> AsyncIterator[bytes]:
                    sent.append(asked.request)
                    raise EOFError
                    yield b""

                await self.start(script)
                with self.assertRaises(EndpointError):
                    async with self.client.request(
                        method,
                        f"http://127.0.0.1:{self.port}/a",
                        peer="endpoint",
                        headers={ID: "a"},
                        repeatable=False,
                    ):
                        pass
                self.assertEqual(sent, ["a"])

    async def test_an_endpoint_that_ends_under_a_request_has_begun_it(self):
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):

                async def serve(
                    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
                ) -> None:
                    await reader.readuntil(b"\r\n\r\n")
                    self.server.close()
                    writer.close()

                self.server = await asyncio.start_server(serve, "127.0.0.1", 0)
                self.port = self.server.sockets[0].getsockname()[1]
                with self.assertRaises(EndpointError) as caught:
                    await self.call("/a", "a", repeatable=repeatable)
                self.assertNotIsInstance(caught.exception, NotStartedError)
                self.assertEqual(caught.exception.step, STEP_BROKEN)


class NoAddressTest(unittest.IsolatedAsyncioTestCase):
    """An endpoint without an address gets nothing, and can tell nothing.

    Guards against errors that nobody foresaw, and that failed each request.
    """

    addresses = ("127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:-1", ":80", "")

    async def test_requests_are_not_started(self):
        client = HttpClient("")
        self.addAsyncCleanup(client.close)
        for address in self.addresses:
            with self.subTest(address), self.assertRaises(NotStartedError):
                async with client.request("GET", f"http://{address}/x", peer="e"):
                    self.fail("it was answered")

    async def test_nobody_is_reached(self):
        for address in self.addresses:
            with self.subTest(address):
                self.assertIs(await probe(f"http://{address}"), Reach.SILENT)


class ClosedBeforeSendingTest(ScriptedEndpointCase):
    """An endpoint closes a kept connection just before a request is sent on it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.asked: list[str] = []

        async def script(asked: Asked) -> AsyncIterator[bytes]:
            self.asked.append(asked.request)
            yield answer(asked.request, b"done")

        await self.start(script)
        # How many connections are closed as requests are about to be sent.
        self.closing = 0

    def still_allowed(self) -> bool:
        if self.closing:
            self.closing -= 1
            for session in (self.client.kept, self.client.fresh):
                for protocol in session.connector._acquired:
                    protocol.transport.close()
        return True

    async def send(self, request: str, data: bytes | None, repeatable: bool) -> bytes:
        """:returns: the body of the answer."""
        async with self.client.request(
            "POST",
            f"http://127.0.0.1:{self.port}/a",
            peer="endpoint",
            headers={ID: request},
            data=data,
            repeatable=repeatable,
            still_allowed=self.still_allowed,
        ) as got:
            return await got.read()

    async def test_the_request_fails(self):
        for number, data in enumerate((None, b"x", bytes(20_000))):
            for repeatable in (True, False):
                with self.subTest(size=len(data or b""), repeatable=repeatable):
                    self.asked.clear()
                    first, second = (f"{number}{repeatable}{n}" for n in range(2))
                    await self.send(first, data, repeatable)
                    self.closing = 1
                    self.assertEqual(await self.send(second, data, repeatable), b"done")
                    self.assertEqual(self.asked, [first, second])

    async def test_it_counts_as_begun_if_that_goes_on(self):
        self.closing = 2
        with self.assertRaises(NotStartedError):
            await self.send("a", b"x", True)
        self.assertEqual(self.asked, [])
