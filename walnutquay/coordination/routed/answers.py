# Licensed under the Apache License 2.0: see LICENSE for details.

"""Whole answers of endpoints, good ones and failures."""

from __future__ import annotations

from walnutquay.exceptions import EndpointError
from walnutquay.protocol.calls import AnswerHead
from walnutquay.state.own.claims import WholeAnswer


class FailedAnswerError(EndpointError):
    """The endpoint ran the request and answered that it failed.

    :param answer: its answer, for callers where no other can be had.
    """

    def __init__(self, answer: WholeAnswer, *, peer: str) -> None:
        super().__init__(f"it answered {answer.status}", step="answer", peer=peer)
        self.status = answer.status
        self.answer = answer


def as_whole(head: AnswerHead, body: bytes) -> WholeAnswer:
    """:param head: an answer's head.

    :param body: its whole body.
    :returns: both together.
    """
    return WholeAnswer(head.status, head.content_type, body, head.headers)
