# Licensed under the Apache License 2.0: see LICENSE for details.

"""How long work takes, how much of it is asked for, and what endpoints bear.

Answers the loads in which routes differ a hundredfold in their work, and endpoints in
their speed from one moment to the next.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from walnutquay.state.process.ids import EndpointName, RouteName
from walnutquay.state.routed.slottypes import EndpointLoad, SlotKey

# A pace changes many times a second: after this time it says nothing any more.
PACE_SECONDS = 0.6
# A pace outside of these bounds is more likely wrong than true; callers would pay for
# it with an endpoint that is left idle or flooded.
MIN_PACE, MAX_PACE = 0.25, 4.0
# The weight of an answer in what its route's work takes: a shift of the mix is followed
# within some ten answers.
WORK_WEIGHT = 0.1
MIN_WORK_SECONDS, MAX_WORK_SECONDS = 0.001, 600.0
# The work that is assumed of a route without answers, relative to its callers' aim.
UNKNOWN_WORK_SHARE = 1.0 / 3.0
UNKNOWN_WORK_SECONDS = (0.01, 1.0)
# More routes than this are not kept apart: memory stays bounded.
MAX_ROUTES = 1000
# Demand is measured over about this time; a burst is followed within seconds.
RATE_SECONDS = 1.5
# A rate is calculated over this time at least: less holds too few requests.
MIN_RATE_SECONDS = 0.1
# One request beyond the slots waits at an endpoint, so that a slot is not idle while
# messages pass; more would wait where nobody can order them.
EXTRA_REQUESTS = 1
# Of short work as many wait there as end in this time, in which an end is told and the
# next request arrives: a slot would be idle for as long as its work takes otherwise.
MESSAGES_SECONDS = 0.01
# It waits there no longer than this: behind long work, a moment of an idle slot is
# less than what an urgent request would lose there.
EXTRA_WAIT_SECONDS = 0.05
# Nothing is sent to an endpoint for this time after it had no room.
REJECTED_SECONDS = 0.1
# What an endpoint told counts for at least this time, and for as long as work takes.
TOLD_SECONDS = 0.6


def clip(value: float, low: float, high: float) -> float:
    """Return a value within bounds.

    :param value: any number.
    :param low: the lower bound.
    :param high: the upper bound.
    """
    return min(high, max(low, value))


class DecayingRate:
    """A rate over the last moments, from single amounts."""

    __slots__ = ("began_at", "changed_at", "total")

    def __init__(self) -> None:
        self.total = 0.0
        self.changed_at = 0.0
        self.began_at: float | None = None

    def add(self, amount: float, now: float) -> None:
        """Add an amount.

        :param amount: how much.
        :param now: monotonic seconds.
        """
        if self.began_at is None:
            self.began_at = self.changed_at = now
        self.total = self._faded(now) + amount
        self.changed_at = max(now, self.changed_at)

    def per_second(self, now: float) -> float:
        """Return the amount a second.

        :param now: monotonic seconds.
        """
        if self.began_at is None:
            return 0.0
        # A rate that began lately has been counted for a part of the time only.
        age = max(now - self.began_at, MIN_RATE_SECONDS)
        covered = 1.0 - math.exp(-age / RATE_SECONDS)
        return self._faded(now) / (RATE_SECONDS * covered)

    def _faded(self, now: float) -> float:
        """Return what remains of the amounts."""
        return self.total * math.exp(-max(0.0, now - self.changed_at) / RATE_SECONDS)


class WorkTimes:
    """How long the work of each route takes at the usual pace."""

    def __init__(self) -> None:
        self.seconds: dict[RouteName, float] = {}
        # The mean over all routes, for those not kept apart; None without answers.
        self.mean: float | None = None

    def learn(self, route: RouteName, seconds: float, pace: float) -> None:
        """Learn from an answer.

        :param route: the route of the request.
        :param seconds: how long it was at its endpoint; ignored unless positive.
        :param pace: the pace of the endpoint meanwhile.
        """
        if not seconds > 0.0:
            return
        usual = clip(seconds / pace, MIN_WORK_SECONDS, MAX_WORK_SECONDS)
        self.mean = _mixed(self.mean, usual)
        if route in self.seconds or len(self.seconds) < MAX_ROUTES:
            self.seconds[route] = _mixed(self.seconds.get(route), usual)

    def usual(self, route: RouteName, aim: float) -> float:
        """Return how long the work of a route takes; seconds.

        :param route: the route.
        :param aim: the seconds in which callers want the answer; used while the route
            has had no answer, since callers want what can be had in the calm, and
            what other routes take tells little of it.
        """
        known = self.seconds.get(route)
        if known is None and len(self.seconds) >= MAX_ROUTES:
            # It is never kept apart.
            known = self.mean
        if known is not None:
            return known
        return clip(aim * UNKNOWN_WORK_SHARE, *UNKNOWN_WORK_SECONDS)


def _mixed(before: float | None, new: float) -> float:
    """Return the mean of earlier figures, with one more."""
    return new if before is None else before + WORK_WEIGHT * (new - before)


def _sensible(pace: float) -> float:
    """Return a told pace within bounds; 1 in place of one that no work can have."""
    return clip(pace, MIN_PACE, MAX_PACE) if pace > 0.0 else 1.0


@dataclass(slots=True)
class EndpointRoom:
    """The room at one endpoint.

    :param name: the endpoint.
    :param slots: the requests that it runs concurrently.
    :param granted: the work of the requests that were granted it and have not ended;
        seconds.
    :param end_rate: how many of them end in a second at the usual pace.
    :param queued: those that wait for a slot there, the oldest first.
    :param began: when those that had waited there began; monotonic seconds.
    :param load: what it told last.
    :param told: the requests that it has by what it told, and was granted since.
    :param told_pace: the pace that it told, within bounds.
    :param rejected_until: until when it gets nothing; monotonic seconds.
    """

    name: EndpointName
    slots: int
    granted: dict[SlotKey, float] = field(default_factory=dict)
    end_rate: float = 0.0
    queued: list[SlotKey] = field(default_factory=list)
    began: dict[SlotKey, float] = field(default_factory=dict)
    load: EndpointLoad | None = None
    told: int = 0
    told_pace: float = 1.0
    rejected_until: float = float("-inf")

    def on_load(self, load: EndpointLoad) -> None:
        """Apply a report, unless a newer one came before.

        :param load: the report.
        """
        if self.load is not None and load.reported_at < self.load.reported_at:
            return
        self.load = load
        self.told = max(0, load.running) + max(0, load.waiting)
        self.told_pace = _sensible(load.pace)

    def grant(self, key: SlotKey, work: float) -> None:
        """Count a request.

        :param key: identifies it.
        :param work: how long it takes at the usual pace; seconds.
        """
        if key not in self.granted:
            if len(self.granted) >= self.slots:
                self.queued.append(key)
            self.granted[key] = work
            self.end_rate += 1.0 / max(work, MIN_WORK_SECONDS)
            self.told += 1

    def end(self, key: SlotKey, now: float | None = None) -> None:
        """Count a request no longer.

        :param key: identifies it.
        :param now: when it ended; monotonic seconds, None if unknown.
        """
        work = self.granted.pop(key, None)
        self.began.pop(key, None)
        if work is not None:
            if key in self.queued:
                self.queued.remove(key)
            elif self.queued:
                first = self.queued.pop(0)
                if now is not None:
                    self.began[first] = now
            left = self.end_rate - 1.0 / max(work, MIN_WORK_SECONDS)
            self.end_rate = max(0.0, left) if self.granted else 0.0
            self.told = max(0, self.told - 1)

    def seconds_run(self, key: SlotKey, seconds: float, now: float) -> float:
        """Return how long a request ran, without its wait for a slot there.

        :param key: identifies it.
        :param seconds: how long it was there.
        :param now: when it ended; monotonic seconds.
        """
        began = self.began.get(key)
        return seconds if began is None else min(seconds, now - began)

    def pace(self, now: float) -> float:
        """Return how long work takes, relative to its usual time.

        Answers endpoints whose speed changes many times a second: a fresh figure is
        believed, an old one not.

        :param now: the time in question, also one ahead; monotonic seconds.
        """
        if self.load is None:
            return 1.0
        age = now - self.load.reported_at
        if age >= PACE_SECONDS:
            return 1.0
        belief = 1.0 - max(0.0, age) / PACE_SECONDS
        return 1.0 + belief * (self.told_pace - 1.0)

    def taken(self, now: float, work: float) -> int:
        """Return the requests that it has, by grants or by what it told.

        :param now: monotonic seconds.
        :param work: how long its work takes; seconds.
        """
        granted = len(self.granted)
        if self.load is None or self.told <= granted:
            return granted
        # Others that do not ask fill it too; what it told of them ends with their work.
        believed = max(TOLD_SECONDS, 2.0 * work)
        return self.told if now - self.load.reported_at < believed else granted

    def has_room(self, now: float, work: float) -> bool:
        """Return whether it may get one more request.

        :param now: monotonic seconds.
        :param work: how long its work takes; seconds.
        """
        if now < self.rejected_until:
            return False
        taken = self.taken(now, work)
        if taken < self.slots:
            return True
        end_rate = self.end_rate or self.slots / work
        is_short = EXTRA_WAIT_SECONDS * end_rate >= 1.0
        # Those that wait there do not end yet.
        running = self.slots / max(self.slots, len(self.granted))
        passing = int(MESSAGES_SECONDS * end_rate * running)
        extra = max(EXTRA_REQUESTS, min(self.slots, passing))
        return is_short and taken < self.slots + extra

    def seconds_to_finish(self, now: float, work: float) -> float:
        """Return how long one more request would take here.

        :param now: monotonic seconds.
        :param work: how long it takes at the usual pace; seconds.
        """
        # What is slow now may be as usual before the work is done.
        seconds = work * self.pace(now + work)
        before = self.taken(now, work) - self.slots + 1
        return seconds * (1.0 + max(0, before) / max(1, self.slots))
