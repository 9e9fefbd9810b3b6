# Licensed under the Apache License 2.0: see LICENSE for details.

"""Cold endpoints: which endpoints are cold, and which VMs may send how much to them.

An endpoint that has just started, or becomes cold again, can serve only a few requests
a second and crashes when it gets many more.  Because it is idle, every VM that looks
for a free endpoint picks it, and the sum of their requests crashes it again.  The
request rate that a cold endpoint may receive is therefore divided among a few VMs,
its assigned senders.  Each VM computes the same senders from the names alone, without
any coordination.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from walnutquay.state.fleet.membership import rendezvous
from walnutquay.state.process.ids import EndpointName, VmName

# The assigned senders together use at most this fraction of the operators' limit:
# while VMs have different VM lists, up to two sets of senders are active.
SAFETY_FACTOR = 0.5
# The time window in which operators count the requests that reach a cold endpoint;
# seconds.
LIMIT_WINDOW_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """The request rate that each cold endpoint of a service may get from all VMs.

    :param per_second: requests a second that one endpoint can serve; 0 if not set.
    :param max_per_second: the limit set by the operators on requests to one endpoint
        in any second.
    """

    per_second: float
    max_per_second: float

    @property
    def total(self) -> float:
        """Requests that all assigned senders together may send in any second."""
        return min(self.per_second, SAFETY_FACTOR * self.max_per_second)


@dataclass(frozen=True, slots=True)
class Quota:
    """The requests that one assigned sender may send to one cold endpoint.

    :param count: the maximum number of requests in any window of this length.
    :param seconds: the length of the window.
    """

    count: int
    seconds: float


def sender_count(total: float, vms: int) -> int:
    """Return the number of VMs that share the request rate of a cold endpoint.

    This is the largest number for which each VM may still send one whole request a
    second.  With more senders, more of the rate would be lost, because a sender's share
    is unused while it has no request for that endpoint.  With fewer, more VMs could not
    serve any request while all endpoints are cold.

    :param total: requests that all senders together may send in a second.
    :param vms: the number of VMs to choose from.
    """
    return max(1, min(vms, math.floor(total)))


def sender_quota(total: float, senders: int) -> Quota:
    """Return the quota of each assigned sender.

    :param total: requests that all senders together may send in a second.
    :param senders: the number of senders.
    """
    each = total / senders
    if each >= 1.0:
        return Quota(math.floor(each), LIMIT_WINDOW_SECONDS)
    return Quota(1, LIMIT_WINDOW_SECONDS / max(each, 1e-9))


def assigned_senders(
    endpoint: EndpointName, vms: Collection[VmName], count: int
) -> list[VmName]:
    """Choose the VMs that may send to a cold endpoint; all VMs choose the same ones.

    :param endpoint: the endpoint.
    :param vms: the VMs to choose from.
    :param count: the number of VMs to choose.
    """
    return [VmName(name) for name in rendezvous(endpoint, vms)[:count]]


@dataclass(slots=True)
class ColdState:
    """One VM's view of an endpoint that is or was cold.

    :param until: the time until which it is cold; monotonic seconds.
    :param send_times: the times of this VM's last requests to it.
    """

    until: float
    send_times: deque[float] = field(default_factory=deque)


class ColdEndpoints:
    """The endpoints that one VM treats as cold, and the requests it has sent them."""

    def __init__(self) -> None:
        self.states: dict[EndpointName, ColdState] = {}
        # No endpoint is cold after this time; monotonic seconds.
        self.any_cold_until = -math.inf

    def set_cold_seconds(self, name: EndpointName, seconds: float, now: float) -> bool:
        """Set how much longer an endpoint stays cold.

        :param name: the endpoint.
        :param seconds: the remaining time; 0 if the endpoint is warm.
        :param now: monotonic seconds.
        :returns: whether the endpoint changed between cold and warm.
        """
        before = self.is_cold(name, now)
        self.any_cold_until = max(self.any_cold_until, now + seconds)
        state = self.states.get(name)
        if state is not None:
            state.until = now + seconds
        elif seconds > 0:
            self.states[name] = ColdState(now + seconds)
        return before != (seconds > 0)

    def is_cold(self, name: EndpointName, now: float) -> bool:
        """Return whether an endpoint is cold.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        state = self.states.get(name)
        return state is not None and state.until > now

    def seconds_left(self, name: EndpointName, quota: Quota, now: float) -> float:
        """Return the time until this VM may send another request to a cold endpoint.

        This VM must be one of the endpoint's assigned senders.

        :param name: the endpoint.
        :param quota: the quota of each assigned sender.
        :param now: monotonic seconds.
        :returns: seconds until then; 0 if a request may be sent now.
        """
        state = self.states.get(name)
        if state is None or len(state.send_times) < quota.count:
            return 0.0
        return max(0.0, state.send_times[-quota.count] + quota.seconds - now)

    def record_send(self, name: EndpointName, max_times: int, now: float) -> None:
        """Record that this VM sends a request to a cold endpoint.

        :param name: the endpoint.
        :param max_times: the number of send times to keep.
        :param now: monotonic seconds.
        """
        state = self.states[name]
        state.send_times.append(now)
        while len(state.send_times) > max_times:
            state.send_times.popleft()

    def forget(self, name: EndpointName) -> None:
        """Remove an endpoint that no longer exists.

        :param name: the endpoint.
        """
        self.states.pop(name, None)
