# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which version served each session last, as one VM has seen it."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from walnutquay.state.process.counts import LatestTable
from walnutquay.state.process.ids import ServiceName, VersionName

# Callers name their sessions, so their number is bounded.  A VM at the largest size
# serves some 60 requests a second, so this is a matter of minutes.
MAX_SESSIONS = 20_000

# The version of a session that has not been served.
NOT_SERVED = VersionName("")

# A session may use several services, each with versions of its own.
SessionKey = tuple[ServiceName, str]


@dataclass(slots=True)
class SessionNote:
    """Where a session was served last.

    :param version: the version.
    :param at: when its last request began or ended; monotonic seconds.
    :param running: requests of it that are under way.
    """

    version: VersionName = NOT_SERVED
    at: float = -math.inf
    running: int = 0

    def age(self, now: float) -> float:
        """:param now: monotonic seconds.

        :returns: seconds since its last request ended; 0 while one is under way, for
            a stream may last longer than sessions are kept.
        """
        return 0.0 if self.running else now - self.at


@dataclass(frozen=True, slots=True)
class SeenSession:
    """What one VM tells another of a session.

    :param service: the service that the session uses.
    :param session: the session.
    :param version: the version that served it last.
    :param age: seconds since its last request ended.
    """

    service: ServiceName
    session: str
    version: VersionName
    age: float


class SessionNotes:
    """The sessions that one VM has served.

    :param keep_seconds: a session is over so long after its last request.
    """

    def __init__(self, keep_seconds: float) -> None:
        self.keep_seconds = keep_seconds
        self.table: LatestTable[SessionKey, SessionNote] = LatestTable(
            MAX_SESSIONS, SessionNote
        )

    def find(
        self, service: ServiceName, session: str, now: float
    ) -> SessionNote | None:
        """:param service: a service.

        :param session: a session; empty for none.
        :param now: monotonic seconds.
        :returns: what is noted of it, unless it is over.
        """
        note = self.table.get((service, session)) if session else None
        if note is None or note.age(now) >= self.keep_seconds:
            return None
        return note

    def began(
        self, service: ServiceName, session: str, version: VersionName, now: float
    ) -> None:
        """Note that a request was sent.

        :param service: the service.
        :param session: its session.
        :param version: the version that it was sent to.
        :param now: monotonic seconds.
        """
        note = self.table.touch((service, session))
        note.version = version
        note.at = now
        note.running += 1

    def ended(self, service: ServiceName, session: str, now: float) -> None:
        """Note that a request is over, however it ended.

        :param service: the service.
        :param session: its session.
        :param now: monotonic seconds.
        """
        note = self.table.get((service, session))
        if note is None:
            return
        note.at = now
        # A note that gave way to newer ones may have been made anew since.
        note.running = max(0, note.running - 1)

    def apply(self, seen: SeenSession, now: float) -> bool:
        """Take over what another VM has seen, unless this one has seen more.

        :param seen: a session.
        :param now: monotonic seconds.
        :returns: whether it was taken over.
        """
        note = self.table.touch((seen.service, seen.session))
        at = now - seen.age
        if note.running or note.at >= at:
            return False
        note.version = seen.version
        note.at = at
        return True

    def recent(self, now: float) -> Iterator[SeenSession]:
        """Yield the sessions that are not over.

        :param now: monotonic seconds.
        """
        for (service, session), note in self.table.entries.items():
            age = note.age(now)
            if age < self.keep_seconds:
                yield SeenSession(service, session, note.version, age)
