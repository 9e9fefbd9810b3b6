# Licensed under the Apache License 2.0: see LICENSE for details.

"""Judges the answers of a version on trial beside those of the old one."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.state.process.counts import LatestTable
from walnutquay.state.process.ids import EndpointName, RequestId, ServiceName
from walnutquay.state.store.instances import Instance
from walnutquay.state.trials.baseline import BaselineTimes
from walnutquay.state.trials.counts import Measure
from walnutquay.state.trials.trial import Trial
from walnutquay.transport.timers import monotonic

# An answer that takes so many times as long as the old version's is a bad one.
# The platform's slow versions take eight times as long.
SLOW_FACTOR = 5.0
# One that takes so many times as long is sluggish.
SLUGGISH_FACTOR = 1.5
# The same for the pauses between events, which vary less than the wait for the first.
SLOW_PAUSE_FACTOR = 2.5
# Endpoints of which it is kept when they last began an answer.
MAX_ENDPOINTS = 1000


@dataclass(slots=True)
class Call:
    """A request that an endpoint has while a version is on trial.

    :param turn: the request.
    :param grant: the endpoint.
    :param since: when it was sent; monotonic seconds.
    :param begun: whether its answer has begun.
    :param overdue: what it was counted as bad by before its answer began.
    """

    turn: RoutedTurn
    grant: Grant
    since: float
    begun: bool = False
    overdue: set[Measure] = field(default_factory=set)


class AnswerJudge:
    """Counts good and bad answers while a version is on trial.

    Each answer counts as it begins, also one that is dropped for a larger model's; one
    that does not begin counts as soon as it is late.  The slow answers of a version are
    the ones that come last, or never: judged by those that have come it seems quick.

    :param trial_of: gives the trial of a service, if there is one.
    :param on_bad: told of a trial whose new version has given a bad answer.
    """

    def __init__(
        self,
        trial_of: Callable[[ServiceName], Trial | None],
        on_bad: Callable[[Trial], None],
    ) -> None:
        self.trial_of = trial_of
        self.on_bad = on_bad
        self.usual = BaselineTimes()
        # What endpoints have now, of services whose version is on trial.
        self.calls: dict[RequestId, Call] = {}
        # When each endpoint last began an answer; monotonic seconds.
        self.last_begun: LatestTable[EndpointName, float] = LatestTable(
            MAX_ENDPOINTS, float
        )

    # Requests.

    def sent(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: a request that is sent now.

        :param grant: the endpoint.
        """
        if self.trial_of(turn.service) is not None:
            call = Call(turn, grant, monotonic())
            self.calls[turn.arrival.request] = call

    def begun(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """:param turn: a request whose answer begins.

        :param grant: who answers.
        :param seconds: since it was sent.
        """
        self.last_begun.set(grant.name, monotonic())
        call = self.calls.get(turn.arrival.request)
        if call is not None:
            call.begun = True
        ratio = self._ratio("head", turn, seconds)
        if not self.on_trial(grant):
            self.usual.learn(turn.service, _kind("head", turn), seconds)
        if ratio is not None:
            sluggish = ratio > SLUGGISH_FACTOR
            self._count_once(turn, grant, Measure.SLUGGISH, sluggish)

    def succeeded(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """:param turn: a request that was answered, or a short stream.

        :param grant: who answered.
        :param seconds: until the answer's head.
        """
        ratio = self._ratio("head", turn, seconds)
        if ratio is not None:
            self._count_once(turn, grant, Measure.SLOW, ratio > SLOW_FACTOR)
        self._count(turn, grant, Measure.FAILED, False)

    def paced(
        self, turn: RoutedTurn, grant: Grant, seconds: float, pause: float
    ) -> None:
        """Judge a stream by its first events: some versions are slow only then.

        :param turn: the request.
        :param grant: who answers.
        :param seconds: until the answer's head.
        :param pause: the mean time between its first events.
        """
        head = self._ratio("head", turn, seconds)
        paused = self._ratio("pause", turn, pause)
        if not self.on_trial(grant):
            self.usual.learn(turn.service, _kind("pause", turn), pause)
        if head is not None or paused is not None:
            slow = (head or 0.0) > SLOW_FACTOR or (paused or 0.0) > SLOW_PAUSE_FACTOR
            self._count_once(turn, grant, Measure.SLOW, slow)
        self._count(turn, grant, Measure.FAILED, False)

    def failed(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: a request whose endpoint answered that it failed.

        :param grant: the endpoint.
        """
        self._count(turn, grant, Measure.FAILED, True)

    def left(self, turn: RoutedTurn) -> None:
        """:param turn: a request that an endpoint is done with, however it ended."""
        self.calls.pop(turn.arrival.request, None)

    def look(self) -> None:
        """Count the requests whose answers should have begun."""
        now = monotonic()
        for call in list(self.calls.values()):
            if not call.begun and self._answers_others(call):
                self._count_overdue(call, now - call.since)

    def _answers_others(self, call: Call) -> bool:
        """Whether an endpoint goes on answering: one that is dark is ill by itself."""
        return (self.last_begun.get(call.grant.name) or 0.0) > call.since

    def _count_overdue(self, call: Call, seconds: float) -> None:
        ratio = self._ratio("head", call.turn, seconds) or 0.0
        for measure, factor in (
            (Measure.SLUGGISH, SLUGGISH_FACTOR),
            (Measure.SLOW, SLOW_FACTOR),
        ):
            if ratio > factor and measure not in call.overdue:
                call.overdue.add(measure)
                self._count(call.turn, call.grant, measure, True)

    # Counts.

    def on_trial(self, grant: Grant) -> bool:
        """:param grant: an endpoint.

        :returns: whether it runs a version that is on trial.
        """
        endpoint = grant.endpoint
        assert isinstance(endpoint, Instance)
        trial = self.trial_of(endpoint.service)
        return trial is not None and trial.order.version == endpoint.version

    def _ratio(self, measure: str, turn: RoutedTurn, seconds: float) -> float | None:
        """Compare a time with what the old version usually takes.

        :returns: how many times as long it is; None where that is not known.
        """
        return self.usual.ratio(turn.service, _kind(measure, turn), seconds)

    def _count_once(
        self, turn: RoutedTurn, grant: Grant, measure: Measure, bad: bool
    ) -> None:
        """Count an answer, unless it was counted before it began."""
        call = self.calls.get(turn.arrival.request)
        if call is None or measure not in call.overdue:
            self._count(turn, grant, measure, bad)

    def _count(
        self, turn: RoutedTurn, grant: Grant, measure: Measure, bad: bool
    ) -> None:
        trial = self.trial_of(turn.service)
        if trial is None:
            return
        tally = trial.own if self.on_trial(grant) else trial.old
        tally.add((measure, turn.arrival.route.name), bad, grant.name)
        if bad and tally is trial.own:
            self.on_bad(trial)


def _kind(measure: str, turn: RoutedTurn) -> str:
    """Give the kind of answer that a time is compared with."""
    return f"{measure}/{turn.arrival.route.name}/{turn.model}"
