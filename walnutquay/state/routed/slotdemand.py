# Licensed under the Apache License 2.0: see LICENSE for details.

"""When a request's turn is forecast to come, and what its organisation may expect.

Answers lasting overload: what cannot be served is known as it arrives.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from walnutquay.state.process.ids import OrganisationName
from walnutquay.state.routed.slotforecast import DecayingRate, clip
from walnutquay.state.routed.slotorder import (
    MAX_RANK,
    MAX_WEIGHT,
    MIN_WEIGHT,
    RESERVE_INTERVAL,
    SlotOrder,
    Waiting,
)
from walnutquay.state.routed.slotrooms import SlotRooms

# A request waits only if its turn is forecast within this part of the time that it
# has: work varies, and nothing is to be held and then not served.
TRUSTED_SHARE = 0.8
# The same while no answer has told how long work takes.
UNKNOWN_TRUSTED_SHARE = 0.4
# Late work is held only where at least this part of the room is left by all that can
# be in time.
LATE_ROOM_SHARE = 0.1
# Room counts as short from this part of it asked for: what is asked varies, and an
# organisation must not lose its share whenever the others pause.
SHORT_SHARE = 0.8
# An organisation that asked for less than this a second is not active.
IDLE_RATE = 1e-3
# The room changes with each report, and each forecast needs it; it is calculated this
# often at most.
CAPACITY_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class Turn:
    """When a request's turn is forecast to come.

    :param seconds: until its turn.
    :param returned_seconds: until its turn, if its caller returned as told.
    :param late_seconds: until its turn behind all that can be in time; None where
        there is no room for late work.
    :param rate: the work that its rank gets done in a second.
    :param organisation_rate: the work that its organisation gets done of that.
    """

    seconds: float
    returned_seconds: float
    late_seconds: float | None
    rate: float
    organisation_rate: float


@dataclass(slots=True)
class Demand:
    """What one organisation asks for.

    :param weight: its share, relative to others.
    :param asked: the work that it asked for lately.
    """

    weight: float
    asked: DecayingRate


class SlotDemand:
    """Demand and room of one service.

    :param order: what waits.
    :param rooms: the endpoints.
    """

    def __init__(self, order: SlotOrder, rooms: SlotRooms) -> None:
        self.order = order
        self.rooms = rooms
        self.demands: dict[OrganisationName, Demand] = {}
        self.asked = DecayingRate()
        self.weights = 0.0
        self.known_capacity = 0.0
        self.capacity_at: float | None = None

    def capacity(self, now: float) -> float:
        """Return the work that endpoints do in a second, as of a moment ago.

        :param now: monotonic seconds.
        """
        if self.capacity_at is None or now - self.capacity_at >= CAPACITY_SECONDS:
            self.known_capacity = self.rooms.capacity(now)
            self.capacity_at = now
        return self.known_capacity

    def add(
        self, name: OrganisationName, weight: float, work: float, now: float
    ) -> None:
        """Count a request that arrives.

        :param name: its organisation.
        :param weight: the organisation's share.
        :param work: how long it takes; seconds.
        :param now: monotonic seconds.
        """
        weight = clip(weight, MIN_WEIGHT, MAX_WEIGHT)
        demand = self.demands.get(name)
        if demand is None:
            demand = self.demands[name] = Demand(0.0, DecayingRate())
        self.weights += weight - demand.weight
        demand.weight = weight
        demand.asked.add(work, now)
        self.asked.add(work, now)

    def remove_idle(self, now: float) -> None:
        """Remove organisations that ask for nothing.

        :param now: monotonic seconds.
        """
        for name, demand in list(self.demands.items()):
            if demand.asked.per_second(now) < IDLE_RATE:
                del self.demands[name]
        self.weights = sum(demand.weight for demand in self.demands.values())

    def is_over_share(self, name: OrganisationName, now: float) -> bool:
        """Return whether an organisation asks for more than its share.

        :param name: the organisation.
        :param now: monotonic seconds.
        """
        demand = self.demands.get(name)
        if demand is None or len(self.demands) < 2:
            return False
        return demand.asked.per_second(now) > self.share(name) * self.capacity(now)

    def share(self, name: OrganisationName) -> float:
        """Return the part of the room that is an organisation's by its weight.

        :param name: the organisation.
        """
        demand = self.demands.get(name)
        return (
            0.0 if demand is None else demand.weight / max(self.weights, demand.weight)
        )

    def rank(self, priority: int, name: OrganisationName, now: float) -> int:
        """Return the rank in which a request waits.

        Answers one organisation that asks for many times its usual.  What others ask
        within their shares goes with the most urgent then, or the urgent work of one
        would leave the others nothing.

        :param priority: the request's priority.
        :param name: its organisation.
        :param now: monotonic seconds.
        """
        priority = min(MAX_RANK, max(0, priority))
        is_short = self.asked.per_second(now) > SHORT_SHARE * self.capacity(now)
        if priority and is_short and len(self.demands) > 1:
            return priority if self.is_over_share(name, now) else 0
        return priority

    @property
    def trusted_share(self) -> float:
        """The part of the time that a request has in which its turn must come."""
        known = self.rooms.times.mean is not None
        return TRUSTED_SHARE if known else UNKNOWN_TRUSTED_SHARE

    def residual(self, now: float) -> float:
        """Return the seconds until a slot is free for what goes first.

        :param now: monotonic seconds.
        """
        ahead = self.rooms.requests_ahead(now)
        return ahead * self.rooms.work / max(self.capacity(now), 1e-3)

    def rank_rate(self, number: int, now: float) -> float:
        """Return the work that requests of a rank get done in a second.

        :param number: the rank.
        :param now: monotonic seconds.
        """
        capacity = self.capacity(now)
        reserve = capacity / RESERVE_INTERVAL
        urgent = sum(
            self.order.ranks[other].admitted.per_second(now)
            for other in self.order.sorted_ranks
            if other < number
        )
        return max(capacity - reserve - urgent, reserve, 1e-3)

    def ahead(self, waiting: Waiting) -> float:
        """Return the work that goes before a new request in its rank.

        :param waiting: the request.
        """
        rank = self.order.rank(waiting.rank)
        name = waiting.request.organisation
        own = self.order.queue(waiting.rank, name)
        turn = max(own.tag, rank.virtual_time) + own.work / own.weight
        work = own.work
        for other in rank.queues.values():
            if other is not own and other.tag < turn and other.work > 0.0:
                work += min(other.work, (turn - other.tag) * other.weight)
        return work

    def turn(self, waiting: Waiting, now: float) -> Turn:
        """Forecast a request's turn.

        :param waiting: a request that has not been added.
        :param now: monotonic seconds.
        """
        rank = self.order.rank(waiting.rank)
        urgent = sum(
            self.order.ranks[other].work + self.order.ranks[other].late_work
            for other in self.order.sorted_ranks
            if other < waiting.rank
        )
        rate = self.rank_rate(waiting.rank, now)
        residual = self.residual(now)
        # What free slots will run is not in the way.
        free = 0.0 if residual else self.rooms.free_slots((), now) * self.rooms.work
        first = residual + max(0.0, urgent - free) / rate
        free_left = max(0.0, free - urgent)
        admitted = rank.admitted.per_second(now)
        left = rate - admitted
        late = None
        if left > LATE_ROOM_SHARE * self.capacity(now):
            late = first + (rank.work + rank.late_work) / left
        queue = self.order.queue(waiting.rank, waiting.request.organisation)
        others = admitted - queue.admitted.per_second(now)
        weight = clip(waiting.request.weight, MIN_WEIGHT, MAX_WEIGHT)
        share = rate * weight / max(self.weights, weight)
        return Turn(
            seconds=first + max(0.0, self.ahead(waiting) - free_left) / rate,
            returned_seconds=min(first, residual + self._reserve_seconds(now)),
            late_seconds=late,
            rate=rate,
            organisation_rate=max(share, rate - others),
        )

    def too_late(self, now: float) -> list[Waiting]:
        """Return what waits though its turn comes too late, unless it was promised one.

        Answers endpoints that turn slow: what they bear no more is refused now, and
        not as its time ends.

        :param now: monotonic seconds.
        """
        residual = self.residual(now)
        reserve = max(self.capacity(now) / RESERVE_INTERVAL, 1e-3)
        before = less_urgent = 0.0
        found = []
        for index, (number, requests) in enumerate(self.order.in_order(now)):
            rate = self.rank_rate(number, now)
            for waiting in requests:
                seconds = residual + min(before / rate, less_urgent / reserve)
                is_late = now + seconds + waiting.work > waiting.deadline
                if is_late and not waiting.returned:
                    found.append(waiting)
                    continue
                before += waiting.work
                less_urgent += waiting.work if index else math.inf
            if not index:
                less_urgent = 0.0
        return found

    def _reserve_seconds(self, now: float) -> float:
        """Return the seconds until the reserve comes to a caller who returned."""
        grants = RESERVE_INTERVAL * (1 + self.order.returned_count)
        return grants * self.rooms.work / max(self.capacity(now), 1e-3)
