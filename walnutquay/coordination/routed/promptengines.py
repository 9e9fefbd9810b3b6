# Licensed under the Apache License 2.0: see LICENSE for details.

"""Chooses the engine that reads a prompt at the lowest cost."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.state.process.ids import EndpointName, HallName
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.requests.preference import preference_scores
from walnutquay.state.routed.work import PromptWork, WorkTable
from walnutquay.state.store.instances import Instance

# The cost of a wait grows with its square, because only long waits make answers late.
# Traffic to other data halls has a price, so an engine there costs as much as a wait of
# this part of the request's objective.
OTHER_HALL_WAIT_SHARE = 0.25
# The delay that each running request adds: an engine's steps take longer with more.
SECONDS_PER_RUNNING_REQUEST = 0.002


@dataclass(frozen=True, slots=True)
class EngineState:
    """The state of engines that one VM assumes.

    :param hall: the VM's data hall.
    :param table: the load and health of the engines.
    :param work: the reading work (prefill) that is queued at each of them.
    """

    hall: HallName
    table: EndpointTable
    work: WorkTable


class PromptEngines:
    """The engines that could read prompts now, with the waiting time at each of them.

    Values that are the same for all prompts and models are computed once.

    :param engine_state: the assumed state of the engines.
    :param engines: the engines; at least one.
    :param kept_seconds: how long they keep a prompt cached.
    :param now: monotonic seconds.
    """

    def __init__(
        self,
        engine_state: EngineState,
        engines: list[Instance],
        kept_seconds: float,
        now: float,
    ) -> None:
        self.engine_state = engine_state
        self.engines = engines
        self.kept_seconds = kept_seconds
        self.now = now
        self.names = [engine.name for engine in engines]
        self.is_near = [engine.hall == engine_state.hall for engine in engines]
        endpoint_states = [engine_state.table.state_of(name) for name in self.names]
        # The slowdown of each engine against its baseline, and seconds until it could
        # start to read.
        self.slow = [endpoint_state.slow_by(now) for endpoint_state in endpoint_states]
        waits = engine_state.work.waits(self.names, now)
        self.waits = [
            (wait + endpoint_state.load(now) * SECONDS_PER_RUNNING_REQUEST) * slow
            for wait, endpoint_state, slow in zip(
                waits, endpoint_states, self.slow, strict=True
            )
        ]

    def best(self, prompt: PromptWork, objective: float) -> Instance:
        """Return the engine with the lowest cost for a prompt.

        :param prompt: the prompt.
        :param objective: the objective for the beginning of the answer; seconds.
        """
        return self.engines[self._best_index(self._readings(prompt), objective)]

    def forecast(self, prompt: PromptWork, objective: float) -> tuple[float, float]:
        """Estimate the waiting and reading time of a prompt at its best engine.

        :param prompt: the prompt.
        :param objective: the objective for the beginning of the answer; seconds.
        :returns: seconds until the engine starts to read the prompt, and to read it.
        """
        readings = self._readings(prompt)
        best = self._best_index(readings, objective)
        return self.waits[best], readings[best]

    def _readings(self, prompt: PromptWork) -> list[float]:
        """Return the seconds that each engine takes to read a prompt."""
        work = self.engine_state.work
        preferred = self._preferred(prompt.beginning)
        baseline = work.readings(
            self.names, prompt, self.now, preferred, self.kept_seconds
        )
        return [
            seconds * slow for seconds, slow in zip(baseline, self.slow, strict=True)
        ]

    def _preferred(self, beginning: str) -> set[EndpointName]:
        """Return the engines that all VMs prefer: one of this data hall, one of all.

        Reusing the cache of the engine that has read a long prefix is worth sending the
        prompt to another data hall.
        """
        if not beginning:
            return set()
        scores = preference_scores(self.names, beginning)
        near = [
            score
            for score, is_near in zip(scores, self.is_near, strict=True)
            if is_near
        ]
        best_scores = {max(scores), max(near, default=None)}
        return {
            name
            for name, score in zip(self.names, scores, strict=True)
            if score in best_scores
        }

    def _best_index(self, readings: list[float], objective: float) -> int:
        """Return the index of the engine with the lowest cost."""
        other_hall_cost = (OTHER_HALL_WAIT_SHARE * objective) ** 2
        costs = [
            (wait + reading) ** 2 + (0.0 if is_near else other_hall_cost)
            for wait, reading, is_near in zip(
                self.waits, readings, self.is_near, strict=True
            )
        ]
        return costs.index(min(costs))
