# Licensed under the Apache License 2.0: see LICENSE for details.

"""Ends calls at their callers' deadlines, also where this VM was suspended."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from walnutquay.coordination.requests.outcomes import Arrival
from walnutquay.exceptions import EndpointError
from walnutquay.state.ids import EndpointName
from walnutquay.transport.timers import monotonic


class DeadlineLimits:
    """The limits of calls that endpoints have.

    Calls have time-outs of their own, which stand still while the VM is suspended; so
    these limits are set only when it wakes.
    """

    def __init__(self) -> None:
        self.held: dict[asyncio.Timeout, float] = {}

    @asynccontextmanager
    async def of(self, arrival: Arrival, endpoint: EndpointName) -> AsyncIterator[None]:
        """Hold a limit while an endpoint has a request.

        :param arrival: the request.
        :param endpoint: the endpoint, for errors.
        :raises EndpointError: if its deadline has passed while this VM was away.
        """
        limit = asyncio.timeout(None)
        self.held[limit] = arrival.deadline
        try:
            async with limit:
                yield
        except TimeoutError as error:
            if not limit.expired():
                raise
            reason = "its time passed while this VM was away"
            raise EndpointError(reason, step="exchange", peer=endpoint) from error
        finally:
            del self.held[limit]

    def woke(self, away: float) -> None:
        """Set the limits by what is left of each call's time.

        :param away: seconds for which this VM was away.
        """
        now = monotonic()
        loop_now = asyncio.get_running_loop().time()
        for limit, deadline in self.held.items():
            limit.reschedule(loop_now + max(0.0, deadline - now))
