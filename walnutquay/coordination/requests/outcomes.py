# Licensed under the Apache License 2.0: see LICENSE for details.

"""What the request paths take from callers' handlers, and give back."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from walnutquay.protocol.chat import ChatCall
from walnutquay.state.own.claims import WholeAnswer
from walnutquay.state.process.ids import Fingerprint, RequestId
from walnutquay.state.requests.fingerprints import fingerprint
from walnutquay.state.requests.stages import NotRun, OutcomeUnknown
from walnutquay.state.store.parts import Organisation, Service

# Digits of a fingerprint that are kept and told: 128 bits, which nobody can make meet.
FINGERPRINT_DIGITS = 32


class Reply(Protocol):
    """The way back to the caller of a streamed answer."""

    async def begin(self, headers: Mapping[str, str]) -> None:
        """Send the status and the headers.

        :param headers: who serves it.
        """

    async def write(self, data: bytes) -> None:
        """Send a piece of the body.

        :param data: the piece.
        """


@dataclass(slots=True)
class Arrival:
    """A request as it came, its caller known.

    :param request: its id.
    :param organisation: whose it is.
    :param body: its bytes.
    :param deadline: when the answer is due; monotonic seconds.
    :param key: the caller's idempotency key; empty if none.
    :param request_class: the caller's class of request.
    :param longest_pause: the longest time between two events that went to the
        caller; seconds.
    :param first_event_at: when the first of them went there; monotonic seconds.
    :param passed_at: when the last of them went there; monotonic seconds.
    """

    request: RequestId
    organisation: Organisation
    body: bytes
    deadline: float
    key: str = ""
    request_class: str = "default"
    longest_pause: float = 0.0
    first_event_at: float | None = None
    passed_at: float | None = None

    def identity(self) -> tuple[bytes, ...]:
        """:returns: what tells this request from another under the same key."""
        return (self.body,)

    def fingerprint(self) -> Fingerprint:
        """:returns: what tells this request from others, the same for all its tries.

        Its caller is part of it: nobody can have it in common with another's.
        """
        caller = self.organisation.name.encode()
        return Fingerprint(fingerprint(caller, *self.identity())[:FINGERPRINT_DIGITS])

    def note_relayed(self, now: float) -> None:
        """Note that events go to the caller.

        :param now: monotonic seconds.
        """
        if self.passed_at is None:
            self.first_event_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.passed_at)
        self.passed_at = now

    def is_late(self, now: float) -> bool:
        """Tell whether an answer that is whole now comes too late to be of full use.

        :param now: monotonic seconds.
        :returns: the base knows of no objective.
        """
        return False


@dataclass(slots=True)
class ChatArrival(Arrival):
    """A chat request.

    :param call: the parsed body.
    :param session: the session id that the caller sent; empty if none.
    :param token: the session token that the caller sent; empty if none.
    :param reply: the way back, for a stream.
    """

    call: ChatCall = field(kw_only=True)
    session: str = ""
    token: str = ""
    reply: Reply | None = None


@dataclass(slots=True)
class ServiceArrival(Arrival):
    """A call of a plain service.

    :param service: the service.
    :param method: the HTTP method.
    :param path: path and query behind the service's name.
    :param headers: the headers to pass on.
    """

    service: Service = field(kw_only=True)
    method: str = "GET"
    path: str = ""
    headers: dict[str, str] = field(default_factory=dict)

    def identity(self) -> tuple[bytes, ...]:
        """:returns: what tells this request from another under the same key."""
        return (self.method.encode(), self.path.encode(), self.body)


@dataclass(frozen=True, slots=True)
class Whole:
    """The whole answer.

    :param answer: it.
    :param replayed: whether an earlier request under the same key got it.
    """

    answer: WholeAnswer
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class Streamed:
    """The answer has gone to the caller already.

    :param whole: whether its end mark was sent.
    """

    whole: bool


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run.

    :param proof: the stage that says so; it cannot be had after a dispatch.
    """

    proof: NotRun


@dataclass(frozen=True, slots=True)
class Unknown:
    """What became of the request cannot be told.

    :param stage: the stage that says so.
    :param reason: why, for people.
    :param code: the code for the caller.
    :param status: HTTP status.
    :param retry_after: seconds after which asking again may help.
    """

    stage: OutcomeUnknown
    reason: str
    code: str = "outcome_unknown"
    status: int = 502
    retry_after: float | None = None


Outcome = Whole | Streamed | Refused | Unknown
