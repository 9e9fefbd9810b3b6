# Licensed under the Apache License 2.0: see LICENSE for details.

"""Records of the version that last served each session of one VM."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from walnutquay.state.process.counts import LruTable
from walnutquay.state.process.ids import ServiceName, VersionName

# The most sessions that are recorded; there has to be a limit, as callers choose the
# names.  A VM of the largest size serves some 60 requests a second, so the table covers
# several minutes.
MAX_SESSIONS = 20_000

# The version in the record of a session that has not been served.
NOT_SERVED = VersionName("")

# The service is part of the key: a session may use several, each with its own versions.
SessionKey = tuple[ServiceName, str]


@dataclass(slots=True)
class SessionRecord:
    """The version that served a session last.

    :param version: the version.
    :param at: when the last request began or ended; monotonic seconds.
    :param running: the number of requests in progress.
    """

    version: VersionName = NOT_SERVED
    at: float = -math.inf
    running: int = 0

    def age(self, now: float) -> float:
        """Return the time since the session was last in use.

        :param now: monotonic seconds.
        :returns: the seconds since its last request ended; 0 while one is in progress,
            as a stream may last longer than a session is kept.
        """
        return 0.0 if self.running else now - self.at


@dataclass(frozen=True, slots=True)
class SeenSession:
    """A session record as sent from one VM to another.

    :param service: the service that the session uses.
    :param session: the session.
    :param version: the version that served it last.
    :param age: the seconds since its last request ended.
    """

    service: ServiceName
    session: str
    version: VersionName
    age: float


class SessionRecords:
    """The records of the sessions that one VM has served.

    :param keep_seconds: the time after its last request at which a session expires.
    """

    def __init__(self, keep_seconds: float) -> None:
        self.keep_seconds = keep_seconds
        self.table: LruTable[SessionKey, SessionRecord] = LruTable(
            MAX_SESSIONS, SessionRecord
        )

    def find(
        self, service: ServiceName, session: str, now: float
    ) -> SessionRecord | None:
        """Find the record of a session.

        :param service: the service.
        :param session: the session; empty for none.
        :param now: monotonic seconds.
        :returns: the record; None if there is none or the session has expired.
        """
        record = self.table.get((service, session)) if session else None
        if record is None or record.age(now) >= self.keep_seconds:
            return None
        return record

    def began(
        self, service: ServiceName, session: str, version: VersionName, now: float
    ) -> None:
        """Record that a request was sent.

        :param service: the service.
        :param session: its session.
        :param version: the version that it was sent to.
        :param now: monotonic seconds.
        """
        record = self.table.touch((service, session))
        record.version = version
        record.at = now
        record.running += 1

    def ended(self, service: ServiceName, session: str, now: float) -> None:
        """Record that a request ended, for whatever reason.

        :param service: the service.
        :param session: its session.
        :param now: monotonic seconds.
        """
        record = self.table.get((service, session))
        if record is None:
            return
        record.at = now
        # The record may have been evicted and created again while the request ran, so
        # the count may not include the request.
        record.running = max(0, record.running - 1)

    def apply(self, seen: SeenSession, now: float) -> bool:
        """Apply a record from another VM, unless this VM's own is more recent.

        :param seen: the session record.
        :param now: monotonic seconds.
        :returns: whether it was applied.
        """
        record = self.table.touch((seen.service, seen.session))
        at = now - seen.age
        if record.running or record.at >= at:
            return False
        record.version = seen.version
        record.at = at
        return True

    def recent(self, now: float) -> Iterator[SeenSession]:
        """Yield the sessions that have not expired.

        :param now: monotonic seconds.
        """
        for (service, session), record in self.table.entries.items():
            age = record.age(now)
            if age < self.keep_seconds:
                yield SeenSession(service, session, record.version, age)
