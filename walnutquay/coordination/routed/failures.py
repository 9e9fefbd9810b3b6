# Licensed under the Apache License 2.0: see LICENSE for details.

"""What it means for a routed request, and for an endpoint, that an attempt failed."""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from expression import Error, Result

from walnutquay.coordination.requests.outcomes import Outcome
from walnutquay.coordination.requests.pathparts import PathParts
from walnutquay.coordination.requests.paths import RequestPath, stopping_refusal
from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.routed.admission import RoutedAdmission
from walnutquay.coordination.routed.answers import FailedAnswerError
from walnutquay.coordination.routed.budgets import RetryBudgets
from walnutquay.coordination.routed.plainanswers import BegunAnswerError
from walnutquay.coordination.routed.stalls import OutOfTimeError, Stalls
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.exceptions import EndpointError, NotStartedError
from walnutquay.state.requests.crashtypes import CrashTarget
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.requests.stages import Continuing, Dispatched, Received
from walnutquay.state.routed.retrypauses import QuickFailure, retry_pause
from walnutquay.state.store.instances import Instance
from walnutquay.transport.client import (
    STEP_BROKEN,
    STEP_CONNECT,
    STEP_EXCHANGE,
    STEP_FORWARDER,
    STEP_REACH,
    STEP_SILENT,
    STEP_STREAM,
    STEP_WITHHELD,
)
from walnutquay.transport.timers import monotonic

# A request is refused once more endpoints than this did not start it.
MAX_REFUSALS = 3
# Retry-After when the chosen endpoints did not start the request.
REFUSED_RETRY_SECONDS = 0.5
# The steps of errors that a lost link may cause.
LINK_STEPS = (STEP_BROKEN, STEP_SILENT, STEP_EXCHANGE, STEP_STREAM)


