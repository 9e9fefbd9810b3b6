# Licensed under the Apache License 2.0: see LICENSE for details.

"""Callers that return once as they are told, and what becomes of them."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import aiohttp

from lab.overload.loads import Arrival, Bounds, Load, arrivals

HOST = "app.example"
KEYS = {"org-a": "key-of-org-a", "org-b": "key-of-org-b"}
# Refusals that promise that nothing was run.
REFUSALS = (429, 503)
# The part of the time left within which callers return.
RETURN_SHARE = 1 / 3
# Who is told nothing for this part of its deadline was held until it.
HELD_SHARE = 0.95
MILLISECONDS = 1000


@dataclass(frozen=True)
class Try:
    """What one request came to.

    :param request: its id.
    :param status: the status; None if there was no answer.
    :param seconds: how long it took.
    :param retry_after: when it was told to return, in seconds; None if it was not.
    """

    request: str
    status: int | None
    seconds: float
    retry_after: float | None = None


@dataclass
class Outcome:
    """What became of a caller.

    :param arrival: the caller.
    :param tries: its requests, in order.
    :param seconds: how long it took in all.
    """

    arrival: Arrival
    tries: list[Try] = field(default_factory=list)
    seconds: float = 0.0

    @property
    def served(self) -> bool:
        """Whether it has its answer."""
        return self.tries[-1].status == 200

    @property
    def refused(self) -> bool:
        """Whether its first request was refused."""
        return self.tries[0].status in REFUSALS

    @property
    def ended_refused(self) -> bool:
        """Whether its last request was refused."""
        return self.tries[-1].status in REFUSALS

    @property
    def returned(self) -> bool:
        """Whether it returned as it was told."""
        return len(self.tries) > 1


class Callers:
    """Callers of one load.

    :param ports: the ports of the VMs; each request goes to one by chance.
    :param bounds: what they expect.
    :param seed: of all chance.
    """

    def __init__(self, ports: Sequence[int], bounds: Bounds, seed: int) -> None:
        self.ports = ports
        self.bounds = bounds
        self.rng = random.Random(seed)
        self.outcomes: list[Outcome] = []
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def play(self, load: Load, scale: float, seed: int) -> list[Outcome]:
        """Play a load, and return what became of its callers.

        :param load: the load.
        :param scale: by how much all times are longer.
        :param seed: of the arrivals.
        """
        begin = time.monotonic()
        async with self.session, asyncio.TaskGroup() as tasks:
            for arrival in arrivals(load, self.bounds, scale, seed):
                await asyncio.sleep(begin + arrival.at - time.monotonic())
                tasks.create_task(self._ask(arrival))
        return self.outcomes

    async def _ask(self, arrival: Arrival) -> None:
        """Ask, and once more if told to return in time."""
        outcome = Outcome(arrival)
        begin = time.monotonic()
        end = begin + self.bounds.deadline
        first = await self._request(arrival, 0, end)
        outcome.tries.append(first)
        left = end - time.monotonic()
        pause = first.retry_after
        if pause is not None and pause <= left * RETURN_SHARE:
            await asyncio.sleep(pause)
            outcome.tries.append(await self._request(arrival, 1, end))
        outcome.seconds = time.monotonic() - begin
        self.outcomes.append(outcome)

    async def _request(self, arrival: Arrival, number: int, end: float) -> Try:
        request = f"c{arrival.number}-{number}"
        begin = time.monotonic()
        left = end - begin
        headers = {
            "Host": HOST,
            "Request-Id": request,
            "Deadline": str(round(left * MILLISECONDS)),
            "Authorization": f"Bearer {KEYS[arrival.organisation]}",
        }
        port = self.rng.choice(self.ports)
        url = f"http://127.0.0.1:{port}/u{arrival.urgency}/{arrival.number}"
        status = pause = None
        try:
            async with (
                asyncio.timeout(left),
                self.session.get(url, headers=headers) as answer,
            ):
                await answer.read()
                status = answer.status
                told = answer.headers.get("Retry-After")
                if status in REFUSALS and told is not None:
                    pause = float(told)
        except (TimeoutError, aiohttp.ClientError):
            pass
        return Try(request, status, time.monotonic() - begin, pause)


@dataclass(frozen=True)
class Tally:
    """What became of a group of callers, counted."""

    asked: int
    in_time: int
    served: int
    # Told nothing until their deadline.
    held: int
    # Ended with an error before it.
    failed: int
    # Seconds after which first requests were refused, in order.
    refused: tuple[float, ...]
    returned: int
    returned_served: int


def tally(
    outcomes: Sequence[Outcome], bounds: Bounds, within: Callable[[Arrival], bool]
) -> Tally:
    """Count what became of callers.

    :param outcomes: the callers.
    :param bounds: what they expected.
    :param within: chooses those that are counted.
    """
    chosen = [one for one in outcomes if within(one.arrival)]
    unserved = [one for one in chosen if not one.served]
    held = [one for one in unserved if one.seconds >= HELD_SHARE * bounds.deadline]
    failed = [
        one
        for one in unserved
        if one.seconds < HELD_SHARE * bounds.deadline and not one.ended_refused
    ]
    returned = [one for one in chosen if one.returned]
    return Tally(
        asked=len(chosen),
        in_time=sum(one.served and one.seconds <= bounds.aim for one in chosen),
        served=sum(one.served for one in chosen),
        held=len(held),
        failed=len(failed),
        refused=tuple(sorted(one.tries[0].seconds for one in chosen if one.refused)),
        returned=len(returned),
        returned_served=sum(one.served for one in returned),
    )
