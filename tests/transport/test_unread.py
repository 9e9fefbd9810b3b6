# Licensed under the Apache License 2.0: see LICENSE for details.

"""Callers who do not read what they are sent."""

from __future__ import annotations

import unittest
from unittest import mock

from walnutquay.transport.unread import UnreadConnections, acknowledged_bytes


def transport(info: object, unsent: int) -> mock.Mock:
    """Return a connection whose system answers so, or raises that."""
    made = mock.Mock()
    made.get_write_buffer_size.return_value = unsent
    asked = made.get_extra_info.return_value.getsockopt
    if isinstance(info, Exception):
        asked.side_effect = info
    else:
        asked.return_value = info
    return made


class AcknowledgedBytesTest(unittest.TestCase):
    """Systems tell how many bytes were acknowledged, or not."""

    def test_told(self):
        info = bytes(120) + (7).to_bytes(8, "little")
        self.assertEqual(7, acknowledged_bytes(transport(info, 50)))

    def test_not_told(self):
        for info in (b"", bytes(100), OSError("not supported")):
            self.assertEqual(-50, acknowledged_bytes(transport(info, 50)))


class UnreadConnectionsTest(unittest.TestCase):
    """What counts is the time without a change."""

    def test_without_word_of_the_system_what_is_unsent_counts(self):
        unread = UnreadConnections()
        slow, silent = transport(b"", 50), transport(b"", 50)
        unread.look([slow, silent], 0.0)
        slow.get_write_buffer_size.return_value = 40
        unread.look([slow, silent], 2.0)
        self.assertEqual([silent], unread.since(1.0))
