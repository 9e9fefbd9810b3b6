# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests whose connection broke at endpoints that may or may not have crashed."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace

from walnutquay.state.process.ids import EndpointName
from walnutquay.state.requests.crashtypes import CrashTrace

# A crashed endpoint is restarted and listed again within this time; connections that
# broke earlier than that had another cause.
KEPT_SECONDS = 10.0
# Connections that broke within this time before the last one are attributed to the same
# crash.
SAME_CRASH_SECONDS = 1.0
# About 150 bytes each; the oldest entries are evicted first.
MAX_KEPT = 1_000


@dataclass(frozen=True, slots=True)
class InterruptedRequest:
    """A request whose connection to an endpoint broke.

    :param at: the time at which the connection broke; monotonic seconds.
    :param trace: the trace to report if the endpoint turns out to have crashed.
    """

    at: float
    trace: CrashTrace


class InterruptedRequests:
    """Interrupted requests, kept until a restart shows that the endpoint crashed."""

    def __init__(self) -> None:
        self.kept: deque[InterruptedRequest] = deque(maxlen=MAX_KEPT)

    def note(self, interrupted: InterruptedRequest) -> None:
        """Record an interrupted request.

        :param interrupted: a request whose connection just broke for an unknown reason.
        """
        self.kept.append(interrupted)

    def pop_crashed(self, endpoint: EndpointName, now: float) -> list[CrashTrace]:
        """Remove an endpoint's requests and return those attributed to its crash.

        These are the request that was interrupted last and those interrupted shortly
        before it.

        :param endpoint: an endpoint that is now known to have restarted.
        :param now: monotonic seconds.
        :returns: the traces of these requests, with their current age.
        """
        recent = [
            request
            for request in self.kept
            if request.trace.endpoint == endpoint and now - request.at <= KEPT_SECONDS
        ]
        if not recent:
            return []
        last = max(request.at for request in recent)
        kept = [request for request in self.kept if request.trace.endpoint != endpoint]
        self.kept = deque(kept, maxlen=MAX_KEPT)
        return [
            replace(request.trace, age=now - request.at)
            for request in recent
            if last - request.at <= SAME_CRASH_SECONDS
        ]
