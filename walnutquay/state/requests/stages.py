# Licensed under the Apache License 2.0: see LICENSE for details.

"""The stages of a request, designed so that a false "not run" cannot be expressed.

A request is received, admitted, dispatched and answered; a request with an idempotency
key has to claim the key first.  :class:`NotRun` is only created by
:meth:`Undispatched.refuse`, and a stage that the request has left raises
:class:`~walnutquay.exceptions.SpentStageError`, so a stage object kept from before a
dispatch cannot be used after it.
"""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.exceptions import NotStartedError, SpentStageError
from walnutquay.state.process.ids import EndpointName, RequestId
from walnutquay.state.requests.refusals import Refusal


class RequestProgress:
    """The state that all stages of one request share.

    :param request: the request's id.
    """

    def __init__(self, request: RequestId) -> None:
        self.request = request
        # The number of the current stage, the only one that may still be used.  The
        # stage itself would make a reference cycle of each request.
        self.stage_number = 0
        # Whether any endpoint may have started work on this request.
        self.may_have_run = False
        # The number of times that the request has been sent to an endpoint.
        self.dispatches = 0


class Stage:
    """The base class of all stages; creating a stage makes it the current one."""

    def __init__(self, progress: RequestProgress) -> None:
        self.progress = progress
        progress.stage_number += 1
        self.number = progress.stage_number

    def leave(self) -> RequestProgress:
        """Check that the request is still in this stage.

        :returns: the request's progress, for the next stage.
        :raises SpentStageError: if the request has left this stage.
        """
        if self.progress.stage_number != self.number:
            raise SpentStageError(
                f"request {self.progress.request} has left this stage",
                step=type(self).__name__.lower(),
            )
        return self.progress


class Undispatched(Stage):
    """A stage in which no endpoint can have started the work."""

    def refuse(self, refusal: Refusal) -> NotRun:
        """Finish the request without running it.

        :param refusal: the reason.
        """
        return NotRun(self, refusal)


class Unclaimed(Stage):
    """The request has an idempotency key that has not been checked yet.

    An earlier request with the same key may have run, so the only outcome that may be
    reported from this stage is that the outcome is unknown.
    """

    def granted(self) -> Received:
        """Continue as owner of the key, so that no earlier request with it has run."""
        return Received(self.leave())

    def repeated(self) -> Answered:
        """Finish the request with the answer of the request that holds the key."""
        return Answered(self.leave())

    def unknown(self) -> OutcomeUnknown:
        """Finish the request because the state of its key cannot be determined now."""
        return OutcomeUnknown(self.leave())


class Received(Undispatched):
    """The request has been read, its caller is known, and it has no slot yet."""

    def admit(self) -> Admitted:
        """Admit the request because an endpoint has a slot for it."""
        return Admitted(self.leave())


class Admitted(Undispatched):
    """The request may be sent to an endpoint."""

    def dispatch(self, endpoint: EndpointName) -> Dispatched:
        """Dispatch the request to an endpoint.

        :param endpoint: the endpoint that the request is sent to.
        """
        return _dispatch(self, endpoint)


class Continuing(Stage):
    """An endpoint has already worked on the request, and another one will follow.

    This is the stage after a step of a cascade, or after repeatable work has failed.
    """

    def dispatch(self, endpoint: EndpointName) -> Dispatched:
        """Dispatch the request again.

        :param endpoint: the endpoint that the request is sent to.
        """
        return _dispatch(self, endpoint)

    def answered(self) -> Answered:
        """Finish the request with the answer of an earlier step."""
        return Answered(self.leave())

    def unknown(self) -> OutcomeUnknown:
        """Finish the request without an answer."""
        return OutcomeUnknown(self.leave())


class Dispatched(Stage):
    """An endpoint may be working on the request."""

    def __init__(self, progress: RequestProgress, endpoint: EndpointName) -> None:
        super().__init__(progress)
        self.endpoint = endpoint
        # The value before this dispatch, restored if the endpoint did not start.
        self.ran_before = progress.may_have_run
        progress.may_have_run = True
        progress.dispatches += 1

    def answered(self) -> Answered:
        """Finish the request with its complete answer."""
        return Answered(self.leave())

    def unknown(self) -> OutcomeUnknown:
        """Finish the request because its outcome cannot be determined."""
        return OutcomeUnknown(self.leave())

    def not_started(self, proof: NotStartedError) -> Received | Continuing:
        """Revert the dispatch because the endpoint did not start the work.

        :param proof: the error that proves this.
        :raises TypeError: if ``proof`` is another kind of error.
        """
        if not isinstance(proof, NotStartedError):
            raise TypeError(
                "only a NotStartedError proves that the endpoint did not start"
            )
        progress = self.leave()
        progress.may_have_run = self.ran_before
        return Continuing(progress) if self.ran_before else Received(progress)

    def proceed(self) -> Continuing:
        """Continue with another dispatch after this one has run or failed."""
        return Continuing(self.leave())


class Answered(Stage):
    """The caller has received, or is being sent, the complete answer."""


class OutcomeUnknown(Stage):
    """The outcome is unknown: this VM cannot determine whether the work was done."""


class NotRun(Stage):
    """The request was not run and will not be.

    :param stage: the current stage of the request, which precedes any dispatch.
    :param refusal: the reason.
    :raises TypeError: if an endpoint may have started the work in ``stage``.
    """

    def __init__(self, stage: Undispatched, refusal: Refusal) -> None:
        if not isinstance(stage, Undispatched):
            raise TypeError(f"cannot report 'not run' in stage {type(stage).__name__}")
        super().__init__(stage.leave())
        self.refusal = refusal


def _dispatch(stage: Admitted | Continuing, endpoint: EndpointName) -> Dispatched:
    return Dispatched(stage.leave(), endpoint)


def receive(request: RequestId) -> Received:
    """Start a request without an idempotency key; each arrival is a new request.

    :param request: the request's id.
    """
    return Received(RequestProgress(request))


def receive_keyed(request: RequestId) -> Unclaimed:
    """Start a request with an idempotency key.

    :param request: the request's id.
    """
    return Unclaimed(RequestProgress(request))


@dataclass(frozen=True, slots=True)
class CostLine:
    """The cost of one step of a request.

    :param version: the version or service that ran.
    :param endpoint: the endpoint that ran it.
    :param input_tokens: the number of tokens read.
    :param output_tokens: the number of tokens written.
    :param cost: the price in the configuration's currency.
    """

    version: str
    endpoint: str
    input_tokens: int = 0
    output_tokens: int = 0
    cost: float = 0.0
