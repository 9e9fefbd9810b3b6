# Licensed under the Apache License 2.0: see LICENSE for details.

"""Ports for processes that start later."""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest import mock

from standins import ports
from standins.link import Link
from standins.ports import HOST, HeldPorts
from standins.worker import WorkerStandIn
from walnutquay.transport.listeners import listen


class HeldPortsTest(unittest.TestCase):
    """Who is to listen may, time after time; others do not get the port."""

    def setUp(self) -> None:
        self.held = HeldPorts()
        self.addCleanup(self.held.close)

    def test_the_process_that_they_are_for_may_listen(self):
        (port,) = self.held.take(1)
        for _ in range(2):
            with (
                listen(HOST, port) as listener,
                socket.create_connection((HOST, port)),
            ):
                connection, _ = listener.accept()
                connection.close()

    def test_a_second_one_may_not(self):
        (port,) = self.held.take(1)
        with listen(HOST, port), self.assertRaises(OSError):
            listen(HOST, port)

    def test_others_are_not_given_them(self):
        (port,) = self.held.take(1)
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind((HOST, port))

    def test_a_port_that_is_taken_for_datagrams_is_passed_over(self):
        seen = []

        def free(port: int) -> bool:
            seen.append(port)
            return len(seen) > 1

        with mock.patch.object(ports, "_is_free_for_datagrams", free):
            taken = self.held.take(1)
        self.assertEqual(list(taken), seen[1:])

    def test_datagrams(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
            self.assertFalse(ports._is_free_for_datagrams(port))
        self.assertTrue(ports._is_free_for_datagrams(port))


class AwayTest(unittest.IsolatedAsyncioTestCase):
    """A stand-in that is away for a while comes back at its port.

    In a soak beside others the port of an endpoint that had ended was some connection's
    own when it was to come back ("address already in use"), and the soak ended.
    """

    async def test_nobody_else_gets_it_meanwhile(self):
        worker = WorkerStandIn("e1")
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        host, _, port = worker.address.partition(":")
        link = Link((host, int(port)))
        await link.start()
        self.addCleanup(link.stop)
        worker.on_crash = link.close_port
        worker.crash()
        for port_away in (int(port), link.port):
            with socket.socket() as other, self.assertRaises(OSError):
                other.bind((host, port_away))
            with self.assertRaises(ConnectionRefusedError):
                await asyncio.open_connection(host, port_away)
        await worker.come_back("e1")
        await link.open_port()
        _, writer = await asyncio.open_connection(host, link.port)
        writer.close()
