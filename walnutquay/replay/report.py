# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a replay found, by class of request."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import orjson
from hdrh.histogram import HdrHistogram

from walnutquay.replay.traces import ReplayOutcome, TraceRequest
from walnutquay.state.process.metrics import (
    HIGHEST,
    LOWEST,
    MICROSECONDS,
    SIGNIFICANT_DIGITS,
    summary,
)


@dataclass(slots=True)
class Played:
    """One request that was replayed.

    :param request: the request.
    :param outcome: how it ended.
    :param seconds: until the whole answer was there.
    :param first: seconds until the first of it was there.
    :param status: HTTP status; 0 where none came.
    :param headers: the answer's headers that say who served it.
    :param detail: what went wrong, if something did.
    """

    request: TraceRequest
    outcome: ReplayOutcome
    seconds: float
    first: float
    status: int
    headers: dict[str, str]
    detail: str = ""

    @property
    def as_stated(self) -> bool:
        """Whether the outcome is one that the trace states."""
        return self.outcome in self.request.expect


@dataclass
class ClassResult:
    """What was found for one class of request."""

    outcomes: Counter[str] = field(default_factory=Counter)
    versions: Counter[str] = field(default_factory=Counter)
    total: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(LOWEST, HIGHEST, SIGNIFICANT_DIGITS)
    )
    first: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(LOWEST, HIGHEST, SIGNIFICANT_DIGITS)
    )

    def add(self, played: Played) -> None:
        """:param played: a request of this class."""
        self.outcomes[played.outcome.value] += 1
        version = played.headers.get("x-walnutquay-version", "")
        if version:
            self.versions[version] += 1
        if played.outcome is ReplayOutcome.ANSWERED:
            self.total.record_value(max(LOWEST, int(played.seconds * MICROSECONDS)))
            self.first.record_value(max(LOWEST, int(played.first * MICROSECONDS)))

    def plain(self) -> dict[str, Any]:
        """:returns: this for JSON."""
        return {
            "outcomes": dict(self.outcomes),
            "versions": dict(self.versions),
            "seconds": summary(self.total),
            "first_seconds": summary(self.first),
        }


@dataclass
class ReplayResult:
    """What a whole replay found."""

    played: list[Played] = field(default_factory=list)
    seconds: float = 0.0

    @property
    def violations(self) -> list[Played]:
        """The requests whose outcome is not as stated."""
        return [played for played in self.played if not played.as_stated]

    def classes(self) -> dict[str, ClassResult]:
        """:returns: what was found, by class."""
        found: dict[str, ClassResult] = {}
        for played in self.played:
            name = played.request.request_class
            found.setdefault(name, ClassResult()).add(played)
        return dict(sorted(found.items()))

    def series(self) -> list[dict[str, Any]]:
        """:returns: by second of arrival, how requests ended and how long they took."""
        seconds: dict[int, ClassResult] = {}
        for played in self.played:
            seconds.setdefault(int(played.request.at), ClassResult()).add(played)
        return [
            {
                "second": second,
                "outcomes": dict(result.outcomes),
                "p50": summary(result.total)["p50"],
                "p99": summary(result.total)["p99"],
            }
            for second, result in sorted(seconds.items())
        ]

    def plain(self) -> dict[str, Any]:
        """:returns: this for JSON."""
        return {
            "series": self.series(),
            "requests": len(self.played),
            "seconds": self.seconds,
            "classes": {n: result.plain() for n, result in self.classes().items()},
            "violations": [
                {
                    "class": played.request.request_class,
                    "name": played.request.name,
                    "expected": [o.value for o in played.request.expect],
                    "outcome": played.outcome.value,
                    "status": played.status,
                    "detail": played.detail,
                }
                for played in self.violations
            ],
        }

    def to_json(self) -> str:
        """:returns: the report as JSON."""
        return orjson.dumps(self.plain(), option=orjson.OPT_INDENT_2).decode()


def report_text(value: dict[str, Any]) -> str:
    """:param value: a report.

    :returns: it for people.
    """
    lines = [
        f"{value['requests']} requests in {value['seconds']:.1f} s",
        f"{'class':<16}{'answered':>9}{'not run':>9}{'unknown':>9}{'broken':>8}"
        f"{'p50 ms':>9}{'p99 ms':>9}  versions",
    ]
    for name, row in value["classes"].items():
        outcomes = row["outcomes"]
        versions = " ".join(f"{v}:{n}" for v, n in sorted(row["versions"].items()))
        lines.append(
            f"{name:<16}{outcomes.get('answered', 0):>9}"
            f"{outcomes.get('not_run', 0):>9}{outcomes.get('unknown', 0):>9}"
            f"{outcomes.get('broken', 0):>8}{row['seconds']['p50'] * 1000:>9.1f}"
            f"{row['seconds']['p99'] * 1000:>9.1f}  {versions}"
        )
    for violation in value["violations"]:
        lines.append(
            f"NOT AS STATED: {violation['class']} {violation['name']}: "
            f"{violation['outcome']} (status {violation['status']}), stated "
            f"{'/'.join(violation['expected'])}: {violation['detail']}"
        )
    if not value["violations"]:
        lines.append("every stated outcome held")
    return "\n".join(lines)
