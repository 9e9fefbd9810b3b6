# Licensed under the Apache License 2.0: see LICENSE for details.

"""The figures that a VM serves, and the log lines that operators read."""

from __future__ import annotations

import ast
import re
import unittest
from pathlib import Path

import walnutquay
from tests.gatewaycase import GatewayCase
from walnutquay.state.process.events import EventKind
from walnutquay.state.trials.counts import Measure

LABEL = r'[a-z_]+="[^"]*"'
LINE = re.compile(rf"^walnutquay_[a-z_]+(\{{{LABEL}(,{LABEL})*\}})? -?[\d.]+$")
PAGE = Path(walnutquay.__file__).parent.parent / "docs" / "OPERATIONS.md"


# What each event has; all other names are facts.
FIELDS = {"request", "session", "version", "endpoint", "detail", "kind"}
SOURCES = Path(walnutquay.__file__).parent
# Functions that make facts: their dictionaries' keys are names of facts.
MAKERS = {"received", "dispatched", "state_age"}


def emitted_facts() -> set[str]:
    """:returns: the names of facts that the code of the gateway gives to events."""
    found = {name.value for name in Measure}
    for path in SOURCES.rglob("*.py"):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and _name_of(node.func) == "emit":
                found |= {word.arg for word in node.keywords if word.arg}
            if isinstance(node, ast.FunctionDef) and path.stem == "facts":
                found |= _keys(node) if node.name in MAKERS else set()
    return found - FIELDS


def _name_of(node: ast.expr) -> str:
    return node.attr if isinstance(node, ast.Attribute) else ""


def _keys(function: ast.FunctionDef) -> set[str]:
    return {
        key.value
        for node in ast.walk(function)
        if isinstance(node, ast.Dict)
        for key in node.keys
        if isinstance(key, ast.Constant)
    }


class MetricsTest(GatewayCase):
    """Counters, latencies and beliefs, in the text exposition format."""

    async def test_figures(self):
        for _ in range(3):
            await self.call("/safe/x")
        await self.call("/nowhere/x")
        port = self.gateway.metrics_api.server.port
        async with self.session.get(f"http://127.0.0.1:{port}/metrics") as answer:
            lines = (await answer.text()).splitlines()
        for line in lines:
            self.assertRegex(line, LINE)
        self.assertIn("walnutquay_answered_total 3", lines)
        self.assertIn("walnutquay_denied_service_not_found_total 1", lines)
        self.assertIn("walnutquay_configuration_version 1", lines)
        self.assertIn('walnutquay_endpoints{service="plain",state="ready"} 2', lines)
        self.assertIn("walnutquay_request_seconds_count 3", lines)


class VocabularyTest(unittest.TestCase):
    """Each event that can be logged stands on the operators' page."""

    def test_events(self):
        page = PAGE.read_text(encoding="utf-8")
        for kind in EventKind:
            self.assertIn(f"`{kind.value}`", page)

    def test_facts(self):
        page = PAGE.read_text(encoding="utf-8")
        names = emitted_facts()
        self.assertGreater(len(names), 30)
        for name in sorted(names):
            self.assertIn(f"`{name}`", page)
