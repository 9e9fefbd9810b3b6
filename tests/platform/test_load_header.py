# Licensed under the Apache License 2.0: see LICENSE for details.

"""The load that endpoints tell in their answers."""

from __future__ import annotations

import unittest

from walnutquay.platform.calls import decode_answer
from walnutquay.protocol.calls import AnswerHead


def decode(load: str) -> AnswerHead:
    """:returns: the head of an answer that tells this load."""
    return decode_answer(200, {"Load": load}, [("Load", load)])


class PaceTest(unittest.TestCase):
    """The fourth figure is how long work takes; it may be missing or unreadable."""

    def test_read(self):
        cases = {
            "3,1,8,100": 1.0,
            "3, 1, 8, 250": 2.5,
            "3,1,8,40,9": 0.4,
            "3,1,8": None,
            "3,1,8,": None,
            "3,1,8,0": None,
            "3,1,8,-50": None,
            "3,1,8,slow": None,
            "3,1,8,nan": None,
            "3,1,8,inf": None,
            "3,1,8,1e400": None,
        }
        for load, pace in cases.items():
            self.assertEqual(pace, decode(load).pace, load)

    def test_other_figures_hold_without_it(self):
        head = decode("3,1,8,slow")
        self.assertEqual((3, 1, 8), (head.running, head.waiting, head.slots))


class CountsTest(unittest.TestCase):
    """The first three figures count requests; a load that does not is no load."""

    def test_unreadable(self):
        for text in ("99999999999", "9" * 5000, "\u00b2", "\u0663", "-1", "", "1.5"):
            for load in (f"{text},1,8", f"3,{text},8", f"3,1,{text}"):
                with self.subTest(load=load[:20]):
                    head = decode(load)
                    self.assertIsNone(head.running)
                    self.assertEqual((0, 0), (head.waiting, head.slots))

    def test_leading_and_largest(self):
        head = decode("000003, 999999 ,8")
        self.assertEqual((3, 999999, 8), (head.running, head.waiting, head.slots))
