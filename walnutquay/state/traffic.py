# Licensed under the Apache License 2.0: see LICENSE for details.

"""What the engines of a service get to read at present, by what one VM sends them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from walnutquay.state.sizing import Demand

# So many prompts are looked back on: as few as give a rate within a quarter or so.
PROMPTS = 16


@dataclass(frozen=True, slots=True)
class SentPrompt:
    """A prompt that this VM has sent to an engine.

    :param at: when; monotonic seconds.
    :param tokens: its size.
    :param seconds: the time to read it.
    :param weight: what its request counts beside others.
    """

    at: float
    tokens: int
    seconds: float
    weight: float


class PromptTraffic:
    """The last prompts that one VM has sent to a service.

    Other VMs are taken to send as many: callers are spread evenly over them.
    """

    def __init__(self) -> None:
        self.prompts: deque[SentPrompt] = deque(maxlen=PROMPTS)

    def add(self, prompt: SentPrompt) -> None:
        """:param prompt: a prompt that is sent now."""
        self.prompts.append(prompt)

    def demand(self, now: float, vms: int, engines: int) -> Demand:
        """:param now: monotonic seconds.

        :param vms: entry VMs that send prompts.
        :param engines: engines that get them.
        """
        if len(self.prompts) < 2:
            return Demand()
        scale = vms / max(1, engines) / self._span(now)
        count = len(self.prompts)
        return Demand(
            count * scale,
            sum(prompt.seconds for prompt in self.prompts) * scale,
            sum(prompt.weight for prompt in self.prompts) / count,
            tuple(prompt.seconds for prompt in self.prompts),
        )

    def kept_seconds(
        self, now: float, vms: int, engines: int, memory_tokens: int
    ) -> float:
        """Estimate how long an engine keeps what it has read.

        What was unused the longest gives way when its memory is full.

        :param now: monotonic seconds.
        :param vms: entry VMs that send prompts.
        :param engines: engines that get them.
        :param memory_tokens: tokens that an engine's memory holds.
        """
        if len(self.prompts) < 2:
            return float("inf")
        tokens = sum(prompt.tokens for prompt in self.prompts)
        return memory_tokens / max(
            1.0, tokens * vms / max(1, engines) / self._span(now)
        )

    def _span(self, now: float) -> float:
        return max(1e-3, now - self.prompts[0].at)