class RoutedFailures(RequestPath):
    """The part of the routed request path that handles failed attempts.

    :param parts: the components shared by all request paths.
    :param admission: grants slots at endpoints.
    :param budgets: the retry budgets of this VM.
    """

    def __init__(
        self, parts: PathParts, admission: RoutedAdmission, budgets: RetryBudgets
    ) -> None:
        super().__init__(parts)
        self.admission = admission
        self.stalls = Stalls(self.context, admission, budgets)
        # The waits for slots of requests that no endpoint can have begun.
        self.first_waits: set[asyncio.Timeout] = set()

    def stop_sending(self) -> None:
        """Refuse new requests, and those that still wait for their first slot.

        They could take longer than the time until this VM exits.
        """
        self.closed = True
        now = asyncio.get_running_loop().time()
        for wait in self.first_waits:
            wait.reschedule(now)

    async def _failed(
        self, turn: RoutedTurn, running: Dispatched, grant: Grant, error: EndpointError
    ) -> Outcome | Continuing:
        """Retry at another endpoint if allowed, after a pause if it failed quickly."""
        if isinstance(error, OutOfTimeError | BegunAnswerError):
            await self.note_failure(turn, grant, error)
            return await self.abandon(turn, running, error)
        took = monotonic() - grant.started
        result = await super()._failed(turn, running, grant, error)
        if isinstance(result, Continuing) and not self.closed:
            turn.retry_pause = self._retry_pause(turn, grant, took)
        return result

    async def _acquire_slot(
        self, turn: RoutedTurn, stage: Received | Continuing
    ) -> Result[Grant, Refusal]:
        """Acquire a slot, after the pause that the last attempt calls for."""
        pause, turn.retry_pause = turn.retry_pause, 0.0
        if pause:
            await asyncio.sleep(pause)
        if isinstance(stage, Continuing):
            return await super()._acquire_slot(turn, stage)
        if self.closed:
            return Error(stopping_refusal())
        try:
            async with asyncio.timeout(None) as wait:
                self.first_waits.add(wait)
                try:
                    return await super()._acquire_slot(turn, stage)
                finally:
                    self.first_waits.discard(wait)
        except TimeoutError:
            return Error(stopping_refusal())

    def _retry_pause(self, turn: RoutedTurn, grant: Grant, took: float) -> float:
        """Return how long to wait before the next attempt; seconds."""
        usual = self.stalls.usual_anywhere(turn, grant)
        if usual is None or not self.stalls.applies_to(turn):
            return 0.0
        arrival = turn.arrival
        failure = QuickFailure(
            attempts=turn.sends,
            took=took,
            age=monotonic() - arrival.arrived_at,
            seconds_left=turn.seconds_left(),
            objective=arrival.route.objective_seconds,
            expected=usual.high,
            pause_aim=arrival.route.pause_seconds if turn.progress.events else None,
        )
        return retry_pause(failure, self.context.rng.random())

    def on_not_started(
        self, turn: RoutedTurn, grant: Grant, error: NotStartedError
    ) -> None:
        """Decide whether to try another endpoint for a request that was not started.

        :param turn: the request.
        :param grant: the slot at the endpoint that did not start it.
        :param error: how this was established.
        """
        withheld = error.step == STEP_WITHHELD
        if withheld or error.step in (STEP_CONNECT, STEP_REACH):
            turn.note_not_reached()
        if error.step in (STEP_CONNECT, STEP_REACH):
            self.admission.mark_unreachable(grant, error.step == STEP_REACH)
        turn.sends -= 1
        turn.refusals += 1
        # An endpoint that backs off may be asked again when that is over, and one that
        # is draining if no other can run the request.
        backs_off = self.admission.limits.backoffs.seconds_left(grant.name, monotonic())
        if not (withheld or backs_off):
            turn.tried |= {grant.name}
        if turn.refusals > MAX_REFUSALS or not self.may_retry(turn):
            wait = self.admission.backoff_seconds(turn.service)
            turn.last_refusal = Refusal(
                RefusalCode.NO_ENDPOINT,
                f"{turn.refusals} endpoints of {turn.service} did not take it",
                max(REFUSED_RETRY_SECONDS, wait),
            )

    def targets(self, turn: RoutedTurn) -> Collection[CrashTarget]:
        """Return the versions that run a request's service now.

        :param turn: the request.
        """
        versions = self.admission.registry.versions_of(turn.service)
        return {CrashTarget(turn.service, version) for version in versions}

    def count_not_reached(self, turn: RoutedTurn, grant: Grant) -> None:
        """Count nothing: an endpoint that is not reached is avoided while it is not.

        If it were ejected too, it would stay so after this VM's links work again.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        """

    async def link_is_lost(
        self, turn: RoutedTurn, grant: Grant, error: EndpointError
    ) -> bool:
        """Return whether an attempt failed because of this VM's link to the endpoint.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        :param error: how it failed.
        """
        if error.step == STEP_FORWARDER:
            return True
        if error.step not in LINK_STEPS or not self.is_current(grant):
            return False
        if grant.via is not None and error.step != STEP_BROKEN:
            return False
        assert isinstance(grant.endpoint, Instance)
        return await self.admission.reachability.link_is_lost(grant.endpoint)

    def is_current(self, grant: Grant) -> bool:
        """Return whether no later start of the endpoint is known.

        :param grant: a slot at the endpoint.
        """
        assert isinstance(grant.endpoint, Instance)
        return self.admission.registry.is_current(grant.endpoint)

    def on_crashed(self, turn: RoutedTurn, grant: Grant) -> None:
        """Allow another attempt although the route's attempts may be used up.

        Attempts limit how many endpoints work on one request at the same time, and an
        endpoint that has crashed no longer works on it.

        :param turn: the request that the endpoint was running.
        :param grant: the slot at the endpoint that crashed.
        """
        if not self.admission.limits.places.has_overflowed(grant.name):
            super().on_crashed(turn, grant)
        turn.sends -= 1
        if self.is_current(grant):
            self.admission.mark_unreachable(grant, silent=False)

    def on_failed(self, turn: RoutedTurn, grant: Grant, error: EndpointError) -> None:
        """Record a failed attempt.

        :param turn: the request.
        :param grant: the slot at the endpoint that failed.
        :param error: the failure.
        """
        if isinstance(error, FailedAnswerError):
            turn.failed_answer = error.answer
        if error.step == STEP_SILENT:
            # No data was acknowledged, so the request did not reach the endpoint.
            turn.note_not_reached()
            self.admission.mark_unreachable(grant, silent=True)

    def count_failure(
        self, turn: RoutedTurn, grant: Grant, error: EndpointError
    ) -> None:
        """Update the state of an endpoint after a failure, unless it is overloaded.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        :param error: how it failed.
        """
        if not (isinstance(error, FailedAnswerError) and error.overloaded):
            super().count_failure(turn, grant, error)
