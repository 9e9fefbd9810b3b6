# Licensed under the Apache License 2.0: see LICENSE for details.

"""Detects requests that wait in vain at an endpoint, and sends them to another one."""

from __future__ import annotations

import asyncio
from types import TracebackType

import aiohttp

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.routed.admission import RoutedAdmission
from walnutquay.coordination.routed.bodies import WatchedExchange, give_up
from walnutquay.coordination.routed.budgets import RetryBudgets
from walnutquay.coordination.routed.facts import whole_ms
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.exceptions import EndpointError
from walnutquay.protocol.calls import AnswerHead
from walnutquay.state.process.events import EventKind
from walnutquay.state.routed.stalls import (
    Action,
    HeadWait,
    MoveLimit,
    StreamGap,
    StreamPace,
    Turnover,
    Verdict,
    answer_margin,
    judge_gap,
    judge_head,
    judge_pace,
)
from walnutquay.state.routed.usualtimes import Duration, RecentTimes, Usual
from walnutquay.transport.client import STEP_EXCHANGE, STEP_STREAM, Exchange
from walnutquay.transport.timers import monotonic

# A waiting request is checked this many times within its objective, at intervals
# within these bounds; seconds.
CHECKS_PER_OBJECTIVE = 8
MIN_CHECK_SECONDS = 0.02
MAX_CHECK_SECONDS = 0.25
# Failures of requests are errors for the caller, and tell nothing about usual times.
FIRST_FAILED_STATUS = 400
STEP_DEADLINE = "deadline"


class OutOfTimeError(EndpointError):
    """No answer began, and the caller must be told before its deadline."""


