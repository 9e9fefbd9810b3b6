# Licensed under the Apache License 2.0: see LICENSE for details.

"""Plain answers: held whole, or passed on as they come where memory is short."""

from __future__ import annotations

import aiohttp

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.routed.answermemory import AnswerMemory
from walnutquay.coordination.routed.bodies import AnswerBody
from walnutquay.coordination.routed.facts import RoutedFacts
from walnutquay.coordination.routed.slowcallers import unread_is_no_failure
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.exceptions import EndpointError
from walnutquay.protocol.calls import AnswerHead
from walnutquay.state.process.events import EventKind
from walnutquay.state.routed.callerpace import CallerPace
from walnutquay.transport.client import (
    FAILURES,
    STEP_ANSWER,
    STEP_BROKEN,
    STEP_FORWARDER,
)
from walnutquay.transport.connections import GarbledBodyError
from walnutquay.transport.timers import monotonic


class BegunAnswerError(EndpointError):
    """A plain answer broke after its caller had received a part of it."""


class PlainForwarder:
    """Reads plain answers, and passes those on that find no room.

    :param context: the state shared within this process.
    :param facts: provides log fields.
    :param memory: limits what is held of all answers.
    """

    def __init__(
        self, context: Context, facts: RoutedFacts, memory: AnswerMemory
    ) -> None:
        self.context = context
        self.facts = facts
        self.memory = memory

    async def read(
        self,
        turn: RoutedTurn,
        head: AnswerHead,
        answer: aiohttp.ClientResponse,
        grant: Grant,
        seconds: float,
    ) -> bytes | None:
        """Read an answer, or pass it on to the caller.

        :param turn: the request.
        :param head: the answer's head.
        :param answer: the answer.
        :param grant: the slot at the endpoint that answers.
        :param seconds: the time until the head.
        :returns: the whole body; None if it was passed on to its end.
        :raises EndpointError: if the answer breaks.
        """
        body = AnswerBody(answer, grant.name, self.memory)
        data = await body.read()
        if body.whole:
            return data
        reply = turn.arrival.reply
        if reply is None:
            answer.close()
            raise EndpointError(
                "the answer is too large", step=STEP_ANSWER, peer=grant.name
            )
        turn.progress.begun = True
        self.context.metrics.count("answers_passed_on")
        self.context.timeline.emit(
            EventKind.BEGUN,
            request=turn.arrival.request,
            endpoint=grant.name,
            **self.facts.begun(turn, head, seconds),
        )
        pace = CallerPace(monotonic())
        await reply.begin(head, answer.content_length)
        await reply.write(data)
        pace.passed_on(monotonic())
        # The part that was held is not needed any more.
        del data
        with unread_is_no_failure(pace):
            await self._pass_on(turn, body, pace)
        return None

    async def _pass_on(
        self, turn: RoutedTurn, body: AnswerBody, pace: CallerPace
    ) -> None:
        reply = turn.arrival.reply
        assert reply is not None
        try:
            async for part in body.rest(turn.arrival.deadline):
                pace.received(monotonic())
                await reply.write(part)
                pace.passed_on(monotonic())
        except (EndpointError, *FAILURES) as error:
            reason = str(error) or type(error).__name__
            raise BegunAnswerError(
                reason, step=_step_of(error), peer=body.peer
            ) from error


def _step_of(error: Exception) -> str:
    """Return the step of an error that has broken an answer in passing."""
    if isinstance(error, GarbledBodyError):
        return STEP_ANSWER
    if isinstance(error, EndpointError) and error.step == STEP_FORWARDER:
        return STEP_FORWARDER
    return STEP_BROKEN
