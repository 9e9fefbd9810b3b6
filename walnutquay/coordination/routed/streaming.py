# Licensed under the Apache License 2.0: see LICENSE for details.

"""Passes the events of streams on to callers, and notices engines that fall silent."""

from __future__ import annotations

import aiohttp

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.requests.places import Grant
from walnutquay.coordination.routed.admission import RoutedAdmission
from walnutquay.coordination.routed.bodies import WatchedBody
from walnutquay.coordination.routed.budgets import RetryBudgets
from walnutquay.coordination.routed.facts import RoutedFacts
from walnutquay.coordination.routed.ports import VersionPolicy
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.exceptions import EndpointError
from walnutquay.protocol.calls import AnswerHead
from walnutquay.protocol.chat import StreamParser
from walnutquay.state.process.events import EventKind
from walnutquay.transport.client import STEP_BROKEN, ConnectionEnd
from walnutquay.transport.timers import monotonic

# The pauses that a stream's pace is judged by.
JUDGED_EVENTS = 3
# A stream that is silent for so many of the longest good pauses, and for the time that
# its route gives a first event, goes on elsewhere though its endpoint can be reached:
# engines that read long prompts are silent too.  Callers leave after eight pauses.
MUTE_PAUSES = 4.0
# Of the longest good pause: how often a silent endpoint is tried.
TRIED_PAUSE = 0.5
# The same where the route names no pause; seconds.
MIN_TRIED_SECONDS = 0.2


class StreamPassing:
    """Passes streams on.

    :param context: what this process shares.
    :param admission: tries endpoints that fall silent.
    :param versions: judges the pace of versions on trial.
    :param facts: tells what decided, for the log.
    :param budgets: what retries draw on.
    """

    def __init__(
        self,
        context: Context,
        admission: RoutedAdmission,
        versions: VersionPolicy,
        facts: RoutedFacts,
        budgets: RetryBudgets,
    ) -> None:
        self.context = context
        self.admission = admission
        self.versions = versions
        self.facts = facts
        self.budgets = budgets

    async def pass_on(
        self,
        turn: RoutedTurn,
        head: AnswerHead,
        answer: aiohttp.ClientResponse,
        grant: Grant,
        seconds: float,
    ) -> bool:
        """Pass whole events on to the caller until the stream has ended.

        :param turn: the request.
        :param head: the answer's head.
        :param answer: the answer.
        :param grant: who answers.
        :param seconds: until the head.
        :returns: whether its first events were enough to judge its pace.
        :raises EndpointError: if it ends early.
        """
        reply = turn.arrival.reply
        assert reply is not None
        watched = ConnectionEnd(answer)
        parser = StreamParser()
        if not turn.progress.begun:
            turn.progress.begun = True
            self.context.timeline.emit(
                EventKind.BEGUN,
                request=turn.arrival.request,
                endpoint=grant.name,
                **self.facts.begun(turn, head, seconds),
            )
            await reply.begin(head)
        began = monotonic()
        passed = 0
        judged = False
        body = WatchedBody(
            answer,
            tried_every(turn),
            lambda gap: self._goes_on_elsewhere(turn, grant, gap),
        )
        async for data in body:
            events = [e for e in parser.feed(data) if turn.progress.accept(e)]
            if events:
                turn.arrival.passed(monotonic())
                await reply.write(b"".join(events))
            passed += len(events)
            if passed > JUDGED_EVENTS and not judged:
                judged = True
                pause = (monotonic() - began) / (passed - 1)
                self.versions.paced(turn, grant, seconds, pause)
        watched.check(grant.name)
        if parser.buffer:
            raise EndpointError(
                "the stream ended within an event", step=STEP_BROKEN, peer=grant.name
            )
        return judged

    async def _goes_on_elsewhere(
        self, turn: RoutedTurn, grant: Grant, gap: float
    ) -> bool:
        """Decide whether a silent stream is to go on at another endpoint.

        An engine that reads a long prompt is silent too, and is waited for; one
        that cannot be reached any more is not.

        :param turn: the request.
        :param grant: the endpoint.
        :param gap: seconds without an event.
        """
        budget = self.budgets.of(turn.service)
        if not turn.repeatable or budget.left < 1.0:
            return False
        if gap < mute_after(turn) and await self.admission.still_there(grant):
            return False
        turn.prepaid = budget.take()
        return turn.prepaid


def tried_every(turn: RoutedTurn) -> float:
    """:param turn: a streamed request.

    :returns: seconds of silence after which its endpoint is tried, again and again.
    """
    return max(MIN_TRIED_SECONDS, TRIED_PAUSE * turn.arrival.route.pause_seconds)


def mute_after(turn: RoutedTurn) -> float:
    """:param turn: a streamed request.

    :returns: seconds of silence after which it goes on elsewhere.
    """
    route = turn.arrival.route
    return max(MUTE_PAUSES * route.pause_seconds, route.objective_seconds)
