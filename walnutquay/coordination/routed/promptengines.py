# Licensed under the Apache License 2.0: see LICENSE for details.

"""Chooses the engine that reads a prompt at the lowest cost."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.state.process.ids import EndpointName, HallName
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.requests.endpointstate import EndpointState, endpoint_speeds
from walnutquay.state.requests.pace import MOMENT_SECONDS, Speed
from walnutquay.state.requests.preference import preference_scores
from walnutquay.state.routed.enginecost import (
    EngineLoad,
    PromptAims,
    choose_engine,
    engine_costs,
)
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
        waits = engine_state.work.waits(self.names, now)
        # How long work takes at each engine; None if they do not tell.
        self.speeds = endpoint_speeds(endpoint_states, now)
        self.loads: list[EngineLoad] = []
        if self.speeds is not None:
            self.loads = self._loads(endpoint_states, waits, self.speeds)
            self.waits = [load.wait for load in self.loads]
            return
        # The slowdown of each engine against its baseline, and seconds until it could
        # start to read.
        self.slow = [endpoint_state.slow_by(now) for endpoint_state in endpoint_states]
        self.waits = [
            (wait + endpoint_state.load(now) * SECONDS_PER_RUNNING_REQUEST) * slow
            for wait, endpoint_state, slow in zip(
                waits, endpoint_states, self.slow, strict=True
            )
        ]

    def best(
        self, prompt: PromptWork, objective: float, pause: float = 0.0
    ) -> Instance:
        """Return the engine with the lowest cost for a prompt.

        Where engines tell how fast they work, it is one of about equally good ones.

        :param prompt: the prompt.
        :param objective: the objective for the beginning of the answer; seconds.
        :param pause: the longest acceptable pause of a stream; seconds; 0 if there is
            none.
        """
        nominal = self._nominal(prompt)
        readings = self._readings(nominal)
        if self.speeds is None:
            return self.engines[self._best_index(readings, objective)]
        costs = engine_costs(self.loads, readings, PromptAims(objective, pause))
        rng = self.engine_state.table.rng
        return self.engines[choose_engine(costs, nominal, rng)]

    def forecast(
        self, prompt: PromptWork, objective: float, pause: float = 0.0
    ) -> tuple[float, float]:
        """Estimate the waiting and reading time of a prompt at its best engine.

        :param prompt: the prompt.
        :param objective: the objective for the beginning of the answer; seconds.
        :param pause: the longest acceptable pause of a stream; seconds; 0 if there is
            none.
        :returns: seconds until the engine starts to read the prompt, and to read it.
        """
        readings = self._readings(self._nominal(prompt))
        if self.speeds is None:
            best = self._best_index(readings, objective)
        else:
            costs = engine_costs(self.loads, readings, PromptAims(objective, pause))
            best = costs.index(min(costs))
        return self.waits[best], readings[best]

    def _loads(
        self,
        endpoint_states: list[EndpointState],
        waits: list[float],
        speeds: list[Speed],
    ) -> list[EngineLoad]:
        """Return what is known of each engine; waits are at its usual speed."""
        now = self.now
        known = [state.load(now) for state in endpoint_states]
        mean = sum(known) / len(known)
        hall_cost = OTHER_HALL_WAIT_SHARE**2
        loads = []
        for engine, is_near, state, wait, speed in zip(
            self.engines, self.is_near, endpoint_states, waits, speeds, strict=True
        ):
            running = state.faded_load(mean, now)
            if wait and speed.moment != speed.usual:
                # The moment's pace holds for the beginning of the wait only.
                slowed = min(wait, MOMENT_SECONDS) * (speed.moment / speed.usual - 1.0)
                wait = max(0.0, wait + slowed)
            step_delay = running * SECONDS_PER_RUNNING_REQUEST * speed.moment
            loads.append(
                EngineLoad(
                    wait + step_delay,
                    running,
                    (running + 1.0) * speed.usual / engine.slots,
                    0.0 if is_near else hall_cost,
                )
            )
        return loads

    def _nominal(self, prompt: PromptWork) -> list[float]:
        """Return the seconds in which each engine reads a prompt at nominal speed."""
        return self.engine_state.work.readings(
            self.names,
            prompt,
            self.now,
            self._preferred(prompt.beginning),
            self.kept_seconds,
        )

    def _readings(self, nominal: list[float]) -> list[float]:
        """Return the seconds that each engine takes to read a prompt."""
        if self.speeds is not None:
            return [
                speed.seconds(seconds)
                for seconds, speed in zip(nominal, self.speeds, strict=True)
            ]
        return [
            seconds * slow for seconds, slow in zip(nominal, self.slow, strict=True)
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
