# Licensed under the Apache License 2.0: see LICENSE for details.

"""Issues the permits of rate-limited endpoints to this VM and to others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from walnutquay.coordination.process.tasks import Tasks
from walnutquay.state.process.ids import EndpointName
from walnutquay.state.routed.permits import (
    MAX_WAIT_SECONDS,
    Decision,
    PermitQueue,
    Verdict,
)
from walnutquay.transport.timers import monotonic

# How long to sleep between two looks at the queue: the rate may change meanwhile.
MIN_SLEEP_SECONDS = 0.002
MAX_SLEEP_SECONDS = 0.05
# After which time to ask again if the wait was in vain; seconds.
RETRY_SECONDS = 0.2


# Returns the permits a second at present; None if the endpoint is not limited.
RateNow = Callable[[], float | None]


class PermitIssuer:
    """The permits of one endpoint that this VM issues in one role.

    :param tasks: runs the task that issues permits to those who wait.
    """

    def __init__(self, tasks: Tasks) -> None:
        self.tasks = tasks
        self.queue = PermitQueue(monotonic())
        # Those who wait, by number.
        self.waiting: dict[int, asyncio.Future[bool]] = {}
        self.issuing: asyncio.Task | None = None

    async def request(
        self, priority: int, patience: float, rate_now: RateNow
    ) -> Decision:
        """Request a permit, and wait for it if it can come in time.

        :param priority: the rank of the request, where 0 is the most urgent.
        :param patience: the seconds that it can wait.
        :param rate_now: returns the permits a second at present; None without a limit.
        """
        rate = rate_now()
        if rate is None:
            return Decision(Verdict.GRANTED)
        if rate <= 0.0:
            return Decision(Verdict.REJECTED, MAX_WAIT_SECONDS)
        now = monotonic()
        self.queue.set_rate(rate, now)
        decision = self.queue.request(priority, patience, now)
        if decision.verdict is not Verdict.QUEUED:
            return decision
        return await self._wait(decision.number, patience, rate_now)

    async def _wait(self, number: int, patience: float, rate_now: RateNow) -> Decision:
        future = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        if self.issuing is None or self.issuing.done():
            self.issuing = self.tasks.spawn(self._issue(rate_now))
        try:
            async with asyncio.timeout(patience):
                await future
            return Decision(Verdict.GRANTED)
        except TimeoutError:
            if future.done() and not future.cancelled():
                # Issued in the same moment: on a busy VM both are late.
                return Decision(Verdict.GRANTED)
            return Decision(Verdict.REJECTED, RETRY_SECONDS)
        finally:
            self.waiting.pop(number, None)
            self.queue.leave(number)

    async def _issue(self, rate_now: RateNow) -> None:
        """Issue permits as they become due, until nobody waits."""
        while self.waiting:
            now = monotonic()
            rate = rate_now()
            pause = MAX_SLEEP_SECONDS
            if rate is None:
                numbers = list(self.waiting)
            elif rate > 0.0:
                self.queue.set_rate(rate, now)
                numbers = self.queue.issue(now)
                pause = min(pause, self.queue.seconds_to_next(now))
            else:
                numbers = []
            for number in numbers:
                self._wake(number)
            await asyncio.sleep(max(pause, MIN_SLEEP_SECONDS))

    def _wake(self, number: int) -> None:
        future = self.waiting.get(number)
        if future is not None and not future.done():
            future.set_result(True)


class PermitIssuers:
    """The issuers of this VM: for each endpoint, as the primary or for its hall."""

    def __init__(self) -> None:
        self.tasks = Tasks()
        self.issuers: dict[tuple[EndpointName, bool], PermitIssuer] = {}

    def get(self, name: EndpointName, primary: bool) -> PermitIssuer:
        """Return the issuer of an endpoint, created if needed.

        :param name: the endpoint.
        :param primary: whether it issues to all VMs, and not to those of this hall.
        """
        key = (name, primary)
        if key not in self.issuers:
            self.issuers[key] = PermitIssuer(self.tasks)
        return self.issuers[key]

    def forget(self, name: EndpointName) -> None:
        """Remove the issuers of an endpoint that is gone, or of its earlier start.

        :param name: the endpoint.
        """
        for primary in (True, False):
            self.issuers.pop((name, primary), None)

    def stop(self) -> None:
        """Stop issuing."""
        self.tasks.stop()
