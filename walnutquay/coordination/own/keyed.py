# Licensed under the Apache License 2.0: see LICENSE for details.

"""The path of requests to the own interface, which may carry idempotency keys."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.coordination.own.billing import Billing
from walnutquay.coordination.own.claims import ClaimResult, Claims
from walnutquay.coordination.own.configurations import Configurations
from walnutquay.coordination.own.health import VersionHealth
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.coordination.requests.outcomes import Arrival, Outcome, Unknown, Whole
from walnutquay.coordination.requests.pathparts import PathParts
from walnutquay.coordination.requests.paths import RequestPath
from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.requests.turn import Turn
from walnutquay.exceptions import NotStartedError
from walnutquay.state.own.claims import RepeatAction, RunState
from walnutquay.state.requests.fingerprints import fingerprint
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.requests.stages import Received, Unclaimed, receive_keyed

CLAIM_RETRY = 2.0
IN_PROGRESS_RETRY = 1.0
NOT_READY_RETRY = 1.0


@dataclass
class KeyedParts(PathParts):
    """The further components that requests to the own interface need.

    :param configurations: the configuration in force.
    :param claims: the claims of idempotency keys.
    :param billing: the bill records.
    :param health: the circuit breakers of versions.
    """

    configurations: Configurations
    claims: Claims
    billing: Billing
    health: VersionHealth


class KeyedPath(RequestPath):
    """Claims the idempotency key of a request before the request is processed.

    :param parts: the shared components.
    """

    parts: KeyedParts

    def __init__(self, parts: KeyedParts) -> None:
        super().__init__(parts)
        # Background tasks that bill callers that have disconnected and release claims.
        self.background = Tasks()

    async def begin(self, arrival: Arrival) -> Outcome:
        """Run a request, claiming its idempotency key first if it has one.

        :param arrival: the request.
        """
        if arrival.key:
            return await self._serve_keyed(arrival)
        return await super().begin(arrival)

    def unready(self) -> Refusal | None:
        """Return why this VM lacks the state to serve requests, or None."""
        if self.parts.configurations.ready:
            return None
        return Refusal(
            RefusalCode.NOT_READY,
            "this entry VM has no configuration yet",
            NOT_READY_RETRY,
        )

    def on_dispatch(self, turn: Turn, grant: Grant) -> None:
        """Mark the claim of a request as running when the request is sent.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        """
        if turn.arrival.key:
            self.parts.claims.mark_running(turn.arrival.request)

    def on_not_started(self, turn: Turn, grant: Grant, error: NotStartedError) -> None:
        """Mark the claim of a request as pending if the endpoint did not start it.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        :param error: the evidence that the request was not started.
        """
        if turn.arrival.key:
            self.parts.claims.mark_pending(turn.arrival.request)

    async def _serve_keyed(self, arrival: Arrival) -> Outcome:
        stage = receive_keyed(arrival.request)
        not_accepting = self.not_accepting()
        if not_accepting is not None:
            reason = f"{not_accepting.reason}; it was not asked whether the key has run"
            return self._claim_unavailable(stage, reason, not_accepting.retry_after)
        claims = self.parts.claims
        result = await claims.acquire(
            arrival.organisation.name,
            arrival.key,
            fingerprint(*arrival.identity()),
            arrival.request,
        )
        if not result.granted:
            return self._answer_repeat(stage, result)
        return await self._run_claimed(arrival, stage.granted())

    async def _run_claimed(self, arrival: Arrival, stage: Received) -> Outcome:
        claims = self.parts.claims
        progress = stage.progress
        outcome: Outcome | None = None
        try:
            outcome = await self.run(arrival, stage)
            return outcome
        finally:
            # This also runs if the caller has disconnected or an exception was raised.
            if isinstance(outcome, Whole):
                claims.finish(arrival.request, RunState.ANSWERED, outcome.answer)
            elif progress.may_have_run:
                if claims.table.runs[arrival.request].state is RunState.RUNNING:
                    claims.finish(arrival.request, RunState.UNKNOWN)
            else:
                claims.abandon(arrival.request)
                self.background.spawn(claims.release(arrival.request))

    def _claim_unavailable(
        self, stage: Unclaimed, reason: str, retry_after: float | None
    ) -> Unknown:
        return Unknown(
            stage.unknown(),
            reason,
            RefusalCode.CLAIM_UNAVAILABLE.value,
            503,
            retry_after,
        )

    def _answer_repeat(self, stage: Unclaimed, result: ClaimResult) -> Outcome:
        """Answer a request whose idempotency key is claimed by another request."""
        if result.action is RepeatAction.GIVE_ANSWER and result.answer is not None:
            stage.repeated()
            return Whole(result.answer, replayed=True)
        if result.action is RepeatAction.WAIT:
            return Unknown(
                stage.unknown(),
                "a request with this idempotency key is under way",
                RefusalCode.IN_PROGRESS.value,
                409,
                IN_PROGRESS_RETRY,
            )
        if result.action is RepeatAction.KEY_REUSED:
            return Unknown(
                stage.unknown(),
                "this idempotency key was used for another request",
                RefusalCode.KEY_REUSED.value,
                422,
            )
        if result.action is RepeatAction.SAY_UNKNOWN:
            return Unknown(
                stage.unknown(),
                "a request with this idempotency key was given to an endpoint, or "
                "may have been, and its outcome cannot be told",
            )
        reason = f"the idempotency key cannot be claimed now: {result.reason}"
        return self._claim_unavailable(stage, reason, CLAIM_RETRY)
