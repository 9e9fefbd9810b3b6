# Licensed under the Apache License 2.0: see LICENSE for details.

"""The platform's names stand in its folder only."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

import walnutquay
from walnutquay.platform import names

ROOT = Path(walnutquay.__file__).parent
# Fields of the platform's objects; the headers and paths come from the module.
FIELDS = {
    "pathPrefix",
    "sloMs",
    "timeoutMs",
    "apiKeys",
    "backends",
    "toVersion",
    "durationS",
    "coldLeftMs",
    "sinceRev",
    "asOf",
    "kvTokens",
    "rolled_back",
}
# Words that other protocols have too.
COMMON = {names.RETRY_AFTER, names.LAST_EVENT, names.MODEL, names.SESSION}


def strings(path: Path) -> set[str]:
    """:returns: the string constants of a file that are no doc text."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return {
        node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant)
        and isinstance(node.value, str)
        and " " not in node.value
    }


class BoundaryTest(unittest.TestCase):
    """No other module knows what the platform calls things."""

    def test_names(self):
        values = {
            v for k, v in vars(names).items() if k.isupper() and isinstance(v, str)
        }
        wire = {value.lower() for value in (values - COMMON) | names.OWN_HEADERS}
        wire = {value for value in wire if "-" in value or "/v1/" in value}
        self.assertGreater(len(wire), 10)
        for path in ROOT.rglob("*.py"):
            if path.parent.name == "platform":
                continue
            found = {value for value in strings(path) if value.lower() in wire}
            found |= strings(path) & FIELDS
            # The test itself must be able to fail: see the next one.
            self.assertFalse(found, path)

    def test_it_finds_them_where_they_are(self):
        found = strings(ROOT / "platform" / "names.py")
        self.assertIn("Reply-Seal", found)
        self.assertTrue(FIELDS & strings(ROOT / "platform" / "records.py"))
