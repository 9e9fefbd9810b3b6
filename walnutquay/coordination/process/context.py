# Licensed under the Apache License 2.0: see LICENSE for details.

"""What all parts of one process share: its name, its clock, its time line."""

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
from walnutquay.state.process.metrics import Metrics
from walnutquay.transport.timers import TimerService, unix_microseconds

RANDOM_BYTES = 6
INCARNATION_DIGITS = 14


def new_incarnation() -> Incarnation:
    """:returns: a name for this start of the process.

    It begins with the time, so that a later start's name sorts behind, and ends
    at random, so that two never meet.
    """
    start = unix_microseconds()
    return Incarnation(f"{start:0{INCARNATION_DIGITS}x}-{secrets.token_hex(4)}")


class Timeline:
    """Emits the events of this process.

    :param vm: this VM's name.
    :param size: events to keep.
    :param log: logs each event too; None logs none.
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
        """Add an event.

        :param kind: what happened.
        :param request: the request's id.
        :param session: the session's id.
        :param version: the version or service.
        :param endpoint: the endpoint or peer.
        :param detail: more, in words.
        :param facts: what decided it, by name; ``docs/logs.md`` lists the names.
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
    """What all parts of one process share.

    :param vm: this VM's name.
    :param hall: its data hall.
    :param incarnation: this start of its process.
    :param timeline: its events.
    :param metrics: its metrics.
    :param timers: its timer service.
    :param rng: its source of chance.
    :param region: the region of its data hall.
    """

    vm: VmName
    hall: HallName
    incarnation: Incarnation
    timeline: Timeline
    metrics: Metrics = field(default_factory=Metrics)
    timers: TimerService = field(default_factory=TimerService)
    rng: random.Random = field(default_factory=random.Random)
    region: str = ""

    def new_request_id(self) -> RequestId:
        """:returns: an id that no other request has."""
        return RequestId(f"req-{secrets.token_hex(RANDOM_BYTES + 4)}")

    def new_session_id(self) -> SessionId:
        """:returns: an id that no other session has."""
        return SessionId(f"ses-{secrets.token_hex(RANDOM_BYTES)}")
