# Licensed under the Apache License 2.0: see LICENSE for details.

"""Two reports of replays beside each other."""

from __future__ import annotations

from typing import Any

MILLISECONDS = 1000


def _row(found: dict[str, Any]) -> dict[str, float]:
    """Give the figures of one class that are compared."""
    outcomes = found["outcomes"]
    sent = sum(outcomes.values())
    return {
        "sent": sent,
        "answered": outcomes.get("answered", 0) / sent if sent else 0.0,
        "p50": found["seconds"]["p50"],
        "p99": found["seconds"]["p99"],
        "first_p99": found["first_seconds"]["p99"],
    }


def compare(first: dict[str, Any], second: dict[str, Any]) -> dict[str, Any]:
    """Compare two reports.

    :param first: a report, as :meth:`ReplayResult.plain` gives it.
    :param second: another one.
    :returns: by class, the figures of both; None where a report lacks the class.
    """
    names = sorted({*first["classes"], *second["classes"]})
    return {
        name: {
            which: _row(report["classes"][name]) if name in report["classes"] else None
            for which, report in (("first", first), ("second", second))
        }
        for name in names
    }


def comparison_text(value: dict[str, Any]) -> str:
    """:param value: a comparison.

    :returns: it for people.
    """
    lines = [
        f"{'class':<16}{'answered':>20}{'p50 ms':>22}{'p99 ms':>22}",
    ]
    for name, row in value.items():
        first, second = row["first"], row["second"]
        if first is None or second is None:
            there = "second" if first is None else "first"
            lines.append(f"{name:<16}only in the {there} report")
            continue
        shares = f"{first['answered']:.1%} -> {second['answered']:.1%}"
        columns = [f"{name:<16}{shares:>20}"]
        for figure in ("p50", "p99"):
            before, after = (row[w][figure] * MILLISECONDS for w in ("first", "second"))
            columns.append(f"{f'{before:.1f} -> {after:.1f}':>22}")
        lines.append("".join(columns))
    return "\n".join(lines)
