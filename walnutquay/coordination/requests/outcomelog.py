# Licensed under the Apache License 2.0: see LICENSE for details.

"""Metrics and log lines for the outcomes of requests."""

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
# The status of a stream that was sent to the caller completely.
OK = 200


def log_outcome(
    context: Context,
    arrival: Arrival,
    outcome: Outcome,
    seconds: float,
    state_age: Facts,
) -> None:
    """Count and log the outcome of a request.

    :param context: the state shared within this process.
    :param arrival: the request.
    :param outcome: its outcome.
    :param seconds: the time since it was received.
    :param state_age: facts on the age of this VM's state.
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
            **state_age,
        )
    elif isinstance(outcome, Unknown):
        metrics.count(f"unknown_{outcome.code}")
        timeline.emit(
            EventKind.UNKNOWN,
            request=request,
            detail=outcome.code,
            reason=outcome.reason,
            took_ms=took_ms,
            **state_age,
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
