# Licensed under the Apache License 2.0: see LICENSE for details.

"""A page with plots of one or more reports; needs matplotlib."""

from __future__ import annotations

import base64
import html
import io
from typing import Any

from matplotlib.figure import Figure

from walnutquay.replay.report import report_text

SIZE = (9.0, 3.2)
MILLISECONDS = 1000


def _image(figure: Figure, title: str) -> str:
    """Write a figure as an HTML image that needs no other file."""
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=110, bbox_inches="tight")
    text = base64.b64encode(data.getvalue()).decode()
    return f'<img alt="{html.escape(title)}" src="data:image/png;base64,{text}">'


def _outcomes(report: dict[str, Any], title: str) -> str:
    """Plot how many requests of each second ended how."""
    figure = Figure(figsize=SIZE)
    axes = figure.subplots()
    seconds = [row["second"] for row in report["series"]]
    names = sorted({name for row in report["series"] for name in row["outcomes"]})
    counts = [[row["outcomes"].get(n, 0) for row in report["series"]] for n in names]
    if counts:
        axes.stackplot(seconds, *counts, labels=names)
        axes.legend(loc="upper right")
    axes.set(title=title, xlabel="second of arrival", ylabel="requests")
    return _image(figure, title)


def _latencies(reports: dict[str, dict[str, Any]], figure_name: str) -> str:
    """Plot a percentile of each class, reports side by side."""
    classes = sorted({name for r in reports.values() for name in r["classes"]})
    figure = Figure(figsize=SIZE)
    axes = figure.subplots()
    width = 0.8 / len(reports)
    for index, (name, report) in enumerate(reports.items()):
        heights = [
            report["classes"].get(c, {}).get("seconds", {}).get(figure_name, 0.0)
            * MILLISECONDS
            for c in classes
        ]
        places = [place + index * width for place in range(len(classes))]
        axes.bar(places, heights, width, label=name)
    axes.set_xticks(range(len(classes)), classes)
    axes.legend()
    title = f"{figure_name} of whole answers, ms"
    axes.set(title=title)
    return _image(figure, title)


def page_of(reports: dict[str, dict[str, Any]]) -> str:
    """Make the page.

    :param reports: reports by their names.
    :returns: one HTML document that needs no other file.
    """
    parts = ["<!doctype html><meta charset='utf-8'><title>Replay</title>"]
    parts.append("<body style='font-family: sans-serif; max-width: 70em'>")
    for figure_name in ("p50", "p99"):
        parts.append(_latencies(reports, figure_name))
    for name, report in reports.items():
        parts.append(f"<h2>{html.escape(name)}</h2>")
        parts.append(_outcomes(report, f"{name}: how requests ended"))
        parts.append(f"<pre>{html.escape(report_text(report))}</pre>")
    return "\n".join(parts)
