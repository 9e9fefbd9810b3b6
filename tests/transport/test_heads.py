# Licensed under the Apache License 2.0: see LICENSE for details.

"""Where heads of HTTP messages end in what is read."""

from __future__ import annotations

import itertools
import unittest

from walnutquay.transport.heads import MAX_PARTS, last_bytes, split_after_heads


class SplitTest(unittest.TestCase):
    """Bytes are split behind the ends of heads, wherever these were cut."""

    def test_all_cuts(self):
        whole = b"a\r\n\r\nbb\r\n\r\n\r\nccc"
        for cut in range(len(whole) + 1):
            first, second = whole[:cut], whole[cut:]
            before = last_bytes(b"", first)
            parts = [
                *split_after_heads(b"", first),
                *split_after_heads(before, second),
            ]
            self.assertEqual(b"".join(parts), whole)
            ends = set(itertools.accumulate(map(len, parts)))
            self.assertLessEqual({5, 11}, ends, cut)

    def test_a_body_of_blank_lines_is_not_taken_apart(self):
        data = b"\r\n\r\n" * 1000
        parts = split_after_heads(b"", data)
        self.assertEqual(b"".join(parts), data)
        self.assertEqual(len(parts), MAX_PARTS + 1)

    def test_the_last_bytes_of_small_pieces(self):
        last = b""
        for number in range(7):
            last = last_bytes(last, b"%d" % number)
        self.assertEqual(last, b"3456")
