# Licensed under the Apache License 2.0: see LICENSE for details.

"""Decides whether a larger model is to answer a routed request, and learns from it."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.routed.facts import whole_ms
from walnutquay.coordination.routed.places import RoutedPlaces
from walnutquay.coordination.routed.promptengines import PromptEngines
from walnutquay.coordination.routed.turn import Opinion, RoutedTurn
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

# Values are logged to so many digits.
DIGITS = 3
# How often VMs tell each other what they have learnt: a new one knows it within two
# such spans, and a row takes some 60 bytes.
TELL_SECONDS = 2.0


class Peers(Protocol):
    """The other entry VMs."""

    def send_to_some(self, body: Message) -> None:
        """:param body: a message to some of them; it may be lost."""


class Cascading:
    """Chooses the model that answers next.

    :param context: what this process shares.
    :param knowledge: what is known from the store; here models' prices.
    :param places: forecasts how soon each model could begin to answer.
    :param choice: weighs the models.
    :param peers: the other VMs, which learn from what this one sees.
    """

    def __init__(
        self,
        context: Context,
        knowledge: Knowledge,
        places: RoutedPlaces,
        choice: ModelChoice,
        peers: Peers,
    ) -> None:
        self.context = context
        self.knowledge = knowledge
        self.places = places
        self.choice = choice
        self.peers = peers
        # What was told last; it is told again only when there is more.
        self.told: tuple[GainRow, ...] = ()

    def start(self) -> None:
        """Begin to tell the other VMs what is learnt here."""
        self.context.timers.every("opinions", TELL_SECONDS, self.tell_peers)

    def tell_peers(self) -> None:
        """Tell the other VMs what this one has learnt."""
        rows = self.choice.gains.rows()
        if rows != self.told:
            self.told = rows
            self.peers.send_to_some(OpinionNews(rows))

    def hear(self, envelope: Envelope) -> None:
        """Take in what another VM has learnt.

        :param envelope: its message.
        """
        body = envelope.body
        assert isinstance(body, OpinionNews)
        self.choice.gains.apply_peer_rows(VmName(envelope.vm), body.rows)

    def larger(
        self,
        turn: RoutedTurn,
        endpoint: EndpointName,
        head: AnswerHead,
        may_retry: Callable[[], bool],
    ) -> int | None:
        """Decide whether a larger model is to answer instead of this one.

        :param turn: the request.
        :param endpoint: who answers it.
        :param head: the answer's head.
        :param may_retry: whether a retry may be made; it is then counted.
        :returns: the larger model's index; None to keep the answer.
        """
        if turn.model is None or turn.progress.begun or head.confidence is None:
            return None
        self.learn(turn, head.confidence)
        if turn.model >= len(turn.arrival.route.models) - 1:
            return None
        step, case = self.next(turn, head.confidence)
        if step.larger is None or not turn.repeatable or not may_retry():
            return None
        turn.first_opinion = Opinion(turn.model, head.confidence)
        self.tell(turn, endpoint, step, case)
        return step.larger

    def learn(self, turn: RoutedTurn, opinion: float) -> None:
        """Learn from the opinion of a model that answers after a smaller one.

        :param turn: the request.
        :param opinion: the model's opinion of its answer.
        """
        first = turn.first_opinion
        if first is None or turn.model is None or turn.model == first.model:
            return
        route = turn.arrival.route
        self.choice.learn(route, first.model, first.opinion, turn.model, opinion)

    def next(
        self, turn: RoutedTurn, opinion: float
    ) -> tuple[CascadeDecision, ChoiceContext]:
        """Decide about an answer of which nothing was sent to the caller yet.

        :param turn: the request.
        :param opinion: the model's opinion of its answer.
        :returns: what to do, and what it was decided by.
        """
        assert turn.model is not None
        case = self.case_of(turn)
        return self.choice.next(case, turn.model, opinion), case

    def case_of(self, turn: RoutedTurn) -> ChoiceContext:
        """:param turn: a request.

        :returns: what its models can do for it now.
        """
        arrival = turn.arrival
        now = monotonic()
        return ChoiceContext(
            arrival.route,
            arrival.priority,
            now - arrival.came,
            arrival.deadline - now,
            self.places.demand(turn.service),
            self._forecasts(turn),
        )

    def _forecasts(self, turn: RoutedTurn) -> list[Forecast]:
        """Forecast what each larger model would take; smaller ones are not asked."""
        route = turn.arrival.route
        asked = -1 if turn.model is None else turn.model
        engines = self.places.engines_for(turn.service, turn.regions)
        return [
            self._forecast(turn, model, engines)
            if index > asked
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
        aim = turn.arrival.route.objective_seconds
        return Forecast(*engines.forecast(work, aim), cost)

    def _cost(self, turn: RoutedTurn, model: ModelName) -> float:
        catalogue = self.knowledge.catalogue.current
        service = catalogue.services.get(turn.service) if catalogue else None
        models = service.models if service is not None else ()
        return next((item.cost for item in models if item.name == model), 0.0)

    def tell(
        self,
        turn: RoutedTurn,
        endpoint: EndpointName,
        step: CascadeDecision,
        case: ChoiceContext,
    ) -> None:
        """Log that a larger model is asked, with what decided it.

        :param turn: the request.
        :param endpoint: who gave the answer that is dropped.
        :param step: what was decided.
        :param case: what by.
        """
        assert step.larger is not None and turn.first_opinion is not None
        forecast = case.forecasts[step.larger]
        self.context.metrics.count("escalated")
        self.context.timeline.emit(
            EventKind.ESCALATED,
            request=turn.arrival.request,
            endpoint=endpoint,
            version=turn.arrival.route.models[step.larger],
            detail="a larger model's answer is worth more",
            confidence=turn.first_opinion.opinion,
            value=round(step.value, DIGITS),
            kept_value=round(step.kept, DIGITS),
            wait_ms=whole_ms(forecast.wait),
            own_reading_ms=whole_ms(forecast.reading),
            harm=round(case.harm(step.larger), DIGITS),
            arrivals=round(case.demand.arrivals, DIGITS),
            busy=round(case.demand.busy, DIGITS),
            scatter=round(self.choice.gains.scatter(), 1),
        )
