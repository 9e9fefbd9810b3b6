# Licensed under the Apache License 2.0: see LICENSE for details.

"""What the path of routed requests asks of others: heads, and versions."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.protocol.calls import AnswerHead, CallHead, SendOrder
from walnutquay.state.trials.choice import VersionChoice


class Dialect(Protocol):
    """Writes heads for endpoints and reads theirs."""

    def encode_call(
        self, head: CallHead, order: SendOrder
    ) -> Sequence[tuple[str, str]]:
        """:param head: the caller's head.

        :param order: what we add.
        """

    def decode_answer(
        self, status: int, headers: Mapping[str, str], raw: Iterable[tuple[str, str]]
    ) -> AnswerHead:
        """:param status: the HTTP status.

        :param headers: by name without regard to case.
        :param raw: the same in order, as they came.
        """


class VersionPolicy(Protocol):
    """Says which version of a service serves a request, and learns how it went."""

    def version_for(self, turn: RoutedTurn) -> VersionChoice | None:
        """:param turn: the request.

        :returns: which version serves it, and why; None where none is on trial.
        """

    def began(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: the request.

        :param grant: who is sent it.
        """

    def answer_began(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """:param turn: the request.

        :param grant: who answers.
        :param seconds: since it was sent.
        """

    def succeeded(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """:param turn: the request.

        :param grant: who answered.
        :param seconds: until the answer's head, or that of its stream.
        """

    def paced(
        self, turn: RoutedTurn, grant: Grant, seconds: float, pause: float
    ) -> None:
        """:param turn: the request.

        :param grant: who answers.
        :param seconds: until the answer's head.
        :param pause: the mean time between its first events.
        """

    def left(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: the request, which is over at an endpoint, however it ended.

        :param grant: the endpoint.
        """

    def failed(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: the request.

        :param grant: who ran it and failed.
        """
