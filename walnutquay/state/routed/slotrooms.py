# Licensed under the Apache License 2.0: see LICENSE for details.

"""The room at all endpoints of a service, and which of them gets a request.

Answers endpoints whose speeds differ twofold from moment to moment, and reports that
are old as they come.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping

from walnutquay.state.process.ids import EndpointName
from walnutquay.state.routed.slotforecast import (
    REJECTED_SECONDS,
    EndpointRoom,
    WorkTimes,
)
from walnutquay.state.routed.slottypes import EndpointLoad, SlotKey

# The work that is assumed where none is known at all, to tell how old a report counts.
UNKNOWN_SECONDS = 0.1


class SlotRooms:
    """The endpoints of one service.

    :param times: how long work takes.
    :param rng: chooses among endpoints that are alike.
    """

    def __init__(self, times: WorkTimes, rng: random.Random) -> None:
        self.times = times
        self.rng = rng
        self.rooms: dict[EndpointName, EndpointRoom] = {}
        self.allowed: frozenset[EndpointName] | None = None

    @property
    def work(self) -> float:
        """How long work takes on average; seconds."""
        return self.times.mean if self.times.mean is not None else UNKNOWN_SECONDS

    @property
    def slots(self) -> int:
        """The slots of all endpoints that may be sent to now."""
        return sum(room.slots for room in self.usable())

    def set_endpoints(self, slots: Mapping[EndpointName, int]) -> None:
        """Replace the endpoints; what is known of those that stay is kept.

        :param slots: the slots of each endpoint that may be used at all.
        """
        for name in self.rooms.keys() - slots.keys():
            del self.rooms[name]
        for name, number in slots.items():
            room = self.rooms.setdefault(name, EndpointRoom(name, number))
            room.slots = max(1, number)

    def usable(self) -> list[EndpointRoom]:
        """Return the endpoints that may be sent to now."""
        if self.allowed is None:
            return list(self.rooms.values())
        return [room for name, room in self.rooms.items() if name in self.allowed]

    def on_load(self, load: EndpointLoad) -> None:
        """Apply an endpoint's report.

        :param load: the report.
        """
        room = self.rooms.get(load.name)
        if room is not None:
            room.on_load(load)

    def on_rejected(self, name: EndpointName, now: float) -> None:
        """Send an endpoint nothing for a while.

        :param name: an endpoint that had no room.
        :param now: monotonic seconds.
        """
        room = self.rooms.get(name)
        if room is not None:
            room.rejected_until = now + REJECTED_SECONDS

    def end(self, name: EndpointName, key: SlotKey, now: float | None) -> None:
        """Count a request no longer.

        :param name: its endpoint.
        :param key: identifies the request.
        :param now: when it ended; monotonic seconds, None if unknown.
        """
        room = self.rooms.get(name)
        if room is not None:
            room.end(key, now)

    def seconds_run(
        self, name: EndpointName, key: SlotKey, seconds: float, now: float
    ) -> float:
        """Return how long a request ran, without its wait for a slot.

        :param name: its endpoint.
        :param key: identifies the request.
        :param seconds: how long it was there.
        :param now: when it ended; monotonic seconds.
        """
        room = self.rooms.get(name)
        return seconds if room is None else room.seconds_run(key, seconds, now)

    def pace(self, name: EndpointName, now: float) -> float:
        """Return how long work takes at an endpoint, relative to its usual time.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        room = self.rooms.get(name)
        return 1.0 if room is None else room.pace(now)

    def choose(
        self, tried: Collection[EndpointName], work: float, now: float
    ) -> EndpointRoom | None:
        """Return the endpoint that would finish a request soonest.

        :param tried: endpoints that must not get it.
        :param work: how long it takes at the usual pace; seconds.
        :param now: monotonic seconds.
        :returns: None while none has room.
        """
        best, best_rank = None, None
        for room in self.usable():
            if room.name in tried or not room.has_room(now, self.work):
                continue
            finish = room.seconds_to_finish(now, work)
            rank = (finish, room.taken(now, self.work) / room.slots, self.rng.random())
            if best_rank is None or rank < best_rank:
                best, best_rank = room, rank
        return best

    def has_room(self, now: float) -> bool:
        """Return whether any endpoint may get a request.

        :param now: monotonic seconds.
        """
        return any(room.has_room(now, self.work) for room in self.usable())

    def free_slots(self, tried: Collection[EndpointName], now: float) -> int:
        """Return how many requests would be run at once.

        :param tried: endpoints that must not get them.
        :param now: monotonic seconds.
        """
        work = self.work
        return sum(
            max(0, room.slots - room.taken(now, work))
            for room in self.usable()
            if now >= room.rejected_until and room.name not in tried
        )

    def suits(self, tried: Collection[EndpointName]) -> bool:
        """Return whether any endpoint may get a request, now or later.

        :param tried: endpoints that must not get it.
        """
        return any(name not in tried for name in self.rooms)

    def capacity(self, now: float) -> float:
        """Return the work that endpoints do in a second; seconds at the usual pace.

        While none may be sent to, all count: limits end soon.

        :param now: monotonic seconds.
        """
        rooms = self.usable() or list(self.rooms.values())
        ahead = now + 0.5 * self.work
        return sum(room.slots / room.pace(ahead) for room in rooms)

    def requests_ahead(self, now: float) -> int:
        """Return how many requests must end before one more would be run; 0 for none.

        :param now: monotonic seconds.
        """
        work, ahead = self.work, 1
        for room in self.usable():
            over = room.taken(now, work) - room.slots
            if over < 0 and now >= room.rejected_until:
                return 0
            ahead += max(0, over)
        return ahead

    def used_share(self, now: float) -> float:
        """Return the part of the slots that are in use.

        :param now: monotonic seconds.
        """
        slots = self.slots
        if not slots:
            return 1.0
        return sum(room.taken(now, self.work) for room in self.usable()) / slots

    def next_room_at(self, now: float) -> float | None:
        """Return when an endpoint that had no room gets requests again.

        :param now: monotonic seconds.
        """
        ends = [room.rejected_until for room in self.usable()]
        return min((end for end in ends if end > now), default=None)
