# Licensed under the Apache License 2.0: see LICENSE for details.

"""Ways in which the VMs of a fleet share the rate limit of one endpoint."""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from walnutquay.state.process.ids import EndpointName, VmName
from walnutquay.state.routed.cold import (
    ColdEndpoints,
    ColdLimit,
    assigned_senders,
    sender_count,
    sender_quota,
)
from walnutquay.state.routed.permits import (
    TOLERANCE_SECONDS,
    PermitQueue,
    Verdict,
    hall_issuer,
    hall_rate,
    primary_issuer,
    primary_rate,
    tolerated_requests,
)

ENDPOINT = EndpointName("e1")
# Requests of all VMs have the same priority here.
PRIORITY = 1
# Times to ask again after a rejection are spread by this factor at most.
SPREAD = 0.25
# An issuer that did not answer is asked again after this time; seconds.
UNREACHABLE_SECONDS = 1.0


@dataclass
class View:
    """What one VM believes of the fleet.

    :param vm: the VM.
    :param hall: its data hall.
    :param vms: the VMs of each data hall, by its list; the endpoint is in hall 0.
    :param limit: requests a second that the endpoint names.
    """

    vm: VmName
    hall: int
    vms: list[list[VmName]]
    limit: float

    @property
    def size(self) -> int:
        """The number of VMs in its list."""
        return max(1, sum(map(len, self.vms)))


@dataclass
class Network:
    """Which VMs can reach each other, and the messages between them.

    :param rng: the source of chance.
    :param lost: the share of questions that get no answer.
    :param cut: halls that are cut off from the others now.
    :param halls: the data hall of each VM that runs.
    :param messages: questions and answers so far, by VM.
    """

    rng: random.Random
    lost: float = 0.0
    cut: set[int] = field(default_factory=set)
    halls: dict[VmName, int] = field(default_factory=dict)
    messages: dict[VmName, int] = field(default_factory=dict)

    def reaches(self, sender: VmName, receiver: VmName) -> bool:
        """Return whether a question gets its answer, and count both."""
        self.messages[sender] = self.messages.get(sender, 0) + 1
        if receiver not in self.halls or self.rng.random() < self.lost:
            return False
        one, other = self.halls[sender], self.halls[receiver]
        if one != other and self.cut & {one, other}:
            return False
        self.messages[receiver] = self.messages.get(receiver, 0) + 1
        return True


class Way(ABC):
    """One VM's part in a way.

    :param view: what it believes of the fleet.
    :param network: the network between the VMs.
    :param vms: the parts of all VMs, by name.
    """

    name = ""

    def __init__(self, view: View, network: Network, vms: dict[VmName, Way]) -> None:
        self.view = view
        self.network = network
        self.vms = vms

    @abstractmethod
    def may_send(self, patience: float, now: float) -> bool:
        """Return whether a request may be sent now; it is then counted.

        :param patience: the seconds that the request can wait.
        :param now: seconds.
        """

    def issue(self, now: float) -> int:
        """Return how many requests that waited may be sent now.

        :param now: seconds.
        """
        return 0


class Nothing(Way):
    """No VM knows of the limit."""

    name = "nothing"

    def may_send(self, patience: float, now: float) -> bool:
        """Allow every request."""
        return True


class EvenParts(Way):
    """Each VM has the same part of the limit, by the number of VMs that it knows."""

    name = "even parts"

    def __init__(self, view: View, network: Network, vms: dict[VmName, Way]) -> None:
        super().__init__(view, network, vms)
        self.apart = view.size / view.limit
        self.next = network.rng.random() * self.apart

    def may_send(self, patience: float, now: float) -> bool:
        """Allow one request in the time that this VM's part takes."""
        if now < self.next:
            return False
        self.next = max(self.next + self.apart, now + self.apart / 2.0)
        return True


