# Licensed under the Apache License 2.0: see LICENSE for details.

"""The rate limits that endpoints name in their answers, as one VM knows them.

A limit applies to the requests of all VMs together, and only to the start of the
endpoint that named it.
"""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.state.process.ids import EndpointName

# Answers overtake each other by less than this.  For this long, an answer that names a
# laxer limit, or none, does not replace a stricter one.
OVERTAKING_SECONDS = 0.1
# How long a limit holds as named without an answer that confirms it.  After this time
# it doubles step by step, so that the endpoint is tried with care.
CONFIRMED_SECONDS = 10.0
DOUBLING_SECONDS = 5.0
MAX_DOUBLINGS = 2
# A limit that no answer has confirmed for this long does not hold any more.
EXPIRY_SECONDS = 60.0
# It is forgotten only after this time.  Until then VMs still ask the issuer of permits,
# which may know of a later answer.
FORGET_SECONDS = 300.0
# The lowest rate at which an endpoint is tried.  One that is never sent a request
# could not name a higher limit.
MIN_PER_SECOND = 0.2


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """The last rate limit that an endpoint named.

    :param per_second: requests a second from all VMs together; None if its last answer
        named no limit.
    :param at: when that answer was received; monotonic seconds.
    """

    per_second: float | None
    at: float

    def rate(self, now: float) -> float | None:
        """Return the requests a second that all VMs together may send.

        :param now: monotonic seconds.
        :returns: the rate; None if the endpoint is not limited.
        """
        age = now - self.at
        if self.per_second is None or age >= EXPIRY_SECONDS:
            return None
        steps = (age - CONFIRMED_SECONDS) // DOUBLING_SECONDS + 1
        doublings = min(max(steps, 0), MAX_DOUBLINGS)
        return max(self.per_second, MIN_PER_SECOND) * 2**doublings

    def needs_permit(self, now: float) -> bool:
        """Return whether an issuer has to be asked before a request is sent.

        :param now: monotonic seconds.
        """
        return self.per_second is not None and now - self.at < FORGET_SECONDS

    def is_laxer_than(self, other: NamedLimit) -> bool:
        """Return whether this limit allows more than another one."""
        if other.per_second is None:
            return False
        return self.per_second is None or self.per_second > other.per_second


class RateLimitTable:
    """The rate limits that one VM knows, by endpoint."""

    def __init__(self) -> None:
        self.limits: dict[EndpointName, NamedLimit] = {}

    def apply(self, name: EndpointName, limit: NamedLimit) -> bool:
        """Apply what an answer of an endpoint said; the latest answer counts.

        :param name: the endpoint.
        :param limit: the limit in the answer.
        :returns: whether the known limit has changed.
        """
        before = self.limits.get(name)
        if before is None:
            if limit.per_second is not None:
                self.limits[name] = limit
            return limit.per_second is not None
        if limit.at <= before.at:
            return False
        overtaken = limit.at < before.at + OVERTAKING_SECONDS
        # What VMs tell each other again seems to be later by its time on the way.
        same = limit.per_second == before.per_second
        if overtaken and (same or limit.is_laxer_than(before)):
            return False
        self.limits[name] = limit
        return limit.per_second != before.per_second

    def rate(self, name: EndpointName, now: float) -> float | None:
        """Return the requests a second that all VMs together may send an endpoint.

        :param name: the endpoint.
        :param now: monotonic seconds.
        :returns: the rate; None if the endpoint is not limited.
        """
        limit = self.limits.get(name)
        return None if limit is None else limit.rate(now)

    def needs_permit(self, name: EndpointName, now: float) -> bool:
        """Return whether a request to an endpoint needs a permit.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        limit = self.limits.get(name)
        return limit is not None and limit.needs_permit(now)

    def forget_old(self, now: float) -> list[EndpointName]:
        """Remove the limits that no answer has confirmed for too long.

        :param now: monotonic seconds.
        :returns: the endpoints that named them.
        """
        old = [
            name
            for name, limit in self.limits.items()
            if limit.per_second is not None and not limit.needs_permit(now)
        ]
        for name in old:
            del self.limits[name]
        return old

    def limited(self, now: float) -> dict[EndpointName, NamedLimit]:
        """Return the limits that hold now, by endpoint.

        :param now: monotonic seconds.
        """
        return {
            name: limit
            for name, limit in self.limits.items()
            if limit.rate(now) is not None
        }

    def forget(self, name: EndpointName) -> None:
        """Remove an endpoint, or the earlier start of one.

        :param name: the endpoint.
        """
        self.limits.pop(name, None)
