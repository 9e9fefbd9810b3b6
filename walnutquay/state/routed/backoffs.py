# Licensed under the Apache License 2.0: see LICENSE for details.

"""Endpoints that have refused a request of this VM and want none for a while.

Such a backoff applies to this VM alone, and to the start of the endpoint that asked for
it.  It ends by time only.
"""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.state.process.ids import EndpointName

# For this long after the end of a backoff the endpoint gets its requests one after the
# other: all those that were held back at once would overload it again.
RECOVERY_SECONDS = 1.0
RECOVERY_INTERVAL_SECONDS = 0.02


@dataclass(slots=True)
class Backoff:
    """The backoff of one endpoint.

    :param until: its end; monotonic seconds.
    :param refused_at: when the endpoint asked for it last; monotonic seconds.
    :param last_send_at: when this VM has sent the last request after its end; None if
        it has sent none.
    """

    until: float
    refused_at: float
    last_send_at: float | None = None

    def is_recovering(self, now: float) -> bool:
        """Return whether the backoff is over and requests are still spaced.

        :param now: monotonic seconds.
        """
        return self.until <= now < self.until + RECOVERY_SECONDS

    def seconds_left(self, now: float) -> float:
        """Return the time until a request may be sent.

        :param now: monotonic seconds.
        """
        if now < self.until:
            return self.until - now
        if self.last_send_at is None or not self.is_recovering(now):
            return 0.0
        return max(0.0, self.last_send_at + RECOVERY_INTERVAL_SECONDS - now)


class BackoffTable:
    """The backoffs that one VM keeps to, by endpoint."""

    def __init__(self) -> None:
        self.backoffs: dict[EndpointName, Backoff] = {}

    def apply(self, name: EndpointName, seconds: float, now: float) -> None:
        """Apply what an endpoint asked for; an earlier backoff is not shortened.

        :param name: the endpoint.
        :param seconds: for how long it wants no requests.
        :param now: when its answer was received; monotonic seconds.
        """
        before = self.backoffs.get(name)
        until = now + seconds
        if before is not None:
            until = max(until, before.until)
        if until > now:
            self.backoffs[name] = Backoff(until, now)

    def seconds_left(self, name: EndpointName, now: float) -> float:
        """Return the time until this VM may send an endpoint a request.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        backoff = self.backoffs.get(name)
        return 0.0 if backoff is None else backoff.seconds_left(now)

    def is_limited(self, name: EndpointName, now: float) -> bool:
        """Return whether an endpoint backs off, or recovers from that.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        backoff = self.backoffs.get(name)
        return backoff is not None and now < backoff.until + RECOVERY_SECONDS

    def record_send(self, name: EndpointName, now: float) -> None:
        """Record that this VM sends an endpoint a request.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        backoff = self.backoffs.get(name)
        if backoff is not None:
            backoff.last_send_at = now

    def active(self, now: float) -> dict[EndpointName, Backoff]:
        """Return the backoffs that are not over.

        :param now: monotonic seconds.
        """
        return {name: one for name, one in self.backoffs.items() if now < one.until}

    def remove_ended(self, now: float) -> dict[EndpointName, Backoff]:
        """Remove the backoffs from which endpoints have recovered.

        :param now: monotonic seconds.
        :returns: those that were removed.
        """
        ended = {
            name: one
            for name, one in self.backoffs.items()
            if now >= one.until + RECOVERY_SECONDS
        }
        for name in ended:
            del self.backoffs[name]
        return ended

    def forget(self, name: EndpointName) -> Backoff | None:
        """Remove the backoff of an endpoint, or of the earlier start of one.

        :param name: the endpoint.
        :returns: the backoff that was removed, if there was one.
        """
        return self.backoffs.pop(name, None)
