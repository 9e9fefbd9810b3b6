# Licensed under the Apache License 2.0: see LICENSE for details.

"""Frames around what a VM passes on of an endpoint's connection."""

from __future__ import annotations

import unittest

from walnutquay.exceptions import MessageError
from walnutquay.transport.tunnelframes import (
    END_FRAME,
    MAX_FRAME,
    FrameReader,
    frame_header,
)

PIECES = [b"HTTP/1.1 200 X\r\n\r\n", b"\0\0\0\0", b"x" * 300]
FRAMES = b"".join(frame_header(len(piece)) + piece for piece in PIECES)
WHOLE = b"".join(PIECES)


class FrameReaderTest(unittest.TestCase):
    """What is read of frames, however they are cut on their way."""

    def read(self, data: bytes, size: int) -> tuple[bytes, FrameReader]:
        reader = FrameReader()
        found = b""
        for at in range(0, len(data), size):
            found += b"".join(reader.feed(data[at : at + size]))
        return found, reader

    def test_any_cut(self) -> None:
        for size in (1, 2, 3, 4, 5, 7, 64, len(FRAMES) + len(END_FRAME)):
            with self.subTest(size=size):
                found, reader = self.read(FRAMES + END_FRAME, size)
                self.assertEqual((found, reader.ended), (WHOLE, True))

    def test_part_is_passed_on_before_its_frame_is_whole(self) -> None:
        self.assertEqual(FrameReader().feed(frame_header(10) + b"abc"), [b"abc"])

    def test_no_part_of_it_has_ended(self) -> None:
        data = FRAMES + END_FRAME
        for size in range(len(data)):
            _, reader = self.read(data[:size], 16)
            self.assertFalse(reader.ended, size)

    def test_bytes_behind_the_end_are_an_error(self) -> None:
        with self.assertRaises(MessageError):
            self.read(END_FRAME + b"x", 2)

    def test_overlong_frame_is_an_error(self) -> None:
        with self.assertRaises(MessageError):
            FrameReader().feed(frame_header(MAX_FRAME + 1))


if __name__ == "__main__":
    unittest.main()
