# Licensed under the Apache License 2.0: see LICENSE for details.

"""The events of the time line, and the ring buffer that keeps the newest."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from walnutquay.state.process.clock import Stamp

# A value in a log line.
Fact = str | int | float | bool | None
# The values in a log line, by name.
Facts = dict[str, Fact]


class EventKind(Enum):
    """The kinds of events."""

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
    LINK_LOST = "link-lost"
    FORWARDED = "forwarded"
    TUNNEL_OPENED = "tunnel-opened"
    ESCALATED = "escalated"
    BEGUN = "begun"
    STALLED = "stalled"
    SHARES = "shares"
    HALL_EMPTIED = "hall-emptied"
    HALL_BACK = "hall-back"
    ENDPOINT_BACKOFF = "endpoint-backoff"
    ENDPOINT_BACKOFF_OVER = "endpoint-backoff-over"
    ENDPOINT_BRITTLE = "endpoint-brittle"
    ENDPOINT_STURDY = "endpoint-sturdy"
    ENDPOINT_COLD = "endpoint-cold"
    ENDPOINT_WARM = "endpoint-warm"
    ENDPOINT_LIMITED = "endpoint-limited"
    ENDPOINT_UNLIMITED = "endpoint-unlimited"
    RATE_LIMITED = "rate-limited"
    SLOTS_SCARCE = "slots-scarce"
    SLOT_GRANTED = "slot-granted"
    SLOT_DENIED = "slot-denied"
    SLOT_KEEPER_SILENT = "slot-keeper-silent"
    CALLER_GONE = "caller-gone"
    CONNECTIONS_SHED = "connections-shed"
    CONNECTIONS_TAKEN = "connections-taken"
    LINK_FULL = "link-full"
    LINK_FREE = "link-free"
    BROKEN = "broken"
    UNREADABLE = "unreadable"
    PLATFORM_DOWN = "platform-down"
    PLATFORM_UP = "platform-up"
    STORE_RESTORED = "store-restored"
    LEASE = "lease"
    REQUEST_BLOCKED = "request-blocked"
    REQUEST_FREED = "request-freed"
    PART_BLOCKED = "part-blocked"
    PART_FREED = "part-freed"
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
    """An event on a VM.

    :param stamp: the time of the event on the hybrid logical clock.
    :param vm: the name of the VM.
    :param kind: what happened.
    :param request: the id of the request that the event concerns, if any.
    :param session: the id of the session that the event concerns, if any.
    :param version: the version or service.
    :param endpoint: the endpoint or peer.
    :param detail: further details as text.
    :param facts: the values that explain the event, by name, with the age or version
        of the state that they come from.
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
        """Return the event as a dictionary that can be encoded as JSON."""
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
    """A ring buffer of the newest events of a process.

    :param size: the number of events to keep.
    """

    def __init__(self, size: int) -> None:
        self.events: deque[Event] = deque(maxlen=size)

    def add(self, event: Event) -> None:
        """Add an event, which replaces the oldest if the buffer is full.

        :param event: the event to add.
        """
        self.events.append(event)

    def select(self, *, request: str = "", session: str = "") -> Iterator[Event]:
        """Yield the kept events, oldest first.

        Without a request or session, yield all kept events.

        :param request: select the events of this request.
        :param session: select the events of all requests of this session.
        """
        wanted = {request} if request else set()
        if session:
            # Some events of a request do not name its session.
            wanted |= {e.request for e in self.events if e.session == session}
            wanted.discard("")
        for event in self.events:
            if not (request or session) or event.request in wanted:
                yield event
