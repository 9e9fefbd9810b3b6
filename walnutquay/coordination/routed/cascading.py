# Licensed under the Apache License 2.0: see LICENSE for details.

"""Decides whether a larger model answers a routed request, and learns from results."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.routed.admission import RoutedAdmission
from walnutquay.coordination.routed.facts import whole_ms
from walnutquay.coordination.routed.promptengines import PromptEngines
from walnutquay.coordination.routed.turn import ModelConfidence, RoutedTurn
from walnutquay.coordination.store.knowledge import Knowledge
from walnutquay.protocol.calls import AnswerHead
from walnutquay.protocol.messages import Envelope, Message, OpinionNews
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, ModelName, VmName
from walnutquay.state.routed.gains import GainRow
from walnutquay.state.routed.modelchoice import (
    CascadeDecision,
    ChoiceContext,
    Forecast,
    ModelChoice,
)
from walnutquay.transport.timers import monotonic

# The number of decimal places of logged values.
LOG_DIGITS = 3
# The interval at which VMs exchange what they have learnt.  A new VM has it within two
# intervals, and a row takes some 60 bytes.
SEND_SECONDS = 2.0


class Peers(Protocol):
    """The other entry VMs."""

    def send_to_some(self, body: Message) -> None:
        """Send a message to some of the VMs; it may be lost.

        :param body: the message.
        """


class Cascading:
    """Chooses the model that answers next.

    :param context: the state shared within this process.
    :param knowledge: the state read from the store; here the prices of models.
    :param admission: estimates how soon each model could begin to answer.
    :param choice: evaluates the models.
    :param peers: the other VMs, which receive what this one has learnt.
    """

    def __init__(
        self,
        context: Context,
        knowledge: Knowledge,
        admission: RoutedAdmission,
        choice: ModelChoice,
        peers: Peers,
    ) -> None:
        self.context = context
        self.knowledge = knowledge
        self.admission = admission
        self.choice = choice
        self.peers = peers
        # The rows that were sent last; they are sent again only when there are more.
        self.sent_rows: tuple[GainRow, ...] = ()

    def start(self) -> None:
        """Start to send the other VMs what is learnt here."""
        self.context.timers.every("opinions", SEND_SECONDS, self.send_gains)

    def send_gains(self) -> None:
        """Send the other VMs what this one has learnt, if it has changed."""
        rows = self.choice.gains.rows()
        if rows != self.sent_rows:
            self.sent_rows = rows
            self.peers.send_to_some(OpinionNews(rows))

    def receive(self, envelope: Envelope) -> None:
        """Apply what another VM has learnt.

        :param envelope: the message.
        """
        body = envelope.body
        assert isinstance(body, OpinionNews)
        self.choice.gains.apply_peer_rows(VmName(envelope.vm), body.rows)

    def larger(
        self,
        turn: RoutedTurn,
        endpoint: EndpointName,
        head: AnswerHead,
        take_retry: Callable[[], bool],
    ) -> int | None:
        """Decide whether a larger model answers instead of the current one.

        :param turn: the request.
        :param endpoint: the endpoint that answers it.
        :param head: the answer's head.
        :param take_retry: returns whether a retry is allowed, and charges it if so.
        :returns: the index of the larger model; None to keep the answer.
        """
        if turn.model is None or turn.progress.begun or head.confidence is None:
            return None
        self.learn(turn, head.confidence)
        if turn.model >= len(turn.arrival.route.models) - 1:
            return None
        decision, case = self.decide(turn, head.confidence)
        if decision.larger is None or not turn.repeatable or not take_retry():
            return None
        turn.first_confidence = ModelConfidence(turn.model, head.confidence)
        self.log_escalation(turn, endpoint, decision, case)
        return decision.larger

    def learn(self, turn: RoutedTurn, confidence: float) -> None:
        """Learn from the confidence of a model that answers after a smaller one.

        :param turn: the request.
        :param confidence: the model's confidence in its answer.
        """
        first = turn.first_confidence
        if first is None or turn.model is None or turn.model == first.model:
            return
        route = turn.arrival.route
        self.choice.learn(route, first.model, first.confidence, turn.model, confidence)

    def decide(
        self, turn: RoutedTurn, confidence: float
    ) -> tuple[CascadeDecision, ChoiceContext]:
        """Decide about an answer of which nothing was sent to the caller yet.

        :param turn: the request.
        :param confidence: the model's confidence in its answer.
        :returns: the decision and its inputs.
        """
        assert turn.model is not None
        case = self.case_of(turn)
        return self.choice.next(case, turn.model, confidence), case

    def case_of(self, turn: RoutedTurn) -> ChoiceContext:
        """Collect the inputs of the decision about a request.

        :param turn: the request.
        """
        arrival = turn.arrival
        now = monotonic()
        return ChoiceContext(
            arrival.route,
            arrival.priority,
            now - arrival.arrived_at,
            arrival.deadline - now,
            self.admission.demand(turn.service),
            self._forecasts(turn),
        )

    def _forecasts(self, turn: RoutedTurn) -> list[Forecast]:
        """Estimate the waiting and reading time of each larger model.

        Smaller models are not considered.
        """
        route = turn.arrival.route
        current_model = -1 if turn.model is None else turn.model
        engines = self.admission.engines_for(turn.service, turn.regions)
        return [
            self._forecast(turn, model, engines)
            if index > current_model
            else Forecast(math.inf, 0.0, self._cost(turn, model))
            for index, model in enumerate(route.models)
        ]

    def _forecast(
        self, turn: RoutedTurn, model: ModelName, engines: PromptEngines | None
    ) -> Forecast:
        cost = self._cost(turn, model)
        work = turn.work_of(model)
        if work is None:
            return Forecast(0.0, 0.0, cost)
        if engines is None:
            return Forecast(math.inf, 0.0, cost)
        route = turn.arrival.route
        wait, reading = engines.forecast(
            work, route.objective_seconds, route.pause_seconds
        )
        return Forecast(wait, reading, cost)

    def _cost(self, turn: RoutedTurn, model: ModelName) -> float:
        catalogue = self.knowledge.catalogue.current
        service = catalogue.services.get(turn.service) if catalogue else None
        models = service.models if service is not None else ()
        return next((item.cost for item in models if item.name == model), 0.0)

    def log_escalation(
        self,
        turn: RoutedTurn,
        endpoint: EndpointName,
        decision: CascadeDecision,
        case: ChoiceContext,
    ) -> None:
        """Log that a larger model is used, with the inputs of the decision.

        :param turn: the request.
        :param endpoint: the endpoint whose answer is dropped.
        :param decision: the decision to use it.
        :param case: the inputs of the decision.
        """
        assert decision.larger is not None and turn.first_confidence is not None
        forecast = case.forecasts[decision.larger]
        self.context.metrics.count("escalated")
        self.context.timeline.emit(
            EventKind.ESCALATED,
            request=turn.arrival.request,
            endpoint=endpoint,
            version=turn.arrival.route.models[decision.larger],
            detail="a larger model's answer is worth more",
            confidence=turn.first_confidence.confidence,
            value=round(decision.value, LOG_DIGITS),
            kept_value=round(decision.kept, LOG_DIGITS),
            wait_ms=whole_ms(forecast.wait),
            own_reading_ms=whole_ms(forecast.reading),
            harm=round(case.harm(decision.larger), LOG_DIGITS),
            arrivals=round(case.demand.arrivals, LOG_DIGITS),
            busy=round(case.demand.busy, LOG_DIGITS),
            scatter=round(self.choice.gains.scatter(), 1),
        )
