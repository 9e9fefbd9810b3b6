# Licensed under the Apache License 2.0: see LICENSE for details.

"""Permits to send requests to an endpoint with a rate limit, and which VM issues them.

One VM, the primary issuer, issues the permits of an endpoint to all VMs.  VMs that
cannot reach it use the issuer of their own data hall, which has a rate of its own.  The
rates of all issuers together stay within what the endpoint tolerates, so no agreement
is needed, whichever VMs can reach each other.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from walnutquay.state.fleet.membership import rendezvous
from walnutquay.state.process.ids import EndpointName, VmName

# What an endpoint tolerates in any span of some seconds: a multiple of what its limit
# allows, and some requests more.
TOLERATED_FACTOR = 1.5
TOLERATED_EXTRA = 5.0
TOLERANCE_SECONDS = 4.0
# The most permits that an issuer saves up while none is requested.
BURST = 1.0
# One permit in this many goes to a less urgent request, if one is waiting.
FAIR_EVERY = 5
# What a rejected request adds to the estimate of those that come again.  With more, the
# VMs would ask so rarely that permits remain unused.
BACKLOG_WEIGHT = 0.15
# The longest time after which a rejected VM is told to ask again; seconds.
MAX_WAIT_SECONDS = 10.0


def primary_issuer(endpoint: EndpointName, vms: Collection[VmName]) -> VmName | None:
    """Return the VM that issues the permits of an endpoint to all VMs.

    :param endpoint: the endpoint.
    :param vms: the VMs of its data hall; all VMs if there are none.
    :returns: the VM; None if no VM is known.
    """
    ranked = rendezvous(endpoint, vms)
    return VmName(ranked[0]) if ranked else None


def hall_issuer(
    endpoint: EndpointName, vms: Collection[VmName], primary: VmName | None
) -> VmName | None:
    """Return the VM that issues permits in a hall that cannot reach the primary issuer.

    :param endpoint: the endpoint.
    :param vms: the VMs of the hall.
    :param primary: the primary issuer, which is never chosen.
    :returns: the VM; None if there is none.
    """
    return primary_issuer(endpoint, [vm for vm in vms if vm != primary])


def tolerated_requests(limit: float) -> float:
    """Return the requests that an endpoint tolerates in a span of tolerance.

    :param limit: the limit that it names; requests a second.
    """
    return TOLERATED_FACTOR * limit * TOLERANCE_SECONDS + TOLERATED_EXTRA


def primary_rate(limit: float) -> float:
    """Return the permits a second of the primary issuer.

    Two primary issuers together stay within what the endpoint tolerates: VMs that join
    or leave are not known to all others at the same time.

    :param limit: the limit that the endpoint names; requests a second.
    """
    half = tolerated_requests(limit) / 2.0
    return min(limit, (half - BURST) / TOLERANCE_SECONDS)


def hall_rate(limit: float, halls: int) -> float:
    """Return the permits a second of the issuer of one data hall.

    The issuers of all halls together use what the primary issuer leaves.

    :param limit: the limit that the endpoint names; requests a second.
    :param halls: the number of data halls with VMs.
    :returns: the rate; 0 if nothing is left.
    """
    primary = primary_rate(limit) * TOLERANCE_SECONDS + BURST
    left = tolerated_requests(limit) - primary - halls * BURST
    return min(max(0.0, left) / TOLERANCE_SECONDS, limit) / halls


class Verdict(Enum):
    """The answer to a request for a permit."""

    GRANTED = "granted"
    QUEUED = "queued"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class Decision:
    """The answer to a request for a permit.

    :param verdict: whether it is granted, waits in the queue, or is rejected.
    :param wait: seconds after which to ask again, if it is rejected.
    :param number: the number in the queue, if it waits.
    """

    verdict: Verdict
    wait: float = 0.0
    number: int = 0


@dataclass(frozen=True, slots=True, order=True)
class Waiter:
    """A request for a permit that waits.

    :param priority: its rank, where 0 is the most urgent.
    :param number: its number; earlier requests have lower ones.
    :param until: when it stops waiting; monotonic seconds.
    """

    priority: int
    number: int
    until: float


class PermitQueue:
    """A token bucket of one issuer, with a queue of those who wait for a token.

    It starts empty: an earlier issuer, or VMs that did not know of the limit, may have
    sent requests a moment ago.

    :param now: monotonic seconds.
    """

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.tokens = 0.0
        self.updated_at = now
        self.waiters: list[Waiter] = []
        self.numbers = 0
        # The permits issued since the last one to a less urgent request.
        self.since_fair = 0
        # Rejected requests that may come again, an estimate.
        self.backlog = 0.0

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from now on.

        :param rate: permits a second.
        :param now: monotonic seconds.
        """
        self._refill(now)
        self.rate = rate

    def request(self, priority: int, patience: float, now: float) -> Decision:
        """Decide about a request for a permit.

        :param priority: its rank, where 0 is the most urgent.
        :param patience: the seconds that it can wait.
        :param now: monotonic seconds.
        """
        self._refill(now)
        wait = self._wait(priority)
        if wait <= 0.0:
            self._take(priority)
            return Decision(Verdict.GRANTED)
        if wait <= patience:
            self.numbers += 1
            self.waiters.append(Waiter(priority, self.numbers, now + patience))
            return Decision(Verdict.QUEUED, number=self.numbers)
        wait = max(wait, self.backlog / self.rate)
        self.backlog += BACKLOG_WEIGHT
        return Decision(Verdict.REJECTED, min(wait, MAX_WAIT_SECONDS))

    def _wait(self, priority: int) -> float:
        """Estimate the time until a new request of a priority gets a permit."""
        ahead = sum(waiter.priority <= priority for waiter in self.waiters)
        wait = (ahead + 1.0 - self.tokens) / self.rate
        ranks = {waiter.priority for waiter in self.waiters}
        if ranks and priority > min(ranks) and len(ranks) == 1:
            # It would be the only less urgent one in the queue.
            fair = (FAIR_EVERY - self.since_fair - self.tokens) / self.rate
            return max(0.0, min(wait, max(fair, (1.0 - self.tokens) / self.rate)))
        return max(0.0, wait)

    def _take(self, priority: int) -> None:
        self.tokens -= 1.0
        most_urgent = min((waiter.priority for waiter in self.waiters), default=None)
        fair = most_urgent is not None and priority > most_urgent
        self.since_fair = 0 if fair else self.since_fair + 1

    def issue(self, now: float) -> list[int]:
        """Issue the permits that are due to those who wait.

        :param now: monotonic seconds.
        :returns: the numbers of those that got one.
        """
        self._refill(now)
        self.waiters = [waiter for waiter in self.waiters if waiter.until > now]
        issued = []
        while self.waiters and self.tokens >= 1.0:
            waiter = self._next()
            self.waiters.remove(waiter)
            self._take(waiter.priority)
            issued.append(waiter.number)
        return issued

    def _next(self) -> Waiter:
        first = min(self.waiters)
        if self.since_fair >= FAIR_EVERY - 1:
            passed_over = [w for w in self.waiters if w.priority > first.priority]
            if passed_over:
                return min(passed_over, key=lambda waiter: waiter.number)
        return first

    def leave(self, number: int) -> None:
        """Remove one that no longer waits.

        :param number: its number.
        """
        self.waiters = [waiter for waiter in self.waiters if waiter.number != number]

    def seconds_to_next(self, now: float) -> float:
        """Return the time until the next permit can be issued.

        :param now: monotonic seconds.
        """
        self._refill(now)
        return max(0.0, (1.0 - self.tokens) / self.rate)

    def _refill(self, now: float) -> None:
        added = max(0.0, now - self.updated_at) * self.rate
        self.updated_at = now
        self.tokens = min(BURST, self.tokens + added)
        self.backlog = max(0.0, self.backlog - added)
