# Licensed under the Apache License 2.0: see LICENSE for details.

"""The path of requests on the operators' routes: plain calls and streams."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

from walnutquay.coordination.requests.outcomes import Outcome, Streamed, Unknown, Whole
from walnutquay.coordination.requests.pathparts import PathParts
from walnutquay.coordination.requests.paths import RequestPath
from walnutquay.coordination.requests.places import Grant, Need
from walnutquay.coordination.routed.answers import FailedAnswerError, as_whole
from walnutquay.coordination.routed.bodies import WatchedExchange, whole_body
from walnutquay.coordination.routed.budgets import RetryBudgets
from walnutquay.coordination.routed.calls import EndpointCalls
from walnutquay.coordination.routed.cascading import Cascading
from walnutquay.coordination.routed.facts import RoutedFacts
from walnutquay.coordination.routed.places import RoutedPlaces
from walnutquay.coordination.routed.ports import Dialect, VersionPolicy
from walnutquay.coordination.routed.streaming import StreamPassing, tried_every
from walnutquay.coordination.routed.turn import RoutedArrival, RoutedTurn
from walnutquay.coordination.store.knowledge import Knowledge
from walnutquay.exceptions import EndpointError, NotStartedError
from walnutquay.protocol.streams import StreamProgress
from walnutquay.state.process.events import Facts
from walnutquay.state.process.ids import EndpointName
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.requests.stages import Continuing, Dispatched, Received
from walnutquay.state.store.instances import Instance
from walnutquay.transport.client import (
    STEP_CONNECT,
    STEP_REACH,
    STEP_SILENT,
    Exchange,
    HttpClient,
)
from walnutquay.transport.timers import monotonic

# A request that so many endpoints have turned away is refused, not sent on.
MAX_REFUSALS = 3
# When to come back where the chosen endpoints had no room.
TURNED_AWAY_RETRY = 0.5
# When to come back where this VM does not know enough yet.
UNREADY_RETRY = 0.5
# Timers of the client fire this much before the deadline at the most.
TIMER_SECONDS = 0.02
CODE_TIMEOUT = "timeout"
STATUS_OK = 200
# The index of the model that is asked first: its opinion tells whether it will do, and
# it reads and costs a small part of what the others do.
SMALLEST = 0


class RoutedPath(RequestPath):
    """Serves requests on the operators' routes.

    :param parts: what it works with.
    :param places: the places at endpoints, which learn how long reading takes.
    :param knowledge: what is known from the store.
    :param client: the connections to endpoints.
    :param dialect: writes and reads heads.
    :param cascading: chooses among models by size.
    :param versions: chooses among versions while one is rolled out.
    :param budgets: this VM's retry budgets.
    """

    def __init__(
        self,
        parts: PathParts,
        places: RoutedPlaces,
        knowledge: Knowledge,
        client: HttpClient,
        dialect: Dialect,
        cascading: Cascading,
        versions: VersionPolicy,
        budgets: RetryBudgets,
    ) -> None:
        super().__init__(parts)
        self.places = places
        self.knowledge = knowledge
        self.calls = EndpointCalls(client, dialect, places, budgets, parts.table)
        self.cascading = cascading
        self.versions = versions
        self.budgets = budgets
        self.facts = RoutedFacts(knowledge, places, parts.table)
        self.streams = StreamPassing(
            self.context, places, versions, self.facts, self.budgets
        )

    def facts_received(self, arrival: RoutedArrival) -> Facts:
        """:param arrival: a request, for the log."""
        return self.facts.received(arrival)

    def facts_dispatched(self, turn: RoutedTurn, grant: Grant) -> Facts:
        """:param turn: a request that is sent now, for the log.

        :param grant: the endpoint.
        """
        return self.facts.dispatched(turn, grant)

    def facts_known(self) -> Facts:
        """:returns: how old what this VM knows is."""
        return self.facts.known()

    def unready(self) -> Refusal | None:
        """:returns: why this VM knows too little to serve, or None."""
        if self.knowledge.ready:
            return None
        return Refusal(
            RefusalCode.NOT_READY,
            "this entry VM does not know the configuration yet",
            UNREADY_RETRY,
        )

    async def run(self, arrival: RoutedArrival, stage: Received) -> Outcome:
        """Serve a request that may be run.

        :param arrival: the request.
        :param stage: its stage.
        """
        route = arrival.route
        service = route.destination(self.context.rng.random())
        chosen = route.models and arrival.head.any_model
        turn = RoutedTurn(
            arrival,
            service,
            SMALLEST if chosen else None,
            StreamProgress(arrival.head.last_event),
        )
        self.budgets.of(service).first_try()
        return await self.attempts(turn, stage)

    def may_retry(self, turn: RoutedTurn) -> bool:
        """:param turn: a request that is to be sent once more."""
        if turn.prepaid:
            turn.prepaid = False
            return True
        return self.budgets.of(turn.service).take()

    def need_of(self, turn: RoutedTurn) -> Need:
        """:param turn: the request.

        :returns: what it needs a place for now.
        """
        arrival = turn.arrival
        turn.choice = self.versions.version_for(turn)
        return replace(
            super().need_of(turn),
            version=turn.choice.version if turn.choice is not None else "",
            work=turn.work,
            aim=arrival.route.objective_seconds,
            priority=arrival.priority,
            regions=turn.regions,
        )

    def still_allowed(self, turn: RoutedTurn) -> Refusal | None:
        """:param turn: the request.

        :returns: why it may not be sent any more, or None.
        """
        if turn.last_refusal is not None:
            return turn.last_refusal
        if turn.seconds_left() > 0:
            return None
        return Refusal(RefusalCode.DEADLINE, "the request's time is over")

    def on_dispatch(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: a request that is sent now.

        :param grant: the endpoint.
        """
        turn.sends += 1
        self.versions.began(turn, grant)

    def on_not_started(
        self, turn: RoutedTurn, grant: Grant, error: NotStartedError
    ) -> None:
        """Decide whether another endpoint may be asked.

        :param turn: a request that an endpoint did not begin.
        :param grant: the endpoint.
        :param error: how that is known.
        """
        if error.step in (STEP_CONNECT, STEP_REACH):
            # Nothing arrived there, so the next arrival is no repeated one.
            turn.prepaid = True
            self.places.unreached(grant, error.step == STEP_REACH)
        turn.sends -= 1
        turn.refusals += 1
        turn.tried |= {grant.name}
        if turn.refusals > MAX_REFUSALS or not self.may_retry(turn):
            turn.last_refusal = Refusal(
                RefusalCode.NO_ENDPOINT,
                f"{turn.refusals} endpoints of {turn.service} did not take it",
                TURNED_AWAY_RETRY,
            )

    def is_current(self, grant: Grant) -> bool:
        """:param grant: an endpoint.

        :returns: whether no later start of it is known.
        """
        assert isinstance(grant.endpoint, Instance)
        return self.places.registry.is_current(grant.endpoint)

    def on_ended(self, turn: RoutedTurn, grant: Grant) -> None:
        """Let another endpoint be asked though all attempts are used up.

        Attempts bound how many endpoints work on one request; this one does no more.

        :param turn: a request whose endpoint has ended.
        :param grant: the endpoint.
        """
        super().on_ended(turn, grant)
        turn.sends -= 1
        if self.is_current(grant):
            self.places.unreached(grant, silent=False)

    def on_failed(self, turn: RoutedTurn, grant: Grant, error: EndpointError) -> None:
        """:param turn: a request that failed.

        :param grant: the endpoint.
        :param error: how it failed.
        """
        if isinstance(error, FailedAnswerError):
            turn.failed_answer = error.answer
        if error.step == STEP_SILENT:
            # What was sent was never acknowledged: it has not arrived.
            turn.prepaid = True
            self.places.unreached(grant, silent=True)

    async def give_up(
        self, turn: RoutedTurn, running: Dispatched, error: EndpointError
    ) -> Outcome:
        """End a request whose last try has failed.

        :param turn: the request.
        :param running: its stage.
        :param error: how it failed.
        """
        if turn.progress.begun:
            running.unknown()
            return Streamed(whole=False)
        if isinstance(error, FailedAnswerError):
            running.answered()
            return Whole(error.answer)
        if turn.seconds_left() <= TIMER_SECONDS:
            reason = "no answer came in time"
            return Unknown(running.unknown(), reason, CODE_TIMEOUT, 504)
        return Unknown(running.unknown(), f"the endpoint failed: {error}")

    async def no_place(
        self, turn: RoutedTurn, stage: Received | Continuing, refusal: Refusal
    ) -> Outcome:
        """End a request for which there is no place.

        :param turn: the request.
        :param stage: its stage.
        :param refusal: why.
        """
        if turn.progress.begun and isinstance(stage, Continuing):
            stage.unknown()
            return Streamed(whole=False)
        blocked = refusal.code is RefusalCode.ENDS_ENDPOINTS
        answer = turn.failed_answer
        if isinstance(stage, Continuing) and answer is not None and not blocked:
            # It tells the caller more than that nobody else could be asked.
            stage.answered()
            return Whole(answer)
        return await super().no_place(turn, stage, refusal)

    # One endpoint.

    async def exchange(
        self, turn: RoutedTurn, running: Dispatched, grant: Grant
    ) -> Outcome | Received | Continuing:
        """Talk to an endpoint.

        :param turn: the request.
        :param running: its stage.
        :param grant: the endpoint.
        """
        try:
            return await self._exchange(turn, running, grant)
        finally:
            # Also where the caller has left: the session has been in use until now.
            self.versions.left(turn, grant)

    async def _exchange(
        self, turn: RoutedTurn, running: Dispatched, grant: Grant
    ) -> Outcome | Received | Continuing:
        started = monotonic()
        async with self._watched(turn, self.calls.send(turn, grant), grant) as answer:
            head = self.calls.read_head(grant, answer)
            grant.began = monotonic()
            seconds = grant.began - started
            self.places.began(grant, seconds)
            # Once a stream has begun, only a 200 answer can continue it.
            cannot_resume = turn.progress.begun and head.status != STATUS_OK
            if head.status >= 500 or cannot_resume:
                body = await whole_body(answer, grant.name)
                self.on_whole(turn, grant)
                self.versions.failed(turn, grant)
                raise FailedAnswerError(as_whole(head, body), peer=grant.name)
            self.versions.answer_began(turn, grant, seconds)
            if turn.streamed and head.status == STATUS_OK:
                may_retry = partial(self.may_retry, turn)
                larger = self.cascading.larger(turn, grant.name, head, may_retry)
                if larger is not None:
                    turn.model = larger
                    return running.go_on()
                judged = await self.streams.pass_on(turn, head, answer, grant, seconds)
                self._learn(turn, grant, seconds, judged)
                running.answered()
                return Streamed(whole=True)
            body = await whole_body(answer, grant.name)
        self._learn(turn, grant, seconds)
        running.answered()
        return Whole(as_whole(head, body))

    def _watched(
        self, turn: RoutedTurn, exchange: Exchange, grant: Grant
    ) -> Exchange | WatchedExchange:
        """Have an endpoint tried that does not answer, where another may be asked."""
        if not (turn.streamed and turn.repeatable):
            return exchange
        return WatchedExchange(
            exchange, tried_every(turn), lambda: self.places.still_there(grant)
        )

    def _learn(
        self, turn: RoutedTurn, grant: Grant, seconds: float, judged: bool = False
    ) -> None:
        kind = f"{turn.target}/{turn.arrival.route.name}/{turn.model}"
        now = monotonic()
        self.parts.table.succeeded(EndpointName(grant.name), kind, seconds, now)
        self.on_whole(turn, grant)
        self.on_answered(turn)
        if not judged:
            self.versions.succeeded(turn, grant, seconds)