class AssignedSenders(Way):
    """A few VMs, chosen alike by all, share the limit: as for cold endpoints."""

    name = "assigned senders"

    def __init__(self, view: View, network: Network, vms: dict[VmName, Way]) -> None:
        super().__init__(view, network, vms)
        tolerated = tolerated_requests(view.limit) / TOLERANCE_SECONDS
        total = ColdLimit(view.limit, tolerated).total
        near = view.vms[0] or [vm for hall in view.vms for vm in hall]
        count = sender_count(total, len(near))
        self.sends = view.vm in assigned_senders(ENDPOINT, near, count)
        self.quota = sender_quota(total, count)
        self.sent = ColdEndpoints()

    def may_send(self, patience: float, now: float) -> bool:
        """Allow the requests in this VM's quota, if it is an assigned sender."""
        if not self.sends:
            return False
        if self.sent.seconds_left(ENDPOINT, self.quota, now) > 0.0:
            return False
        self.sent.set_cold_seconds(ENDPOINT, math.inf, now)
        self.sent.record_send(ENDPOINT, self.quota.count, now)
        return True


class Permits(Way):
    """A permit for each request, of the primary issuer or that of the hall."""

    name = "permits"

    def __init__(self, view: View, network: Network, vms: dict[VmName, Way]) -> None:
        super().__init__(view, network, vms)
        near = view.vms[0] or [vm for hall in view.vms for vm in hall]
        self.primary = primary_issuer(ENDPOINT, near)
        own = view.vms[view.hall]
        if view.vm not in own:
            own = [*own, view.vm]
        self.of_hall = hall_issuer(ENDPOINT, own, self.primary)
        self.queues: dict[bool, PermitQueue] = {}
        self.rejected_until = -math.inf
        self.unreachable_until = -math.inf

    def may_send(self, patience: float, now: float) -> bool:
        """Ask an issuer, unless one has rejected this VM a moment ago."""
        if now < self.rejected_until:
            return False
        found = None
        if now >= self.unreachable_until:
            found = self._ask(self.primary, True, patience, now)
            if found is None:
                self.unreachable_until = now + UNREACHABLE_SECONDS
        if found is None:
            found = self._ask(self.of_hall, False, patience, now)
        verdict, wait = found or (Verdict.REJECTED, 0.3)
        if verdict is Verdict.REJECTED:
            spread = self.network.rng.uniform(1.0 - SPREAD, 1.0 + SPREAD)
            self.rejected_until = now + wait * spread
        return verdict is Verdict.GRANTED

    def _ask(
        self, vm: VmName | None, primary: bool, patience: float, now: float
    ) -> tuple[Verdict, float] | None:
        if vm is None or vm not in self.vms:
            return None
        if vm != self.view.vm and not self.network.reaches(self.view.vm, vm):
            return None
        issuer = self.vms[vm]
        assert isinstance(issuer, Permits)
        return issuer.answer(primary, patience, now)

    def answer(
        self, primary: bool, patience: float, now: float
    ) -> tuple[Verdict, float] | None:
        """Decide about the request of a VM; None if this one is no issuer.

        :param primary: whether the other VM takes it for the primary issuer.
        :param patience: the seconds that the request can wait.
        :param now: seconds.
        """
        is_primary = self.primary == self.view.vm
        if not is_primary and self.of_hall != self.view.vm:
            return None
        halls = sum(bool(hall) for hall in self.view.vms)
        limit = self.view.limit
        rate = primary_rate(limit) if is_primary else hall_rate(limit, halls)
        if rate <= 0.0:
            return Verdict.REJECTED, 1.0
        queue = self.queues.setdefault(is_primary, PermitQueue(now))
        queue.set_rate(rate, now)
        decision = queue.request(PRIORITY, patience, now)
        return decision.verdict, decision.wait

    def issue(self, now: float) -> int:
        """Issue the permits that are due to those who wait."""
        return sum(len(queue.issue(now)) for queue in self.queues.values())


WAYS: tuple[type[Way], ...] = (Nothing, EvenParts, AssignedSenders, Permits)
