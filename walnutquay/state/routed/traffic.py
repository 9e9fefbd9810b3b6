# Licensed under the Apache License 2.0: see LICENSE for details.

"""What the engines of a service get to read at present, by what one VM sends them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from walnutquay.state.routed.modelchoice import Demand

# So many prompts are looked back on: as few as give a rate within a quarter or so.
PROMPTS = 16
# All prompts of so long a time are, however many.  Callers send some requests at a
# time, and a rate that is read off three of them within 10 ms is a hundred times too
# high: one of 195 VMs would take engines for full, and ask no larger model.
SPAN_SECONDS = 2.0
# The most that are kept: the prompts of that time at a VM that gets 128 a second.
MAX_PROMPTS = 256


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
        self.prompts: deque[SentPrompt] = deque(maxlen=MAX_PROMPTS)

    def add(self, prompt: SentPrompt) -> None:
        """:param prompt: a prompt that is sent now."""
        self.prompts.append(prompt)

    def demand(self, now: float, vms: int, engines: int) -> Demand:
        """:param now: monotonic seconds.

        :param vms: entry VMs that send prompts.
        :param engines: engines that get them.
        """
        prompts = self._recent(now)
        if len(prompts) < 2:
            return Demand()
        scale = vms / max(1, engines) / self._span(prompts, now)
        count = len(prompts)
        return Demand(
            count * scale,
            sum(prompt.seconds for prompt in prompts) * scale,
            sum(prompt.weight for prompt in prompts) / count,
            tuple(prompt.seconds for prompt in prompts),
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
        prompts = self._recent(now)
        if len(prompts) < 2:
            return float("inf")
        tokens = sum(prompt.tokens for prompt in prompts)
        span = self._span(prompts, now)
        return memory_tokens / max(1.0, tokens * vms / max(1, engines) / span)

    def _recent(self, now: float) -> list[SentPrompt]:
        """Give the last prompts, and all others of the last seconds."""
        prompts = list(self.prompts)
        first = max(0, len(prompts) - PROMPTS)
        while first > 0 and prompts[first - 1].at > now - SPAN_SECONDS:
            first -= 1
        return prompts[first:]

    def _span(self, prompts: list[SentPrompt], now: float) -> float:
        """Give the time that prompts stand for; seconds."""
        return max(SPAN_SECONDS, now - prompts[0].at)
