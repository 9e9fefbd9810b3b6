# Licensed under the Apache License 2.0: see LICENSE for details.

"""The load of prompts on a service's engines, estimated from one VM's own prompts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from walnutquay.state.routed.modelchoice import Demand

# The minimum number of recent prompts used: the smallest that gives the rate to within
# about a quarter.
MIN_PROMPTS = 16
# All prompts within this time are used, regardless of their number.  Callers send
# several requests at once, and a rate computed from three of them within 10 ms is a
# hundred times too high: one of 195 VMs would treat engines as full and ask no larger
# model.
SPAN_SECONDS = 2.0
# The maximum number of prompts kept: the prompts within that time at a VM that gets 128
# a second.
MAX_PROMPTS = 256


@dataclass(frozen=True, slots=True)
class SentPrompt:
    """A prompt that this VM has sent to an engine.

    :param at: the time it was sent; monotonic seconds.
    :param tokens: its size.
    :param seconds: the time to read it.
    :param weight: the weight of its request relative to others.
    """

    at: float
    tokens: int
    seconds: float
    weight: float


class PromptTraffic:
    """The most recent prompts that one VM has sent to a service.

    Other VMs are assumed to send the same number of prompts, because callers are spread
    evenly over VMs.
    """

    def __init__(self) -> None:
        self.prompts: deque[SentPrompt] = deque(maxlen=MAX_PROMPTS)

    def add(self, prompt: SentPrompt) -> None:
        """Add a prompt.

        :param prompt: a prompt that is sent now.
        """
        self.prompts.append(prompt)

    def demand(self, now: float, vms: int, engines: int) -> Demand:
        """Estimate the load on each engine.

        :param now: monotonic seconds.
        :param vms: the number of entry VMs that send prompts.
        :param engines: the number of engines that get them.
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
        """Estimate how long an engine keeps a prompt in its cache.

        When its memory is full, an engine evicts the least recently used entries.

        :param now: monotonic seconds.
        :param vms: the number of entry VMs that send prompts.
        :param engines: the number of engines that get them.
        :param memory_tokens: the number of tokens that fit in an engine's memory.
        :returns: seconds; infinite if there are too few prompts for an estimate.
        """
        prompts = self._recent(now)
        if len(prompts) < 2:
            return float("inf")
        tokens = sum(prompt.tokens for prompt in prompts)
        span = self._span(prompts, now)
        return memory_tokens / max(1.0, tokens * vms / max(1, engines) / span)

    def _recent(self, now: float) -> list[SentPrompt]:
        """Return the last prompts, and any earlier ones within the time span."""
        prompts = list(self.prompts)
        first = max(0, len(prompts) - MIN_PROMPTS)
        while first > 0 and prompts[first - 1].at > now - SPAN_SECONDS:
            first -= 1
        return prompts[first:]

    def _span(self, prompts: list[SentPrompt], now: float) -> float:
        """Return the time that the prompts cover; seconds."""
        return max(SPAN_SECONDS, now - prompts[0].at)
