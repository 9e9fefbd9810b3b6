# Licensed under the Apache License 2.0: see LICENSE for details.

"""Logs crashes of endpoints, and what is blocked because of them."""

from __future__ import annotations

from walnutquay.coordination.process.context import Context
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import Feature
from walnutquay.state.requests.crashes import CrashHistory
from walnutquay.state.requests.crashtypes import CrashTarget
from walnutquay.state.requests.promptparts import SEPARATOR
from walnutquay.state.requests.verdicts import Verdict
from walnutquay.transport.timers import monotonic

Blocks = dict[tuple[CrashTarget, Feature], Verdict]


class CrashLog:
    """Writes events about endpoint crashes.

    :param context: the state shared within this process.
    :param book: the known crashes.
    """

    def __init__(self, context: Context, book: CrashHistory) -> None:
        self.context = context
        self.book = book
        # What was blocked when it was last compared.
        self.logged: Blocks = {}

    def crashed(self, name: str, reason: str) -> None:
        """Log that an endpoint has crashed.

        :param name: the endpoint.
        :param reason: what shows it.
        """
        self.context.metrics.count("endpoints_ended")
        self.context.timeline.emit(
            EventKind.ENDPOINT_ENDED,
            endpoint=name,
            detail=f"connections to it broke, and {reason}",
        )

    def block_changes(self, source: str) -> bool:
        """Log what was blocked or freed since the last call.

        :param source: the VM whose traces caused the changes; empty for this one.
        :returns: whether anything was blocked.
        """
        before = self.logged
        after: Blocks = {
            (target, verdict.feature): verdict
            for target, verdicts in self.book.verdicts.items()
            for verdict in verdicts
        }
        self.logged = after
        for key in sorted(before.keys() ^ after.keys()):
            blocked = key in after
            verdict = after[key] if blocked else before[key]
            self._emit(verdict, blocked, source)
        return bool(after.keys() - before.keys())

    def _emit(self, verdict: Verdict, blocked: bool, source: str) -> None:
        last = verdict.crashes[-1].at
        facts = {
            "runs": verdict.target.version,
            "ends": len(verdict.crashes),
            "ends_age_ms": round((monotonic() - last) * 1000.0),
            "told_by": source,
        }
        if verdict.part is None:
            kind = EventKind.REQUEST_BLOCKED if blocked else EventKind.REQUEST_FREED
            facts["fingerprint"] = verdict.feature
        else:
            kind = EventKind.PART_BLOCKED if blocked else EventKind.PART_FREED
            facts["part"] = verdict.part
            facts["parts"] = SEPARATOR.join(sorted(verdict.parts))
        self.context.timeline.emit(
            kind,
            version=verdict.target.service,
            detail=", ".join(crash.endpoint for crash in verdict.crashes),
            **facts,
        )
