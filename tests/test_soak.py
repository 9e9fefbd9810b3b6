# Licensed under the Apache License 2.0: see LICENSE for details.

"""A short soak with a fixed seed; long ones are started by hand (``make soak``)."""

from __future__ import annotations

import unittest

from soak.__main__ import soak

SEED = 7
SECONDS = 12.0


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """What must hold whenever; what must hold in time is judged by hand."""

    async def test_short(self):
        report = await soak(SEED, SECONDS)
        self.assertEqual(report.broken, [])
        self.assertGreater(report.outcomes["200"], 50)
        self.assertGreater(len(report.faults), 3)
