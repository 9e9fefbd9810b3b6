# Licensed under the Apache License 2.0: see LICENSE for details.

"""What operators may enter of organisations."""

from __future__ import annotations

import math
import unittest

from pydantic import ValidationError

from walnutquay.state.store.parts import Organisation


class WeightTest(unittest.TestCase):
    """A weight that is no positive number is refused: shares could not be computed."""

    def test_refused(self):
        for weight in (0.0, -1.0, math.inf, math.nan):
            with self.assertRaises(ValidationError):
                Organisation(name="org-a", weight=weight)

    def test_taken(self):
        self.assertEqual(0.5, Organisation(name="org-a", weight=0.5).weight)
