# Licensed under the Apache License 2.0: see LICENSE for details.

"""The slots that are in use, and what has become of requests that are over.

Answers messages that are lost, late or doubled: a slot ends by itself, and a request
that is over is not revived by a question that comes late.
"""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict
from dataclasses import dataclass
from itertools import count

from walnutquay.state.process.ids import EndpointName, OrganisationName, VmName
from walnutquay.state.routed.slotorder import Waiting
from walnutquay.state.routed.slotrooms import SlotRooms
from walnutquay.state.routed.slottypes import Denied, SlotKey

# A slot ends by itself after this time, or after its work taken many times: a message
# that was lost must not keep it for the whole of a far deadline.
MAX_GRANT_SECONDS = 60.0
MAX_GRANT_WORKS = 20.0
# What has become of so many requests is remembered, for questions that are repeated.
MAX_REMEMBERED = 10_000


@dataclass(frozen=True, slots=True)
class Grant:
    """A slot that a request has.

    :param endpoint: where.
    :param at: since when; monotonic seconds, -inf if unknown.
    :param until: when it ends by itself; monotonic seconds.
    :param waiting: the request; None if it was sent without asking here.
    """

    endpoint: EndpointName
    at: float
    until: float
    waiting: Waiting | None


def new_grant(waiting: Waiting, endpoint: EndpointName, now: float) -> Grant:
    """Return a slot for a request, until its caller gives up at the latest.

    :param waiting: the request.
    :param endpoint: where.
    :param now: monotonic seconds.
    """
    latest = now + max(MAX_GRANT_SECONDS, MAX_GRANT_WORKS * waiting.work)
    deadline = waiting.request.deadline
    # A deadline that is over as the slot is granted tells nothing.
    until = min(deadline, latest) if deadline > now else latest
    return Grant(endpoint, now, until, waiting)


class SlotGrants:
    """The slots of one service that are in use.

    :param rooms: the endpoints.
    """

    def __init__(self, rooms: SlotRooms) -> None:
        self.rooms = rooms
        self.grants: dict[SlotKey, Grant] = {}
        # The slots of each organisation, where it is known.
        self.held: Counter[OrganisationName] = Counter()
        self.ends: list[tuple[float, int, SlotKey]] = []
        self.numbers = count()

    def add(self, key: SlotKey, grant: Grant) -> None:
        """Count a slot.

        :param key: identifies its request.
        :param grant: the slot.
        """
        self.grants[key] = grant
        if grant.waiting is not None:
            self.held[grant.waiting.request.organisation] += 1
        self._count(key, grant)
        heapq.heappush(self.ends, (grant.until, next(self.numbers), key))

    def end(self, key: SlotKey, now: float | None = None) -> Grant | None:
        """Count a slot no longer.

        :param key: identifies its request.
        :param now: when it ended; monotonic seconds, None if unknown.
        :returns: the slot, if there was one.
        """
        grant = self.grants.pop(key, None)
        if grant is not None:
            self.rooms.end(grant.endpoint, key, now)
            if grant.waiting is not None:
                self.held[grant.waiting.request.organisation] -= 1
        return grant

    def end_due(self, now: float) -> list[SlotKey]:
        """End the slots whose time is over.

        :param now: monotonic seconds.
        :returns: their requests.
        """
        ended = []
        while self.ends and self.ends[0][0] <= now:
            until, _, key = heapq.heappop(self.ends)
            grant = self.grants.get(key)
            if grant is not None and grant.until <= until:
                self.end(key)
                ended.append(key)
        return ended

    def next_end(self) -> float | None:
        """Return when the next slot ends by itself; monotonic seconds."""
        while self.ends and self.ends[0][2] not in self.grants:
            heapq.heappop(self.ends)
        return self.ends[0][0] if self.ends else None

    def count_again(self) -> None:
        """Count the slots at endpoints that are new here, or came back."""
        for key, grant in self.grants.items():
            self._count(key, grant)

    def _count(self, key: SlotKey, grant: Grant) -> None:
        """Count a slot at its endpoint, once."""
        room = self.rooms.rooms.get(grant.endpoint)
        if room is not None:
            waiting = grant.waiting
            room.grant(key, self.rooms.work if waiting is None else waiting.work)

    def compact(self) -> None:
        """Drop the ends of slots that ended before, so that memory is bounded."""
        self.held = +self.held
        self.ends = [end for end in self.ends if end[2] in self.grants]
        heapq.heapify(self.ends)

    def forget_vm(self, vm: VmName) -> None:
        """End the slots of a VM.

        :param vm: the VM.
        """
        for key in [key for key in self.grants if key.vm == vm]:
            self.end(key)


class SlotHistory:
    """What has become of requests that wait no longer and have no slot."""

    def __init__(self) -> None:
        self.denied: OrderedDict[SlotKey, Denied] = OrderedDict()
        self.ended: OrderedDict[SlotKey, None] = OrderedDict()

    def deny(self, denied: Denied) -> None:
        """Remember a refusal; the oldest is forgotten.

        :param denied: the refusal.
        """
        self.denied[denied.key] = denied
        if len(self.denied) > MAX_REMEMBERED:
            self.denied.popitem(last=False)

    def end(self, key: SlotKey) -> None:
        """Remember that a request is over.

        :param key: identifies the request.
        """
        self.denied.pop(key, None)
        self.ended[key] = None
        if len(self.ended) > MAX_REMEMBERED:
            self.ended.popitem(last=False)

    def forget_vm(self, vm: VmName) -> None:
        """Forget the requests of a VM; its next start may use their numbers again.

        :param vm: the VM.
        """
        for key in [key for key in self.ended if key.vm == vm]:
            del self.ended[key]
        for key in [key for key in self.denied if key.vm == vm]:
            del self.denied[key]
