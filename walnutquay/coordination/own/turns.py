# Licensed under the Apache License 2.0: see LICENSE for details.

"""The state of chat requests, service calls and forwarded streams in progress."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from walnutquay.coordination.requests.outcomes import ChatArrival, ServiceArrival
from walnutquay.coordination.requests.turn import Turn
from walnutquay.protocol import chat
from walnutquay.state.own.claims import WholeAnswer
from walnutquay.state.own.routing import Plan
from walnutquay.state.own.sessions import Pin
from walnutquay.state.requests.stages import CostLine
from walnutquay.state.store.parts import Version

# The number of tokens to which a price applies.
TOKENS_PER_PRICE = 1000


@dataclass(slots=True)
class ChatTurn(Turn):
    """A chat request in progress, with its plan and its results so far.

    :param arrival: the request as received.
    :param pin: the session's binding.
    :param tokenless: whether the caller sent a session id and no token.
    :param plan: the versions to try.
    :param step: the index of the version that is being tried.
    :param lines: the costs of its steps.
    :param best: the answer of an earlier step that was rated too low.
    """

    arrival: ChatArrival
    pin: Pin
    tokenless: bool
    plan: Plan
    step: int = 0
    lines: list[CostLine] = field(default_factory=list)
    best: WholeAnswer | None = None

    @property
    def version(self) -> Version:
        """The version that is being tried."""
        return self.plan.steps[self.step]

    @property
    def target(self) -> str:
        """The name of the version that is being tried."""
        return self.version.name

    @property
    def repeatable(self) -> bool:
        """Whether it may be run again: yes, unless it has an idempotency key."""
        return not self.arrival.key

    @property
    def session(self) -> str:
        """The session's id."""
        return self.pin.session

    @property
    def hint(self) -> str:
        """The endpoint that served the session's last turn."""
        return self.pin.endpoint

    @property
    def prefix(self) -> str:
        """The key of the prompt's prefix: the version and the first characters.

        The version is part of the key since each version has a cache of its own.
        """
        return f"{self.target}\n{chat.beginning(self.arrival.call.body)}"

    @property
    def last_step(self) -> bool:
        """Whether the current version is the last of the plan."""
        return self.step + 1 >= len(self.plan.steps)

    @property
    def bound(self) -> bool:
        """Whether the session is bound to the version that is being tried."""
        return self.pin.version_of(self.version.model) == self.version.name

    def next_step(self) -> None:
        """Continue with the next version."""
        self.step += 1
        self.tried = frozenset()

    def snapshot(self) -> ChatTurn:
        """Return a copy that later changes to this request do not affect."""
        return replace(self, lines=list(self.lines))

    def cost(self, endpoint: str, usage: chat.Usage) -> CostLine:
        """Return the cost of the current step.

        :param endpoint: the endpoint that ran it.
        :param usage: the tokens it used.
        """
        version = self.version
        cost = (
            usage.input_tokens * version.price_input
            + usage.output_tokens * version.price_output
        ) / TOKENS_PER_PRICE
        return CostLine(
            version.name, endpoint, usage.input_tokens, usage.output_tokens, cost
        )


@dataclass(slots=True)
class ServiceTurn(Turn):
    """A service call in progress.

    :param arrival: the call as received.
    """

    arrival: ServiceArrival

    @property
    def target(self) -> str:
        """The service's name."""
        return self.arrival.service.name

    @property
    def repeatable(self) -> bool:
        """Whether the method is repeatable at the service and the call has no key."""
        methods = self.arrival.service.repeatable
        return self.arrival.method in methods and not self.arrival.key


class ForwardedStream:
    """The part of a stream that has been forwarded to the caller."""

    def __init__(self) -> None:
        self.begun = False
        # Whether the complete stream has been billed.
        self.billed = False
        self.headers: dict[str, str] = {}
        self.events: list[bytes] = []
        self.chunks = 0
        # Whether the answer will be rated once it is complete.
        self.sampled = False
        # Whether the events are kept, for repeats of the key or for rating.
        self.keep_events = False
        # Seconds spent on billing and on writing to the caller, not on waiting for
        # the engine.
        self.forwarding_seconds = 0.0
        self.reported_usage = chat.NO_USAGE

    def take(self, event: bytes) -> None:
        """Record an event that is forwarded.

        :param event: the event, as received from the engine.
        """
        if self.keep_events:
            self.events.append(event)
        if event == chat.END_MARK:
            return
        self.chunks += 1
        # Only the last event contains the usage; this test avoids parsing the others.
        if b'"usage"' in event:
            self.reported_usage = chat.usage_of(chat.event_json(event) or {})

    def usage(self) -> chat.Usage:
        """Return the usage that the engine reported, or the number of events forwarded.

        Each event forwarded counts as one output token.
        """
        if self.reported_usage != chat.NO_USAGE:
            return self.reported_usage
        return chat.Usage(0, self.chunks)
