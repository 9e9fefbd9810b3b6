# Licensed under the Apache License 2.0: see LICENSE for details.

"""A routed request: as it came, and on its way."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from walnutquay.coordination.requests.outcomes import Arrival
from walnutquay.coordination.requests.turn import Turn
from walnutquay.protocol.calls import AnswerHead, CallHead
from walnutquay.protocol.streams import StreamProgress
from walnutquay.state.own.claims import WholeAnswer
from walnutquay.state.process.ids import ModelName, RegionName, ServiceName
from walnutquay.state.requests.refusals import Refusal
from walnutquay.state.requests.regions import allowed_regions
from walnutquay.state.routed.work import PromptWork
from walnutquay.state.store.catalogue import Route, RouteKind
from walnutquay.state.trials.choice import VersionChoice
from walnutquay.transport.timers import monotonic


class RoutedReply(Protocol):
    """The way back to the caller of a stream."""

    async def begin(self, head: AnswerHead) -> None:
        """Send the status and the headers.

        :param head: the first endpoint's.
        """

    async def write(self, data: bytes) -> None:
        """Send whole events.

        :param data: the events.
        """


@dataclass(slots=True)
class RoutedArrival(Arrival):
    """A request on one of the operators' routes.

    :param head: its head.
    :param method: the HTTP method.
    :param target: path and query as they came.
    :param route: its route.
    :param catalogue_version: the version of the configuration that gave the route.
    :param arrived_at: when it came; monotonic seconds.
    :param found_by_key: whether the organisation was found by a key.
    :param reply: the way back for a stream.
    """

    head: CallHead = field(kw_only=True)
    method: str = field(kw_only=True)
    target: str = field(kw_only=True)
    route: Route = field(kw_only=True)
    catalogue_version: int = field(kw_only=True)
    arrived_at: float = field(default_factory=monotonic, kw_only=True)
    found_by_key: bool = True
    reply: RoutedReply | None = None

    def identity(self) -> tuple[bytes, ...]:
        """:returns: what tells this request from another, whatever its id."""
        place = f"{self.method} {self.head.host}{self.target}"
        return (place.encode(), self.body)

    def is_late(self, now: float) -> bool:
        """:param now: when its answer is whole; monotonic seconds.

        :returns: whether its first part or a pause took longer than the route's aims.
        """
        first = now if self.first_at is None else self.first_at
        if first - self.arrived_at > self.route.objective_seconds:
            return True
        return 0.0 < self.route.pause_seconds < self.longest_pause

    @property
    def priority(self) -> int:
        """Its rank; the organisation's goes before the route's."""
        own = self.organisation.priority
        return self.route.priority if own is None else own


@dataclass(frozen=True, slots=True)
class Opinion:
    """What a model has said of its answer.

    :param model: its index among the route's models.
    :param opinion: 0 to 100.
    """

    model: int
    opinion: float


@dataclass(slots=True)
class RoutedTurn(Turn):
    """A routed request on its way.

    :param arrival: the request.
    :param service: the service that serves it.
    :param model: the index of the model that is asked; None where the caller
        named it.
    :param sends: how often it has been sent.
    :param refusals: how many endpoints have said that they did not begin.
    :param progress: how much of the answer the caller has.
    :param prepaid: whether its next retry is already counted.
    :param avoid_new: whether a version on trial has failed it.
    :param choice: which version is to serve it; None where none is on trial.
    :param last_refusal: why the last endpoint did not begin.
    :param failed_answer: the last answer by which an endpoint said that it failed.
    :param first_opinion: what the model that answered first thought of its answer,
        where a larger one was asked then.
    """

    arrival: RoutedArrival
    service: ServiceName
    model: int | None
    progress: StreamProgress
    sends: int = 0
    refusals: int = 0
    prepaid: bool = False
    avoid_new: bool = False
    choice: VersionChoice | None = None
    last_refusal: Refusal | None = None
    failed_answer: WholeAnswer | None = None
    first_opinion: Opinion | None = None

    @property
    def target(self) -> str:
        """The service's name."""
        return self.service

    @property
    def repeatable(self) -> bool:
        """Whether the route lets it run once more."""
        route = self.arrival.route
        return route.repeatable and self.sends < route.attempts

    @property
    def streamed(self) -> bool:
        """Whether it is answered by a stream of events."""
        return self.arrival.route.kind is RouteKind.STREAM

    @property
    def regions(self) -> frozenset[RegionName] | None:
        """The regions in which it may run; None for all."""
        arrival = self.arrival
        return allowed_regions(arrival.route.regions, arrival.organisation.regions)

    @property
    def session(self) -> str:
        """The session that it belongs to; empty if none."""
        return self.arrival.head.session

    @property
    def work(self) -> PromptWork | None:
        """The reading of its prompt; None where it has none."""
        return self.work_of(self.model_name or self.arrival.head.model)

    def work_of(self, model: ModelName) -> PromptWork | None:
        """:param model: a model.

        :returns: the reading of the prompt by that model; None where it has none.
        """
        prompt = self.arrival.head.prompt
        if not prompt.tokens:
            return None
        return PromptWork(model, prompt.tokens, prompt.subject, prompt.subject_tokens)

    @property
    def model_name(self) -> ModelName | None:
        """The model that is asked; None where the caller named it."""
        if self.model is None:
            return None
        return self.arrival.route.models[self.model]

    def seconds_left(self) -> float:
        """:returns: seconds until the answer is due."""
        return self.arrival.deadline - monotonic()
