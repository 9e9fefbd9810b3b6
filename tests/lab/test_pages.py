# Licensed under the Apache License 2.0: see LICENSE for details.

"""Pages that are made from code or measurements are as that makes them."""

from __future__ import annotations

import json
import re
import unittest
from pathlib import Path

from lab.capacity import page as capacity
from lab.capacity import slopes
from lab.capacity.slopetable import slope_rows
from lab.pages import reference
from walnutquay.state.own.policies import PolicyProgram, PolicyPrograms, PolicyRequest
from walnutquay.state.store.parts import Policy, Version

ROOT = Path(__file__).parent.parent.parent


class PagesTest(unittest.TestCase):
    """No page has fallen behind what it is made from."""

    def test_the_reference(self):
        self.assertEqual(reference.PAGE.read_text(), reference.page())

    def test_the_capacity_page(self):
        measured = json.loads(slopes.OUTPUT.read_text())
        made = capacity.page(measured)
        # Memory of single objects is measured anew and may differ by a little.
        numbers = re.compile(r"[\d,.]+")
        self.assertEqual(
            numbers.sub("#", capacity.PAGE.read_text()), numbers.sub("#", made)
        )

    def test_the_slopes(self):
        measured = json.loads(slopes.OUTPUT.read_text())
        rows = "\n".join(slope_rows(measured))
        self.assertGreater(len(rows.splitlines()), 30)
        self.assertIn(rows, capacity.PAGE.read_text())

    def test_links_lead_somewhere(self):
        seen = 0
        for page in [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]:
            for target in re.findall(r"\]\(([^)]+)\)", page.read_text()):
                if target.startswith("http"):
                    continue
                seen += 1
                name, _, anchor = target.partition("#")
                leads_to = page.parent / name if name else page
                self.assertTrue(leads_to.exists(), (page, target))
                if anchor:
                    self.assertIn(anchor, anchors(leads_to), (page, target))
        self.assertGreater(seen, 50)

    def test_files_of_code_that_are_named_exist(self):
        seen = 0
        for page in ROOT.glob("docs/**/*.md"):
            if page.parent.name == "incidents":
                # They name files as they were then.
                continue
            for name in re.findall(r"`([\w./-]+/[\w./-]+\.py)`", page.read_text()):
                seen += 1
                places = (ROOT / name, ROOT / "walnutquay" / name)
                self.assertTrue(any(path.exists() for path in places), (page, name))
        self.assertGreater(seen, 50)

    def test_the_index_leads_to_each_page(self):
        docs = ROOT / "docs"
        index = (docs / "README.md").read_text()
        linked = {
            (docs / target.partition("#")[0]).resolve()
            for target in re.findall(r"\]\(([^)]+)\)", index)
        }
        pages = {page.resolve() for page in docs.glob("**/*.md")}
        self.assertEqual(pages - linked, {docs / "README.md"})


def anchors(page: Path) -> set[str]:
    """:returns: what links may name of a page: its headings, as forges write them."""
    headings = re.findall(r"^#+ (.+)$", page.read_text(), re.MULTILINE)
    words = (re.sub(r"[^\w\- ]", "", heading).strip().lower() for heading in headings)
    return {text.replace(" ", "-") for text in words}


CHEAP = Version(name="cheap", model="cheap", price_output=0.5)
STRONG = Version(name="strong", model="strong", price_output=5.0)

# the example on the policies' page, class and size of a request -> what it orders
EXAMPLES = [
    (0, "recap", "small", ("cheap", "strong")),
    (0, "tag", "small", ("cheap",)),
    (1, "quote", "small", ("cheap", "strong")),
    (1, "quote", "large", ("strong",)),
    (1, "tender", "small", ("strong",)),
]


class PolicyExamplesTest(unittest.TestCase):
    """The programs on the policies' page do what it says."""

    def test_table(self):
        text = (ROOT / "docs" / "policies.md").read_text(encoding="utf-8")
        sources = re.findall(r"```starlark\n(.*?)```", text, re.DOTALL)
        for number, request_class, size, expected in EXAMPLES:
            with self.subTest(number=number, request_class=request_class, size=size):
                policy = Policy(name="p", source=sources[number])
                self.assertIsNone(PolicyPrograms.check(policy))
                request = PolicyRequest("org", request_class, "c", size, False)
                order = PolicyProgram(policy).order(request, (STRONG, CHEAP))
                self.assertEqual(order, expected)
