# Licensed under the Apache License 2.0: see LICENSE for details.

"""What the ablation switches off is there."""

from __future__ import annotations

import unittest

from lab.trials.ablation import switched_off


class SwitchedOffTest(unittest.TestCase):
    """Whoever renames a part renames it in its switch, too."""

    def test_each_part_is_found(self):
        switches = switched_off()
        self.assertGreater(len(switches), 5)
        for part, switch in switches.items():
            with self.subTest(part), switch:
                pass
