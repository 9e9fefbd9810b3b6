# Licensed under the Apache License 2.0: see LICENSE for details.

"""The choice among engines for a prompt: where it does the least harm."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.state.process.ids import EndpointName, HallName
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.routed.work import PromptWork, WorkTable, preferences
from walnutquay.state.store.instances import Instance

# A wait grows harmful with its square, for only long ones make an answer late; an
# engine in another data hall, to which bytes have a price, counts as much as a wait
# of this part of the request's aim.
OTHER_HALL_WAIT = 0.25
# What each running request delays the others by: steps take longer with more.
RUNNING_SECONDS = 0.002


@dataclass(frozen=True, slots=True)
class EngineBeliefs:
    """What one VM believes of engines.

    :param hall: the VM's data hall.
    :param table: their load and health.
    :param work: the reading that lies before each of them.
    """

    hall: HallName
    table: EndpointTable
    work: WorkTable


class PromptEngines:
    """The engines that could read prompts now, and what lies before each of them.

    What is the same for all prompts, and for all models that could read one, is looked
    up once.

    :param beliefs: what is believed of them.
    :param engines: the engines; at least one.
    :param kept: seconds for which they keep what they have read.
    :param now: monotonic seconds.
    """

    def __init__(
        self, beliefs: EngineBeliefs, engines: list[Instance], kept: float, now: float
    ) -> None:
        self.beliefs = beliefs
        self.engines = engines
        self.kept = kept
        self.now = now
        self.names = [engine.name for engine in engines]
        self.is_near = [engine.hall == beliefs.hall for engine in engines]
        facts = [beliefs.table.state_of(name) for name in self.names]
        # How many times as long as usual each takes, and seconds until it could begin.
        self.slow = [known.slow_by(now) for known in facts]
        waits = beliefs.work.waits(self.names, now)
        self.waits = [
            (wait + known.load(now) * RUNNING_SECONDS) * slow
            for wait, known, slow in zip(waits, facts, self.slow, strict=True)
        ]

    def best(self, prompt: PromptWork, aim: float) -> Instance:
        """:param prompt: the reading of a prompt.

        :param aim: the time in which the answer should begin; seconds.
        :returns: the engine where waiting and reading do the least harm.
        """
        return self.engines[self._best(self._readings(prompt), aim)]

    def forecast(self, prompt: PromptWork, aim: float) -> tuple[float, float]:
        """:param prompt: the reading of a prompt.

        :param aim: the time in which the answer should begin; seconds.
        :returns: seconds of reading before the prompt at the best engine, and to read
            it there.
        """
        readings = self._readings(prompt)
        best = self._best(readings, aim)
        return self.waits[best], readings[best]

    def _readings(self, prompt: PromptWork) -> list[float]:
        """Give the seconds that each engine takes to read a prompt."""
        work = self.beliefs.work
        preferred = self._preferred(prompt.beginning)
        usual = work.readings(self.names, prompt, self.now, preferred, self.kept)
        return [seconds * slow for seconds, slow in zip(usual, self.slow, strict=True)]

    def _preferred(self, beginning: str) -> set[EndpointName]:
        """Give the engines that all VMs prefer: of this data hall, and of all.

        What is read long is worth the way to the one that has read it.
        """
        if not beginning:
            return set()
        numbers = preferences(self.names, beginning)
        near = [
            number
            for number, is_near in zip(numbers, self.is_near, strict=True)
            if is_near
        ]
        wanted = {max(numbers), max(near, default=None)}
        return {
            name
            for name, number in zip(self.names, numbers, strict=True)
            if number in wanted
        }

    def _best(self, readings: list[float], aim: float) -> int:
        """Give the index of the engine where waiting and reading do the least harm."""
        far = (OTHER_HALL_WAIT * aim) ** 2
        harms = [
            (wait + reading) ** 2 + (0.0 if is_near else far)
            for wait, reading, is_near in zip(
                self.waits, readings, self.is_near, strict=True
            )
        ]
        return harms.index(min(harms))
