# Licensed under the Apache License 2.0: see LICENSE for details.

"""A stand-in for an endpoint that ends when it has to reject many requests."""

from __future__ import annotations

import asyncio
import time
from collections import deque

from standins.worker import Behaviour, Seen, WorkerStandIn

# Rejections are counted over this time; seconds.
WINDOW_SECONDS = 1.0


class BrittleWorker:
    """Gives an endpoint slots, and lets it end for want of room.

    :param worker: the endpoint.
    :param slots: the requests that it runs at once; none waits.
    :param borne: the rejections in a second that it survives.
    :param work: seconds that a request takes.
    :param away: seconds until it is back after it has ended.
    """

    def __init__(
        self, worker: WorkerStandIn, slots: int, borne: int, work: float, away: float
    ) -> None:
        self.worker = worker
        self.slots = slots
        self.borne = borne
        self.work = work
        self.away = away
        self.running = 0
        # When it has rejected requests lately, and how often it has in all.
        self.rejections: deque[float] = deque()
        self.rejected = 0
        self.tasks: set[asyncio.Task] = set()
        worker.choose = self.choose
        worker.headers = self.headers

    @property
    def headers(self) -> dict[str, str]:
        """What all its answers say."""
        return {"Server-Brittle": str(self.borne)}

    def choose(self, seen: Seen) -> Behaviour:
        """Run a request, or reject it and end if that was one too many."""
        if self.running < self.slots:
            self.running += 1
            asyncio.get_running_loop().call_later(self.work, self._done)
            return Behaviour(pause=self.work)
        now = time.monotonic()
        self.rejected += 1
        self.rejections.append(now)
        while self.rejections[0] <= now - WINDOW_SECONDS:
            self.rejections.popleft()
        if len(self.rejections) > self.borne and not self.worker.ended:
            self.worker.crash()
            task = asyncio.ensure_future(self._come_back())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return Behaviour(status=503, not_run=True)

    def _done(self) -> None:
        self.running = max(0, self.running - 1)

    async def _come_back(self) -> None:
        await asyncio.sleep(self.away)
        self.rejections.clear()
        await self.worker.come_back(self.worker.name)
        self.worker.headers = self.headers
