# Licensed under the Apache License 2.0: see LICENSE for details.

"""The services for which decisions under overload are made."""

from __future__ import annotations

import unittest

from walnutquay.state.process.ids import ServiceName
from walnutquay.state.routed.overloadscope import (
    MAX_SERVICES,
    Coverage,
    OverloadScope,
)

SILENT, LOADED, PACED = map(ServiceName, ("silent", "loaded", "paced"))


class OverloadScopeTest(unittest.TestCase):
    """Settings decide, and what the endpoints of a service tell."""

    def covered(self, coverage: Coverage) -> set[ServiceName]:
        scope = OverloadScope(coverage)
        scope.on_load(LOADED, None)
        scope.on_load(PACED, 1.0)
        scope.on_load(PACED, None)
        return {name for name in (SILENT, LOADED, PACED) if scope.covers(name)}

    def test_each_coverage(self):
        self.assertEqual(set(), self.covered(Coverage.NEVER))
        self.assertEqual({PACED}, self.covered(Coverage.PACED))
        self.assertEqual({LOADED, PACED}, self.covered(Coverage.ALWAYS))

    def test_never_uses_no_pace(self):
        used = {item: OverloadScope(item).uses_paces for item in Coverage}
        unused = [item for item, uses in used.items() if not uses]
        self.assertEqual([Coverage.NEVER], unused)

    def test_memory_is_bounded(self):
        scope = OverloadScope(Coverage.PACED)
        for number in range(2 * MAX_SERVICES):
            scope.on_load(ServiceName(f"s{number}"), 1.0)
        self.assertEqual(MAX_SERVICES, len(scope.paced))
