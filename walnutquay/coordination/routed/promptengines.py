# Licensed under the Apache License 2.0: see LICENSE for details.

"""The choice among engines for a prompt: where it does the least harm."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.state.process.ids import HallName
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.routed.work import PromptWork, WorkTable, preferred_of
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
    """The engines that could read a prompt now.

    :param beliefs: what is believed of them.
    :param engines: the engines; at least one.
    :param prompt: the reading of the prompt.
    :param kept: seconds for which they keep what they have read.
    :param now: monotonic seconds.
    """

    def __init__(
        self,
        beliefs: EngineBeliefs,
        engines: list[Instance],
        prompt: PromptWork,
        kept: float,
        now: float,
    ) -> None:
        self.beliefs = beliefs
        self.engines = engines
        self.prompt = prompt
        self.kept = kept
        self.now = now
        # The engines that all VMs prefer for the beginning: of this data hall, and of
        # all.  What is read long is worth the way to the one that has read it.
        near = [item.name for item in engines if item.hall == beliefs.hall]
        everywhere = [item.name for item in engines]
        self.preferred = {
            preferred_of(near, prompt.beginning),
            preferred_of(everywhere, prompt.beginning),
        }

    def times(self, engine: Instance) -> tuple[float, float]:
        """:param engine: one of them.

        :returns: seconds of reading before the prompt, and to read it.
        """
        facts = self.beliefs.table.of(engine.name)
        slow = facts.slow_by(self.now)
        work = self.beliefs.work
        running = facts.load(self.now) * RUNNING_SECONDS
        preferred = engine.name in self.preferred
        reading = work.reading(engine.name, self.prompt, self.now, preferred, self.kept)
        return (work.wait(engine.name, self.now) + running) * slow, reading * slow

    def best(self, aim: float) -> Instance:
        """:param aim: the time in which the answer should begin; seconds.

        :returns: the engine where waiting and reading do the least harm.
        """
        far = (OTHER_HALL_WAIT * aim) ** 2

        def harm(engine: Instance) -> float:
            seconds = sum(self.times(engine))
            here = engine.hall == self.beliefs.hall
            return seconds * seconds + (0.0 if here else far)

        return min(self.engines, key=harm)
