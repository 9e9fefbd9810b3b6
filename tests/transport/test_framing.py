# Licensed under the Apache License 2.0: see LICENSE for details.

"""Answers that never end, told by their framing."""

from __future__ import annotations

import unittest

from walnutquay.transport.framing import (
    MAX_FRAMING_BYTES,
    MAX_INTERIM_ANSWERS,
    FramingMeter,
)


class FramingMeterTest(unittest.TestCase):
    """Sound answers are never taken for endless ones."""

    def setUp(self) -> None:
        self.meter = FramingMeter()

    def test_large_bodies_are_sound(self):
        for _ in range(1000):
            self.meter.add(1 << 16)
        self.assertFalse(self.meter.is_endless(1000 << 16))

    def test_smallest_chunks_are_sound(self):
        count = 1_000_000
        self.meter.add(count * len(b"1\r\nx\r\n"))
        self.assertFalse(self.meter.is_endless(count))

    def test_a_long_head_is_sound(self):
        self.meter.add(MAX_FRAMING_BYTES)
        self.assertFalse(self.meter.is_endless(0))

    def test_more_is_not(self):
        self.meter.add(MAX_FRAMING_BYTES + 1)
        self.assertTrue(self.meter.is_endless(0))

    def test_each_answer_counts_by_itself(self):
        for _ in range(10):
            self.meter.add(MAX_FRAMING_BYTES)
            self.assertFalse(self.meter.is_endless(0))
            self.meter.restart()

    def test_a_row_of_interim_answers_is_not(self):
        for _ in range(MAX_INTERIM_ANSWERS):
            self.meter.add_interim()
        self.assertFalse(self.meter.is_endless(0))
        self.meter.add_interim()
        self.assertTrue(self.meter.is_endless(0))
