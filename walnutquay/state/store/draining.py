# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which starts of endpoints are draining, and since when."""

from __future__ import annotations

import math
from dataclasses import dataclass

from walnutquay.state.process.ids import EndpointName

# An entry that has expired while the store was unavailable may be written again; a
# draining endpoint ends long before this time.
KEEP_SECONDS = 600.0
# The part of its time to drain for which an endpoint is used for want of another: what
# is sent must reach it in that time.  An entry that says so was written some time
# before this VM has read it.
ANNOUNCED_SHARE = 0.75
LISTED_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class DrainingStart:
    """A start of an endpoint that is draining.

    :param born: when it started, in Unix milliseconds; None if not known.
    :param since: when it is first known to have announced that; monotonic seconds,
        minus infinity if that may have been at any time.
    :param announced: whether the endpoint has said so itself, to this VM or another.
    """

    born: int | None
    since: float
    announced: bool

    def is_usable(self, now: float, drain_seconds: float) -> bool:
        """Return whether it may be sent requests for a while yet.

        :param now: monotonic seconds.
        :param drain_seconds: the time for which a draining endpoint may be sent
            requests.
        """
        share = ANNOUNCED_SHARE if self.announced else LISTED_SHARE
        return now < self.since + share * drain_seconds

    def is_start(self, born: int | None) -> bool:
        """Return whether a start may be this one.

        :param born: the start time of an endpoint of the same name.
        """
        return None in (born, self.born) or born == self.born


class DrainingStarts:
    """The draining starts that one VM knows, by endpoint.

    They are kept for a while after the endpoint's entry is gone: the endpoint goes on
    draining if the entry returns.
    """

    def __init__(self) -> None:
        self.starts: dict[EndpointName, DrainingStart] = {}
        # When the entries of endpoints were removed; monotonic seconds.
        self.removed_at: dict[EndpointName, float] = {}
        # When the last of them was announced; monotonic seconds.
        self.last_since = -math.inf

    def mark(self, name: EndpointName, start: DrainingStart) -> bool:
        """Record that a start is draining; it never stops.

        :param name: the endpoint.
        :param start: its start.
        :returns: whether that was not known.
        """
        self.last_since = max(self.last_since, start.since)
        before = self.starts.get(name)
        if before is None or not before.is_start(start.born):
            self.starts[name] = start
            return True
        self.starts[name] = DrainingStart(
            start.born if before.born is None else before.born,
            min(before.since, start.since),
            before.announced or start.announced,
        )
        return False

    def is_draining(self, name: EndpointName, born: int | None) -> bool:
        """Return whether a start is known to be draining.

        :param name: the endpoint.
        :param born: the start time; None if not known.
        """
        start = self.starts.get(name)
        return start is not None and start.is_start(born)

    def is_usable(self, name: EndpointName, now: float, drain_seconds: float) -> bool:
        """Return whether a draining endpoint may be sent requests for a while yet.

        :param name: the endpoint.
        :param now: monotonic seconds.
        :param drain_seconds: the time for which a draining endpoint may be sent
            requests.
        """
        start = self.starts.get(name)
        return start is not None and start.is_usable(now, drain_seconds)

    def is_any_usable(self, now: float, drain_seconds: float) -> bool:
        """Return whether any draining endpoint may be sent requests.

        :param now: monotonic seconds.
        :param drain_seconds: as above.
        """
        return now < self.last_since + drain_seconds

    def forget(self, name: EndpointName) -> None:
        """Remove an endpoint of which a later start is known.

        :param name: the endpoint.
        """
        self.starts.pop(name, None)
        self.removed_at.pop(name, None)

    def on_removed(self, name: EndpointName, now: float) -> None:
        """Keep what is known of an endpoint without an entry for a while.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        if name in self.starts:
            self.removed_at[name] = now
        old = [name for name, at in self.removed_at.items() if at <= now - KEEP_SECONDS]
        for one in old:
            self.forget(one)

    def on_listed(self, name: EndpointName) -> None:
        """Keep what is known of an endpoint that has an entry.

        :param name: the endpoint.
        """
        self.removed_at.pop(name, None)
