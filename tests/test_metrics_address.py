# Licensed under the Apache License 2.0: see LICENSE for details.

"""The figures that a VM serves, and the log lines that operators read."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from tests.gatewaycase import GatewayCase
from walnutquay.state.events import EventKind

LABEL = r'[a-z_]+="[^"]*"'
LINE = re.compile(rf"^walnutquay_[a-z_]+(\{{{LABEL}(,{LABEL})*\}})? -?[\d.]+$")
PAGE = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"


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
