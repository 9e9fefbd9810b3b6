# Licensed under the Apache License 2.0: see LICENSE for details.

"""Ports for processes that start later."""

from __future__ import annotations

import socket
import unittest
from unittest import mock

from standins import ports
from standins.ports import HOST, HeldPorts
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
