# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that broke at endpoints of which it is not known whether they have ended."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace

from walnutquay.state.process.ids import EndpointName
from walnutquay.state.requests.crashtypes import CrashTrace

# An endpoint that has ended is back, and listed, within so long; what broke before that
# had another reason.
KEPT_SECONDS = 10.0
# What broke within so long before an end was noticed broke by it.
TOGETHER_SECONDS = 1.0
# Some 150 bytes each; the oldest go first.
MAX_KEPT = 1_000


@dataclass(frozen=True, slots=True)
class InterruptedRequest:
    """A request whose connection to an endpoint broke.

    :param at: when; monotonic seconds.
    :param trace: the request, as it will be told of if the endpoint has ended.
    """

    at: float
    trace: CrashTrace


class InterruptedRequests:
    """Keeps what broke until the endpoint's next start tells that it has ended."""

    def __init__(self) -> None:
        self.kept: deque[InterruptedRequest] = deque(maxlen=MAX_KEPT)

    def note(self, broken: InterruptedRequest) -> None:
        """:param broken: a request that broke now, for a reason that is not known."""
        self.kept.append(broken)

    def ended(self, endpoint: EndpointName, now: float) -> list[CrashTrace]:
        """Give what broke by an endpoint's end: what broke last, and with it.

        :param endpoint: an endpoint of which another start is known now.
        :param now: monotonic seconds.
        """
        lately = [
            one
            for one in self.kept
            if one.trace.endpoint == endpoint and now - one.at <= KEPT_SECONDS
        ]
        if not lately:
            return []
        last = max(one.at for one in lately)
        kept = [one for one in self.kept if one.trace.endpoint != endpoint]
        self.kept = deque(kept, maxlen=MAX_KEPT)
        return [
            replace(one.trace, age=now - one.at)
            for one in lately
            if last - one.at <= TOGETHER_SECONDS
        ]
