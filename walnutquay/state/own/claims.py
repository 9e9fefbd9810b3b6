# Licensed under the Apache License 2.0: see LICENSE for details.

"""Claims on idempotency keys: who may dispatch, and what a repeat is told."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum

import orjson

from walnutquay.state.process.ids import OrganisationName, RequestId

CLAIM_PREFIX = "claims/"


def claim_name(organisation: OrganisationName, key: str) -> str:
    """Name the platform object that a key is claimed by.

    :param organisation: whose key it is; keys of two organisations never meet.
    :param key: the caller's idempotency key.
    """
    digest = hashlib.sha256(f"{organisation}\n{key}".encode()).hexdigest()
    return f"{CLAIM_PREFIX}{organisation}/{digest}"


@dataclass(frozen=True, slots=True)
class Claim:
    """The value of a claim object.

    :param request: the request that claimed the key.
    :param vm: the entry VM that may dispatch it.
    :param incarnation: that VM's incarnation; another one knows nothing.
    :param fingerprint: the hash of the request.
    :param at: when it was claimed; seconds of Unix time, for the clean-up.
    :param abandoned: whether the holder has given it up before any dispatch.
        The object stays, for its version must go on counting: were it deleted
        and made anew, two takers could each find the version that they read.
    """

    request: RequestId
    vm: str
    incarnation: str
    fingerprint: str
    at: float
    abandoned: bool = False

    def encode(self) -> bytes:
        """:returns: the claim as it is stored."""
        return orjson.dumps(
            [
                self.request,
                self.vm,
                self.incarnation,
                self.fingerprint,
                self.at,
                self.abandoned,
            ]
        )

    @classmethod
    def decode(cls, data: bytes) -> Claim:
        """:param data: what :meth:`encode` wrote."""
        return cls(*orjson.loads(data))


class RunState(Enum):
    """What the holder of a claim knows of its request."""

    # Claimed, and not yet sent to an endpoint.
    PENDING = "pending"
    # The holder has given the request up before any dispatch, for good.
    ABANDONED = "abandoned"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class RepeatAction(Enum):
    """What is done with a repeat of a claimed key."""

    TAKE_OVER = "take-over"
    WAIT = "wait"
    GIVE_ANSWER = "give-answer"
    SAY_UNKNOWN = "say-unknown"
    KEY_REUSED = "key-reused"


def action_for_repeat(
    claim: Claim, repeat_fingerprint: str, holder: RunState | None
) -> RepeatAction:
    """Decide what a caller is told who repeats a key.

    :param claim: the claim that stands.
    :param repeat_fingerprint: the repeat's hash.
    :param holder: what the holder's same incarnation says; None where it does
        not answer or is gone, for then a dispatch cannot be ruled out.
    """
    if claim.fingerprint != repeat_fingerprint:
        return RepeatAction.KEY_REUSED
    if holder is None or holder is RunState.UNKNOWN:
        return RepeatAction.SAY_UNKNOWN
    if holder is RunState.ABANDONED:
        return RepeatAction.TAKE_OVER
    if holder is RunState.ANSWERED:
        return RepeatAction.GIVE_ANSWER
    return RepeatAction.WAIT


@dataclass(slots=True)
class WholeAnswer:
    """A finished answer, kept for repeats.

    :param status: HTTP status.
    :param content_type: the media type.
    :param body: all of it.
    :param headers: headers that say who served it.
    """

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class Run:
    """What a holder keeps of a claimed request.

    :param claim_name: the object it was claimed by.
    :param state: how far it has come.
    :param answer: the answer, once there is one.
    :param version: the claim object's version; 0 where the platform's answer to
        the claim was lost.
    :param ended_at: monotonic seconds at which it ended; None until then.
    """

    claim_name: str
    state: RunState = RunState.PENDING
    answer: WholeAnswer | None = None
    version: int = 0
    ended_at: float | None = None


class RunTable:
    """The claimed requests of one VM, by request id.

    Answers are kept up to a number of bytes; the oldest go first, and a repeat
    of theirs is told that the outcome is unknown.

    :param max_bytes: bytes of answers to keep.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.runs: dict[RequestId, Run] = {}
        self.bytes_kept = 0

    def begin(self, request: RequestId, name: str) -> Run:
        """Note a request before its claim is asked for.

        :param request: its id.
        :param name: the claim object's name.
        """
        run = self.runs[request] = Run(name)
        return run

    def end(
        self,
        request: RequestId,
        state: RunState,
        now: float,
        answer: WholeAnswer | None = None,
    ) -> None:
        """Note how a request ended.

        :param request: its id.
        :param state: how it ended.
        :param now: monotonic seconds.
        :param answer: its answer, if it has one.
        """
        run = self.runs[request]
        run.state = state
        run.ended_at = now
        if answer is None:
            return
        run.answer = answer
        self.bytes_kept += len(answer.body)
        self._make_room()

    def _make_room(self) -> None:
        for run in self.runs.values():
            if self.bytes_kept <= self.max_bytes:
                return
            if run.answer is not None:
                self.bytes_kept -= len(run.answer.body)
                run.answer = None
                run.state = RunState.UNKNOWN

    def forget_before(self, moment: float) -> None:
        """Forget what ended long ago.

        :param moment: monotonic seconds.
        """
        old = [
            request
            for request, run in self.runs.items()
            if run.ended_at is not None and run.ended_at < moment
        ]
        for request in old:
            run = self.runs.pop(request)
            if run.answer is not None:
                self.bytes_kept -= len(run.answer.body)
