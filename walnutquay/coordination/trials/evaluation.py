# Licensed under the Apache License 2.0: see LICENSE for details.

"""Evaluates the answers of a version on trial against those of the old version."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from walnutquay.coordination.process.tasks import Tasks
from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.state.process.counts import LruTable
from walnutquay.state.process.ids import (
    EndpointName,
    RequestId,
    RouteName,
    ServiceName,
)
from walnutquay.state.routed.links import Reach
from walnutquay.state.store.instances import Instance
from walnutquay.state.trials.baseline import BaselineTimes
from walnutquay.state.trials.breaks import Breaks
from walnutquay.state.trials.counts import Measure
from walnutquay.state.trials.trial import Trial
from walnutquay.transport.client import probe
from walnutquay.transport.timers import monotonic

# The multiple of the baseline time from which an answer counts as slow.  The platform's
# slow versions take eight times as long as the old version.
SLOW_FACTOR = 5.0
# The multiple of the baseline time from which an answer counts as sluggish.
SLUGGISH_FACTOR = 1.5
# The multiple of the baseline pause between events from which an answer counts as slow.
# It is lower because pauses vary less than the wait for the first event.
SLOW_PAUSE_FACTOR = 2.5
OVERDUE_FACTORS = {Measure.SLUGGISH: SLUGGISH_FACTOR, Measure.SLOW: SLOW_FACTOR}
# The most endpoints for which the time of the last answer is kept.
MAX_ENDPOINTS = 1000


@dataclass(slots=True)
class RunningRequest:
    """A request in progress at an endpoint while a version is on trial.

    :param turn: the request.
    :param grant: the endpoint's slot.
    :param sent_at: when the request was sent; monotonic seconds.
    :param answer_began: whether its answer has begun.
    :param overdue: the measures by which it counted as bad before its answer began.
    """

    turn: RoutedTurn
    grant: Grant
    sent_at: float
    answer_began: bool = False
    overdue: set[Measure] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class BrokenAnswer:
    """An answer of the version on trial that broke off.

    :param route: the request's route.
    :param endpoint: the endpoint that answered.
    """

    route: RouteName
    endpoint: EndpointName


class AnswerEvaluator:
    """Counts good and bad answers while a version is on trial.

    Each answer counts as it begins, even if it is then dropped for a larger model's.  A
    request whose answer has not begun counts as soon as it is late: a version's slow
    answers arrive last or never, so the version would seem fast if only the answers
    that have arrived counted.

    :param trial_of: returns the trial of a service, if there is one.
    :param on_bad: called with a trial whose new version has given a bad answer.
    """

    def __init__(
        self,
        trial_of: Callable[[ServiceName], Trial | None],
        on_bad: Callable[[Trial], None],
    ) -> None:
        self.trial_of = trial_of
        self.on_bad = on_bad
        self.baseline = BaselineTimes()
        self.tasks = Tasks()
        # The requests in progress for services with a version on trial.
        self.running: dict[RequestId, RunningRequest] = {}
        # The answers that broke off, by service.
        self.breaks: dict[ServiceName, Breaks[BrokenAnswer]] = {}
        # When each endpoint last began an answer; monotonic seconds.
        self.last_answer_began: LruTable[EndpointName, float] = LruTable(
            MAX_ENDPOINTS, float
        )

    # Requests.

    def sent(self, turn: RoutedTurn, grant: Grant) -> None:
        """Record that a request is sent.

        :param turn: the request.
        :param grant: the endpoint's slot.
        """
        if self.trial_of(turn.service) is not None:
            running_request = RunningRequest(turn, grant, monotonic())
            self.running[turn.arrival.request] = running_request

    def answer_began(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """Evaluate the time until an answer began.

        :param turn: the request.
        :param grant: the slot of the endpoint that answers.
        :param seconds: the time since the request was sent.
        """
        self.last_answer_began.set(grant.name, monotonic())
        running_request = self.running.get(turn.arrival.request)
        if running_request is not None:
            running_request.answer_began = True
        ratio = self._ratio("head", turn, seconds)
        if not self.is_on_trial(grant):
            self.baseline.learn(turn.service, _kind("head", turn), seconds)
        if ratio is not None:
            sluggish = ratio > SLUGGISH_FACTOR
            self._count_once(turn, grant, Measure.SLUGGISH, sluggish)

    def succeeded(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """Count a request that was answered, or a short stream.

        :param turn: the request.
        :param grant: the slot of the endpoint that answered.
        :param seconds: the time until the answer's head.
        """
        ratio = self._ratio("head", turn, seconds)
        if ratio is not None:
            self._count_once(turn, grant, Measure.SLOW, ratio > SLOW_FACTOR)
        self._count(turn, grant, Measure.FAILED, False)

    def paced(
        self, turn: RoutedTurn, grant: Grant, seconds: float, pause: float
    ) -> None:
        """Evaluate a stream by its first events, as some versions are slow only there.

        :param turn: the request.
        :param grant: the slot of the endpoint that answers.
        :param seconds: the time until the answer's head.
        :param pause: the mean time between its first events.
        """
        head = self._ratio("head", turn, seconds)
        paused = self._ratio("pause", turn, pause)
        if not self.is_on_trial(grant):
            self.baseline.learn(turn.service, _kind("pause", turn), pause)
        if head is not None or paused is not None:
            slow = (head or 0.0) > SLOW_FACTOR or (paused or 0.0) > SLOW_PAUSE_FACTOR
            self._count_once(turn, grant, Measure.SLOW, slow)
        self._count(turn, grant, Measure.FAILED, False)

    def failed(self, turn: RoutedTurn, grant: Grant) -> None:
        """Count a request whose endpoint answered that it failed.

        :param turn: the request.
        :param grant: the endpoint's slot.
        """
        self._count(turn, grant, Measure.FAILED, True)

    def broke(self, turn: RoutedTurn, grant: Grant) -> None:
        """Note an answer that broke off; it may count against its version later.

        :param turn: the request.
        :param grant: the endpoint's slot.
        """
        if self.trial_of(turn.service) is None:
            self.breaks.pop(turn.service, None)
            return
        breaks = self.breaks.setdefault(turn.service, Breaks())
        if self.is_on_trial(grant):
            broken = BrokenAnswer(turn.arrival.route.name, grant.name)
            breaks.add(broken, monotonic())
        else:
            breaks.add_other(monotonic())
            self._count(turn, grant, Measure.FAILED, True)

    def _count_broken(self, service: ServiceName, broken: BrokenAnswer) -> None:
        trial = self.trial_of(service)
        if trial is not None:
            subject = (Measure.FAILED, broken.route)
            trial.own.add(subject, True, broken.endpoint)
            self.on_bad(trial)

    def left(self, turn: RoutedTurn) -> None:
        """Remove a request that has ended at its endpoint, for whatever reason.

        One that was given up before its answer began counts by the time that it took.

        :param turn: the request.
        """
        running_request = self.running.pop(turn.arrival.request, None)
        if running_request is None or running_request.answer_began:
            return
        seconds = monotonic() - running_request.sent_at
        if self._new_faults(running_request, seconds):
            self.tasks.spawn(self._count_unanswered(running_request, seconds))

    async def _count_unanswered(
        self, running_request: RunningRequest, seconds: float
    ) -> None:
        """Count a request that was never answered, unless its endpoint is down.

        :param running_request: the request.
        :param seconds: how long it was at the endpoint.
        """
        endpoint = running_request.grant.endpoint
        assert isinstance(endpoint, Instance)
        if await probe(endpoint.address) is Reach.REACHED:
            self._count_overdue(running_request, seconds)

    def check_overdue(self) -> None:
        """Count the requests whose answers should have begun, and those that broke."""
        now = monotonic()
        for service, breaks in self.breaks.items():
            for broken in breaks.take_counted(now):
                self._count_broken(service, broken)
        for running_request in list(self.running.values()):
            if not running_request.answer_began and self._answers_other_requests(
                running_request
            ):
                self._count_overdue(running_request, now - running_request.sent_at)

    def _answers_other_requests(self, running_request: RunningRequest) -> bool:
        """Return whether the endpoint has begun other answers since.

        An endpoint that answers nothing is faulty itself, which does not count against
        its version.
        """
        return (
            self.last_answer_began.get(running_request.grant.name) or 0.0
        ) > running_request.sent_at

    def _count_overdue(self, running_request: RunningRequest, seconds: float) -> None:
        for measure in self._new_faults(running_request, seconds):
            running_request.overdue.add(measure)
            self._count(running_request.turn, running_request.grant, measure, True)

    def _new_faults(
        self, running_request: RunningRequest, seconds: float
    ) -> list[Measure]:
        """Return the measures by which a request is bad and did not count yet.

        :param running_request: the request.
        :param seconds: how long it has been at the endpoint without an answer.
        """
        ratio = self._ratio("head", running_request.turn, seconds) or 0.0
        return [
            measure
            for measure, factor in OVERDUE_FACTORS.items()
            if ratio > factor and measure not in running_request.overdue
        ]

    # Counts.

    def is_on_trial(self, grant: Grant) -> bool:
        """Return whether an endpoint runs a version that is on trial.

        :param grant: the endpoint's slot.
        """
        endpoint = grant.endpoint
        assert isinstance(endpoint, Instance)
        trial = self.trial_of(endpoint.service)
        return trial is not None and trial.order.version == endpoint.version

    def _ratio(self, phase: str, turn: RoutedTurn, seconds: float) -> float | None:
        """Compare a time with the old version's baseline.

        :param phase: the phase of the answer that took the time, "head" or "pause".
        :param turn: the request.
        :param seconds: the time.
        :returns: the time divided by the baseline; None if there is no baseline.
        """
        return self.baseline.ratio(turn.service, _kind(phase, turn), seconds)

    def _count_once(
        self, turn: RoutedTurn, grant: Grant, measure: Measure, bad: bool
    ) -> None:
        """Count an answer, unless it counted as overdue before it began."""
        running_request = self.running.get(turn.arrival.request)
        if running_request is None or measure not in running_request.overdue:
            self._count(turn, grant, measure, bad)

    def _count(
        self, turn: RoutedTurn, grant: Grant, measure: Measure, bad: bool
    ) -> None:
        trial = self.trial_of(turn.service)
        if trial is None:
            return
        outcome_counts = trial.own if self.is_on_trial(grant) else trial.old
        outcome_counts.add((measure, turn.arrival.route.name), bad, grant.name)
        if bad and outcome_counts is trial.own:
            self.on_bad(trial)


def _kind(phase: str, turn: RoutedTurn) -> str:
    """Return the kind of answer whose baseline a time is compared with."""
    return f"{phase}/{turn.arrival.route.name}/{turn.model}"
