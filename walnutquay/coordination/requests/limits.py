# Licensed under the Apache License 2.0: see LICENSE for details.

"""Early cancellation of calls to endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from walnutquay.coordination.requests.outcomes import Arrival
from walnutquay.coordination.requests.slots import Grant
from walnutquay.exceptions import EndpointError
from walnutquay.state.requests.crashtypes import CrashTarget
from walnutquay.transport.timers import monotonic

# The step of the error raised for a call that was cancelled here.
STEP_ENDED = "ended"


@dataclass(slots=True)
class LimitedCall:
    """A call in progress at an endpoint.

    :param arrival: the request.
    :param grant: the slot at the endpoint.
    :param target: the version that the endpoint runs.
    :param reason: why it is cancelled, if it is.
    """

    arrival: Arrival
    grant: Grant
    target: CrashTarget
    reason: str = "its time passed while this VM was away"

    def answered_seconds(self) -> float:
        """Return for how long the endpoint has been sending the answer's events."""
        began, last = self.grant.began, self.arrival.last_event_at
        return 0.0 if began is None or last is None else last - began


class CallLimits:
    """Cancels calls to endpoints before they finish by themselves.

    The timeouts of calls do not advance while the VM is suspended, so the remaining
    time of each call is computed again when the VM wakes.
    """

    def __init__(self) -> None:
        self.calls: dict[asyncio.Timeout, LimitedCall] = {}

    @asynccontextmanager
    async def enforce(
        self, arrival: Arrival, grant: Grant, target: CrashTarget
    ) -> AsyncIterator[None]:
        """Return a context manager in which a call can be cancelled.

        :param arrival: the request.
        :param grant: the slot at the endpoint.
        :param target: the version that the endpoint runs.
        :raises EndpointError: if the call was cancelled.
        """
        limit = asyncio.timeout(None)
        call = self.calls[limit] = LimitedCall(arrival, grant, target)
        try:
            async with limit:
                yield
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise EndpointError(
                call.reason, step=STEP_ENDED, peer=grant.name
            ) from error
        finally:
            del self.calls[limit]

    def running(self) -> list[LimitedCall]:
        """Return the calls in progress."""
        return list(self.calls.values())

    def woke(self, away: float) -> None:
        """Reset the timeout of each call to the time left until its deadline.

        :param away: seconds for which this VM was suspended.
        """
        now = monotonic()
        loop_now = asyncio.get_running_loop().time()
        for limit, call in self.calls.items():
            limit.reschedule(loop_now + max(0.0, call.arrival.deadline - now))

    def stop(self, is_blocked: Callable[[LimitedCall], bool]) -> None:
        """Cancel calls that must not go on.

        :param is_blocked: returns whether a call would crash its endpoint.
        """
        now = asyncio.get_running_loop().time()
        for limit, call in self.calls.items():
            if is_blocked(call):
                call.reason = "it ends the endpoints that run it"
                limit.reschedule(now)
