# Licensed under the Apache License 2.0: see LICENSE for details.

"""Places at brittle endpoints, which crash when they have to reject many requests.

One VM counts the requests of all VMs that are at such an endpoint, and grants a place
only while the endpoint has a slot for it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from walnutquay.state.fleet.membership import rendezvous
from walnutquay.state.process.ids import EndpointName, VmName

# A VM that has told nothing for this long holds no places any more; seconds.
COUNT_VALID_SECONDS = 5.0
# The shortest and longest time after which a VM that got no place asks again; seconds.
MIN_WAIT_SECONDS = 0.05
MAX_WAIT_SECONDS = 1.0
# With more VMs than this that get no place, they ask less often.
VMS_AT_MIN_WAIT = 10
# Rejections are taken for the cause of a crash for this long; seconds.
REJECTIONS_SECONDS = 2.0
# After this long without a rejection, an endpoint that has rejected requests within its
# slots is tried with one more.
RAISE_SECONDS = 30.0
# If it has rejected none for this long, an endpoint has room for those that are there.
PROOF_SECONDS = 0.15


@dataclass(slots=True)
class VmCount:
    """The requests of one VM at an endpoint.

    :param requests: how many, with those that it asks a place for.
    :param running: how many without these.
    :param number: the number of the message that told so; later ones have higher ones.
    :param until: when the count is no longer valid; monotonic seconds.
    """

    requests: int
    running: int
    number: int
    until: float


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """What a VM asks that wants to send one more request.

    :param vm: the VM.
    :param wanted: its requests there, with those that it wants to send.
    :param running: its requests there without these.
    :param number: the number of its message.
    """

    vm: VmName
    wanted: int
    running: int
    number: int


class PlaceLedger:
    """The requests of all VMs at one endpoint, as its issuer knows them.

    An endpoint may have fewer slots than its entry names.  So beyond the requests that
    it has been seen to run, it gets no more at a time than it survives rejecting.
    """

    def __init__(self) -> None:
        self.counts: dict[VmName, VmCount] = {}
        # When each VM that got no place asked last; monotonic seconds.
        self.denied_at: dict[VmName, float] = {}
        # The requests that the endpoint runs concurrently, as its rejections show; None
        # while it has rejected none.  And when that was last lowered or raised.
        self.capacity: int | None = None
        self.capacity_at = float("-inf")
        # The requests that it has run concurrently; the most that have been there since
        # it last rejected one, and since when; monotonic seconds.
        self.proven = 0
        self.most = 0
        self.most_at = float("-inf")

    def on_rejected(self, now: float) -> None:
        """Record that the endpoint had no room for one of the requests there.

        :param now: monotonic seconds.
        """
        self._expire(now)
        there = self._running()
        # Whether the rejected request is still counted is not known.
        self.proven = min(self.proven, there)
        known = self.most if self.capacity is None else self.capacity
        self.capacity = max(1, min(known - 1, max(self.proven, there - 1)))
        self.capacity_at = now
        self.proven = self.most = min(self.proven, self.capacity)

    def _running(self) -> int:
        return sum(count.running for count in self.counts.values())

    def _limit(self, slots: int, borne: int, now: float) -> int:
        """Return how many requests may be there.

        :param slots: the slots that the endpoint's entry names.
        :param borne: the rejections a second that it survives.
        """
        if now >= self.most_at + PROOF_SECONDS:
            self.proven = max(self.proven, self.most)
        # Those of VMs that do not know that it is brittle may be rejected too.
        slots = min(slots, self.proven + max(1, borne // 2))
        if self.capacity is None:
            return slots
        if now >= self.capacity_at + RAISE_SECONDS:
            self.capacity += 1
            self.capacity_at = now
        return min(slots, self.capacity)

    def request(self, asked: PlaceRequest, slots: int, borne: int, now: float) -> float:
        """Decide whether a VM may send one more request.

        :param asked: what the VM asks.
        :param slots: the slots that the endpoint's entry names.
        :param borne: the rejections a second that it survives.
        :param now: monotonic seconds.
        :returns: 0 if it may; otherwise seconds after which to ask again.
        """
        self._expire(now)
        vm, wanted, number = asked.vm, asked.wanted, asked.number
        others = sum(c.requests for name, c in self.counts.items() if vm != name)
        if others + wanted <= self._limit(slots, borne, now):
            self.record(vm, wanted, wanted, number, now)
            self.denied_at.pop(vm, None)
            return 0.0
        before = self.counts.get(vm)
        held = asked.running if before is None else min(before.requests, wanted)
        self.record(vm, held, asked.running, number, now)
        self.denied_at[vm] = now
        wait = MIN_WAIT_SECONDS * max(1.0, len(self.denied_at) / VMS_AT_MIN_WAIT)
        return min(wait, MAX_WAIT_SECONDS)

    def record(
        self, vm: VmName, requests: int, running: int, number: int, now: float
    ) -> None:
        """Record what a VM tells of its requests.

        :param vm: the VM.
        :param requests: its requests there, with those that it asks a place for.
        :param running: its requests there without these.
        :param number: the number of its message; an earlier one changes nothing.
        :param now: monotonic seconds.
        """
        before = self.counts.get(vm)
        if before is not None and number <= before.number:
            return
        until = now + COUNT_VALID_SECONDS
        self.counts[vm] = VmCount(requests, running, number, until)
        if before is None or running > before.running:
            there = self._running()
            if there > self.most:
                self.most, self.most_at = there, now

    def _expire(self, now: float) -> None:
        self.counts = {vm: c for vm, c in self.counts.items() if now < c.until}
        self.denied_at = {
            vm: at for vm, at in self.denied_at.items() if now < at + MAX_WAIT_SECONDS
        }


def own_share(
    endpoint: EndpointName, vm: VmName, vms: Collection[VmName], slots: int
) -> int:
    """Return the places of a VM that cannot reach the issuer.

    The shares of all VMs are as many as the endpoint has slots.

    :param endpoint: the endpoint.
    :param vm: the VM.
    :param vms: all VMs.
    :param slots: the requests that the endpoint runs concurrently.
    """
    ranked = rendezvous(endpoint, {*vms, vm})
    each, left = divmod(slots, len(ranked))
    return each + (ranked.index(vm) < left)


@dataclass(slots=True)
class BrittleEndpoint:
    """What is known of one start of a brittle endpoint.

    :param born: when it started, in Unix milliseconds; None if not known.
    :param rejections_borne: the rejections a second that it survives.
    :param announced_at: when its last answer said so; monotonic seconds.
    :param denied_until: until when no place is asked for; monotonic seconds.
    :param rejections: when it rejected requests of any VM; monotonic seconds.
    """

    born: int | None
    rejections_borne: int
    announced_at: float
    denied_until: float = float("-inf")
    rejections: deque[float] = field(default_factory=lambda: deque(maxlen=256))

    def has_overflowed(self, now: float) -> bool:
        """Return whether a crash now follows from its rejections.

        This VM may not have heard of all rejections of the others.

        :param now: monotonic seconds.
        """
        recent = sum(at > now - REJECTIONS_SECONDS for at in self.rejections)
        return recent >= max(1, self.rejections_borne // 2)
