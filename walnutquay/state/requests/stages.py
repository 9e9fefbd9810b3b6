# Licensed under the Apache License 2.0: see LICENSE for details.

"""The stages of a request, made so that a false "not run" cannot be written.

A request is received, admitted, dispatched and answered; one that carries an
idempotency key has to claim it first.  :class:`NotRun` can be had only from
:meth:`Undispatched.refuse`, and a stage that has been left raises
:class:`~walnutquay.exceptions.SpentStageError`, so the object kept from before
a dispatch is of no use after it.
"""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.exceptions import NotStartedError, SpentStageError
from walnutquay.state.process.ids import EndpointName, RequestId
from walnutquay.state.requests.refusals import Refusal


class RequestProgress:
    """What the stages of one request share.

    :param request: the request's id.
    """

    def __init__(self, request: RequestId) -> None:
        self.request = request
        # The one stage that may still be used.
        self.stage: Stage | None = None
        # Whether some endpoint may have begun work for this request.
        self.may_have_run = False
        # How often the request has been sent to an endpoint.
        self.dispatches = 0


class Stage:
    """The base of all stages; making one leaves the stage before."""

    def __init__(self, progress: RequestProgress) -> None:
        self.progress = progress
        progress.stage = self

    def leave(self) -> RequestProgress:
        """Check that the request still is in this stage.

        :returns: the journey, for the next stage.
        :raises SpentStageError: if the request has left this stage.
        """
        if self.progress.stage is not self:
            raise SpentStageError(
                f"request {self.progress.request} has left this stage",
                step=type(self).__name__.lower(),
            )
        return self.progress


class Undispatched(Stage):
    """A stage in which no endpoint can have begun the work."""

    def refuse(self, refusal: Refusal) -> NotRun:
        """End the request without running it.

        :param refusal: why.
        """
        return NotRun(self, refusal)


class Unclaimed(Stage):
    """The request carries a key, and nobody has looked yet whether it ran.

    Nothing may be said of it here but that its outcome is unknown: an earlier
    request under the same key may have run.
    """

    def granted(self) -> Received:
        """Note that the key is this request's, so none ran under it before."""
        return Received(self.leave())

    def repeated(self) -> Answered:
        """End the request with the answer of the one that holds the key."""
        return Answered(self.leave())

    def unknown(self) -> OutcomeUnknown:
        """End the request: what became of the key cannot be told now."""
        return OutcomeUnknown(self.leave())


class Received(Undispatched):
    """The request has been read, its caller is known, and it has no place yet."""

    def admit(self) -> Admitted:
        """Take the request in: an endpoint has a place for it."""
        return Admitted(self.leave())


class Admitted(Undispatched):
    """The request may be sent to an endpoint."""

    def dispatch(self, endpoint: EndpointName) -> Dispatched:
        """Send the request.

        :param endpoint: who gets it.
        """
        return _dispatch(self, endpoint)


class Continuing(Stage):
    """An endpoint has worked for the request already, and another is to follow.

    This is so after a cascade's step, or when repeatable work failed.
    """

    def dispatch(self, endpoint: EndpointName) -> Dispatched:
        """Send the request once more.

        :param endpoint: who gets it.
        """
        return _dispatch(self, endpoint)

    def answered(self) -> Answered:
        """End the request with the answer of an earlier step."""
        return Answered(self.leave())

    def unknown(self) -> OutcomeUnknown:
        """End the request without an answer."""
        return OutcomeUnknown(self.leave())


class Dispatched(Stage):
    """An endpoint may be working on the request."""

    def __init__(self, progress: RequestProgress, endpoint: EndpointName) -> None:
        super().__init__(progress)
        self.endpoint = endpoint
        # What was so before this dispatch, to return to if it never began.
        self.ran_before = progress.may_have_run
        progress.may_have_run = True
        progress.dispatches += 1

    def answered(self) -> Answered:
        """End the request: its whole answer is here."""
        return Answered(self.leave())

    def unknown(self) -> OutcomeUnknown:
        """End the request: what became of it cannot be told."""
        return OutcomeUnknown(self.leave())

    def not_started(self, proof: NotStartedError) -> Received | Continuing:
        """Take the dispatch back, for the endpoint did not begin.

        :param proof: the error that says so.
        """
        if not isinstance(proof, NotStartedError):
            raise TypeError("only a NotStartedError proves that nothing began")
        progress = self.leave()
        progress.may_have_run = self.ran_before
        return Continuing(progress) if self.ran_before else Received(progress)

    def proceed(self) -> Continuing:
        """Go on to another dispatch after this one has run or failed."""
        return Continuing(self.leave())


class Answered(Stage):
    """The caller has, or is being sent, the whole answer."""


class OutcomeUnknown(Stage):
    """Nobody here can tell whether the work was done."""


class NotRun(Stage):
    """The request was not run and will not be.

    :param stage: the stage that the request is in: one before any dispatch.
    :param refusal: why.
    """

    def __init__(self, stage: Undispatched, refusal: Refusal) -> None:
        if not isinstance(stage, Undispatched):
            raise TypeError(f"{type(stage).__name__} cannot say 'not run'")
        super().__init__(stage.leave())
        self.refusal = refusal


def _dispatch(stage: Admitted | Continuing, endpoint: EndpointName) -> Dispatched:
    return Dispatched(stage.leave(), endpoint)


def receive(request: RequestId) -> Received:
    """Begin a request that carries no key: each arrival is one of its own.

    :param request: its id.
    """
    return Received(RequestProgress(request))


def receive_keyed(request: RequestId) -> Unclaimed:
    """Begin a request that carries an idempotency key.

    :param request: its id.
    """
    return Unclaimed(RequestProgress(request))


@dataclass(frozen=True, slots=True)
class CostLine:
    """What one step of a request cost.

    :param version: the version or service that ran.
    :param endpoint: where.
    :param input_tokens: tokens read.
    :param output_tokens: tokens written.
    :param cost: price in the configuration's currency.
    """

    version: str
    endpoint: str
    input_tokens: int = 0
    output_tokens: int = 0
    cost: float = 0.0
