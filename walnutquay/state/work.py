# Licensed under the Apache License 2.0: see LICENSE for details.

"""How much reading of prompts lies before each engine, and what each has cached.

An engine reads prompts one after the other, so a long one delays all that come
after it.  Reports of load count requests and come late; this table counts tokens,
of this VM's own requests and of those that the other VMs tell.
"""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from walnutquay.state.counts import LatestTable
from walnutquay.state.ids import EndpointName

# Until more is known, an engine reads a token in this time, in seconds; the
# smallest models of both users need some 3 microseconds, the largest 30.
FIRST_GUESS = 15e-6
# Weight of a new reading time in the running mean of its model.
RATE_WEIGHT = 0.1
# Times are learnt from prompts of this size, whose reading outweighs the rest.
MIN_LEARNT_TOKENS = 1_000
# A time may not move the mean by more than this factor: it may hold a wait.
MAX_RATIO = 3.0
# Engines keep what was read this long at least, by what the users saw.
KEPT_SECONDS = 10.0
# Beginnings that are remembered, over all engines.
MAX_BEGINNINGS = 20_000
# The chance that the engine which all VMs prefer for a beginning has it, where
# nobody has told of it.
PREFERRED_CHANCE = 0.4


@dataclass(frozen=True, slots=True)
class PromptWork:
    """The reading of one prompt by one model.

    :param model: the model.
    :param tokens: tokens of the whole prompt.
    :param subject: what stands for the longest beginning that others share; empty
        for none.
    :param subject_tokens: tokens of that beginning.
    """

    model: str
    tokens: int
    subject: str
    subject_tokens: int

    @property
    def beginning(self) -> str:
        """What stands for what an engine keeps: the beginning, read by this model."""
        if not self.subject:
            return ""
        return xxhash.xxh3_64_hexdigest(f"{self.model}\n{self.subject}".encode())


class WorkTable:
    """What one VM believes of the reading that lies before each engine."""

    def __init__(self) -> None:
        # When each engine will have read all that is known to be before it.
        self.busy_until: dict[EndpointName, float] = {}
        # All reading that each engine was ever given; seconds.
        self.given: dict[EndpointName, float] = {}
        # Seconds a token, by model.
        self.rates: dict[str, float] = {}
        # When each engine was last sent each beginning.
        self.sent: LatestTable[tuple[EndpointName, str], list[float]] = LatestTable(
            MAX_BEGINNINGS, list
        )

    def rate(self, model: str) -> float:
        """:param model: a model.

        :returns: seconds in which it reads a token.
        """
        return self.rates.get(model, FIRST_GUESS)

    def learn(self, model: str, tokens: int, seconds: float) -> None:
        """Learn from a prompt that was read with nothing before it.

        :param model: the model.
        :param tokens: the prompt's size.
        :param seconds: until the answer began.
        """
        if tokens < MIN_LEARNT_TOKENS:
            return
        known = self.rates.get(model)
        seen = seconds / tokens
        if known is None:
            self.rates[model] = min(seen, FIRST_GUESS * MAX_RATIO)
            return
        seen = min(max(seen, known / MAX_RATIO), known * MAX_RATIO)
        self.rates[model] = known + RATE_WEIGHT * (seen - known)

    def wait(self, name: EndpointName, now: float) -> float:
        """:param name: an engine.

        :param now: monotonic seconds.
        :returns: seconds until it has read all that is known to be before it.
        """
        return max(0.0, self.busy_until.get(name, now) - now)

    def has(self, name: EndpointName, beginning: str, now: float) -> bool:
        """:param name: an engine.

        :param beginning: a beginning; see :attr:`PromptWork.beginning`.
        :param now: monotonic seconds.
        :returns: whether it was sent that beginning lately.
        """
        times = self.sent.get((name, beginning))
        return bool(times) and now - times[0] < KEPT_SECONDS

    def reading(
        self, name: EndpointName, work: PromptWork, now: float, preferred: bool
    ) -> float:
        """Estimate the time to read a prompt.

        :param name: the engine.
        :param work: the prompt.
        :param now: monotonic seconds.
        :param preferred: whether all VMs prefer this engine for its beginning.
        :returns: seconds, without the wait before it.
        """
        tokens = float(work.tokens)
        if work.subject:
            chance = PREFERRED_CHANCE if preferred else 0.0
            if self.has(name, work.beginning, now):
                chance = 1.0
            tokens -= chance * work.subject_tokens
        return max(0.0, tokens) * self.rate(work.model)

    def add(
        self, name: EndpointName, seconds: float, beginning: str, now: float
    ) -> float:
        """Note that an engine was sent a prompt.

        :param name: the engine.
        :param seconds: how long it will take to read it.
        :param beginning: what it has cached from then on; empty for nothing.
        :param now: monotonic seconds.
        :returns: a mark for :meth:`has_read`.
        """
        self.busy_until[name] = now + self.wait(name, now) + seconds
        mark = self.given[name] = self.given.get(name, 0.0) + seconds
        if beginning:
            times = self.sent.touch((name, beginning))
            times[:] = [now]
        return mark

    def has_read(self, name: EndpointName, mark: float, now: float) -> None:
        """Note that an engine has read a prompt, and so all that was before it.

        Without it a reading time that was learnt too long would never be put right:
        every engine would seem busy, and times are learnt from idle ones only.

        :param name: the engine.
        :param mark: what :meth:`add` gave for the prompt.
        :param now: monotonic seconds.
        """
        behind = max(0.0, self.given.get(name, 0.0) - mark)
        self.busy_until[name] = min(self.busy_until.get(name, now), now + behind)

    def forget_except(self, names: set[EndpointName]) -> None:
        """:param names: the engines that there are."""
        for name in [name for name in self.busy_until if name not in names]:
            del self.busy_until[name]
            self.given.pop(name, None)


def preferred_of(names: list[EndpointName], beginning: str) -> EndpointName | None:
    """Choose the engine that all VMs prefer for a beginning.

    :param names: the engines to choose among.
    :param beginning: the beginning; empty for none.
    """
    if not names or not beginning:
        return None
    return max(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{beginning}\n{name}".encode()),
    )
