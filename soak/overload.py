# Licensed under the Apache License 2.0: see LICENSE for details.

"""Load beyond the room: endpoints with slots and a pace, and bursts of callers."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Iterable, Iterator

from soak.callers import DEADLINE_MS, Callers, Kind, Sent
from soak.endpoints import Endpoint
from soak.fleet import SoakFleet
from standins.slots import WorkSlots

# What an endpoint bears: requests at once, those that may wait, and seconds for each.
SLOTS = 2
QUEUES = (2, 60)
WORK_SECONDS = 0.2
# How much slower an endpoint turns, for how long, and how long after the last.
SLOWNESS = (2.0, 6.0)
SLOW_SECONDS = (0.2, 1.0)
# A burst: seconds, and requests a second, which are more than three endpoints bear.
BURST_SECONDS = (1.5, 3.0)
BURST_RATE = (50.0, 90.0)
BURST_KINDS = (Kind.SAFE, Kind.UNSAFE, Kind.URGENT)
# An answer or a refusal that comes later than this before the deadline is no help.
TOO_LATE_SECONDS = 0.3
STATUS_TIMEOUT = 504
# Of fewer callers of a kind none may happen to be served.
MANY = 10


class Overload:
    """Has callers ask for more than the endpoints of the plain service bear.

    :param fleet: what it is played on.
    :param callers: who send requests.
    :param rng: of all chance here.
    """

    def __init__(self, fleet: SoakFleet, callers: Callers, rng: random.Random) -> None:
        self.fleet = fleet
        self.callers = callers
        self.rng = rng
        self.playing = False

    async def play(self) -> list[Sent]:
        """Have endpoints get slots and a pace for as long as a burst of callers lasts.

        :returns: what came of the burst; nothing if another one lasts still.
        """
        if self.playing:
            return []
        self.playing = True
        queue = self.rng.randint(*QUEUES)
        limited = [e for e in self.fleet.endpoints.values() if e.service == "plain"]
        for number, endpoint in enumerate(limited):
            seed = self.rng.randrange(1 << 16) + number
            endpoint.worker.slots = WorkSlots(SLOTS, queue, WORK_SECONDS, 0.5, seed)
        slowing = asyncio.ensure_future(self._turn_slow(limited))
        try:
            seconds = self.rng.uniform(*BURST_SECONDS)
            return await self.callers.burst(
                BURST_KINDS, seconds, self.rng.uniform(*BURST_RATE)
            )
        finally:
            slowing.cancel()
            for endpoint in limited:
                endpoint.worker.slots = None
            self.playing = False

    async def _turn_slow(self, endpoints: list[Endpoint]) -> None:
        """Have one endpoint after the other turn slow for moments."""
        while True:
            slots = self.rng.choice(endpoints).worker.slots
            slots.pace = self.rng.uniform(*SLOWNESS)
            await asyncio.sleep(self.rng.uniform(*SLOW_SECONDS))
            slots.pace = 1.0
            await asyncio.sleep(self.rng.uniform(*SLOW_SECONDS))


def unheard(burst: Iterable[Sent]) -> Iterator[str]:
    """Yield what callers of a burst may complain of, if nothing else was wrong.

    :param burst: what came of it.
    """
    asked: Counter[tuple[str, str]] = Counter()
    served: Counter[tuple[str, str]] = Counter()
    longest = DEADLINE_MS / 1000.0 - TOO_LATE_SECONDS
    for sent in burst:
        group = (sent.key, sent.kind.value)
        asked[group] += 1
        served[group] += sent.status == 200 and sent.whole
        took = sent.ended_at - sent.sent_at
        if sent.status in (0, STATUS_TIMEOUT) and took >= longest:
            yield f"{sent.request} was held for {took:.2f} s, and not told why"
    for (key, kind), count in asked.items():
        if count >= MANY and not served[key, kind]:
            yield f"none of {count} {kind} calls by {key} was served"
