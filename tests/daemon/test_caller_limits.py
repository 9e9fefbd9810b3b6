# Licensed under the Apache License 2.0: see LICENSE for details.

"""Configured limits of callers' connections: idle time, head timeout, head size."""

from __future__ import annotations

import asyncio

from tests.gatewaycase import HOST, KEY, WAIT_SECONDS, GatewayCase, catalogue

HEAD = (
    f"GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: %s\r\n"
    f"Authorization: Bearer {KEY}\r\n"
)
SHORT_MS = 400
LONG_MS = 60_000
READ_BYTES = 1 << 16


class CallerLimitsCase(GatewayCase):
    """Starts a gateway with configured connection limits."""

    configured = False
    limits: dict[str, int]

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        limits = {"maxBodyBytes": 100_000, **self.limits}
        await self.store.put("config", "main", catalogue(limits=limits))
        await self.until(lambda: self.gateway.knowledge.ready)
        self.gateway.api.enforce_limits()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """:returns: a new connection to the gateway."""
        port = self.gateway.api.server.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        return reader, writer

    async def read_answer(self, reader: asyncio.StreamReader) -> bytes:
        """Read a whole answer.

        :returns: its status line and headers.
        """
        async with asyncio.timeout(WAIT_SECONDS):
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(b"done"))
        return head

    async def read_until_closed(self, reader: asyncio.StreamReader) -> bytes:
        """Read to the end of the connection.

        The kernel resets a connection that is closed with bytes unread.

        :returns: the data received until the connection is closed.
        """
        received = b""
        async with asyncio.timeout(WAIT_SECONDS):
            try:
                while part := await reader.read(READ_BYTES):
                    received += part
            except ConnectionResetError:
                pass
        return received


class SlowHeadTest(CallerLimitsCase):
    """Guards against connections held open by heads that are never completed."""

    limits = {"headerTimeoutMs": SHORT_MS, "idleTimeoutMs": LONG_MS}

    async def test_a_connection_with_an_incomplete_head_is_closed(self):
        reader, writer = await self.connect()
        writer.write(HEAD.encode()[:30])
        self.assertEqual(await self.read_until_closed(reader), b"")

    async def test_a_connection_with_a_head_sent_bytewise_is_closed(self):
        reader, writer = await self.connect()
        writer.write((HEAD % "r1" + "X-Long: ").encode())
        closed = asyncio.ensure_future(self.read_until_closed(reader))
        while not closed.done():
            writer.write(b"x")
            await asyncio.wait([closed], timeout=0.05)
        self.assertEqual(closed.result(), b"")

    async def test_a_connection_with_an_incomplete_second_head_is_closed(self):
        reader, writer = await self.connect()
        writer.write((HEAD % "r1" + "\r\n").encode())
        self.assertIn(b"200", await self.read_answer(reader))
        writer.write(HEAD.encode()[:30])
        self.assertEqual(await self.read_until_closed(reader), b"")

    async def test_a_connection_idle_after_a_request_is_kept(self):
        reader, writer = await self.connect()
        for number in (1, 2):
            writer.write((HEAD % f"r{number}" + "\r\n").encode())
            self.assertIn(b"200", await self.read_answer(reader))
            await asyncio.sleep(3 * SHORT_MS / 1000)
            self.gateway.api.enforce_limits()

    async def test_a_slow_body_does_not_count_as_a_slow_head(self):
        reader, writer = await self.connect()
        head = HEAD % "r1" + "Content-Length: 4\r\n\r\n"
        writer.write(head.replace("GET", "POST").encode())
        for piece in (b"b", b"o", b"d", b"y"):
            await asyncio.sleep(SHORT_MS / 1000)
            self.gateway.api.enforce_limits()
            writer.write(piece)
        self.assertIn(b"200", await self.read_answer(reader))
        await asyncio.sleep(3 * SHORT_MS / 1000)
        self.gateway.api.enforce_limits()
        writer.write((HEAD % "r2" + "\r\n").encode())
        self.assertIn(b"200", await self.read_answer(reader))


class SuspendedTest(CallerLimitsCase):
    """Guards against closing connections whose data was not read while suspended."""

    limits = {"headerTimeoutMs": LONG_MS, "idleTimeoutMs": LONG_MS}

    async def test_suspended_time_does_not_count(self):
        reader, writer = await self.connect()
        request = (HEAD % "r1" + "\r\n").encode()
        writer.write(request[:30])
        deadlines = self.gateway.api.server.web.head_deadlines.head_end
        await self.until(lambda: deadlines)
        suspended = 2 * LONG_MS / 1000
        self.gateway.context.timers.looked_at -= suspended
        for connection in deadlines:
            deadlines[connection] -= suspended
        self.gateway.api.enforce_limits()
        writer.write(request[30:])
        self.assertIn(b"200", await self.read_answer(reader))


class IdleTest(CallerLimitsCase):
    """Guards against a configured idle time that has no effect."""

    limits = {"headerTimeoutMs": LONG_MS, "idleTimeoutMs": SHORT_MS}

    async def test_a_connection_that_sends_nothing_is_closed(self):
        reader, _ = await self.connect()
        self.assertEqual(await self.read_until_closed(reader), b"")

    async def test_a_connection_idle_after_a_request_is_closed(self):
        reader, writer = await self.connect()
        writer.write((HEAD % "r1" + "\r\n").encode())
        self.assertIn(b"200", await self.read_answer(reader))
        self.assertEqual(await self.read_until_closed(reader), b"")


class LongHeadTest(CallerLimitsCase):
    """Guards against a configured head size that has no effect."""

    limits = {"maxHeaderBytes": 32 << 10}

    async def read_head(self, size: int) -> bytes:
        """:returns: the head of the answer to a request with a header of this size."""
        reader, writer = await self.connect()
        head = HEAD % f"r{size}" + f"X-Long: {'x' * size}\r\n\r\n"
        writer.write(head.encode())
        async with asyncio.timeout(WAIT_SECONDS):
            return await reader.readuntil(b"\r\n\r\n")

    async def test_a_head_within_the_limit_is_served(self):
        self.assertIn(b"200", await self.read_head(24 << 10))

    async def test_a_head_beyond_the_limit_is_refused(self):
        self.assertIn(b"400", await self.read_head(48 << 10))
