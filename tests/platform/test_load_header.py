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
