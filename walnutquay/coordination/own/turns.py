# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests on their way, with what has come of them so far."""

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

# Prices are those of so many tokens.
TOKENS_PER_PRICE = 1000


@dataclass(slots=True)
class ChatTurn(Turn):
    """A chat request on its way, with what has come of it so far.

    :param arrival: the request.
    :param pin: the session's binding.
    :param tokenless: whether the caller sent a session id and no token.
    :param plan: the versions to try.
    :param step: the index of the version that is tried now.
    :param lines: what its steps cost.
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
        """The version that is tried now."""
        return self.plan.steps[self.step]

    @property
    def target(self) -> str:
        """The name of the version that is tried now."""
        return self.version.name

    @property
    def repeatable(self) -> bool:
        """Model work may be done again, unless the caller's key forbids it."""
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
        """The version, whose cache it is, and the first words of the prompt."""
        return f"{self.target}\n{chat.beginning(self.arrival.call.body)}"

    @property
    def last_step(self) -> bool:
        """Whether no further version is left."""
        return self.step + 1 >= len(self.plan.steps)

    @property
    def bound(self) -> bool:
        """Whether the session was bound to the version that is tried now."""
        return self.pin.version_of(self.version.model) == self.version.name

    def next_step(self) -> None:
        """Go on to the next version."""
        self.step += 1
        self.tried = frozenset()

    def snapshot(self) -> ChatTurn:
        """:returns: the request as it stands now, whatever becomes of it."""
        return replace(self, lines=list(self.lines))

    def cost(self, endpoint: str, usage: chat.Usage) -> CostLine:
        """Work out what the present step costs.

        :param endpoint: where it ran.
        :param usage: the tokens it took.
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
    """A service call on its way.

    :param arrival: the call.
    """

    arrival: ServiceArrival

    @property
    def target(self) -> str:
        """The service's name."""
        return self.arrival.service.name

    @property
    def repeatable(self) -> bool:
        """Whether the service lets this method be repeated, and no key forbids."""
        methods = self.arrival.service.repeatable
        return self.arrival.method in methods and not self.arrival.key


class ForwardedStream:
    """What of a stream has been passed on to the caller."""

    def __init__(self) -> None:
        self.begun = False
        # Whether the bill for the whole stream has been made.
        self.billed = False
        self.headers: dict[str, str] = {}
        self.events: list[bytes] = []
        self.chunks = 0
        # Whether it is to be rated once it is whole.
        self.sampled = False
        # Whether the events are kept, for repeats or to have them rated.
        self.keep_events = False
        # Seconds that went by in passing events on, not in waiting for them.
        self.forwarding_seconds = 0.0
        self.reported_usage = chat.NO_USAGE

    def take(self, event: bytes) -> None:
        """:param event: an event that is passed on."""
        if self.keep_events:
            self.events.append(event)
        if event == chat.END_MARK:
            return
        self.chunks += 1
        # Only the last event tells the usage; the test spares the parsing.
        if b'"usage"' in event:
            self.reported_usage = chat.usage_of(chat.event_json(event) or {})

    def usage(self) -> chat.Usage:
        """:returns: the engine's count, or that of the events passed on."""
        if self.reported_usage != chat.NO_USAGE:
            return self.reported_usage
        return chat.Usage(0, self.chunks)