class Stalls:
    """Learns how long work takes, and decides about work that takes longer.

    It acts only for services whose endpoints tell how long work takes.

    :param context: the state shared within this process.
    :param admission: forecasts when answers begin.
    :param budgets: the retry budgets of this VM.
    """

    def __init__(
        self, context: Context, admission: RoutedAdmission, budgets: RetryBudgets
    ) -> None:
        self.context = context
        self.admission = admission
        self.budgets = budgets
        # Times to the heads of answers; the mean and the longest pauses of streams; and
        # the numbers of events of streams that ended.
        self.heads = RecentTimes()
        self.pauses = RecentTimes()
        self.gaps = RecentTimes()
        self.lengths = RecentTimes()
        self.limit = MoveLimit()
        # The number of requests at endpoints that are watched.
        self.under_way = 0

    def applies_to(self, turn: RoutedTurn) -> bool:
        """Return whether requests to a request's service are watched.

        :param turn: the request.
        """
        return self.admission.scope.covers(turn.service)

    def on_head(self, turn: RoutedTurn, grant: Grant, head: AnswerHead) -> None:
        """Learn from the head of an answer.

        :param turn: the request.
        :param grant: the slot at the endpoint that answers.
        :param head: the head.
        """
        if not self.applies_to(turn):
            return
        if head.status < FIRST_FAILED_STATUS and not head.not_run:
            seconds = monotonic() - grant.started
            self.heads.learn(kind_of(turn), _measured(grant, seconds))

    def on_pauses(
        self, turn: RoutedTurn, grant: Grant, mean: float, longest: float
    ) -> None:
        """Learn from a part of a stream.

        :param turn: the request.
        :param grant: the slot at the endpoint that answers.
        :param mean: the mean pause between its events; seconds.
        :param longest: the longest one; seconds.
        """
        if self.applies_to(turn):
            self.pauses.learn(kind_of(turn), _measured(grant, mean))
            self.gaps.learn(kind_of(turn), _measured(grant, longest))

    def on_ended(self, turn: RoutedTurn, grant: Grant, events: int) -> None:
        """Learn how many events a stream had.

        :param turn: the request.
        :param grant: the slot at the endpoint that ended it.
        :param events: the number of events.
        """
        if self.applies_to(turn):
            self.lengths.learn(kind_of(turn), _measured(grant, events))

    def usual_heads(self, turn: RoutedTurn, grant: Grant) -> Usual | None:
        """Return the usual time to the head at endpoints other than a request's.

        :param turn: the request.
        :param grant: its slot.
        """
        return self._usual(self.heads, turn, grant)

    def usual_anywhere(self, turn: RoutedTurn, grant: Grant) -> Usual | None:
        """Return the usual time to the head at all endpoints, those tried included.

        :param turn: the request.
        :param grant: its slot.
        """
        return self.heads.elsewhere(kind_of(turn), (), grant.started, monotonic())

    def watch(
        self, turn: RoutedTurn, grant: Grant, exchange: Exchange | WatchedExchange
    ) -> Exchange | WatchedExchange | TimedExchange:
        """Return an exchange that fails once its request is stalled.

        :param turn: the request.
        :param grant: its slot.
        :param exchange: the exchange.
        :returns: the same exchange where nothing is known of the service's pace.
        """
        if not self.applies_to(turn):
            return exchange
        return TimedExchange(exchange, self, turn, grant)

    def check_head(self, turn: RoutedTurn, grant: Grant) -> None:
        """Check a request whose answer has not begun.

        :param turn: the request.
        :param grant: its slot.
        :raises OutOfTimeError: if its caller must be told now that nothing is known.
        :raises EndpointError: if it is to be sent to another endpoint.
        """
        usual = self.usual_heads(turn, grant)
        arrival = turn.arrival
        wait = HeadWait(
            waited=monotonic() - grant.started,
            seconds_left=turn.seconds_left(),
            allowed=arrival.deadline - arrival.arrived_at,
            objective=arrival.route.objective_seconds,
            movable=turn.repeatable,
            begun=turn.progress.begun,
            turnover=self._turnover(turn, grant),
            forecast=self.admission.expected_answer_seconds(grant),
            reading=self._reading(turn),
        )
        verdict = judge_head(wait, usual)
        if verdict.action is Action.END:
            self._log(turn, grant, wait.waited, verdict, usual)
            raise OutOfTimeError(
                "no answer came in time", step=STEP_DEADLINE, peer=grant.name
            )
        if self._may_move(turn, grant, wait.waited, verdict, usual):
            raise EndpointError(
                "it has not begun the request", step=STEP_EXCHANGE, peer=grant.name
            )

    def check_gap(self, turn: RoutedTurn, grant: Grant, silent: float) -> bool:
        """Return whether a silent stream continues at another endpoint.

        :param turn: the request.
        :param grant: its slot.
        :param silent: since its last event; seconds.
        """
        gap = StreamGap(
            silent=silent,
            seconds_left=turn.seconds_left(),
            pause=turn.arrival.route.pause_seconds,
            reading=self._reading(turn),
        )
        usual = self._usual(self.gaps, turn, grant)
        verdict = judge_gap(gap, usual, self.usual_heads(turn, grant))
        return self._may_move(turn, grant, silent, verdict, usual)

    def check_pace(
        self, turn: RoutedTurn, grant: Grant, pause: float, events: int
    ) -> None:
        """Check a stream whose events come.

        :param turn: the request.
        :param grant: its slot.
        :param pause: the mean pause of late; seconds.
        :param events: the number of events of the whole stream so far.
        :raises EndpointError: if it continues at another endpoint.
        """
        if not (turn.repeatable and self.applies_to(turn)):
            return
        pace = StreamPace(pause, events, turn.seconds_left(), self._reading(turn))
        usual = self._usual(self.pauses, turn, grant)
        lengths = self._usual(self.lengths, turn, grant)
        verdict = judge_pace(pace, usual, lengths, self.usual_heads(turn, grant))
        if self._may_move(turn, grant, pause, verdict, usual):
            raise EndpointError(
                "the stream is too slow to end in time",
                step=STEP_STREAM,
                peer=grant.name,
            )

    def _may_move(
        self,
        turn: RoutedTurn,
        grant: Grant,
        waited: float,
        verdict: Verdict,
        usual: Usual | None,
    ) -> bool:
        """Return whether a stalled request is moved, and charge its retry."""
        if verdict.action is not Action.MOVE or not turn.repeatable:
            return False
        budget = self.budgets.of(turn.service)
        if not turn.retry_unsent and budget.left < 1.0:
            self.context.metrics.count("stalls_kept_for_budget")
            return False
        if not self.limit.take(self.under_way, monotonic()):
            self.context.metrics.count("stalls_kept_for_share")
            return False
        turn.retry_unsent = turn.retry_unsent or budget.take()
        if turn.retry_unsent:
            self._log(turn, grant, waited, verdict, usual)
        return turn.retry_unsent

    def _log(
        self,
        turn: RoutedTurn,
        grant: Grant,
        waited: float,
        verdict: Verdict,
        usual: Usual | None,
    ) -> None:
        moved = verdict.action is Action.MOVE
        self.context.metrics.count("stalls_moved" if moved else "stalls_ended")
        self.context.timeline.emit(
            EventKind.STALLED,
            request=turn.arrival.request,
            version=turn.target,
            endpoint=grant.name,
            detail=verdict.action.value,
            waited_ms=whole_ms(waited),
            usual_ms=None if usual is None else whole_ms(usual.high),
            usual_age_ms=None if usual is None else whole_ms(usual.age),
            limit_ms=None if verdict.limit is None else whole_ms(verdict.limit),
            elsewhere_ms=_ms_or_none(verdict.elsewhere),
            left_ms=whole_ms(turn.seconds_left()),
        )

    def _usual(
        self, times: RecentTimes, turn: RoutedTurn, grant: Grant
    ) -> Usual | None:
        tried = turn.tried | {grant.name}
        return times.elsewhere(kind_of(turn), tried, grant.started, monotonic())

    def _turnover(self, turn: RoutedTurn, grant: Grant) -> Turnover:
        answers = self.heads.answered_since(kind_of(turn), grant.name, grant.started)
        if not answers:
            return Turnover.SILENT
        return Turnover.PASSED_OVER if any(answers) else Turnover.QUEUED

    def _reading(self, turn: RoutedTurn) -> float:
        work = turn.work
        if work is None:
            return 0.0
        return work.tokens * self.admission.work.rate(work.model)


