# Licensed under the Apache License 2.0: see LICENSE for details.

"""Who gets the scarce slots of a service, and who is refused.

Answers lasting overload and bursts: requests go in the order of
:mod:`~walnutquay.state.routed.slotorder`, each to the endpoint that would finish it
soonest, and what cannot be served is refused as soon as that is known.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from itertools import count

from walnutquay.state.process.ids import EndpointName, ServiceName, VmName
from walnutquay.state.routed.slotdemand import SlotDemand, Turn
from walnutquay.state.routed.slotforecast import WorkTimes
from walnutquay.state.routed.slotorder import SlotOrder, Waiting
from walnutquay.state.routed.slotreturns import Pool, SlotReturns
from walnutquay.state.routed.slotrooms import SlotRooms
from walnutquay.state.routed.slotsummary import summarize
from walnutquay.state.routed.slottypes import (
    DenialReason,
    Denied,
    EndpointLoad,
    Granted,
    SlotDecision,
    SlotKey,
    SlotSummary,
    WaitingRequest,
)

# Nobody waits longer than this, nor longer than work takes many times: a deadline that
# is further away is not one that anybody waits for.
MAX_WAIT_SECONDS = 2.0
MAX_WAIT_WORKS = 20.0
# A slot ends by itself after this time, or after its work taken many times: a message
# that was lost must not keep it for the whole of a far deadline.
MAX_GRANT_SECONDS = 60.0
# What waits is compared with the room this often: a slower endpoint is known of within
# a small part of an aim.
REVIEW_SECONDS = 0.1
# A longer queue is reviewed less often: this long for each request, so that reviews
# cost less than the decisions themselves.
REVIEW_REQUEST_SECONDS = 0.0005
# What is out of date is dropped this often.
COMPACT_SECONDS = 1.0
# VMs go on asking for this long after slots were last short, so that the load of a
# moment does not switch them to and fro.
SCARCE_SECONDS = 1.0
# Slots are short from this part in use on.
SCARCE_SHARE = 0.8
# What has become of so many requests is remembered, for questions that are repeated.
MAX_ENDED = 10_000


@dataclass(slots=True)
class Grant:
    """A slot that a request has.

    :param endpoint: where.
    :param at: since when; monotonic seconds.
    :param until: when it ends by itself; monotonic seconds.
    :param waiting: the request; None if it was sent without asking here.
    """

    endpoint: EndpointName
    at: float
    until: float
    waiting: Waiting | None


class SlotQueue:
    """The requests that wait for the slots of one service, and those that have one.

    :param service: the service.
    :param rng: spreads choices and times to return.
    """

    def __init__(self, service: ServiceName, rng: random.Random) -> None:
        self.service = service
        self.times = WorkTimes()
        self.rooms = SlotRooms(self.times, rng)
        self.order = SlotOrder()
        self.demand = SlotDemand(self.order, self.rooms)
        self.returns = SlotReturns(rng)
        self.waiting: dict[SlotKey, Waiting] = {}
        self.grants: dict[SlotKey, Grant] = {}
        # Denials, which may be asked for again; the oldest go first.
        self.denied: OrderedDict[SlotKey, Denied] = OrderedDict()
        # Requests that are over; a question that comes late must not revive one.
        self.ended: OrderedDict[SlotKey, None] = OrderedDict()
        self.pending: list[SlotDecision] = []
        # When requests are too late, and when grants end; monotonic seconds.
        self.ends: list[tuple[float, int, SlotKey]] = []
        self.numbers = count()
        self.denials: Counter[DenialReason] = Counter()
        self.review_at = float("-inf")
        self.compact_at = float("-inf")
        self.scarce_until = float("-inf")

    def set_endpoints(self, slots: Mapping[EndpointName, int]) -> None:
        """Replace the endpoints that may be used at all; others are forgotten.

        :param slots: the slots of each.
        """
        self.rooms.set_endpoints(slots)
        self.demand.capacity_at = None

    def allow(self, names: Collection[EndpointName]) -> None:
        """Replace the endpoints that may be sent to now; all, before the first call.

        :param names: the endpoints.
        """
        self.rooms.allowed = frozenset(names)
        self.demand.capacity_at = None

    def on_load(self, load: EndpointLoad) -> None:
        """Apply an endpoint's report, unless a newer one came before.

        :param load: the report.
        """
        self.rooms.on_load(load)
        if load.waiting > 0:
            self._note_scarce(load.reported_at)

    def on_rejected(self, name: EndpointName, now: float) -> None:
        """Record that an endpoint had no room.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        self.rooms.on_rejected(name, now)
        self._note_scarce(now)

    def ask(self, request: WaitingRequest, now: float) -> None:
        """Ask for a slot; asking again changes nothing.

        :param request: the request.
        :param now: monotonic seconds.
        """
        key = request.key
        if self.knows(key) or key in self.ended:
            return
        waiting = self._new_waiting(request, now)
        turn = self.demand.turn(waiting, now)
        if not self._is_admitted(waiting, turn, now):
            self._deny(waiting, self._reason(waiting, now), turn, now)
            return
        self.waiting[key] = waiting
        self.order.admit(waiting, now)
        self._end_at(key, max(waiting.deadline - waiting.work, now))

    def state_of(self, key: SlotKey) -> SlotDecision | None:
        """Return what was decided of a request; None if it waits or is unknown.

        :param key: identifies the request.
        """
        grant = self.grants.get(key)
        if grant is not None:
            return Granted(key, grant.endpoint)
        return self.denied.get(key)

    def knows(self, key: SlotKey) -> bool:
        """Return whether a request waits, has a slot or was denied.

        :param key: identifies the request.
        """
        return key in self.waiting or key in self.grants or key in self.denied

    def release(self, key: SlotKey, seconds: float, now: float) -> None:
        """End a request, or withdraw it.

        :param key: identifies the request.
        :param seconds: how long it was at its endpoint; 0 without an answer.
        :param now: monotonic seconds.
        """
        self._remember_ended(key)
        self.denied.pop(key, None)
        self._withdraw(key)
        grant = self._end_grant(key)
        if grant is None or grant.waiting is None or not seconds > 0.0:
            return
        pace = self.rooms.pace(grant.endpoint, now)
        self.times.learn(grant.waiting.request.route, seconds, pace)
        self.order.correct(grant.waiting, seconds / pace)

    def forget_vm(self, vm: VmName) -> None:
        """Forget the requests of a VM that is gone.

        :param vm: the VM.
        """
        for key in [key for key in self.waiting if key.vm == vm]:
            self._withdraw(key)
        for key in [key for key in self.grants if key.vm == vm]:
            self._end_grant(key)
        for key in [key for key in self.denied if key.vm == vm]:
            del self.denied[key]

    def adopt(self, key: SlotKey, endpoint: EndpointName, until: float) -> None:
        """Count a request that was sent without a grant from here.

        :param key: identifies the request.
        :param endpoint: where it is.
        :param until: when it ends at the latest; monotonic seconds.
        """
        if key in self.ended:
            return
        grant = self.grants.get(key)
        if grant is not None and grant.endpoint == endpoint:
            return
        self._withdraw(key)
        self._end_grant(key)
        self.denied.pop(key, None)
        self._add_grant(key, Grant(endpoint, float("-inf"), until, None))

    def decide(self, now: float) -> list[SlotDecision]:
        """Return the grants and denials that are due, each once, in order.

        :param now: monotonic seconds.
        """
        self._end_grants(now)
        self._grant_all(now)
        self._deny_ended(now)
        if now >= self.review_at:
            self._review(now)
        if self.waiting or self.rooms.used_share(now) >= SCARCE_SHARE:
            self._note_scarce(now)
        decided, self.pending = self.pending, []
        return decided

    def next_at(self, now: float) -> float | None:
        """Return when :meth:`decide` is due though nothing arrives.

        :param now: monotonic seconds.
        :returns: monotonic seconds; None if nothing is due.
        """
        if self.pending:
            return now
        while self.ends and not self._is_current(self.ends[0]):
            heapq.heappop(self.ends)
        times = [self.ends[0][0]] if self.ends else []
        if self.waiting:
            times.append(self.review_at)
            room_at = self.rooms.next_room_at(now)
            if room_at is not None:
                times.append(room_at)
        return max(now, min(times)) if times else None

    def is_scarce(self, now: float) -> bool:
        """Return whether VMs must ask before they send.

        :param now: monotonic seconds.
        """
        return bool(self.waiting) or now < self.scarce_until

    def summary(self, now: float) -> SlotSummary:
        """Return who waits and what is granted, for operators.

        :param now: monotonic seconds.
        """
        granted_at = {key: (one.endpoint, one.at) for key, one in self.grants.items()}
        requests = [waiting.request for waiting in self.waiting.values()]
        rooms = self.rooms.rooms.values()
        counts = self.order.grants, self.denials
        return summarize(requests, granted_at.values(), rooms, counts, now)

    def _new_waiting(self, request: WaitingRequest, now: float) -> Waiting:
        """Return a request as it would wait, within sensible times."""
        aim = request.in_time_until - request.asked_at
        work = self.times.usual(request.route, aim)
        longest = max(MAX_WAIT_SECONDS, MAX_WAIT_WORKS * work)
        deadline = min(request.deadline, now + longest)
        if deadline <= now:
            # A deadline that is over as its caller asks tells nothing.
            deadline = now + MAX_WAIT_SECONDS
        self.demand.add(request.organisation, request.weight, work, now)
        return Waiting(
            request,
            self.demand.rank(request.priority, request.organisation, now),
            work,
            self.returns.came_as_told(request.work, now),
            min(request.in_time_until, deadline),
            deadline,
            late=now + work > min(request.in_time_until, deadline),
        )

    def _is_admitted(self, waiting: Waiting, turn: Turn, now: float) -> bool:
        """Return whether a request is forecast to be served, so that it may wait."""
        tried = waiting.request.tried
        if not self.rooms.suits(tried):
            return False
        if not self.waiting and self.rooms.has_free_slot(tried, now):
            return True
        trusted = self.demand.trusted_share
        to_deadline = trusted * (waiting.deadline - waiting.work - now)
        if waiting.returned and turn.returned_seconds <= to_deadline:
            return True
        to_aim = trusted * (waiting.in_time_until - waiting.work - now)
        if turn.seconds <= to_aim:
            return True
        return turn.late_seconds is not None and turn.late_seconds <= to_deadline

    def _reason(self, waiting: Waiting, now: float) -> DenialReason:
        """Return why a request is refused as it arrives."""
        name = waiting.request.organisation
        if self.demand.is_over_share(name, now):
            return DenialReason.OVER_SHARE
        return DenialReason.NO_ROOM

    def _deny(
        self, waiting: Waiting, reason: DenialReason, turn: Turn, now: float
    ) -> None:
        """Refuse a request, with a time to return if there is one."""
        request = waiting.request
        organisation = (waiting.rank, request.organisation)
        pools = [
            Pool("service", self.demand.capacity(now)),
            Pool(waiting.rank, turn.rate),
            Pool(organisation, turn.organisation_rate),
        ]
        retry_after = None
        if self.rooms.suits(()):
            left = waiting.deadline - now
            room_in = turn.returned_seconds
            retry_after = self.returns.promise(
                request.work, waiting.work, pools, room_in, left, now
            )
        denied = Denied(request.key, reason, retry_after)
        self.denials[reason] += 1
        self.denied[request.key] = denied
        if len(self.denied) > MAX_ENDED:
            self.denied.popitem(last=False)
        self.pending.append(denied)
        self._note_scarce(now)

    def _grant_all(self, now: float) -> None:
        """Grant all slots that are free, in the order of what waits."""
        aside = []
        while self.waiting and self.rooms.has_room(now):
            waiting = self.order.next(now)
            if waiting is None:
                break
            room = self.rooms.choose(waiting.request.tried, waiting.work, now)
            if room is None:
                self.order.remove(waiting)
                aside.append(waiting)
                continue
            self._grant(waiting, room.name, now)
        for waiting in aside:
            self.waiting[waiting.request.key] = self.order.restore(waiting)

    def _grant(self, waiting: Waiting, endpoint: EndpointName, now: float) -> None:
        """Grant a request a slot."""
        key = waiting.request.key
        self.order.grant(waiting)
        del self.waiting[key]
        self.returns.forget(waiting.request.work)
        longest = max(MAX_GRANT_SECONDS, MAX_WAIT_WORKS * waiting.work)
        until = max(now, waiting.request.deadline)
        if until <= now:
            until = now + longest
        grant = Grant(endpoint, now, min(until, now + longest), waiting)
        self._add_grant(key, grant)
        self.pending.append(Granted(key, endpoint))

    def _add_grant(self, key: SlotKey, grant: Grant) -> None:
        """Count a slot that is in use."""
        self.grants[key] = grant
        room = self.rooms.rooms.get(grant.endpoint)
        if room is not None:
            room.grant(key)
        self._end_at(key, grant.until)

    def _end_grant(self, key: SlotKey) -> Grant | None:
        """Count a slot that is free again."""
        grant = self.grants.pop(key, None)
        if grant is not None:
            self.rooms.end(grant.endpoint, key)
        return grant

    def _withdraw(self, key: SlotKey) -> None:
        """Remove a request that waits."""
        waiting = self.waiting.pop(key, None)
        if waiting is not None:
            self.order.remove(waiting)

    def _end_at(self, key: SlotKey, at: float) -> None:
        """Have a request looked at when its time is over."""
        heapq.heappush(self.ends, (at, next(self.numbers), key))

    def _is_current(self, end: tuple[float, int, SlotKey]) -> bool:
        """Return whether a time still concerns a request."""
        at, _, key = end
        grant = self.grants.get(key)
        if grant is not None:
            return grant.until <= at
        return key in self.waiting

    def _end_grants(self, now: float) -> None:
        """End the slots whose time is over."""
        kept = []
        while self.ends and self.ends[0][0] <= now:
            end = heapq.heappop(self.ends)
            if end[2] in self.waiting:
                kept.append(end)
            elif self._is_current(end):
                self._end_grant(end[2])
                self._remember_ended(end[2])
        for end in kept:
            heapq.heappush(self.ends, end)

    def _deny_ended(self, now: float) -> None:
        """Refuse what could no longer be answered before its deadline."""
        while self.ends and self.ends[0][0] <= now:
            waiting = self.waiting.get(heapq.heappop(self.ends)[2])
            if waiting is not None:
                self._deny_waiting(waiting, now)

    def _deny_waiting(self, waiting: Waiting, now: float) -> None:
        """Refuse a request that has waited."""
        turn = self.demand.turn(waiting, now)
        self._withdraw(waiting.request.key)
        self._deny(waiting, DenialReason.TOO_LATE, turn, now)

    def _review(self, now: float) -> None:
        """Refuse what waits and is forecast to be too late by now."""
        interval = REVIEW_REQUEST_SECONDS * len(self.waiting)
        self.review_at = now + max(REVIEW_SECONDS, interval)
        for waiting in self.demand.too_late(now):
            self._deny_waiting(waiting, now)
        if now < self.compact_at:
            return
        self.compact_at = now + COMPACT_SECONDS
        self.order.compact(now)
        self.demand.remove_idle(now)
        self.returns.remove_ended(now)

    def _remember_ended(self, key: SlotKey) -> None:
        """Remember that a request is over."""
        self.ended[key] = None
        if len(self.ended) > MAX_ENDED:
            self.ended.popitem(last=False)

    def _note_scarce(self, now: float) -> None:
        """Have VMs ask for a while."""
        self.scarce_until = max(self.scarce_until, now + SCARCE_SECONDS)
