# Licensed under the Apache License 2.0: see LICENSE for details.

"""The requests that callers' handlers pass to the request paths, and the outcomes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from walnutquay.protocol.chat import ChatCall, earlier_messages
from walnutquay.state.own.claims import WholeAnswer
from walnutquay.state.process.ids import Fingerprint, PartName, RequestId
from walnutquay.state.requests.fingerprints import fingerprint
from walnutquay.state.requests.promptparts import hashed_part, part_names
from walnutquay.state.requests.stages import NotRun, OutcomeUnknown
from walnutquay.state.store.parts import Organisation, Service

# Hexadecimal digits of a fingerprint that are kept and sent: 128 bits, for which nobody
# can construct a collision.
FINGERPRINT_DIGITS = 32


class Reply(Protocol):
    """The channel on which a streamed answer is sent to the caller."""

    async def begin(self, headers: Mapping[str, str]) -> None:
        """Send the status and the headers.

        :param headers: response headers that identify what serves the request.
        """

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body.

        :param data: the chunk.
        """


@dataclass(slots=True)
class Arrival:
    """A request as received from an authenticated caller.

    :param request: the request id.
    :param organisation: the organisation of the caller.
    :param body: the body.
    :param deadline: when the answer is due; monotonic seconds.
    :param key: the caller's idempotency key; empty if none.
    :param request_class: the caller's class of request.
    :param longest_pause: the longest time between two events sent to the caller;
        seconds.
    :param first_event_at: when the first event was sent; monotonic seconds.
    :param last_event_at: when the latest event was sent; monotonic seconds.
    """

    request: RequestId
    organisation: Organisation
    body: bytes
    deadline: float
    key: str = ""
    request_class: str = "default"
    longest_pause: float = 0.0
    first_event_at: float | None = None
    last_event_at: float | None = None

    def identity(self) -> tuple[bytes, ...]:
        """Return what distinguishes requests that have the same idempotency key."""
        return (self.body,)

    def fingerprint(self) -> Fingerprint:
        """Return a hash that identifies this request across all its attempts.

        It covers the caller, so that no caller can send a request with the fingerprint
        of another caller's request.
        """
        caller = self.organisation.name.encode()
        return Fingerprint(fingerprint(caller, *self.identity())[:FINGERPRINT_DIGITS])

    def shared_parts(self) -> tuple[PartName, ...]:
        """Return the parts of its prompt that other requests may have as well.

        The base class has no prompt.
        """
        return ()

    def note_relayed(self, now: float) -> None:
        """Record that events are being sent to the caller.

        :param now: monotonic seconds.
        """
        if self.last_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        self.last_event_at = now

    def is_late(self, now: float) -> bool:
        """Return whether an answer completed now misses its latency objective.

        The base class has no objective.

        :param now: monotonic seconds.
        """
        return False


@dataclass(slots=True)
class ChatArrival(Arrival):
    """A chat request.

    :param call: the parsed body.
    :param session: the session id that the caller sent; empty if none.
    :param token: the session token that the caller sent; empty if none.
    :param reply: the channel to the caller, for a stream.
    """

    call: ChatCall = field(kw_only=True)
    session: str = ""
    token: str = ""
    reply: Reply | None = None

    def shared_parts(self) -> tuple[PartName, ...]:
        """Return the messages before the last one, which other chats may share."""
        messages = earlier_messages(self.call.body)
        return part_names(hashed_part(message) for message in messages)


@dataclass(slots=True)
class ServiceArrival(Arrival):
    """A call of a plain service.

    :param service: the service.
    :param method: the HTTP method.
    :param path: path and query after the service's name.
    :param headers: the headers to forward.
    """

    service: Service = field(kw_only=True)
    method: str = "GET"
    path: str = ""
    headers: dict[str, str] = field(default_factory=dict)

    def identity(self) -> tuple[bytes, ...]:
        """Return what distinguishes requests that have the same idempotency key."""
        return (self.method.encode(), self.path.encode(), self.body)


@dataclass(frozen=True, slots=True)
class Whole:
    """A complete answer that has yet to be sent to the caller.

    :param answer: the answer.
    :param replayed: whether it was given to an earlier request with the same key.
    :param retry_after: seconds after which the caller may try again; None to say
        nothing of it.
    """

    answer: WholeAnswer
    replayed: bool = False
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Streamed:
    """An answer that has already been streamed to the caller.

    :param whole: whether its end marker was sent.
    """

    whole: bool


@dataclass(frozen=True, slots=True)
class Refused:
    """A request that was not run.

    :param proof: the stage that proves it; it cannot be reached after a dispatch.
    """

    proof: NotRun


@dataclass(frozen=True, slots=True)
class Unknown:
    """A request of which it is unknown whether it was run.

    :param stage: the stage that states it.
    :param reason: why, in human-readable form.
    :param code: the code for the caller.
    :param status: HTTP status.
    :param retry_after: seconds after which a retry may succeed.
    """

    stage: OutcomeUnknown
    reason: str
    code: str = "outcome_unknown"
    status: int = 502
    retry_after: float | None = None


Outcome = Whole | Streamed | Refused | Unknown
