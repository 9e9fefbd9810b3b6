# Licensed under the Apache License 2.0: see LICENSE for details.

"""Judges the answers of a version on trial beside those of the old one."""

from __future__ import annotations

from collections.abc import Callable

from walnutquay.coordination.requests.places import Grant
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.state.ids import ServiceName
from walnutquay.state.instances import Instance
from walnutquay.state.pace import PaceTable
from walnutquay.state.trialcounts import Measure
from walnutquay.state.trials import Trial

# An answer that takes so many times as long as the old version's is a bad one.
# The platform's slow versions take eight times as long.
SLOW_FACTOR = 5.0
# One that takes so many times as long is sluggish.
SLUGGISH_FACTOR = 1.5
# The same for the pauses between events, which vary less than the wait for the first.
SLOW_PAUSE_FACTOR = 2.5


class AnswerJudge:
    """Counts good and bad answers while a version is on trial.

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
        self.pace = PaceTable()

    def succeeded(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """:param turn: a request that was answered, or a short stream.

        :param grant: who answered.
        :param seconds: until the answer's head.
        """
        slow = self._count_head(turn, grant, seconds)
        self._count(turn, grant, Measure.SLOW, slow)
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
        late = self._count_head(turn, grant, seconds)
        slow = self._ratio("pause", turn, grant, pause) > SLOW_PAUSE_FACTOR
        self._count(turn, grant, Measure.SLOW, late or slow)
        self._count(turn, grant, Measure.FAILED, False)

    def failed(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: a request whose endpoint answered that it failed.

        :param grant: the endpoint.
        """
        self._count(turn, grant, Measure.FAILED, True)

    def on_trial(self, grant: Grant) -> bool:
        """:param grant: an endpoint.

        :returns: whether it runs a version that is on trial.
        """
        endpoint = grant.endpoint
        assert isinstance(endpoint, Instance)
        trial = self.trial_of(endpoint.service)
        return trial is not None and trial.order.version == endpoint.version

    def _count_head(self, turn: RoutedTurn, grant: Grant, seconds: float) -> bool:
        """Judge the time until an answer's head.

        :returns: whether it was slow.
        """
        ratio = self._ratio("head", turn, grant, seconds)
        self._count(turn, grant, Measure.SLUGGISH, ratio > SLUGGISH_FACTOR)
        return ratio > SLOW_FACTOR

    def _ratio(
        self, measure: str, turn: RoutedTurn, grant: Grant, seconds: float
    ) -> float:
        """Compare a time with the old version's, which are learnt.

        :returns: how many times as long it is; 0 where nothing is known yet.
        """
        kind = f"{measure}/{turn.service}/{turn.arrival.route.name}/{turn.model}"
        ratio = self.pace.ratio(kind, seconds)
        if not self.on_trial(grant):
            self.pace.learn(kind, seconds)
        return ratio or 0.0

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
