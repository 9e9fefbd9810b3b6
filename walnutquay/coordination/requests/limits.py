# Licensed under the Apache License 2.0: see LICENSE for details.

"""Ends calls that endpoints have, before they end by themselves."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from walnutquay.coordination.requests.outcomes import Arrival
from walnutquay.exceptions import EndpointError
from walnutquay.state.process.ids import EndpointName, Fingerprint
from walnutquay.transport.timers import monotonic

# The step of an error by which a call was ended here.
STEP_ENDED = "ended"


@dataclass(slots=True)
class Held:
    """A call that an endpoint has.

    :param arrival: the request.
    :param reason: why it is ended, if it is.
    """

    arrival: Arrival
    reason: str = "its time passed while this VM was away"


class CallLimits:
    """Ends calls that endpoints have before they end by themselves.

    Calls have time-outs of their own, which stand still while the VM is suspended; so
    what is left of their time is looked at when it wakes.
    """

    def __init__(self) -> None:
        self.held: dict[asyncio.Timeout, Held] = {}

    @asynccontextmanager
    async def of(self, arrival: Arrival, endpoint: EndpointName) -> AsyncIterator[None]:
        """Hold a limit while an endpoint has a request.

        :param arrival: the request.
        :param endpoint: the endpoint, for errors.
        :raises EndpointError: if the call was ended.
        """
        limit = asyncio.timeout(None)
        held = self.held[limit] = Held(arrival)
        try:
            async with limit:
                yield
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise EndpointError(held.reason, step=STEP_ENDED, peer=endpoint) from error
        finally:
            del self.held[limit]

    def woke(self, away: float) -> None:
        """Set the limits by what is left of each call's time.

        :param away: seconds for which this VM was away.
        """
        now = monotonic()
        loop_now = asyncio.get_running_loop().time()
        for limit, held in self.held.items():
            limit.reschedule(loop_now + max(0.0, held.arrival.deadline - now))

    def stop(self, blocked: frozenset[Fingerprint]) -> None:
        """End the calls of requests that are blocked.

        :param blocked: their fingerprints.
        """
        now = asyncio.get_running_loop().time()
        for limit, held in self.held.items():
            if blocked and held.arrival.fingerprint() in blocked:
                held.reason = "it ends the endpoints that run it"
                limit.reschedule(now)
