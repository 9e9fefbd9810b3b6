# Licensed under the Apache License 2.0: see LICENSE for details.

"""A VM that is late itself does not take endpoints for unreachable."""

from __future__ import annotations

import unittest
from unittest import mock

import aiohttp

from walnutquay.state.process.linkload import LinkLoad
from walnutquay.transport import connectors
from walnutquay.transport.connectors import (
    LATE_SECONDS,
    LATE_TRIES,
    KeptConnector,
)
from walnutquay.transport.traffic import Traffic

LIMIT_SECONDS = 0.3
LIMITS = aiohttp.ClientTimeout(sock_connect=LIMIT_SECONDS)


class LateVmTest(unittest.IsolatedAsyncioTestCase):
    """Connections that do not come up in time, by a simulated clock."""

    async def asyncSetUp(self) -> None:
        self.now = 100.0
        self.load = LinkLoad()
        self.tries = 0
        # How late this VM looks, and how many tries fail.
        self.late = 0.0
        self.failing = 1
        for patch in (
            mock.patch.object(connectors, "monotonic", lambda: self.now),
            mock.patch.object(aiohttp.TCPConnector, "_create_connection", self.connect),
        ):
            patch.start()
            self.addCleanup(patch.stop)
        self.connector = KeptConnector(traffic=Traffic(self.load))
        self.addAsyncCleanup(self.connector.close)

    async def connect(self, *args: object) -> str:
        """Return a connection, or time out."""
        self.tries += 1
        if self.tries > self.failing:
            return "connection"
        self.now += LIMIT_SECONDS + self.late
        raise aiohttp.ConnectionTimeoutError

    async def make(self) -> object:
        """Make a connection."""
        return await self.connector._create_connection(None, [], LIMITS)

    async def test_a_vm_that_looks_late_tries_again(self):
        self.late = 2 * LATE_SECONDS
        self.assertEqual(await self.make(), "connection")

    async def test_a_vm_whose_link_is_full_tries_again(self):
        with mock.patch.object(self.load, "wait", lambda now: 2 * LATE_SECONDS):
            self.assertEqual(await self.make(), "connection")

    async def test_a_vm_in_time_does_not(self):
        with self.assertRaises(aiohttp.ConnectionTimeoutError):
            await self.make()
        self.assertEqual(self.tries, 1)

    async def test_an_endpoint_that_stays_silent_is_tried_three_times_at_most(self):
        self.late, self.failing = 2 * LATE_SECONDS, 9
        with self.assertRaises(aiohttp.ConnectionTimeoutError):
            await self.make()
        self.assertEqual(self.tries, LATE_TRIES + 1)
