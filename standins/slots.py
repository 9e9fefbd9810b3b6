# Licensed under the Apache License 2.0: see LICENSE for details.

"""The slots of an endpoint, and the queue before them."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

# Work that takes its usual time, as endpoints tell it; percent.
USUAL_PACE = 100


class WorkSlots:
    """Runs a bounded number of requests concurrently, and queues a bounded number.

    :param slots: the requests that run at once.
    :param queue: the requests that may wait.
    :param work_seconds: how long a request runs at the usual pace.
    :param spread: by which part of that it may run longer or less long.
    :param seed: of how much it is.
    """

    def __init__(
        self,
        slots: int,
        queue: int,
        work_seconds: float,
        spread: float = 0.0,
        seed: int = 0,
    ) -> None:
        self.slots = slots
        self.queue = queue
        self.work_seconds = work_seconds
        self.spread = spread
        self.rng = random.Random(seed)
        # How long work takes for requests that begin now, relative to its usual time.
        self.pace = 1.0
        self.running = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        # Requests that came, by id, whatever became of them.
        self.came: list[str] = []

    def load(self) -> str:
        """Return what answers tell: running, waiting, slots and pace in percent."""
        pace = round(self.pace * USUAL_PACE)
        return f"{self.running},{len(self.waiting)},{self.slots},{pace}"

    async def run(self, patience: float | None, begin: Callable[[], None]) -> bool:
        """Run a request.

        :param patience: seconds that it may wait; None without a limit.
        :param begin: called as it begins.
        :returns: whether it was run; False if the queue was full, or it waited in vain.
        """
        if not await self._wait(patience):
            return False
        with self._held():
            begin()
            part = 1.0 + self.rng.uniform(-self.spread, self.spread)
            await asyncio.sleep(self.work_seconds * part * self.pace)
        return True

    async def _wait(self, patience: float | None) -> bool:
        """Return whether there was a slot, which is the caller's then."""
        if self.running < self.slots:
            self.running += 1
            return True
        if len(self.waiting) >= self.queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            async with asyncio.timeout(patience):
                await turn
        except BaseException as error:
            if turn.done() and not turn.cancelled():
                self._release()
            elif turn in self.waiting:
                self.waiting.remove(turn)
            if isinstance(error, TimeoutError):
                return False
            raise
        return True

    @contextmanager
    def _held(self) -> Iterator[None]:
        try:
            yield
        finally:
            self._release()

    def _release(self) -> None:
        """Give a slot to the next that waits."""
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1


async def caller_ends(reader: asyncio.StreamReader) -> bool:
    """:returns: whether a caller ends its connection, by a close or a reset, next."""
    try:
        return not await reader.read(1)
    except OSError:
        return True


async def while_connected(
    reader: asyncio.StreamReader, work: Awaitable[bool]
) -> bool | None:
    """Wait for a request's work, and cancel it when its caller leaves.

    :param reader: reads from the caller, which sends nothing meanwhile.
    :param work: the work.
    :returns: what the work returned; None if the caller left before.
    """
    left = asyncio.ensure_future(caller_ends(reader))
    working = asyncio.ensure_future(work)
    try:
        await asyncio.wait([left, working], return_when=asyncio.FIRST_COMPLETED)
        return working.result() if working.done() else None
    finally:
        left.cancel()
        working.cancel()
        # The connection's next request is read only after this reader has ended.
        await asyncio.gather(left, working, return_exceptions=True)
