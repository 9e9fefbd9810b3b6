# Licensed under the Apache License 2.0: see LICENSE for details.

"""What operators see of a service's scarce slots."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from walnutquay.state.process.ids import EndpointName
from walnutquay.state.routed.slotforecast import EndpointRoom
from walnutquay.state.routed.slottypes import (
    DenialReason,
    GrantedSummary,
    SlotSummary,
    WaitingRequest,
    WaitingSummary,
)

# More rows than this are not read by anybody.
MAX_ROWS = 50


def summarize(
    requests: list[WaitingRequest],
    grants: Iterable[tuple[EndpointName, float]],
    rooms: Iterable[EndpointRoom],
    counts: tuple[int, Counter[DenialReason]],
    now: float,
) -> SlotSummary:
    """Return the summary of one service.

    :param requests: those that wait.
    :param grants: the endpoint of each grant, and when it was made; monotonic seconds.
    :param rooms: the endpoints.
    :param counts: the grants since the beginning, and the denials by reason.
    :param now: monotonic seconds.
    """
    times: dict[EndpointName, list[float]] = {}
    for endpoint, at in grants:
        times.setdefault(endpoint, []).append(at)
    granted = [_granted_row(room, times.get(room.name, []), now) for room in rooms]
    granted.sort(key=lambda row: -row.oldest_seconds)
    total, denials = counts
    return SlotSummary(
        waiting=_waiting_rows(requests, now),
        granted=tuple(granted[:MAX_ROWS]),
        waiting_count=len(requests),
        granted_count=sum(len(found) for found in times.values()),
        grants=total,
        denials=tuple((reason, denials[reason]) for reason in DenialReason),
    )


def _waiting_rows(
    requests: list[WaitingRequest], now: float
) -> tuple[WaitingSummary, ...]:
    """Return the rows of what waits."""
    asked: dict[tuple, list[float]] = {}
    for request in requests:
        key = (request.priority, request.organisation)
        asked.setdefault(key, []).append(request.asked_at)
    rows = [
        WaitingSummary(priority, name, len(times), now - min(times))
        for (priority, name), times in asked.items()
    ]
    rows.sort(key=lambda row: -row.oldest_seconds)
    return tuple(rows[:MAX_ROWS])


def _granted_row(room: EndpointRoom, times: list[float], now: float) -> GrantedSummary:
    """Return the row of an endpoint."""
    # A request that was adopted began at an unknown time.
    known = [now - at for at in times if at > float("-inf")]
    return GrantedSummary(
        endpoint=room.name,
        slots=room.slots,
        granted=len(times),
        oldest_seconds=max(known, default=0.0),
        pace=room.pace(now),
        load_age=None if room.load is None else now - room.load.reported_at,
    )
