# Licensed under the Apache License 2.0: see LICENSE for details.

"""The events of the time line, and the ring that keeps the newest."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from walnutquay.state.process.clock import Stamp

# A value of a log line.
Fact = str | int | float | bool | None
# Values of one line, by name.
Facts = dict[str, Fact]


class EventKind(Enum):
    """What can happen."""

    RECEIVED = "received"
    PLANNED = "planned"
    QUEUED = "queued"
    REFUSED = "refused"
    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    NOT_STARTED = "not-started"
    FAILED = "failed"
    RATED = "rated"
    RESUMED = "resumed"
    ANSWERED = "answered"
    UNKNOWN = "outcome-unknown"
    BILLED = "billed"
    BILL_COPIED = "bill-copied"
    BILL_STORED = "bill-stored"
    BILL_UNCOPIED = "bill-uncopied"
    BRAKED = "braked"
    CONFIGURED = "configured"
    CONFIGURATION_REFUSED = "configuration-refused"
    MEMBER = "member"
    ENDPOINT_LEAVING = "endpoint-leaving"
    ENDPOINT_LISTED = "endpoint-listed"
    ENDPOINT_GONE = "endpoint-gone"
    ENDPOINT_ENDED = "endpoint-ended"
    ENDPOINT_UNREACHED = "endpoint-unreached"
    ENDPOINT_REACHED = "endpoint-reached"
    ESCALATED = "escalated"
    BEGUN = "begun"
    SHARES = "shares"
    HALL_EMPTIED = "hall-emptied"
    HALL_BACK = "hall-back"
    ENDPOINT_COLD = "endpoint-cold"
    ENDPOINT_WARM = "endpoint-warm"
    CALLER_GONE = "caller-gone"
    BROKEN = "broken"
    UNREADABLE = "unreadable"
    PLATFORM_DOWN = "platform-down"
    PLATFORM_UP = "platform-up"
    LEASE = "lease"
    REQUEST_BLOCKED = "request-blocked"
    REQUEST_FREED = "request-freed"
    ORDERED = "ordered"
    STRAY = "stray"
    STARTED = "started"
    WOKE = "woke"
    RELOADED = "reloaded"
    RELAYED = "relayed"
    STOPPING = "stopping"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Event:
    """One event of one VM.

    :param stamp: when, on the hybrid clock.
    :param vm: where.
    :param kind: what.
    :param request: the request's id, if it concerns one.
    :param session: the session's id, if it concerns one.
    :param version: the version or service.
    :param endpoint: the endpoint or peer.
    :param detail: more, in words.
    :param facts: what decided it, by name, with its age or version.
    """

    stamp: Stamp
    vm: str
    kind: EventKind
    request: str = ""
    session: str = ""
    version: str = ""
    endpoint: str = ""
    detail: str = ""
    facts: tuple[tuple[str, Fact], ...] = ()

    def plain(self) -> dict[str, object]:
        """:returns: the event for JSON."""
        return {
            "at": [self.stamp.physical, self.stamp.logical],
            "vm": self.vm,
            "kind": self.kind.value,
            "request": self.request,
            "session": self.session,
            "version": self.version,
            "endpoint": self.endpoint,
            "detail": self.detail,
            **dict(self.facts),
        }


class EventRing:
    """The newest events of one process.

    :param size: events to keep.
    """

    def __init__(self, size: int) -> None:
        self.events: deque[Event] = deque(maxlen=size)

    def add(self, event: Event) -> None:
        """:param event: the event to keep."""
        self.events.append(event)

    def select(self, *, request: str = "", session: str = "") -> Iterator[Event]:
        """Yield the kept events, oldest first.

        :param request: only events of this request.
        :param session: only events of requests of this session.
        """
        wanted = {request} if request else set()
        if session:
            # Not every event of a request names its session.
            wanted |= {e.request for e in self.events if e.session == session}
            wanted.discard("")
        for event in self.events:
            if not (request or session) or event.request in wanted:
                yield event
