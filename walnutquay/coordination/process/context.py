# Licensed under the Apache License 2.0: see LICENSE for details.

"""The state shared by all parts of a process: its name, clock and time line."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from walnutquay.state.process.clock import HybridClock
from walnutquay.state.process.events import Event, EventKind, EventRing, Fact
from walnutquay.state.process.ids import (
    HallName,
    Incarnation,
    RequestId,
    SessionId,
    VmName,
)
from walnutquay.state.process.linkload import LinkLoad
from walnutquay.state.process.metrics import Metrics
from walnutquay.transport.timers import TimerService, unix_microseconds

RANDOM_BYTES = 6
INCARNATION_DIGITS = 14


def new_incarnation() -> Incarnation:
    """Return a new identifier for this start of the process.

    It begins with the time, so that the identifier of a later start sorts after
    it, and ends in random digits, so that no two starts have the same identifier.
    """
    start = unix_microseconds()
    return Incarnation(f"{start:0{INCARNATION_DIGITS}x}-{secrets.token_hex(4)}")


class Timeline:
    """The time line of this process, which records its events.

    :param vm: the name of this VM.
    :param size: the number of events to keep.
    :param log: a function that also logs each event, or None to log none.
    """

    def __init__(
        self, vm: VmName, size: int, log: Callable[[Event], None] | None = None
    ) -> None:
        self.vm = vm
        self.clock = HybridClock()
        self.ring = EventRing(size)
        self.log = log

    def emit(
        self,
        kind: EventKind,
        *,
        request: str = "",
        session: str = "",
        version: str = "",
        endpoint: str = "",
        detail: str = "",
        **facts: Fact,
    ) -> None:
        """Record an event, and log it if there is a log function.

        :param kind: what happened.
        :param request: the id of the request.
        :param session: the id of the session.
        :param version: the version or service.
        :param endpoint: the endpoint or peer.
        :param detail: further details as text.
        :param facts: the values that explain the event, by name;
            ``docs/OPERATIONS.md`` lists the names.
        """
        stamp = self.clock.tick(unix_microseconds())
        event = Event(
            stamp,
            self.vm,
            kind,
            request,
            session,
            version,
            endpoint,
            detail,
            tuple(facts.items()),
        )
        self.ring.add(event)
        if self.log is not None:
            self.log(event)


@dataclass
class Context:
    """The state shared by all parts of a process.

    :param vm: the name of this VM.
    :param hall: the data hall of this VM.
    :param incarnation: the identifier of this start of the process.
    :param timeline: the events of the process.
    :param metrics: the metrics of the process.
    :param timers: the timer service of the process.
    :param rng: the random number generator of the process.
    :param region: the region of the data hall.
    :param link: what the VM's network link carries.
    """

    vm: VmName
    hall: HallName
    incarnation: Incarnation
    timeline: Timeline
    metrics: Metrics = field(default_factory=Metrics)
    timers: TimerService = field(default_factory=TimerService)
    rng: random.Random = field(default_factory=random.Random)
    region: str = ""
    link: LinkLoad = field(default_factory=LinkLoad)

    def new_request_id(self) -> RequestId:
        """Return a unique id for a request."""
        return RequestId(f"req-{secrets.token_hex(RANDOM_BYTES + 4)}")

    def new_session_id(self) -> SessionId:
        """Return a unique id for a session."""
        return SessionId(f"ses-{secrets.token_hex(RANDOM_BYTES)}")
