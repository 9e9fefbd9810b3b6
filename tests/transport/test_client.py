# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests to endpoints: how often they are sent, and what that proves."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from tests.scriptedendpoint import ID, Asked, ScriptedEndpointCase
from walnutquay.exceptions import EndpointError, NotStartedError
from walnutquay.transport.client import STEP_BROKEN


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
