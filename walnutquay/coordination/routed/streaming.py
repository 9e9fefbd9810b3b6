# Licensed under the Apache License 2.0: see LICENSE for details.

"""Forwards the events of streams to callers, and detects engines that become silent."""

from __future__ import annotations

import aiohttp

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.routed.admission import RoutedAdmission
from walnutquay.coordination.routed.bodies import WatchedBody, lift_read_limit
from walnutquay.coordination.routed.budgets import RetryBudgets
from walnutquay.coordination.routed.facts import RoutedFacts
from walnutquay.coordination.routed.ports import VersionPolicy
from walnutquay.coordination.routed.slowcallers import unread_is_no_failure
from walnutquay.coordination.routed.stalls import Stalls
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.exceptions import EndpointError
from walnutquay.protocol.calls import AnswerHead
from walnutquay.protocol.chat import StreamParser
from walnutquay.state.process.events import EventKind
from walnutquay.state.routed.callerpace import CallerPace
from walnutquay.state.routed.pauses import PauseMeter, StreamPart
from walnutquay.transport.client import STEP_BROKEN, ConnectionEnd
from walnutquay.transport.timers import monotonic

# The minimum number of pauses from which the pace of a stream is evaluated.
PACE_PAUSES = 3
# A stream continues elsewhere, although its endpoint is reachable, when it is silent
# for this multiple of the route's longest acceptable pause and for the route's
# objective for a first event: engines that read long prompts are silent too.  Callers
# disconnect after eight pauses.
SILENCE_LIMIT_PAUSES = 4.0
# The part of the longest acceptable pause between two checks of a silent endpoint.
PROBE_PAUSE_SHARE = 0.5
# The minimum of this interval, used if the route sets no pause; seconds.
MIN_PROBE_SECONDS = 0.2


class StreamForwarder:
    """Forwards streams.

    :param context: the state shared within this process.
    :param admission: checks endpoints that become silent.
    :param versions: evaluates the pace of versions on trial.
    :param facts: provides log fields.
    :param budgets: the retry budgets of this VM.
    :param stalls: detects streams that became slow or silent.
    """

    def __init__(
        self,
        context: Context,
        admission: RoutedAdmission,
        versions: VersionPolicy,
        facts: RoutedFacts,
        budgets: RetryBudgets,
        stalls: Stalls,
    ) -> None:
        self.context = context
        self.admission = admission
        self.versions = versions
        self.facts = facts
        self.budgets = budgets
        self.stalls = stalls

    async def forward(
        self,
        turn: RoutedTurn,
        head: AnswerHead,
        answer: aiohttp.ClientResponse,
        grant: Grant,
        seconds: float,
    ) -> bool:
        """Forward complete events to the caller until the stream ends.

        :param turn: the request.
        :param head: the answer's head.
        :param answer: the answer.
        :param grant: the slot at the endpoint that answers.
        :param seconds: the time until the head.
        :returns: whether there were enough events to evaluate the stream's pace.
        :raises EndpointError: if the stream ends early.
        """
        reply = turn.arrival.reply
        assert reply is not None
        watched = ConnectionEnd(answer)
        if self.stalls.applies_to(turn):
            lift_read_limit(answer)
        parser = StreamParser(peer=grant.name)
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
        forwarded = 0
        pace_evaluated = False
        body = WatchedBody(
            answer,
            probe_interval(turn),
            lambda gap: self._should_switch(turn, grant, gap),
        )
        meter = PauseMeter(began)
        pace = CallerPace(began)
        with unread_is_no_failure(pace):
            async for data in body:
                events = [e for e in parser.feed(data) if turn.progress.accept(e)]
                now = monotonic()
                pace.received(now)
                if events:
                    turn.arrival.note_relayed(now)
                    part = meter.received(len(events), now)
                    await reply.write(b"".join(events))
                    passed_on = monotonic()
                    meter.passed_on(passed_on)
                    pace.passed_on(passed_on)
                    if part is not None:
                        self._on_part(turn, grant, part)
                forwarded += len(events)
                if forwarded > PACE_PAUSES and not pace_evaluated:
                    pace_evaluated = True
                    taken = monotonic() - began - pace.held
                    pause = taken / (forwarded - 1)
                    self.versions.paced(turn, grant, seconds, pause)
            watched.check(grant.name)
            if parser.buffer:
                raise EndpointError(
                    "the stream ended within an event",
                    step=STEP_BROKEN,
                    peer=grant.name,
                )
        self.stalls.on_ended(turn, grant, turn.progress.last_event or 0)
        return pace_evaluated

    def _on_part(self, turn: RoutedTurn, grant: Grant, part: StreamPart) -> None:
        """Learn from a part of a stream, and check whether the stream is too slow."""
        self.stalls.on_pauses(turn, grant, part.mean, part.longest)
        self.stalls.check_pace(turn, grant, part.mean, turn.progress.last_event or 0)

    async def _should_switch(self, turn: RoutedTurn, grant: Grant, gap: float) -> bool:
        """Decide whether a silent stream continues at another endpoint.

        An engine that reads a long prompt is silent too, and is waited for; one that is
        no longer reachable is not.

        :param turn: the request.
        :param grant: the slot at the silent endpoint.
        :param gap: seconds without an event.
        """
        budget = self.budgets.of(turn.service)
        if not turn.repeatable or budget.left < 1.0:
            return False
        if self.stalls.applies_to(turn) and self.stalls.check_gap(turn, grant, gap):
            return True
        if gap < silence_limit(turn) and await self.admission.check_reachable(grant):
            return False
        turn.retry_unsent = turn.retry_unsent or budget.take()
        return turn.retry_unsent


def probe_interval(turn: RoutedTurn) -> float:
    """Return the interval at which the endpoint of a silent stream is checked.

    :param turn: the streamed request.
    :returns: seconds.
    """
    return max(MIN_PROBE_SECONDS, PROBE_PAUSE_SHARE * turn.arrival.route.pause_seconds)


def silence_limit(turn: RoutedTurn) -> float:
    """Return the length of a silence after which a stream continues elsewhere.

    Where endpoints do not tell how long work takes, the client's limit between two
    reads, which is that for the head, may end the wait sooner.

    :param turn: the streamed request.
    :returns: seconds.
    """
    route = turn.arrival.route
    return max(SILENCE_LIMIT_PAUSES * route.pause_seconds, route.objective_seconds)
