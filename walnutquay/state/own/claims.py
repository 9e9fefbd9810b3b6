# Licensed under the Apache License 2.0: see LICENSE for details.

"""Claims on idempotency keys: who may dispatch, and the response to repeats."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass
from enum import Enum

import orjson

from walnutquay.state.process.ids import OrganisationName, RequestId
from walnutquay.state.process.revisions import NOTHING_STORED, StoreRevision

CLAIM_PREFIX = "claims/"


def claim_name(organisation: OrganisationName, key: str) -> str:
    """Return the name of the platform object that represents the claim on a key.

    :param organisation: the key's organisation; the same key of two organisations
        gives two names.
    :param key: the caller's idempotency key.
    """
    digest = hashlib.sha256(f"{organisation}\n{key}".encode()).hexdigest()
    return f"{CLAIM_PREFIX}{organisation}/{digest}"


@dataclass(frozen=True, slots=True)
class Claim:
    """The value of a claim object.

    :param request: the request that claimed the key.
    :param vm: the entry VM that may dispatch the request (the holder).
    :param incarnation: the holder's incarnation; other incarnations of the VM have no
        record of the request.
    :param fingerprint: the hash of the request.
    :param at: Unix time of the claim in seconds, used to delete expired claims.
    :param abandoned: whether the holder abandoned the request before any dispatch.
        The object is kept so that its version keeps increasing: if it were deleted and
        created again, two VMs that take the claim over could each find the version
        that they had read, and both would succeed.
    """

    request: RequestId
    vm: str
    incarnation: str
    fingerprint: str
    at: float
    abandoned: bool = False

    def encode(self) -> bytes:
        """Encode the claim for the claim object."""
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
        """Decode the result of :meth:`encode`."""
        return cls(*orjson.loads(data))


class RunState(Enum):
    """The state of a claimed request at the holder of its claim."""

    # Claimed, but not yet sent to an endpoint.
    PENDING = "pending"
    # Permanently abandoned by the holder before any dispatch.
    ABANDONED = "abandoned"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class RepeatAction(Enum):
    """The response to a request that repeats a claimed key."""

    TAKE_OVER = "take-over"
    WAIT = "wait"
    GIVE_ANSWER = "give-answer"
    SAY_UNKNOWN = "say-unknown"
    KEY_REUSED = "key-reused"


def action_for_repeat(
    claim: Claim, repeat_fingerprint: str, holder: RunState | None
) -> RepeatAction:
    """Decide the response to a request that repeats a claimed key.

    :param claim: the existing claim on the key.
    :param repeat_fingerprint: the hash of the repeated request.
    :param holder: the request's state as reported by the incarnation that holds the
        claim; None if that incarnation is gone or does not answer, in which case a
        dispatch cannot be ruled out.
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
    """A complete answer, kept to be returned to repeats.

    :param status: HTTP status.
    :param content_type: the media type.
    :param body: the complete body.
    :param headers: headers that identify what served the request.
    """

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class Run:
    """The holder's record of a claimed request.

    :param claim_name: the name of the claim object.
    :param state: the request's state.
    :param answer: the answer, once it is complete.
    :param version: the claim object's version; ``NOTHING_STORED`` if the platform's
        response to the claim was lost.
    :param ended_at: when the request ended, in monotonic seconds; None until then.
    :param claimed_at: when its claim was stored, in monotonic seconds.
    """

    claim_name: str
    state: RunState = RunState.PENDING
    answer: WholeAnswer | None = None
    version: StoreRevision = NOTHING_STORED
    ended_at: float | None = None
    claimed_at: float = -math.inf


class RunTable:
    """The claimed requests of one VM, by request id.

    Answers are kept up to a total size.  The oldest are evicted first; the outcome of
    an evicted request is then reported as unknown to repeats.

    :param max_bytes: maximum total size of the kept answers in bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.runs: dict[RequestId, Run] = {}
        self.total_bytes = 0

    def begin(self, request: RequestId, name: str) -> Run:
        """Record a request before its claim is requested.

        :param request: the request's id.
        :param name: the name of the claim object.
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
        """Record how a request ended.

        :param request: the request's id.
        :param state: its final state.
        :param now: the current time in monotonic seconds.
        :param answer: its answer, if there is one.
        """
        run = self.runs[request]
        run.state = state
        run.ended_at = now
        if answer is None:
            return
        run.answer = answer
        self.total_bytes += len(answer.body)
        self._evict_answers()

    def _evict_answers(self) -> None:
        for run in self.runs.values():
            if self.total_bytes <= self.max_bytes:
                return
            if run.answer is not None:
                self.total_bytes -= len(run.answer.body)
                run.answer = None
                run.state = RunState.UNKNOWN

    def forget_before(self, moment: float) -> None:
        """Delete the requests that ended before a time.

        :param moment: the time in monotonic seconds.
        """
        old = [
            request
            for request, run in self.runs.items()
            if run.ended_at is not None and run.ended_at < moment
        ]
        for request in old:
            run = self.runs.pop(request)
            if run.answer is not None:
                self.total_bytes -= len(run.answer.body)
