# Licensed under the Apache License 2.0: see LICENSE for details.

"""The request path common to all interfaces."""

from __future__ import annotations

from abc import abstractmethod

from expression import Error, Result

from walnutquay.coordination.requests.crashnotes import CrashNotes
from walnutquay.coordination.requests.limits import CallLimits
from walnutquay.coordination.requests.outcomelog import log_outcome
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
from walnutquay.state.process.events import EventKind, Facts
from walnutquay.state.process.ids import RequestId
from walnutquay.state.requests.promptparts import SEPARATOR
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
from walnutquay.transport.client import (
    STEP_BROKEN,
    STEP_CONNECT,
    STEP_REACH,
    STEP_WITHHELD,
)
from walnutquay.transport.timers import monotonic

# Other VMs take the callers of one that stops at once.
STOPPING_RETRY = 0.1
MILLISECONDS = 1000.0


class RequestPath(CrashNotes):
    """Processes a request from its arrival to its outcome.

    Subclasses plan the request in :meth:`run` and communicate with the endpoint in
    :meth:`exchange`.  Slots, retries, refusals and their events are the same for all.

    :param parts: the shared components.
    """

    def __init__(self, parts: PathParts) -> None:
        super().__init__(parts)
        # The number of requests between arrival and outcome; a planned stop waits for
        # them.
        self.in_flight = 0
        # The same requests by id: operators query which organisations are waiting.
        self.under_way: dict[RequestId, Arrival] = {}
        # Limits on the calls in progress at endpoints.
        self.limits = CallLimits()
        parts.crashes.watch_calls(self.limits)
        # Set when the VM is stopping and accepts no new requests.
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
            log_outcome(self.context, arrival, outcome, monotonic() - started, facts)
            return outcome
        finally:
            self.in_flight -= 1
            self.under_way.pop(request, None)
            self.parts.recorder.record(arrival, started, outcome)
            self.context.metrics.record("request", monotonic() - started)

    async def begin(self, arrival: Arrival) -> Outcome:
        """Run a request, or refuse it if this VM accepts none at present.

        :param arrival: the request.
        """
        stage = receive(arrival.request)
        refusal = self.not_accepting()
        if refusal is not None:
            return self.refuse(stage, refusal)
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
        """Exchange a request and its answer with an endpoint.

        :param turn: the request.
        :param running: its stage.
        :param grant: the slot at the endpoint.
        :returns: the outcome, or the stage from which another attempt continues.
        :raises NotStartedError: if the endpoint cannot have started the request.
        :raises EndpointError: if it may have started it, and there is no answer.
        """

    def slot_request(self, turn: Turn) -> SlotRequest:
        """Return the properties for which a request needs a slot now.

        :param turn: the request.
        """
        arrival = turn.arrival
        suspect = self.parts.crashes.suspect_key(arrival)
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
            suspect=suspect or "",
            companions=self.parts.crashes.companions(suspect),
            regions=allowed_regions(arrival.organisation.regions),
        )

    def may_retry(self, turn: Turn) -> bool:
        """Return whether a request may be retried, and charge the retry budget.

        :param turn: the request.
        """
        return self.parts.retries.take()

    # Slots and dispatches.

    async def attempts(self, turn: Turn, stage: Received | Continuing) -> Outcome:
        """Send a request to endpoints until it has an outcome.

        :param turn: the request.
        :param stage: its stage.
        """
        while True:
            acquired = await self._acquire_slot(turn, stage)
            if acquired.is_error():
                if self.retarget(turn, acquired.error):
                    continue
                return await self.no_slot(turn, stage, acquired.error)
            grant = acquired.ok
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
        """Return the outcome of a request that got no slot.

        :param turn: the request.
        :param stage: its stage.
        :param refusal: why there is no slot.
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

    async def _acquire_slot(
        self, turn: Turn, stage: Received | Continuing
    ) -> Result[Grant, Refusal]:
        """Acquire a slot, then check that the request may still run."""
        blocked = self.parts.crashes.refusal_by_all(turn.arrival, self.targets(turn))
        if blocked is not None:
            return Error(blocked)
        acquired = await self.parts.admission.acquire(self.slot_request(turn))
        if acquired.is_error():
            return acquired
        refusal = self.no_longer_allowed(turn) or self._blocked(turn, acquired.ok)
        if refusal is not None:
            self.parts.admission.release(acquired.ok)
            return Error(refusal)
        return acquired

    def _blocked(self, turn: Turn, grant: Grant) -> Refusal | None:
        """Return why a request must not be sent to an endpoint, or None if it may.

        Checked right before the dispatch: a crashing request that is retried at one
        endpoint after another crashes all of them, with all that they run.
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
            target = grant.target_of(turn.target)
            async with self.limits.enforce(turn.arrival, grant, target):
                return await self.exchange(turn, running, grant)
        except NotStartedError as error:
            return self._not_started(turn, running, grant, error)
        except EndpointError as error:
            return await self._failed(turn, running, grant, error)

    def _not_started(
        self, turn: Turn, running: Dispatched, grant: Grant, error: NotStartedError
    ) -> Received | Continuing:
        """Return the stage for another attempt after the endpoint did not start it."""
        if error.step in (STEP_CONNECT, STEP_REACH):
            self.count_not_reached(turn, grant)
            turn.tried |= {grant.name}
        elif error.step != STEP_WITHHELD:
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
        """Retry at another endpoint if allowed; otherwise the outcome is unknown."""
        own_link = await self.note_failure(turn, grant, error)
        in_time = turn.arrival.deadline > monotonic()
        if turn.repeatable and in_time and self.may_retry(turn):
            if not own_link:
                turn.tried |= {grant.name}
            self.context.metrics.count("retries")
            return running.proceed()
        return await self.abandon(turn, running, error)

    async def note_failure(
        self, turn: Turn, grant: Grant, error: EndpointError
    ) -> bool:
        """Record and log a failure of an endpoint that may have started a request.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        :param error: how it failed.
        :returns: whether this VM's own link was the cause.
        """
        own_link = await self.link_is_lost(turn, grant, error)
        crashed = False
        if not own_link:
            self.count_failure(turn, grant, error)
        self.on_failed(turn, grant, error)
        if not own_link:
            crashed = await self.note_crash(turn, grant, error)
        broke = error.step == STEP_BROKEN
        if broke and not (own_link or crashed):
            self.on_broken(turn, grant)
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
            ended=crashed,
            own_link=own_link,
            **(_identity_facts(turn.arrival) if broke else {}),
        )
        return own_link

    async def abandon(
        self, turn: Turn, running: Dispatched, error: EndpointError
    ) -> Outcome:
        """Return the outcome of a request whose last attempt failed.

        :param turn: the request.
        :param running: its stage.
        :param error: how it failed.
        """
        return Unknown(running.unknown(), f"the endpoint failed: {error}")

    def count_not_reached(self, turn: Turn, grant: Grant) -> None:
        """Update the state of an endpoint that could not be connected to.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        """
        self.parts.table.failed(grant.name, monotonic(), turn.target)

    def count_failure(self, turn: Turn, grant: Grant, error: EndpointError) -> None:
        """Update the state of an endpoint after a failure.

        Error statuses count only if the request has not failed at other endpoints too.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        :param error: how it failed.
        """
        now = monotonic()
        if error.status is not None:
            name = turn.arrival.fingerprint()
            if not self.parts.failures.counts_against_endpoint(name, grant.name, now):
                return
        self.parts.table.failed(grant.name, now, turn.target)

    def on_success(self, turn: Turn) -> None:
        """Record that an endpoint answered a request successfully.

        :param turn: the request.
        """
        if self.parts.failures.failed_at:
            self.parts.failures.answered(turn.arrival.fingerprint())

    def refuse(self, stage: Undispatched, refusal: Refusal) -> Refused:
        """Return the outcome of a request that is refused.

        :param stage: a stage before any dispatch.
        :param refusal: why.
        """
        return Refused(stage.refuse(refusal))

    def not_accepting(self) -> Refusal | None:
        """Return why this VM accepts no requests at present, or None."""
        return stopping_refusal() if self.closed else self.unready()


def stopping_refusal() -> Refusal:
    """Return the refusal of a request that this VM does not begin any more."""
    return Refusal(RefusalCode.STOPPING, "this entry VM is stopping", STOPPING_RETRY)


def _identity_facts(arrival: Arrival) -> Facts:
    """Return the log fields that tell whether requests are alike."""
    return {
        "fingerprint": arrival.fingerprint(),
        "parts": SEPARATOR.join(arrival.shared_parts()),
        "organisation": arrival.organisation.name,
    }


def _ms_since(started: float) -> int:
    return round((monotonic() - started) * MILLISECONDS)
