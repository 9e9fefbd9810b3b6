# Licensed under the Apache License 2.0: see LICENSE for details.

"""Counts and logs how requests end."""

from __future__ import annotations

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.requests.outcomes import (
    Arrival,
    Outcome,
    Refused,
    Streamed,
    Unknown,
    Whole,
)
from walnutquay.state.process.events import EventKind, Facts
from walnutquay.transport.timers import monotonic

MILLISECONDS = 1000.0
# The status of a stream that went to the caller whole.
OK = 200


def tell_outcome(
    context: Context, arrival: Arrival, outcome: Outcome, seconds: float, known: Facts
) -> None:
    """Count and log how a request ended.

    :param context: what this process shares.
    :param arrival: the request.
    :param outcome: how.
    :param seconds: since it came.
    :param known: how old what this VM knows is.
    """
    request = arrival.request
    took_ms = round(seconds * MILLISECONDS)
    metrics, timeline = context.metrics, context.timeline
    if isinstance(outcome, Refused):
        refusal = outcome.proof.refusal
        code = refusal.code.value
        metrics.count(f"refused_{code}")
        timeline.emit(
            EventKind.REFUSED,
            request=request,
            detail=code,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            took_ms=took_ms,
            **known,
        )
    elif isinstance(outcome, Unknown):
        metrics.count(f"unknown_{outcome.code}")
        timeline.emit(
            EventKind.UNKNOWN,
            request=request,
            detail=outcome.code,
            reason=outcome.reason,
            took_ms=took_ms,
            **known,
        )
    elif isinstance(outcome, Streamed) and not outcome.whole:
        metrics.count("broken")
        timeline.emit(EventKind.BROKEN, request=request, took_ms=took_ms)
    else:
        metrics.count("answered")
        status = outcome.answer.status if isinstance(outcome, Whole) else OK
        timeline.emit(
            EventKind.ANSWERED,
            request=request,
            status=status,
            took_ms=took_ms,
            longest_pause_ms=round(arrival.longest_pause * MILLISECONDS),
            late=arrival.is_late(monotonic()),
        )
