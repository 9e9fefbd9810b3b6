# Licensed under the Apache License 2.0: see LICENSE for details.

"""The way of single requests, put together from their log lines."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from walnutquay.history.lines import LogLine
from walnutquay.state.process.events import EventKind

MILLISECONDS = 1000.0
ENDS = frozenset(
    {
        EventKind.ANSWERED,
        EventKind.REFUSED,
        EventKind.UNKNOWN,
        EventKind.BROKEN,
        EventKind.CALLER_GONE,
    }
)
SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class RequestHistory:
    """All lines of one request, in order; there is at least one.

    :param request: its id.
    :param lines: the lines.
    """

    request: str
    lines: tuple[LogLine, ...]

    @property
    def vm(self) -> str:
        """The VM that took it."""
        return self.lines[0].vm

    @property
    def came(self) -> float:
        """When its first line was written; seconds since 1970."""
        return self.lines[0].seconds

    @property
    def end(self) -> LogLine | None:
        """The line that says how it ended; None where there is none."""
        ends = self.of(*ENDS)
        return ends[-1] if ends else None

    def of(self, *kinds: EventKind) -> list[LogLine]:
        """:param kinds: kinds of lines.

        :returns: its lines of these kinds.
        """
        return [line for line in self.lines if line.kind in kinds]

    @property
    def received(self) -> LogLine | None:
        """The line that tells what was asked; None for requests denied at once."""
        found = self.of(EventKind.RECEIVED)
        return found[0] if found else None

    @property
    def route(self) -> str:
        """Its route; empty where it had none."""
        line = self.received
        return str(line.facts.get("route", "")) if line is not None else ""

    @property
    def first_ms(self) -> float:
        """Milliseconds until its caller had the first part of an answer or its end."""
        parts = self.of(EventKind.BEGUN, *ENDS)
        last = parts[0] if parts else self.lines[-1]
        return (last.seconds - self.came) * MILLISECONDS

    @property
    def answered(self) -> bool:
        """Whether its caller got a good answer, late or not."""
        end = self.end
        if end is None or end.kind is not EventKind.ANSWERED:
            return False
        return end.number("status") < SERVER_ERROR

    @property
    def late(self) -> bool:
        """Whether it was answered later than its route aims at."""
        end = self.end
        return self.answered and end is not None and end.facts.get("late") is True


def histories(lines: Iterable[LogLine]) -> dict[str, RequestHistory]:
    """:param lines: lines in order.

    :returns: the history of each request that has a line, by its id.
    """
    found: dict[str, list[LogLine]] = {}
    for line in lines:
        if line.request:
            found.setdefault(line.request, []).append(line)
    return {name: RequestHistory(name, tuple(own)) for name, own in found.items()}
