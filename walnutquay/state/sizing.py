# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which model of a cascade by size answers, and when a larger one is asked."""

from __future__ import annotations

from walnutquay.state.catalogue import Route
from walnutquay.state.prompts import Prompt

# An answer whose model thinks less of it, of 100, is asked of the largest model.  On
# ten played days the mean worth was 0.686 with 55 and 0.694 with 48, both with a full
# pressure of 2.5 s, and 0.700 with 50 and what stands below.
ENOUGH_CONFIDENCE = 50.0

# So much reading before every engine is usual on a calm day.
CALM_PRESSURE_SECONDS = 0.2
# With so much more before every engine, the most urgent routes ask no larger
# model any more; the others give way at a half and a third of it.  On the same days
# 0.669 with 5 s, 0.686 with 2.5 s, 0.691 with 1.5 s (with 55 above).
FULL_PRESSURE_SECONDS = 2.0

# Prompts up to so many tokens go before longer ones at an endpoint, by rank.
URGENCY_STEPS = ((1_000, 3), (4_000, 4), (12_000, 5), (24_000, 6))
LEAST_URGENT = 7


def urgency(prompt: Prompt) -> int:
    """Rank a prompt by its size: a long one holds up all that wait behind it.

    :param prompt: the prompt.
    :returns: its rank, lower for shorter ones.
    """
    for tokens, rank in URGENCY_STEPS:
        if prompt.tokens <= tokens:
            return rank
    return LEAST_URGENT


class ModelChoice:
    """Chooses among the models of routes that leave the choice to us."""

    def first(self, route: Route) -> int:
        """:param route: a route with models.

        :returns: the index of the model to begin with.
        """
        return 0

    def next(
        self, route: Route, index: int, confidence: float | None, pressure: float
    ) -> int | None:
        """Judge an answer by its model's own opinion, before any of it is sent.

        :param route: the route.
        :param index: the model that answers.
        :param confidence: its opinion, 0 to 100; None where it gave none.
        :param pressure: seconds of reading before the least busy engine.
        :returns: the model to ask instead, or None to keep the answer.
        """
        last = len(route.models) - 1
        if confidence is None or index >= last:
            return None
        if confidence >= enough_confidence(route.priority, pressure):
            return None
        return last


def enough_confidence(priority: int, pressure: float) -> float:
    """Give the confidence below which the largest model is asked.

    When engines are busy, a run of the largest model costs others their time; the
    least urgent routes give way first.

    :param priority: the route's rank, 0 the most urgent.
    :param pressure: seconds of reading before the least busy engine.
    """
    excess = max(0.0, pressure - CALM_PRESSURE_SECONDS)
    part = 1.0 - (1 + priority) * excess / FULL_PRESSURE_SECONDS
    return ENOUGH_CONFIDENCE * max(0.0, part)