class TimedExchange:
    """Waits for an answer's head until its request is stalled.

    :param exchange: the exchange.
    :param stalls: decides whether the request is stalled.
    :param turn: the request.
    :param grant: its slot.
    """

    def __init__(
        self,
        exchange: Exchange | WatchedExchange,
        stalls: Stalls,
        turn: RoutedTurn,
        grant: Grant,
    ) -> None:
        self.exchange = exchange
        self.stalls = stalls
        self.turn = turn
        self.grant = grant

    async def __aenter__(self) -> aiohttp.ClientResponse:
        self.stalls.under_way += 1
        connecting = asyncio.ensure_future(self.exchange.__aenter__())
        try:
            while not connecting.done():
                await asyncio.wait([connecting], timeout=self._interval())
                if not connecting.done():
                    self.stalls.check_head(self.turn, self.grant)
            answer, connecting = connecting.result(), None
            return answer
        finally:
            give_up(connecting)
            if connecting is not None:
                self.stalls.under_way -= 1
            # Its error would keep this frame, and this frame the error.
            del connecting

    def _interval(self) -> float:
        """Return the time until the next check: at the latest when time is up."""
        arrival = self.turn.arrival
        objective = arrival.route.objective_seconds
        interval = min(MAX_CHECK_SECONDS, objective / CHECKS_PER_OBJECTIVE)
        interval = max(MIN_CHECK_SECONDS, interval)
        margin = answer_margin(arrival.deadline - arrival.arrived_at)
        left = self.turn.seconds_left() - margin
        return min(interval, left) if left > 0.0 else interval

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stalls.under_way -= 1
        await self.exchange.__aexit__(kind, error, trace)


def kind_of(turn: RoutedTurn) -> str:
    """Return the kind of work whose times are compared.

    :param turn: the request.
    """
    model = turn.model_name or turn.arrival.head.model
    return f"{turn.service}/{turn.arrival.route.name}/{model}"


def _measured(grant: Grant, value: float) -> Duration:
    return Duration(grant.name, value, grant.started, monotonic())


def _ms_or_none(seconds: float | None) -> int | None:
    return None if seconds is None else whole_ms(seconds)
