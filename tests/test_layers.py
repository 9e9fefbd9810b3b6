# Licensed under the Apache License 2.0: see LICENSE for details.

"""The layers import downwards only."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

import walnutquay

ROOT = Path(walnutquay.__file__).parent
# From the lowest to the highest; modules beside them are free to use all.
LAYERS = (
    "state",
    "protocol",
    "transport",
    "platform",
    "coordination",
    "daemon",
    "commands",
)
# The rooms of these layers, from the lowest to the highest.
ROOMED = ("state", "coordination")
ROOMS = ("process", "fleet", "store", "requests", "routed", "trials", "own")
# The longest file of code that a reader should have to take in.
MAX_LINES = 400
# What pure decisions must not touch.
IMPURE = {"asyncio", "socket", "aiohttp", "sanic", "uvloop", "time", "os"}


def imports(path: Path) -> set[str]:
    """:returns: the modules that a file imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
        elif isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
    return found


class LayersTest(unittest.TestCase):
    """No file of a layer imports from a higher one."""

    def test_downwards_only(self):
        seen = 0
        for rank, layer in enumerate(LAYERS):
            higher = {f"walnutquay.{name}" for name in LAYERS[rank + 1 :]}
            for path in (ROOT / layer).rglob("*.py"):
                seen += 1
                packages = {".".join(m.split(".")[:2]) for m in imports(path)}
                self.assertFalse(packages & higher, path)
        self.assertGreater(seen, 30)

    def test_state_is_pure(self):
        for path in (ROOT / "state").rglob("*.py"):
            tops = {module.split(".")[0] for module in imports(path)}
            self.assertFalse(tops & IMPURE, path)


class FileSizeTest(unittest.TestCase):
    """No file is longer than a reader should have to take in."""

    def test_each(self):
        folders = ("walnutquay", "lab", "soak", "standins", "tests", "demo", "deploy")
        for folder in folders:
            for path in (ROOT.parent / folder).rglob("*.py"):
                lines = len(path.read_text(encoding="utf-8").splitlines())
                self.assertLessEqual(lines, MAX_LINES, path)


class RoomsTest(unittest.TestCase):
    """Layers with rooms have the same ones, and no room imports from a higher one."""

    def test_both_layers_have_the_same_rooms(self):
        for layer in ROOMED:
            folder = ROOT / layer
            found = {
                path.name
                for path in folder.iterdir()
                if (path / "__init__.py").exists()
            }
            self.assertEqual(found, set(ROOMS), layer)

    def test_downwards_only(self):
        for layer in ROOMED:
            for rank, room in enumerate(ROOMS):
                higher = {f"walnutquay.{layer}.{name}" for name in ROOMS[rank + 1 :]}
                for path in (ROOT / layer / room).glob("*.py"):
                    used = {".".join(m.split(".")[:3]) for m in imports(path)}
                    self.assertFalse(used & higher, path)

    def test_nothing_stands_between_the_rooms(self):
        for layer in ROOMED:
            files = {path.name for path in (ROOT / layer).glob("*.py")}
            self.assertEqual(files, {"__init__.py"}, layer)

    def test_the_tests_have_the_same_ones(self):
        for layer in ROOMED:
            folder = ROOT.parent / "tests" / layer
            found = {path.name for path in folder.iterdir() if path.is_dir()}
            self.assertLessEqual(found - {"__pycache__"}, set(ROOMS), layer)
            self.assertEqual(list(folder.glob("test_*.py")), [], layer)

    def test_each_room_says_what_it_is_for(self):
        for layer in ROOMED:
            for room in ROOMS:
                text = (ROOT / layer / room / "__init__.py").read_text(encoding="utf-8")
                self.assertGreater(len(ast.get_docstring(ast.parse(text)) or ""), 80)
