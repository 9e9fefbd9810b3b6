# Licensed under the Apache License 2.0: see LICENSE for details.

"""What the paths of all requests have in common, whichever way they came."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

from expression import Error, Result

from walnutquay.coordination.outcomes import (
    Arrival,
    Outcome,
    Refused,
    Streamed,
    Unknown,
    Whole,
)
from walnutquay.coordination.pathparts import PathParts
from walnutquay.coordination.places import Grant, Need
from walnutquay.coordination.turn import Turn
from walnutquay.exceptions import EndpointError, NotStartedError
from walnutquay.state.ends import CrashTarget
from walnutquay.state.events import EventKind, Facts
from walnutquay.state.ids import RequestId, ServiceName, VersionName
from walnutquay.state.instances import Instance
from walnutquay.state.refusals import Refusal, RefusalCode
from walnutquay.state.requests import (
    Admitted,
    Continuing,
    Dispatched,
    Received,
    Undispatched,
    receive,
)
from walnutquay.transport.client import STEP_BROKEN, STEP_CONNECT, STEP_REACH
from walnutquay.transport.timers import monotonic

STOPPING_RETRY = 1.0
MILLISECONDS = 1000.0
# The status of a stream that went to the caller whole.
OK = 200


class RequestPath(ABC):
    """Takes a request from its arrival to its outcome.

    Subclasses plan the request in :meth:`run`, and in :meth:`exchange` talk to
    the endpoint; places, retries, refusals and their events are the same for all.

    :param parts: what it works with.
    """

    def __init__(self, parts: PathParts) -> None:
        self.parts = parts
        self.context = parts.context
        # Requests between arrival and outcome; a planned stop waits for them.
        self.in_flight = 0
        # The same, one by one: operators ask whose work waits.
        self.under_way: dict[RequestId, Arrival] = {}
        # The limits of those that an endpoint has, which are set when this VM wakes.
        self.limits: dict[RequestId, asyncio.Timeout] = {}
        # Set when the VM is stopping and takes no new requests.
        self.closed = False

    async def serve(self, arrival: Arrival) -> Outcome:
        """Serve a request.

        :param arrival: the request.
        """
        self.in_flight += 1
        started = monotonic()
        request = arrival.request
        self.under_way[request] = arrival
        outcome: Outcome | None = None
        try:
            self.context.timeline.emit(
                EventKind.RECEIVED, request=request, **self.facts_received(arrival)
            )
            outcome = await self.begin(arrival)
            self.tell(arrival, outcome, monotonic() - started)
            return outcome
        finally:
            self.in_flight -= 1
            self.under_way.pop(request, None)
            self.parts.recorder.record(arrival, started, outcome)
            self.context.metrics.record("request", monotonic() - started)

    async def begin(self, arrival: Arrival) -> Outcome:
        """Run a request, unless this VM takes none now.

        :param arrival: the request.
        """
        stage = receive(arrival.request)
        shut = self.shut()
        if shut is not None:
            return self.refuse(stage, shut)
        return await self.run(arrival, stage)

    @abstractmethod
    async def run(self, arrival: Arrival, stage: Received) -> Outcome:
        """Admit, dispatch and answer a request.

        :param arrival: the request.
        :param stage: its stage.
        """

    @abstractmethod
    async def exchange(
        self, turn: Turn, running: Dispatched, grant: Grant
    ) -> Outcome | Received | Continuing:
        """Talk to an endpoint.

        :param turn: the request.
        :param running: its stage.
        :param grant: the endpoint.
        :returns: the outcome, or the stage to go on from with another try.
        :raises NotStartedError: if the endpoint cannot have begun.
        :raises EndpointError: if it may have, and there is no answer.
        """

    @abstractmethod
    def still_allowed(self, turn: Turn) -> Refusal | None:
        """Ask the configuration of this moment, right before a dispatch.

        :param turn: the request.
        :returns: why it may not run any more, or None.
        """

    @abstractmethod
    def unready(self) -> Refusal | None:
        """:returns: why this VM knows too little to serve, or None."""

    def need_of(self, turn: Turn) -> Need:
        """:param turn: the request.

        :returns: what it needs a place for now.
        """
        arrival = turn.arrival
        return Need(
            arrival.request,
            arrival.organisation.name,
            arrival.organisation.weight,
            turn.target,
            arrival.deadline,
            turn.waiting_since,
            turn.hint,
            turn.tried,
            turn.prefix,
            suspect=self.parts.crashes.suspected(arrival) or "",
        )

    def may_retry(self, turn: Turn) -> bool:
        """Ask whether a request may be sent once more; what is granted is counted.

        :param turn: the request.
        """
        return self.parts.retries.take()

    def facts_received(self, arrival: Arrival) -> Facts:
        """Tell of a request, for the log; the base has nothing to tell.

        :param arrival: the request.
        """
        return {}

    def facts_dispatched(self, turn: Turn, grant: Grant) -> Facts:
        """Tell what made a request go where it goes; the base has nothing to tell.

        :param turn: the request.
        :param grant: the endpoint.
        """
        return {}

    def facts_known(self) -> Facts:
        """:returns: how old what this VM knows is; nothing in the base."""
        return {}

    def on_dispatch(self, turn: Turn, grant: Grant) -> None:
        """Note that a request is sent now; the base has nothing to note.

        :param turn: the request.
        :param grant: the endpoint.
        """
        return

    def on_not_started(self, turn: Turn, grant: Grant, error: NotStartedError) -> None:
        """Note that an endpoint did not begin; the base has nothing to note.

        :param turn: the request.
        :param grant: the endpoint.
        :param error: how that is known.
        """
        return

    def on_failed(self, turn: Turn, grant: Grant, error: EndpointError) -> None:
        """Note that an endpoint failed; the base has nothing more to note.

        :param turn: the request.
        :param grant: the endpoint.
        :param error: how it failed.
        """
        return

    def is_current(self, grant: Grant) -> bool:
        """:param grant: an endpoint.

        :returns: whether no later start of it is known; the base knows of none.
        """
        return True

    def on_ended(self, turn: Turn, grant: Grant) -> None:
        """Note that an endpoint has ended while it had a request.

        :param turn: the request.
        :param grant: the endpoint.
        """
        ran = None if grant.began is None else monotonic() - grant.began
        target = target_of(turn, grant)
        self.parts.crashes.ended(turn.arrival, target, grant.name, ran)

    def on_whole(self, turn: Turn, grant: Grant) -> None:
        """Note that an endpoint has answered a request whole.

        :param turn: the request.
        :param grant: the endpoint.
        """
        self.parts.crashes.answered(turn.arrival, target_of(turn, grant), grant.name)

    # Places and dispatches.

    async def attempts(self, turn: Turn, stage: Received | Continuing) -> Outcome:
        """Try endpoints until there is an outcome.

        :param turn: the request.
        :param stage: its stage.
        """
        while True:
            placed = await self._place(turn)
            if placed.is_error():
                if self.go_elsewhere(turn, placed.error):
                    continue
                return await self.no_place(turn, stage, placed.error)
            grant = placed.ok
            ready = stage.admit() if isinstance(stage, Received) else stage
            running = self._dispatch(turn, ready, grant)
            try:
                result = await self._attempt(turn, running, grant)
            finally:
                self.parts.admission.release(grant)
            if not isinstance(result, Received | Continuing):
                return result
            if isinstance(result, Continuing):
                turn.waiting_since = monotonic()
            stage = result

    def go_elsewhere(self, turn: Turn, refusal: Refusal) -> bool:
        """Change the turn's target, where there is another.

        :param turn: the request.
        :param refusal: why the present target cannot be had.
        :returns: whether to look for a place again.
        """
        return False

    async def no_place(
        self, turn: Turn, stage: Received | Continuing, refusal: Refusal
    ) -> Outcome:
        """End a request for which there is no place.

        :param turn: the request.
        :param stage: its stage.
        :param refusal: why.
        """
        if isinstance(stage, Received):
            return self.refuse(stage, refusal)
        if refusal.code is RefusalCode.ENDS_ENDPOINTS:
            code, status = refusal.code.value, refusal.status
            return Unknown(stage.unknown(), refusal.reason, code, status)
        return Unknown(
            stage.unknown(),
            f"an endpoint failed, and no other could be had: {refusal.reason}",
            retry_after=refusal.retry_after,
        )

    async def _place(self, turn: Turn) -> Result[Grant, Refusal]:
        """Get a place, and check that the request may still run."""
        placed = await self.parts.admission.acquire(self.need_of(turn))
        if placed.is_error():
            return placed
        refusal = self.still_allowed(turn) or self._blocked(turn, placed.ok)
        if refusal is not None:
            self.parts.admission.release(placed.ok)
            return Error(refusal)
        return placed

    def _blocked(self, turn: Turn, grant: Grant) -> Refusal | None:
        """Keep a request from what ends by it, right before a dispatch.

        Sent on from endpoint to endpoint it ends all of them, with all that they run.
        """
        return self.parts.crashes.refusal(turn.arrival, target_of(turn, grant))

    def _dispatch(
        self, turn: Turn, stage: Admitted | Continuing, grant: Grant
    ) -> Dispatched:
        running = stage.dispatch(grant.name)
        self.on_dispatch(turn, grant)
        self.context.timeline.emit(
            EventKind.DISPATCHED,
            request=turn.arrival.request,
            session=turn.session,
            version=turn.target,
            endpoint=grant.name,
            **self.facts_dispatched(turn, grant),
        )
        return running

    async def _attempt(
        self, turn: Turn, running: Dispatched, grant: Grant
    ) -> Outcome | Received | Continuing:
        try:
            return await self._limited(turn, running, grant)
        except NotStartedError as error:
            return self._not_started(turn, running, grant, error)
        except EndpointError as error:
            return await self._failed(turn, running, grant, error)

    async def _limited(
        self, turn: Turn, running: Dispatched, grant: Grant
    ) -> Outcome | Received | Continuing:
        """Talk to an endpoint until the deadline, also where this VM is suspended."""
        request = turn.arrival.request
        try:
            async with asyncio.timeout(None) as limit:
                self.limits[request] = limit
                return await self.exchange(turn, running, grant)
        except TimeoutError as error:
            if not limit.expired():
                raise
            reason = "its time passed while this VM was away"
            raise EndpointError(reason, step="exchange", peer=grant.name) from error
        finally:
            self.limits.pop(request, None)

    def woke(self, away: float) -> None:
        """Set the limits of what is under way anew: timers do not count a suspension.

        :param away: seconds for which this VM was away.
        """
        now = monotonic()
        loop = asyncio.get_running_loop()
        for request, limit in list(self.limits.items()):
            left = self.under_way[request].deadline - now
            limit.reschedule(loop.time() + max(0.0, left))

    def _not_started(
        self, turn: Turn, running: Dispatched, grant: Grant, error: NotStartedError
    ) -> Received | Continuing:
        """Look for another place: the endpoint did not begin."""
        if error.step in (STEP_CONNECT, STEP_REACH):
            self.parts.table.failed(grant.name, monotonic(), turn.target)
            turn.tried |= {grant.name}
        else:
            self.parts.admission.full(grant)
        self.on_not_started(turn, grant, error)
        self.context.timeline.emit(
            EventKind.NOT_STARTED,
            request=turn.arrival.request,
            endpoint=grant.name,
            detail=error.step,
            reason=error.reason,
            after_ms=_ms_since(grant.started),
        )
        return running.not_started(error)

    async def _failed(
        self, turn: Turn, running: Dispatched, grant: Grant, error: EndpointError
    ) -> Outcome | Continuing:
        """Try another endpoint where that is allowed; else the end is unknown."""
        await self.note_failure(turn, grant, error)
        in_time = turn.arrival.deadline > monotonic()
        if turn.repeatable and in_time and self.may_retry(turn):
            turn.tried |= {grant.name}
            self.context.metrics.count("retries")
            return running.go_on()
        return await self.give_up(turn, running, error)

    async def note_failure(
        self, turn: Turn, grant: Grant, error: EndpointError
    ) -> None:
        """Learn from a failure of an endpoint after it may have begun, and log it.

        :param turn: the request.
        :param grant: the endpoint.
        :param error: how it failed.
        """
        self.count_failure(turn, grant)
        self.on_failed(turn, grant, error)
        broke = error.step == STEP_BROKEN
        ended = not self.is_current(grant)
        if broke and not ended:
            ended = await self.parts.crashes.has_ended(grant.endpoint)
        if ended:
            self.on_ended(turn, grant)
            await self.parts.crashes.settle(turn.arrival, target_of(turn, grant))
        self.context.timeline.emit(
            EventKind.FAILED,
            request=turn.arrival.request,
            version=turn.target,
            endpoint=grant.name,
            detail=str(error),
            step=error.step,
            status=error.status,
            after_ms=_ms_since(grant.started),
            ran_ms=None if grant.began is None else _ms_since(grant.began),
            ended=ended,
            fingerprint=turn.arrival.fingerprint() if broke else None,
        )

    async def give_up(
        self, turn: Turn, running: Dispatched, error: EndpointError
    ) -> Outcome:
        """End a request whose last try has failed.

        :param turn: the request.
        :param running: its stage.
        :param error: how it failed.
        """
        return Unknown(running.unknown(), f"the endpoint failed: {error}")

    def count_failure(self, turn: Turn, grant: Grant) -> None:
        """Learn from a failure of an endpoint.

        :param turn: the request.
        :param grant: the endpoint.
        """
        self.parts.table.failed(grant.name, monotonic(), turn.target)

    def refuse(self, stage: Undispatched, refusal: Refusal) -> Refused:
        """:param stage: a stage before any dispatch.

        :param refusal: why.
        """
        return Refused(stage.refuse(refusal))

    def shut(self) -> Refusal | None:
        """:returns: why this VM takes no requests now, or None."""
        if self.closed:
            return Refusal(
                RefusalCode.STOPPING, "this entry VM is stopping", STOPPING_RETRY
            )
        return self.unready()

    def tell(self, arrival: Arrival, outcome: Outcome, seconds: float) -> None:
        """Count and log how a request ended.

        :param arrival: the request.
        :param outcome: how.
        :param seconds: since it came.
        """
        request = arrival.request
        took_ms = round(seconds * MILLISECONDS)
        timeline = self.context.timeline
        if isinstance(outcome, Refused):
            refusal = outcome.proof.refusal
            code = refusal.code.value
            self.context.metrics.count(f"refused_{code}")
            timeline.emit(
                EventKind.REFUSED,
                request=request,
                detail=code,
                reason=refusal.reason,
                retry_after=refusal.retry_after,
                took_ms=took_ms,
                **self.facts_known(),
            )
        elif isinstance(outcome, Unknown):
            self.context.metrics.count(f"unknown_{outcome.code}")
            timeline.emit(
                EventKind.UNKNOWN,
                request=request,
                detail=outcome.code,
                reason=outcome.reason,
                took_ms=took_ms,
                **self.facts_known(),
            )
        elif isinstance(outcome, Streamed) and not outcome.whole:
            self.context.metrics.count("broken")
            timeline.emit(EventKind.BROKEN, request=request, took_ms=took_ms)
        else:
            self.context.metrics.count("answered")
            status = outcome.answer.status if isinstance(outcome, Whole) else OK
            timeline.emit(
                EventKind.ANSWERED,
                request=request,
                status=status,
                took_ms=took_ms,
                longest_pause_ms=round(arrival.longest_pause * MILLISECONDS),
                late=arrival.is_late(monotonic()),
            )


def target_of(turn: Turn, grant: Grant) -> CrashTarget:
    """:param turn: a request.

    :param grant: an endpoint that it was given a place at.
    :returns: what the endpoint runs for it.
    """
    endpoint = grant.endpoint
    version = endpoint.version if isinstance(endpoint, Instance) else ""
    return CrashTarget(ServiceName(turn.target), VersionName(version))


def _ms_since(started: float) -> int:
    return round((monotonic() - started) * MILLISECONDS)
