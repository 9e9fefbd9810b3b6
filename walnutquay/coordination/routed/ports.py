# Licensed under the Apache License 2.0: see LICENSE for details.

"""Interfaces of the routed request path: heads, choice of versions, scarce slots."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from expression import Result

from walnutquay.coordination.requests.slots import Grant, SlotRequest, SlotTicket
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.protocol.calls import AnswerHead, CallHead, SendOrder
from walnutquay.state.process.ids import ServiceName
from walnutquay.state.requests.refusals import Refusal
from walnutquay.state.store.instances import Instance
from walnutquay.state.trials.choice import VersionChoice


class Dialect(Protocol):
    """Encodes heads for endpoints and decodes those of their answers."""

    def encode_call(
        self, head: CallHead, order: SendOrder
    ) -> Sequence[tuple[str, str]]:
        """Encode the head of a request to an endpoint.

        :param head: the caller's head.
        :param order: the fields that this VM adds.
        """

    def decode_answer(
        self, status: int, headers: Mapping[str, str], raw: Sequence[tuple[str, str]]
    ) -> AnswerHead:
        """Decode the head of an endpoint's answer.

        :param status: the HTTP status.
        :param headers: the headers, by case-insensitive name.
        :param raw: the same headers in the order in which they were received.
        """


class VersionPolicy(Protocol):
    """Chooses the version of a service for each request, and learns from results."""

    def version_for(self, turn: RoutedTurn) -> VersionChoice | None:
        """Choose the version that serves a request.

        :param turn: the request.
        :returns: the version and the reason; None if no version is on trial.
        """

    def began(self, turn: RoutedTurn, grant: Grant) -> None:
        """Record that a request is being sent.

        :param turn: the request.
        :param grant: the slot that it was granted.
        """

    def answer_began(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """Record that an answer has begun.

        :param turn: the request.
        :param grant: the slot at the endpoint that answers.
        :param seconds: the time since the request was sent.
        """

    def succeeded(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """Record that a request has succeeded.

        :param turn: the request.
        :param grant: the slot at the endpoint that answered.
        :param seconds: the time until the head of the answer or of its stream.
        """

    def paced(
        self, turn: RoutedTurn, grant: Grant, seconds: float, pause: float
    ) -> None:
        """Record the pace of a stream.

        :param turn: the request.
        :param grant: the slot at the endpoint that answers.
        :param seconds: the time until the answer's head.
        :param pause: the mean time between its first events.
        """

    def left(self, turn: RoutedTurn, grant: Grant) -> None:
        """Record that a request is over at an endpoint, whatever its result.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        """

    def failed(self, turn: RoutedTurn, grant: Grant, broke: bool = False) -> None:
        """Record that an endpoint ran a request and failed.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        :param broke: whether the answer broke off; else it said that it failed.
        """


class ScarceSlots(Protocol):
    """Shares the scarce slots of services out among all VMs."""

    def are_scarce(self, service: ServiceName) -> bool:
        """Return whether requests to a service have to ask for a slot at present.

        :param service: the service.
        """

    async def acquire(
        self, need: SlotRequest, found: list[Instance]
    ) -> Result[SlotTicket, Refusal]:
        """Wait for one of a service's slots, in the order of all VMs' requests.

        A request that is cancelled meanwhile leaves the queue, or frees its slot.

        :param need: the slot that is requested.
        :param found: the endpoints that the request may be sent to.
        :returns: its place, to be given back by :meth:`release`; or a refusal.
        """

    def release(self, ticket: SlotTicket, seconds: float) -> None:
        """Give a slot back.

        :param ticket: the request's place.
        :param seconds: how long its whole answer took; 0 if it got none.
        """

    def on_answer(self, instance: Instance, head: AnswerHead) -> None:
        """Learn an endpoint's load from the head of an answer.

        :param instance: the endpoint that answered.
        :param head: the head.
        """

    def on_rejected(self, instance: Instance, ticket: SlotTicket | None) -> None:
        """Record that an endpoint had no room for a request of this VM.

        :param instance: the endpoint.
        :param ticket: the request's place; None if it has none.
        """
