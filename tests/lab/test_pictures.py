# Licensed under the Apache License 2.0: see LICENSE for details.

"""The pictures of the design pages are what their command draws, of code that is."""

from __future__ import annotations

import unittest
from pathlib import Path
from xml.etree import ElementTree

import walnutquay
from lab.pages.pictures import CONFIGURATION, FOLDER, PICTURES, REQUEST

CODE = Path(walnutquay.__file__).parent


class PicturesTest(unittest.TestCase):
    """Each committed file is drawn anew, and compared."""

    def test_they_are_as_drawn(self):
        for name, draw in PICTURES.items():
            with self.subTest(name):
                self.assertEqual((FOLDER / name).read_text(encoding="utf-8"), draw())

    def test_there_are_no_others(self):
        found = {path.name for path in FOLDER.glob("*.svg")}
        self.assertEqual(found, set(PICTURES))

    def test_they_are_well_formed(self):
        for name, draw in PICTURES.items():
            with self.subTest(name):
                root = ElementTree.fromstring(draw())
                self.assertEqual(root.tag, "{http://www.w3.org/2000/svg}svg")

    def test_participants_are_classes_of_their_modules(self):
        for sequence in (REQUEST, CONFIGURATION):
            for participant in sequence.participants:
                if participant.module:
                    with self.subTest(participant.name):
                        text = (CODE / participant.module).read_text(encoding="utf-8")
                        self.assertIn(f"class {participant.name}", text)
