# Licensed under the Apache License 2.0: see LICENSE for details.

"""What the paths of all requests have in common, whichever way they came."""

from __future__ import annotations

from abc import abstractmethod

from expression import Error, Result

from walnutquay.coordination.requests.hooks import PathHooks
from walnutquay.coordination.requests.limits import CallLimits
from walnutquay.coordination.requests.outcomelog import tell_outcome
from walnutquay.coordination.requests.outcomes import (
    Arrival,
    Outcome,
    Refused,
    Unknown,
)
from walnutquay.coordination.requests.pathparts import PathParts
from walnutquay.coordination.requests.slots import Grant, SlotRequest
from walnutquay.coordination.requests.turn import Turn
from walnutquay.exceptions import EndpointError, NotStartedError
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import RequestId
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.requests.regions import allowed_regions
from walnutquay.state.requests.stages import (
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


class RequestPath(PathHooks):
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
        # The limits of those that an endpoint has.
        self.limits = CallLimits()
        parts.crashes.stop_callbacks.append(self.limits.stop)
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
            facts = self.facts_state_age()
            tell_outcome(self.context, arrival, outcome, monotonic() - started, facts)
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
        not_accepting = self.not_accepting()
        if not_accepting is not None:
            return self.refuse(stage, not_accepting)
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

    def slot_request(self, turn: Turn) -> SlotRequest:
        """:param turn: the request.

        :returns: what it needs a place for now.
        """
        arrival = turn.arrival
        return SlotRequest(
            arrival.request,
            arrival.organisation.name,
            arrival.organisation.weight,
            turn.target,
            arrival.deadline,
            turn.waiting_since,
            turn.hint,
            turn.tried,
            turn.prefix,
            suspect=self.parts.crashes.suspect_fingerprint(arrival) or "",
            regions=allowed_regions(arrival.organisation.regions),
        )

    def may_retry(self, turn: Turn) -> bool:
        """Ask whether a request may be sent once more; what is granted is counted.

        :param turn: the request.
        """
        return self.parts.retries.take()

    def on_crashed(self, turn: Turn, grant: Grant) -> None:
        """Note that an endpoint has ended while it had a request.

        :param turn: the request.
        :param grant: the endpoint.
        """
        ran = _seconds_since(grant.began)
        target = grant.target_of(turn.target)
        held = monotonic() - grant.started
        self.parts.crashes.record_crash(turn.arrival, target, grant.name, ran, held)

    def on_whole_answer(self, turn: Turn, grant: Grant) -> None:
        """Note that an endpoint has answered a request whole.

        :param turn: the request.
        :param grant: the endpoint.
        """
        target = grant.target_of(turn.target)
        self.parts.crashes.record_answer(turn.arrival, target, grant.name)

    # Places and dispatches.

    async def attempts(self, turn: Turn, stage: Received | Continuing) -> Outcome:
        """Try endpoints until there is an outcome.

        :param turn: the request.
        :param stage: its stage.
        """
        while True:
            placed = await self._place(turn)
            if placed.is_error():
                if self.retarget(turn, placed.error):
                    continue
                return await self.no_slot(turn, stage, placed.error)
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

    async def no_slot(
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
        placed = await self.parts.admission.acquire(self.slot_request(turn))
        if placed.is_error():
            return placed
        refusal = self.no_longer_allowed(turn) or self._blocked(turn, placed.ok)
        if refusal is not None:
            self.parts.admission.release(placed.ok)
            return Error(refusal)
        return placed

    def _blocked(self, turn: Turn, grant: Grant) -> Refusal | None:
        """Keep a request from what ends by it, right before a dispatch.

        Sent on from endpoint to endpoint it ends all of them, with all that they run.
        """
        return self.parts.crashes.refusal(turn.arrival, grant.target_of(turn.target))

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
            async with self.limits.of(turn.arrival, grant.name):
                return await self.exchange(turn, running, grant)
        except NotStartedError as error:
            return self._not_started(turn, running, grant, error)
        except EndpointError as error:
            return await self._failed(turn, running, grant, error)

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
        return await self.abandon(turn, running, error)

    async def note_failure(
        self, turn: Turn, grant: Grant, error: EndpointError
    ) -> None:
        """Learn from a failure of an endpoint after it may have begun, and log it.

        :param turn: the request.
        :param grant: the endpoint.
        :param error: how it failed.
        """
        self.count_failure(turn, grant, error)
        self.on_failed(turn, grant, error)
        broke = error.step == STEP_BROKEN
        ended = not self.is_current(grant)
        if broke and not ended:
            ended = await self.parts.crashes.has_ended(grant.endpoint)
        target = grant.target_of(turn.target)
        if ended:
            self.on_crashed(turn, grant)
            await self.parts.crashes.await_peer_traces(turn.arrival, target)
        elif broke:
            ran = _seconds_since(grant.began)
            held = monotonic() - grant.started
            self.parts.crashes.broke(turn.arrival, target, grant.name, ran, held)
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

    async def abandon(
        self, turn: Turn, running: Dispatched, error: EndpointError
    ) -> Outcome:
        """End a request whose last try has failed.

        :param turn: the request.
        :param running: its stage.
        :param error: how it failed.
        """
        return Unknown(running.unknown(), f"the endpoint failed: {error}")

    def count_failure(self, turn: Turn, grant: Grant, error: EndpointError) -> None:
        """Learn from a failure of an endpoint.

        :param turn: the request.
        :param grant: the endpoint.
        :param error: how it failed.
        """
        now = monotonic()
        if error.status is not None:
            name = turn.arrival.fingerprint()
            if not self.parts.failures.blames(name, grant.name, now):
                return
        self.parts.table.failed(grant.name, now, turn.target)

    def on_success(self, turn: Turn) -> None:
        """Note that an endpoint has answered a request well.

        :param turn: the request.
        """
        if self.parts.failures.failed_at:
            self.parts.failures.answered(turn.arrival.fingerprint())

    def refuse(self, stage: Undispatched, refusal: Refusal) -> Refused:
        """:param stage: a stage before any dispatch.

        :param refusal: why.
        """
        return Refused(stage.refuse(refusal))

    def not_accepting(self) -> Refusal | None:
        """:returns: why this VM takes no requests now, or None."""
        if self.closed:
            return Refusal(
                RefusalCode.STOPPING, "this entry VM is stopping", STOPPING_RETRY
            )
        return self.unready()


def _seconds_since(began: float | None) -> float | None:
    return None if began is None else monotonic() - began


def _ms_since(started: float) -> int:
    return round((monotonic() - started) * MILLISECONDS)
