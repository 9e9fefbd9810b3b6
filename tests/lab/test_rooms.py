# Licensed under the Apache License 2.0: see LICENSE for details.

"""The packages of ``lab/`` say what they measure, and import in one direction."""

from __future__ import annotations

import ast
import unittest
from graphlib import TopologicalSorter
from pathlib import Path

import lab
from tests.test_layers import imports

FOLDER = Path(lab.__file__).parent


def module_name(path: Path) -> str:
    """:returns: the dotted name of a module of ``lab/``."""
    parts = path.relative_to(FOLDER.parent).with_suffix("").parts
    return ".".join(parts).removesuffix(".__init__")


def imported_modules(path: Path) -> set[str]:
    """:returns: what a file imports, with each name as a module it may be.

    Imports for the type checker count too.
    """
    found = imports(path)
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom):
            found.update(f"{node.module}.{alias.name}" for alias in node.names)
    return found


class RoomsTest(unittest.TestCase):
    """Each subject has a package."""

    def test_modules_stand_in_packages(self):
        found = {path.name for path in FOLDER.glob("*.py")}
        self.assertEqual(found, {"__init__.py"})

    def test_each_package_says_what_it_is_for(self):
        for path in FOLDER.glob("*/__init__.py"):
            docstring = ast.get_docstring(ast.parse(path.read_text(encoding="utf-8")))
            self.assertTrue(docstring, path)

    def test_imports_form_no_cycle(self):
        files = {module_name(path): path for path in FOLDER.rglob("*.py")}
        self.assertGreater(len(files), 30)
        graph = {
            name: (imported_modules(path) & files.keys()) - {name}
            for name, path in files.items()
        }
        self.assertTrue(any(graph.values()))
        TopologicalSorter(graph).prepare()
