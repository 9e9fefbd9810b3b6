# Licensed under the Apache License 2.0: see LICENSE for details.

"""Who gets the scarce slots of a service, and who is refused.

Answers lasting overload and bursts: requests go in the order of
:mod:`~walnutquay.state.routed.slotorder`, each to the endpoint that would finish it
soonest, and what cannot be served is refused as soon as that is known.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Collection, Mapping
from itertools import count

from walnutquay.state.process.ids import EndpointName, ServiceName, VmName
from walnutquay.state.routed.slotdemand import SlotDemand, Turn
from walnutquay.state.routed.slotforecast import WorkTimes
from walnutquay.state.routed.slotgrants import (
    Grant,
    SlotGrants,
    SlotHistory,
    new_grant,
)
from walnutquay.state.routed.slotorder import SlotOrder, Waiting
from walnutquay.state.routed.slotreturns import Pool, SlotReturns
from walnutquay.state.routed.slotrooms import SlotRooms
from walnutquay.state.routed.slotshares import SlotShares
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
        self.slots = SlotGrants(self.rooms)
        self.shares = SlotShares(self.demand, self.slots)
        self.history = SlotHistory()
        self.pending: list[SlotDecision] = []
        # When it is too late for what waits; monotonic seconds.
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
        self.slots.count_again()
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
        if self.knows(key) or key in self.history.ended:
            return
        waiting = self._new_waiting(request, now)
        turn = self.demand.turn(waiting, now)
        if not self._is_admitted(waiting, turn, now):
            self._deny(waiting, self._reason(waiting, now), turn, now)
            return
        self.waiting[key] = waiting
        self.order.admit(waiting, now)
        end = max(waiting.deadline - waiting.work, now)
        heapq.heappush(self.ends, (end, next(self.numbers), key))

    def state_of(self, key: SlotKey) -> SlotDecision | None:
        """Return what was decided of a request; None if it waits or is unknown.

        :param key: identifies the request.
        """
        grant = self.slots.grants.get(key)
        if grant is not None:
            return Granted(key, grant.endpoint)
        return self.history.denied.get(key)

    def knows(self, key: SlotKey) -> bool:
        """Return whether a request waits, has a slot or was denied.

        :param key: identifies the request.
        """
        decided = key in self.slots.grants or key in self.history.denied
        return decided or key in self.waiting

    def release(self, key: SlotKey, seconds: float, now: float) -> None:
        """End a request, or withdraw it.

        :param key: identifies the request.
        :param seconds: how long it was at its endpoint; 0 without an answer.
        :param now: monotonic seconds.
        """
        self.history.end(key)
        self._withdraw(key)
        grant = self.slots.grants.get(key)
        if grant is not None and grant.waiting is not None and seconds > 0.0:
            self._learn(grant, grant.waiting, seconds, now)
        self.slots.end(key, now)

    def forget_vm(self, vm: VmName) -> None:
        """Forget the requests of a VM that is gone.

        :param vm: the VM.
        """
        for key in [key for key in self.waiting if key.vm == vm]:
            self._withdraw(key)
        self.slots.forget_vm(vm)
        self.history.forget_vm(vm)

    def adopt(self, key: SlotKey, endpoint: EndpointName, until: float) -> None:
        """Count a request that was sent without a grant from here.

        :param key: identifies the request.
        :param endpoint: where it is.
        :param until: when it ends at the latest; monotonic seconds.
        """
        if key in self.history.ended:
            return
        grant = self.slots.grants.get(key)
        if grant is not None and grant.endpoint == endpoint:
            return
        self._withdraw(key)
        self.slots.end(key)
        self.history.denied.pop(key, None)
        self.slots.add(key, Grant(endpoint, float("-inf"), until, None))

    def decide(self, now: float) -> list[SlotDecision]:
        """Return the grants and denials that are due, each once, in order.

        :param now: monotonic seconds.
        """
        for key in self.slots.end_due(now):
            self.history.end(key)
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
        while self.ends and self.ends[0][2] not in self.waiting:
            heapq.heappop(self.ends)
        times = [self.slots.next_end()]
        if self.waiting:
            times += [self.ends[0][0], self.review_at, self.rooms.next_room_at(now)]
        due = [time for time in times if time is not None]
        return max(now, min(due)) if due else None

    def is_scarce(self, now: float) -> bool:
        """Return whether VMs must ask before they send.

        :param now: monotonic seconds.
        """
        return bool(self.waiting) or now < self.scarce_until

    def summary(self, now: float) -> SlotSummary:
        """Return who waits and what is granted, for operators.

        :param now: monotonic seconds.
        """
        granted = [(one.endpoint, one.at) for one in self.slots.grants.values()]
        requests = [waiting.request for waiting in self.waiting.values()]
        rooms = self.rooms.rooms.values()
        counts = self.order.grants, self.denials
        return summarize(requests, granted, rooms, counts, now)

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
        waiting = Waiting(
            request,
            self.demand.rank(request.priority, request.organisation, now),
            work,
            self.returns.came_as_told(request.work, now),
            min(request.in_time_until, deadline),
            deadline,
            late=now + work > min(request.in_time_until, deadline),
        )
        self.shares.add(waiting, now)
        return waiting

    def _is_admitted(self, waiting: Waiting, turn: Turn, now: float) -> bool:
        """Return whether a request is forecast to be served, so that it may wait."""
        tried = waiting.request.tried
        if not self.rooms.suits(tried):
            return False
        if len(self.waiting) < self.rooms.free_slots(tried, now):
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
            retry_after = self.returns.promise(
                request.work,
                waiting.work,
                pools,
                turn.returned_seconds,
                waiting.in_time_until - waiting.work - now,
                waiting.deadline - now,
                now,
            )
        denied = Denied(request.key, reason, retry_after)
        self.denials[reason] += 1
        self.history.deny(denied)
        self.pending.append(denied)
        self._note_scarce(now)

    def _grant_all(self, now: float) -> None:
        """Grant all slots that are free, in the order of what waits."""
        aside = []
        while self.waiting and self.rooms.has_room(now):
            waiting = self.order.next(now, self.shares.may_hold)
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
        self.slots.add(key, new_grant(waiting, endpoint, now))
        self.pending.append(Granted(key, endpoint))

    def _learn(
        self, grant: Grant, waiting: Waiting, seconds: float, now: float
    ) -> None:
        """Learn how long work takes, and charge it to its organisation."""
        key, name = waiting.request.key, grant.endpoint
        run = self.rooms.seconds_run(name, key, seconds, now)
        pace = self.rooms.pace(name, now)
        self.times.learn(waiting.request.route, run, pace)
        self.order.correct(waiting, run / pace)

    def _withdraw(self, key: SlotKey) -> None:
        """Remove a request that waits."""
        waiting = self.waiting.pop(key, None)
        if waiting is not None:
            self.order.remove(waiting)

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
        self.slots.compact()
        self.demand.remove_idle(now)
        self.shares.remove_idle()
        self.returns.remove_ended(now)

    def _note_scarce(self, now: float) -> None:
        """Have VMs ask for a while."""
        self.scarce_until = max(self.scarce_until, now + SCARCE_SECONDS)
