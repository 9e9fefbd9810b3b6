# Licensed under the Apache License 2.0: see LICENSE for details.

"""Counters and latency histograms."""

from __future__ import annotations

from collections import Counter

from hdrh.histogram import HdrHistogram

# Range of the recorded latencies: 1 microsecond to 10 minutes, in microseconds.
LOWEST = 1
HIGHEST = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)
MICROSECONDS = 1_000_000


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter.

        :param name: the name of the counter.
        :param amount: the amount to add.
        """
        self.counters[name] += amount

    def record(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram, clipped to the range of the histogram.

        :param name: the name of the histogram.
        :param seconds: the duration.
        """
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST, HIGHEST, SIGNIFICANT_DIGITS)
            self.histograms[name] = histogram
        value = int(seconds * MICROSECONDS)
        histogram.record_value(min(max(value, LOWEST), HIGHEST))

    def plain(self) -> dict[str, object]:
        """Return all metrics as a dictionary for JSON, with durations in seconds."""
        return {
            "counters": dict(sorted(self.counters.items())),
            "seconds": {
                name: summary(histogram)
                for name, histogram in sorted(self.histograms.items())
            },
        }


def summary(histogram: HdrHistogram) -> dict[str, float]:
    """Return the count of a histogram and its percentiles in seconds.

    :param histogram: a histogram of durations in microseconds.
    """
    values: dict[str, float] = {"count": histogram.get_total_count()}
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        values[f"p{percentile:g}"] = value / MICROSECONDS
    return values
