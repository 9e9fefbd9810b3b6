# Licensed under the Apache License 2.0: see LICENSE for details.

"""Complete answers of endpoints, successful or failed."""

from __future__ import annotations

from walnutquay.exceptions import EndpointError
from walnutquay.protocol.calls import AnswerHead
from walnutquay.state.own.claims import WholeAnswer


class FailedAnswerError(EndpointError):
    """The endpoint ran the request and answered with a failure.

    :param answer: the endpoint's answer, returned to the caller if no retry succeeds.
    :param overloaded: whether the endpoint wants no requests for a while: it is not at
        fault then, nor is its version.
    """

    def __init__(
        self, answer: WholeAnswer, *, peer: str, overloaded: bool = False
    ) -> None:
        super().__init__(f"it answered {answer.status}", step="answer", peer=peer)
        self.status = answer.status
        self.answer = answer
        self.overloaded = overloaded


def to_whole_answer(head: AnswerHead, body: bytes) -> WholeAnswer:
    """Combine the head and the body of an answer.

    :param head: the answer's head.
    :param body: the complete body.
    """
    return WholeAnswer(head.status, head.content_type, body, head.headers)
