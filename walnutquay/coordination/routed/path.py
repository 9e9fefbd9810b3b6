# Licensed under the Apache License 2.0: see LICENSE for details.

"""The request path of the operators' routes: plain calls and streams."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

from walnutquay.coordination.requests.outcomes import Outcome, Streamed, Unknown, Whole
from walnutquay.coordination.requests.pathparts import PathParts
from walnutquay.coordination.requests.slots import Grant, SlotRequest
from walnutquay.coordination.routed.admission import RoutedAdmission
from walnutquay.coordination.routed.answermemory import AnswerMemory
from walnutquay.coordination.routed.answers import FailedAnswerError, to_whole_answer
from walnutquay.coordination.routed.bodies import read_body
from walnutquay.coordination.routed.budgets import RetryBudgets
from walnutquay.coordination.routed.calls import EndpointCalls
from walnutquay.coordination.routed.cascading import Cascading
from walnutquay.coordination.routed.facts import RoutedFacts
from walnutquay.coordination.routed.failures import (
    REFUSED_RETRY_SECONDS,
    RoutedFailures,
)
from walnutquay.coordination.routed.plainanswers import PlainForwarder
from walnutquay.coordination.routed.ports import Dialect, VersionPolicy
from walnutquay.coordination.routed.prospects import Prospects
from walnutquay.coordination.routed.stalls import OutOfTimeError
from walnutquay.coordination.routed.streaming import StreamForwarder
from walnutquay.coordination.routed.tunnels import Tunnels
from walnutquay.coordination.routed.turn import RoutedArrival, RoutedTurn
from walnutquay.coordination.store.knowledge import Knowledge
from walnutquay.exceptions import EndpointError
from walnutquay.protocol.calls import AnswerHead
from walnutquay.protocol.streams import StreamProgress
from walnutquay.state.own.claims import WholeAnswer
from walnutquay.state.process.events import Facts
from walnutquay.state.process.ids import EndpointName
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.requests.stages import Continuing, Dispatched, Received
from walnutquay.transport.client import HttpClient
from walnutquay.transport.timers import monotonic

# Retry-After while the store's state is not loaded.
NOT_READY_RETRY_SECONDS = 0.5
# The client's timers fire at most this long before the deadline.
TIMER_SLACK_SECONDS = 0.02
CODE_TIMEOUT = "timeout"
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
RETRY_AFTER = "retry-after"
# The index of the first model in a cascade.  Its confidence shows whether its answer
# is good enough, at a small part of the larger models' reading time and cost.
SMALLEST_MODEL = 0


class RoutedPath(RoutedFailures):
    """Serves requests on the operators' routes.

    :param parts: the components shared by all request paths.
    :param admission: grants slots at endpoints and learns the reading times of prompts.
    :param knowledge: the state read from the store.
    :param client: the HTTP client for endpoints.
    :param dialect: encodes request heads and decodes response heads.
    :param cascading: decides whether a larger model answers.
    :param versions: chooses among versions during a roll-out.
    :param budgets: the retry budgets of this VM.
    :param tunnels: makes connections through other VMs.
    :param memory: limits what is held of all answers.
    """

    def __init__(
        self,
        parts: PathParts,
        admission: RoutedAdmission,
        knowledge: Knowledge,
        client: HttpClient,
        dialect: Dialect,
        cascading: Cascading,
        versions: VersionPolicy,
        budgets: RetryBudgets,
        tunnels: Tunnels,
        memory: AnswerMemory,
    ) -> None:
        super().__init__(parts, admission, budgets)
        self.memory = memory
        self.knowledge = knowledge
        self.calls = EndpointCalls(
            client, dialect, admission, budgets, tunnels, self.stalls
        )
        self.cascading = cascading
        self.versions = versions
        self.budgets = budgets
        self.prospects = Prospects(self.context, admission)
        self.facts = RoutedFacts(knowledge, admission, parts.table)
        self.streams = StreamForwarder(
            self.context, admission, versions, self.facts, self.budgets, self.stalls
        )
        self.plain = PlainForwarder(self.context, self.facts, memory)

    def facts_received(self, arrival: RoutedArrival) -> Facts:
        """Return the log fields of a request that was received.

        :param arrival: the request.
        """
        return self.facts.received(arrival)

    def facts_dispatched(self, turn: RoutedTurn, grant: Grant) -> Facts:
        """Return the log fields of a request that is being dispatched.

        :param turn: the request.
        :param grant: the slot that it was granted.
        """
        return self.facts.dispatched(turn, grant)

    def facts_state_age(self) -> Facts:
        """Return the log fields that give the age of this VM's state."""
        return self.facts.state_age()

    def unready(self) -> Refusal | None:
        """Return a refusal while the store's state is not loaded, else None."""
        if self.knowledge.ready:
            return None
        return Refusal(
            RefusalCode.NOT_READY,
            "this entry VM does not know the configuration yet",
            NOT_READY_RETRY_SECONDS,
        )

    async def run(self, arrival: RoutedArrival, stage: Received) -> Outcome:
        """Choose the service and first model of an accepted request, and run it.

        :param arrival: the request.
        :param stage: its stage.
        """
        route = arrival.route
        service = route.destination(self.context.rng.random())
        router_chooses_model = route.models and arrival.head.any_model
        turn = RoutedTurn(
            arrival,
            service,
            SMALLEST_MODEL if router_chooses_model else None,
            StreamProgress(arrival.head.last_event),
        )
        refusal = self.prospects.refusal(turn)
        if refusal is not None:
            return self.refuse(stage, refusal)
        self.budgets.of(service).first_try()
        return await self.attempts(turn, stage)

    def may_retry(self, turn: RoutedTurn) -> bool:
        """Return whether the retry budget allows one more attempt, and charge it.

        :param turn: the request.
        """
        return self.budgets.charge(turn)

    def slot_request(self, turn: RoutedTurn) -> SlotRequest:
        """Choose the version that serves a request and describe the slot it needs.

        :param turn: the request.
        :returns: the slot that is requested.
        """
        arrival = turn.arrival
        turn.choice = self.versions.version_for(turn)
        scarce = turn.work is None and self.admission.are_scarce(turn.service)
        return replace(
            super().slot_request(turn),
            version=turn.choice.version if turn.choice is not None else "",
            work=turn.work,
            aim=arrival.route.objective_seconds,
            pause=arrival.route.pause_seconds,
            priority=arrival.priority,
            regions=turn.regions,
            route=arrival.route.name,
            content=arrival.fingerprint() if scarce else None,
        )

    def no_longer_allowed(self, turn: RoutedTurn) -> Refusal | None:
        """Return the refusal of a request that may no longer be sent.

        :param turn: the request.
        :returns: the refusal, or None while the request may be sent.
        """
        if turn.last_refusal is not None:
            return turn.last_refusal
        if turn.seconds_left() > 0:
            return None
        return Refusal(RefusalCode.DEADLINE, "the request's time is over")

    def on_dispatch(self, turn: RoutedTurn, grant: Grant) -> None:
        """Count an attempt, and report it to the version policy.

        :param turn: the request that is being dispatched.
        :param grant: the slot that it was granted.
        """
        turn.note_sent()
        self.versions.began(turn, grant)

    def on_broken(self, turn: RoutedTurn, grant: Grant) -> None:
        """Report an answer that broke off to the version policy.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        """
        self.versions.failed(turn, grant, broke=True)

    async def abandon(
        self, turn: RoutedTurn, running: Dispatched, error: EndpointError
    ) -> Outcome:
        """End a request whose last attempt has failed.

        :param turn: the request.
        :param running: its stage.
        :param error: the failure of the last attempt.
        """
        self.budgets.give_back(turn)
        if turn.progress.begun:
            running.unknown()
            return Streamed(whole=False)
        if isinstance(error, FailedAnswerError):
            running.answered()
            return self._failed_answer(turn, error.answer)
        ends_now = isinstance(error, OutOfTimeError)
        if ends_now or turn.seconds_left() <= TIMER_SLACK_SECONDS:
            reason = "no answer came in time"
            return Unknown(running.unknown(), reason, CODE_TIMEOUT, 504)
        return Unknown(running.unknown(), f"the endpoint failed: {error}")

    async def no_slot(
        self, turn: RoutedTurn, stage: Received | Continuing, refusal: Refusal
    ) -> Outcome:
        """End a request that was granted no slot.

        :param turn: the request.
        :param stage: its stage.
        :param refusal: the reason.
        """
        self.budgets.give_back(turn)
        if turn.progress.begun and isinstance(stage, Continuing):
            stage.unknown()
            return Streamed(whole=False)
        blocked = refusal.code is RefusalCode.ENDS_ENDPOINTS
        answer = turn.failed_answer
        if isinstance(stage, Continuing) and answer is not None and not blocked:
            # The endpoint's own error tells the caller more than the missing slot.
            stage.answered()
            return self._failed_answer(turn, answer)
        return await super().no_slot(turn, stage, refusal)

    def _failed_answer(self, turn: RoutedTurn, answer: WholeAnswer) -> Whole:
        """Return an endpoint's failure to the caller.

        A time to return that the endpoint gives is meant for this VM; the caller's own
        takes its place.
        """
        given = any(name.lower() == RETRY_AFTER for name, _ in answer.headers)
        if answer.status != STATUS_UNAVAILABLE or not given:
            return Whole(answer)
        wait = self.admission.backoff_seconds(turn.service)
        return Whole(answer, retry_after=max(REFUSED_RETRY_SECONDS, wait))

    # The exchange with one endpoint.

    async def exchange(
        self, turn: RoutedTurn, running: Dispatched, grant: Grant
    ) -> Outcome | Received | Continuing:
        """Send a request to an endpoint and pass its answer on.

        :param turn: the request.
        :param running: its stage.
        :param grant: the slot that it was granted.
        """
        try:
            return await self._exchange(turn, running, grant)
        finally:
            # Also when the caller disconnected: the session was in use until now.
            self.versions.left(turn, grant)

    async def _exchange(
        self, turn: RoutedTurn, running: Dispatched, grant: Grant
    ) -> Outcome | Received | Continuing:
        started = monotonic()
        async with self.calls.open(turn, grant) as answer:
            head = self.calls.read_head(turn, grant, answer)
            grant.began = monotonic()
            seconds = grant.began - started
            self.admission.answer_began(grant, seconds)
            # Once a stream has begun, only a 200 answer can continue it.
            cannot_resume = turn.progress.begun and head.status != STATUS_OK
            if head.status >= 500 or cannot_resume:
                body = await read_body(answer, grant.name, self.memory)
                self.on_whole_answer(turn, grant, written=False)
                overloaded = head.announced.backoff_seconds is not None
                if not overloaded:
                    self.versions.failed(turn, grant)
                raise FailedAnswerError(
                    to_whole_answer(head, body), peer=grant.name, overloaded=overloaded
                )
            self.versions.answer_began(turn, grant, seconds)
            if turn.streamed and head.status == STATUS_OK:
                may_retry = partial(self.may_retry, turn)
                larger_model = self.cascading.larger(turn, grant.name, head, may_retry)
                if larger_model is not None:
                    turn.model = larger_model
                    return running.proceed()
                pace_evaluated = await self.streams.forward(
                    turn, head, answer, grant, seconds
                )
                self._learn(turn, grant, head, seconds, pace_evaluated)
                running.answered()
                return Streamed(whole=True)
            body = await self.plain.read(turn, head, answer, grant, seconds)
        self._learn(turn, grant, head, seconds)
        running.answered()
        if body is None:
            return Streamed(whole=True)
        return Whole(to_whole_answer(head, body))

    def _learn(
        self,
        turn: RoutedTurn,
        grant: Grant,
        head: AnswerHead,
        seconds: float,
        pace_evaluated: bool = False,
    ) -> None:
        kind = f"{turn.target}/{turn.arrival.route.name}/{turn.model}"
        now = monotonic()
        grant.took = now - grant.started
        self.parts.table.succeeded(EndpointName(grant.name), kind, seconds, now)
        self.on_whole_answer(turn, grant, written=head.status == STATUS_OK)
        self.on_success(turn)
        if not pace_evaluated:
            self.versions.succeeded(turn, grant, seconds)
