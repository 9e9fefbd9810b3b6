# Licensed under the Apache License 2.0: see LICENSE for details.

"""Log lines of many VMs, read back and put in order."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import orjson

from walnutquay.state.process.events import EventKind, Facts

MICROSECONDS = 1_000_000
# How each line begins.
LINE_BEGINS = b'{"time":'
# What every line has, and facts that tell nothing about a decision.
COMMON = frozenset(
    {
        "time",
        "level",
        "channel",
        "message",
        "vm",
        "at",
        "kind",
        "request",
        "session",
        "version",
        "endpoint",
        "detail",
    }
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """An event, as one VM has logged it.

    :param at: when; microseconds since 1970 and a count within them, by a clock that
        orders lines of different VMs.
    :param vm: the VM.
    :param kind: what happened.
    :param request: the request's id; empty if it concerns none.
    :param session: the session's id; empty if it concerns none.
    :param version: the version or service; empty if it concerns none.
    :param endpoint: the endpoint; empty if it concerns none.
    :param detail: more, in words.
    :param facts: what decided it, by name.
    """

    at: tuple[int, int]
    vm: str
    kind: EventKind
    request: str = ""
    session: str = ""
    version: str = ""
    endpoint: str = ""
    detail: str = ""
    facts: Facts = field(default_factory=dict)

    @property
    def seconds(self) -> float:
        """When it happened; seconds since 1970."""
        return self.at[0] / MICROSECONDS

    def number(self, name: str) -> float:
        """:param name: a fact that is a number.

        :returns: it; 0 where it is not known, as with ages of what was never seen.
        """
        value = self.facts.get(name)
        return float(value) if isinstance(value, int | float) else 0.0

    def text(self) -> str:
        """:returns: the line for people."""
        moment = datetime.fromtimestamp(self.seconds, UTC)
        words = [self.request, self.session, self.version, self.endpoint, self.detail]
        facts = [f"{name}={value}" for name, value in self.facts.items()]
        rest = "  ".join(word for word in [*words, *facts] if word)
        return f"{moment:%H:%M:%S.%f}  {self.vm:<18} {self.kind.value:<18} {rest}"


@dataclass(frozen=True, slots=True)
class LineFile:
    """What was read.

    :param lines: all events, in order.
    :param skipped: lines that are no events of this program, among them plain messages.
    """

    lines: tuple[LogLine, ...]
    skipped: int


def read_files(paths: Iterable[Path]) -> LineFile:
    """:param paths: files of log lines, of one VM or several each.

    :returns: the events of all of them, in order.
    :raises OSError: if one cannot be read.
    """
    lines: list[LogLine] = []
    skipped = 0
    for path in paths:
        with path.open("rb") as file:
            for data in file:
                line = read_line(data)
                if line is None:
                    skipped += 1
                else:
                    lines.append(line)
    lines.sort(key=lambda line: line.at)
    return LineFile(tuple(lines), skipped)


def read_line(data: bytes) -> LogLine | None:
    """Read one line; what stands before its JSON is passed over.

    That may be what a log collector has put there, or a line that was cut in its middle
    and has lost its end.

    :param data: the line.
    :returns: the event, or None where the line is none.
    """
    start = data.find(b"{")
    while start >= 0:
        try:
            return _event_of(orjson.loads(data[start:]))
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            start = data.find(LINE_BEGINS, start + 1)
    return None


def _event_of(plain: dict[str, Any]) -> LogLine:
    physical, logical = plain["at"]
    return LogLine(
        at=(int(physical), int(logical)),
        vm=plain["vm"],
        kind=EventKind(plain["kind"]),
        request=plain["request"],
        session=plain["session"],
        version=plain["version"],
        endpoint=plain["endpoint"],
        detail=plain["detail"],
        facts={name: value for name, value in plain.items() if name not in COMMON},
    )
