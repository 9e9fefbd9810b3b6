# Licensed under the Apache License 2.0: see LICENSE for details.

"""Endpoints that are cold: which they are, and who may send them how much.

An endpoint that has just started, or turns cold again, bears some requests a second and
falls over when it gets many more.  It has nothing to do, so each of many VMs that look
for a free endpoint finds it, and all of them together knock it over again.  What they
may send it together is therefore given to a few of them, the keepers of that endpoint:
each VM finds the same ones from the names alone, and no two need to agree.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from walnutquay.state.fleet.membership import rendezvous
from walnutquay.state.process.ids import EndpointName, VmName

# What keepers may send together is this part of what operators allow: while lists of
# VMs differ, up to two sets of keepers send.
SAFE_PART = 0.5
# The span in which operators count what reaches a cold endpoint; seconds.
LIMIT_WINDOW_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """What the cold endpoints of a service may get from all VMs together.

    :param per_second: requests a second that one bears; 0 where nothing is said.
    :param most: requests that operators allow to reach one in any second.
    """

    per_second: float
    most: float

    @property
    def total(self) -> float:
        """Requests that all keepers together may send in any second."""
        return min(self.per_second, SAFE_PART * self.most)


@dataclass(frozen=True, slots=True)
class Quota:
    """What one keeper may send to one cold endpoint.

    :param count: requests at the most, in any span of these seconds.
    :param seconds: the span.
    """

    count: int
    seconds: float


def sender_count(total: float, vms: int) -> int:
    """Tell how many VMs share what a cold endpoint may get.

    As many as may each send a whole request in each second: what one of them may send
    is lost while it has no request for that endpoint, and a VM that keeps none can
    serve nobody if all endpoints are cold.

    :param total: requests that all of them together may send in a second.
    :param vms: VMs that could.
    """
    return max(1, min(vms, math.floor(total)))


def sender_quota(total: float, keepers: int) -> Quota:
    """:param total: requests that all keepers together may send in a second.

    :param keepers: how many they are.
    """
    each = total / keepers
    if each >= 1.0:
        return Quota(math.floor(each), LIMIT_WINDOW_SECONDS)
    return Quota(1, LIMIT_WINDOW_SECONDS / max(each, 1e-9))


def assigned_senders(
    endpoint: EndpointName, vms: Collection[VmName], count: int
) -> list[VmName]:
    """Choose the VMs that may send to a cold endpoint; every VM chooses alike.

    :param endpoint: the endpoint.
    :param vms: the VMs that could.
    :param count: how many.
    """
    return [VmName(name) for name in rendezvous(endpoint, vms)[:count]]


@dataclass(slots=True)
class ColdFacts:
    """What one VM knows of one endpoint that was ever cold.

    :param until: until when it is cold; monotonic seconds.
    :param sent: when this VM last sent it requests.
    """

    until: float
    sent: deque[float] = field(default_factory=deque)


class ColdEndpoints:
    """The endpoints that one VM believes to be cold, and what it has sent them."""

    def __init__(self) -> None:
        self.facts: dict[EndpointName, ColdFacts] = {}
        # Until when any endpoint may be cold; monotonic seconds.
        self.any_cold_until = -math.inf

    def set_cold_seconds(self, name: EndpointName, seconds: float, now: float) -> bool:
        """Take in that an endpoint is cold, or for how long it still is.

        :param name: the endpoint.
        :param seconds: how much longer; 0 where it is warm.
        :param now: monotonic seconds.
        :returns: whether it was not known to be so.
        """
        before = self.is_cold(name, now)
        self.any_cold_until = max(self.any_cold_until, now + seconds)
        facts = self.facts.get(name)
        if facts is not None:
            facts.until = now + seconds
        elif seconds > 0:
            self.facts[name] = ColdFacts(now + seconds)
        return before != (seconds > 0)

    def is_cold(self, name: EndpointName, now: float) -> bool:
        """:param name: an endpoint.

        :param now: monotonic seconds.
        """
        facts = self.facts.get(name)
        return facts is not None and facts.until > now

    def seconds_left(self, name: EndpointName, quota: Quota, now: float) -> float:
        """Tell when this VM, as one of its keepers, may send a cold endpoint one more.

        :param name: the endpoint.
        :param quota: what each keeper may send it.
        :param now: monotonic seconds.
        :returns: seconds until then; 0 for now.
        """
        facts = self.facts.get(name)
        if facts is None or len(facts.sent) < quota.count:
            return 0.0
        return max(0.0, facts.sent[-quota.count] + quota.seconds - now)

    def sent(self, name: EndpointName, most: int, now: float) -> None:
        """Note that this VM sends a cold endpoint a request.

        :param name: the endpoint.
        :param most: how many of the last ones are to be remembered.
        :param now: monotonic seconds.
        """
        facts = self.facts[name]
        facts.sent.append(now)
        while len(facts.sent) > most:
            facts.sent.popleft()

    def forget(self, name: EndpointName) -> None:
        """:param name: an endpoint that has ended."""
        self.facts.pop(name, None)
