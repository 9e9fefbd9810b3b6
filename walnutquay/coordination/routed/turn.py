# Licensed under the Apache License 2.0: see LICENSE for details.

"""A routed request: as received, and while it is being served."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from walnutquay.coordination.requests.outcomes import Arrival
from walnutquay.coordination.requests.turn import Turn
from walnutquay.protocol.calls import AnswerHead, CallHead
from walnutquay.protocol.streams import StreamProgress
from walnutquay.state.own.claims import WholeAnswer
from walnutquay.state.process.ids import ModelName, PartName, RegionName, ServiceName
from walnutquay.state.requests.promptparts import part_names
from walnutquay.state.requests.refusals import Refusal
from walnutquay.state.requests.regions import allowed_regions
from walnutquay.state.routed.work import PromptWork
from walnutquay.state.store.catalogue import Route, RouteKind
from walnutquay.state.trials.choice import VersionChoice
from walnutquay.transport.timers import monotonic


class RoutedReply(Protocol):
    """The response to a caller that is sent while the answer comes."""

    async def begin(self, head: AnswerHead, length: int | None = None) -> None:
        """Send the status and the headers.

        :param head: the head of the first endpoint's answer.
        :param length: bytes of the body; None if they are not known.
        """

    async def write(self, data: bytes) -> None:
        """Send complete events.

        :param data: the events.
        """


@dataclass(slots=True)
class RoutedArrival(Arrival):
    """A request that was received on one of the operators' routes.

    :param head: its head.
    :param method: the HTTP method.
    :param target: the path and query as received.
    :param route: its route.
    :param catalogue_version: the version of the configuration that contains the route.
    :param arrived_at: when it was received; monotonic seconds.
    :param reply: the response, if it is sent while the answer comes.
    """

    head: CallHead = field(kw_only=True)
    method: str = field(kw_only=True)
    target: str = field(kw_only=True)
    route: Route = field(kw_only=True)
    catalogue_version: int = field(kw_only=True)
    arrived_at: float = field(default_factory=monotonic, kw_only=True)
    reply: RoutedReply | None = None

    def identity(self) -> tuple[bytes, ...]:
        """Return what distinguishes this request from others, whatever its id."""
        request_line = f"{self.method} {self.head.host}{self.target}"
        return (request_line.encode(), self.body)

    def shared_parts(self) -> tuple[PartName, ...]:
        """Return the parts of its prompt but the last, which is its own."""
        return part_names(part.name for part in self.head.prompt.parts[:-1])

    def is_late(self, now: float) -> bool:
        """Return whether the first part or a pause exceeded the route's objectives.

        :param now: when the answer is complete; monotonic seconds.
        """
        first = now if self.first_event_at is None else self.first_event_at
        if first - self.arrived_at > self.route.objective_seconds:
            return True
        return 0.0 < self.route.pause_seconds < self.longest_pause

    @property
    def priority(self) -> int:
        """Its priority; the organisation's overrides the route's."""
        own = self.organisation.priority
        return self.route.priority if own is None else own


@dataclass(frozen=True, slots=True)
class ModelConfidence:
    """The confidence of a model in its answer.

    :param model: its index among the route's models.
    :param confidence: 0 to 100.
    """

    model: int
    confidence: float


@dataclass(slots=True)
class RoutedTurn(Turn):
    """A routed request that is being served.

    :param arrival: the request as received.
    :param service: the service that serves it.
    :param model: the index of the model that is used; None if the caller named one.
    :param sends: the number of times that it was sent.
    :param refusals: the number of endpoints that did not start it.
    :param progress: how much of the answer the caller has received.
    :param retry_unsent: whether a retry was charged and has not been sent yet.
    :param retry_free: whether the next attempt repeats nothing, as no attempt has
        reached an endpoint.
    :param charge_sent: whether the attempt that was sent last was charged.
    :param avoid_new: whether a version on trial has failed it.
    :param choice: the version that is to serve it; None if none is on trial.
    :param last_refusal: why the last endpoint did not start it.
    :param failed_answer: the last answer with which an endpoint reported a failure.
    :param retry_pause: how long to wait before the next attempt; seconds.
    :param first_confidence: the confidence of the model that answered first, if a
        larger one was used after it.
    """

    arrival: RoutedArrival
    service: ServiceName
    model: int | None
    progress: StreamProgress
    sends: int = 0
    refusals: int = 0
    retry_unsent: bool = False
    retry_free: bool = False
    charge_sent: bool = False
    avoid_new: bool = False
    choice: VersionChoice | None = None
    last_refusal: Refusal | None = None
    failed_answer: WholeAnswer | None = None
    retry_pause: float = 0.0
    first_confidence: ModelConfidence | None = None

    @property
    def target(self) -> str:
        """The service's name."""
        return self.service

    @property
    def repeatable(self) -> bool:
        """Whether the route allows one more attempt."""
        route = self.arrival.route
        return route.repeatable and self.sends < route.attempts

    @property
    def streamed(self) -> bool:
        """Whether its answer is a stream of events."""
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
        """The reading work of its prompt; None if it has no prompt."""
        return self.work_of(self.model_name or self.arrival.head.model)

    def work_of(self, model: ModelName) -> PromptWork | None:
        """Return the reading work of the prompt at a given model.

        :param model: the model.
        :returns: the work; None if the request has no prompt.
        """
        prompt = self.arrival.head.prompt
        if not prompt.tokens:
            return None
        return PromptWork(
            model, prompt.tokens, prompt.shared_prefix, prompt.shared_prefix_tokens
        )

    @property
    def model_name(self) -> ModelName | None:
        """The model that is used; None if the caller named one."""
        if self.model is None:
            return None
        return self.arrival.route.models[self.model]

    def note_sent(self) -> None:
        """Record that an attempt is being sent."""
        self.sends += 1
        self.charge_sent = self.retry_unsent
        self.retry_unsent = self.retry_free = False

    def note_not_reached(self) -> None:
        """Record that the last attempt reached no endpoint.

        The next one takes its place: if that one was charged, it is not charged again.
        """
        self.retry_unsent = self.charge_sent
        self.retry_free = not self.charge_sent

    def seconds_left(self) -> float:
        """Return the seconds until the deadline."""
        return self.arrival.deadline - monotonic()
