# Licensed under the Apache License 2.0: see LICENSE for details.

"""How much reading of prompts lies before each engine, and what each has cached.

An engine reads prompts one after the other, so a long one delays all that come
after it.  Reports of load count requests and come late; this table counts tokens,
of this VM's own requests and of those that the other VMs tell.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass

import xxhash

from walnutquay.state.process.counts import LatestTable
from walnutquay.state.process.ids import EndpointName

# Times are learnt from prompts of this size, whose reading outweighs the rest.
MIN_LEARNT_TOKENS = 1_000
# The pace of a model is that which so many of its last prompts were read at least as
# slowly as: waits that are not known make some seem slower than they were.
PACES = 25
PACE_QUANTILE = 0.3
# The ranks that prompts may get at an engine, from what is read in no time to what
# takes the whole aim or more; each is twice as long as the one before.
FIRST_RANK, LAST_RANK = 2, 8
WHOLE_AIM_RANK = 9
# Beginnings that are remembered, over all engines.
MAX_BEGINNINGS = 20_000
# The chance that the engine which all VMs prefer for a beginning has it, where nobody
# has told of it: prompts that are read long are told of, but for datagrams that are
# lost.  It decides among engines that are as good otherwise, and alike on all VMs.
PREFERRED_CHANCE = 0.1


@dataclass(frozen=True, slots=True)
class PromptWork:
    """The reading of one prompt by one model.

    :param model: the model.
    :param tokens: tokens of the whole prompt.
    :param shared_prefix: what stands for the longest beginning that others share; empty
        for none.
    :param shared_prefix_tokens: tokens of that beginning.
    """

    model: str
    tokens: int
    shared_prefix: str
    shared_prefix_tokens: int

    @property
    def beginning(self) -> str:
        """What stands for what an engine keeps: the beginning, read by this model."""
        if not self.shared_prefix:
            return ""
        return xxhash.xxh3_64_hexdigest(f"{self.model}\n{self.shared_prefix}".encode())


class WorkTable:
    """What one VM believes of the reading that lies before each engine."""

    def __init__(self) -> None:
        # When each engine will have read all that is known to be before it.
        self.busy_until: dict[EndpointName, float] = {}
        # All reading that each engine was ever given; seconds.
        self.given: dict[EndpointName, float] = {}
        # Seconds a token, by model, and the last ones seen.
        self.rates: dict[str, float] = {}
        self.paces: dict[str, deque[float]] = {}
        # When each engine was last sent each beginning.
        self.sent: LatestTable[tuple[EndpointName, str], list[float]] = LatestTable(
            MAX_BEGINNINGS, list
        )

    def rate(self, model: str) -> float:
        """:param model: a model.

        :returns: seconds in which it reads a token; 0 until that is known.
        """
        return self.rates.get(model, 0.0)

    def learn(self, model: str, tokens: int, seconds: float) -> None:
        """Learn from a prompt that was read with nothing known to be before it.

        :param model: the model.
        :param tokens: the prompt's size.
        :param seconds: until the answer began.
        """
        if tokens < MIN_LEARNT_TOKENS:
            return
        seen = self.paces.setdefault(model, deque(maxlen=PACES))
        seen.append(seconds / tokens)
        self.rates[model] = sorted(seen)[int(PACE_QUANTILE * len(seen))]

    def apply_peer_rate(self, model: str, rate: float) -> None:
        """Take over what another VM has learnt, where nothing was learnt here.

        :param model: the model.
        :param rate: seconds in which it reads a token.
        """
        if model and rate > 0 and model not in self.paces:
            self.rates[model] = rate

    def wait(self, name: EndpointName, now: float) -> float:
        """:param name: an engine.

        :param now: monotonic seconds.
        :returns: seconds until it has read all that is known to be before it.
        """
        return self.waits([name], now)[0]

    def waits(self, names: Sequence[EndpointName], now: float) -> list[float]:
        """:param names: engines.

        :param now: monotonic seconds.
        :returns: for each, seconds until it has read all that is known to be before it.
        """
        until = self.busy_until.get
        return [max(0.0, until(name, now) - now) for name in names]

    def has_cached(
        self, name: EndpointName, beginning: str, now: float, kept: float
    ) -> bool:
        """:param name: an engine.

        :param beginning: a beginning; see :attr:`PromptWork.beginning`.
        :param now: monotonic seconds.
        :param kept: seconds for which engines keep what they have read.
        :returns: whether it was sent that beginning within that time.
        """
        return self.holders([name], beginning, now, kept)[0]

    def holders(
        self, names: Sequence[EndpointName], beginning: str, now: float, kept: float
    ) -> list[bool]:
        """:param names: engines.

        :param beginning: a beginning.
        :param now: monotonic seconds.
        :param kept: seconds for which engines keep what they have read.
        :returns: for each, whether it was sent that beginning within that time.
        """
        sent = self.sent.entries
        found = [sent.get((name, beginning)) for name in names]
        return [bool(times) and now - times[0] < kept for times in found]

    def reading(
        self,
        name: EndpointName,
        work: PromptWork,
        now: float,
        preferred: bool,
        kept: float,
    ) -> float:
        """Estimate the time to read a prompt.

        :param name: the engine.
        :param work: the prompt.
        :param now: monotonic seconds.
        :param preferred: whether all VMs prefer this engine for its beginning.
        :param kept: seconds for which engines keep what they have read.
        :returns: seconds, without the wait before it.
        """
        preferring = {name} if preferred else set()
        return self.readings([name], work, now, preferring, kept)[0]

    def readings(
        self,
        names: Sequence[EndpointName],
        work: PromptWork,
        now: float,
        preferred: Collection[EndpointName | None],
        kept: float,
    ) -> list[float]:
        """Estimate the time to read a prompt at each of some engines.

        :param names: the engines.
        :param work: the prompt.
        :param now: monotonic seconds.
        :param preferred: those that all VMs prefer for its beginning.
        :param kept: seconds for which engines keep what they have read.
        :returns: seconds for each of them, without the wait before it.
        """
        new = self._seconds(work, 0.0)
        if not work.shared_prefix:
            return [new] * len(names)
        found = self._seconds(work, 1.0)
        likely = self._seconds(work, PREFERRED_CHANCE)
        holders = self.holders(names, work.beginning, now, kept)
        return [
            found if holds else likely if name in preferred else new
            for name, holds in zip(names, holders, strict=True)
        ]

    def _seconds(self, work: PromptWork, chance: float) -> float:
        """Give the time to read a prompt whose beginning is kept with some chance."""
        tokens = float(work.tokens) - chance * work.shared_prefix_tokens
        return max(0.0, tokens) * self.rate(work.model)

    def add(
        self, name: EndpointName, seconds: float, beginning: str, now: float
    ) -> float:
        """Note that an engine was sent a prompt.

        :param name: the engine.
        :param seconds: how long it will take to read it.
        :param beginning: what it has cached from then on; empty for nothing.
        :param now: monotonic seconds.
        :returns: a mark for :meth:`record_read`.
        """
        self.busy_until[name] = now + self.wait(name, now) + seconds
        mark = self.given[name] = self.given.get(name, 0.0) + seconds
        if beginning:
            times = self.sent.touch((name, beginning))
            times[:] = [now]
        return mark

    def record_read(self, name: EndpointName, mark: float, now: float) -> None:
        """Note that an engine has read a prompt, and so all that was before it.

        Without it a reading time that was learnt too long would never be put right:
        every engine would seem busy, and times are learnt from idle ones only.

        :param name: the engine.
        :param mark: what :meth:`add` gave for the prompt.
        :param now: monotonic seconds.
        """
        behind = max(0.0, self.given.get(name, 0.0) - mark)
        self.busy_until[name] = min(self.busy_until.get(name, now), now + behind)

    def forget(self, name: EndpointName) -> None:
        """:param name: an engine that has ended: its cache went with it."""
        self.busy_until.pop(name, None)
        self.given.pop(name, None)
        self.sent.drop(lambda key: key[0] == name)

    def forget_except(self, names: set[EndpointName]) -> None:
        """:param names: the engines that there are."""
        for name in [name for name in self.busy_until if name not in names]:
            del self.busy_until[name]
            self.given.pop(name, None)


def preferred_endpoint(
    names: Sequence[EndpointName], beginning: str
) -> EndpointName | None:
    """Choose the engine that all VMs prefer for a beginning.

    :param names: the engines to choose among.
    :param beginning: the beginning; empty for none.
    """
    if not names or not beginning:
        return None
    numbers = preference_scores(names, beginning)
    return names[numbers.index(max(numbers))]


def preference_scores(names: Sequence[EndpointName], beginning: str) -> list[int]:
    """Number engines for a beginning; that with the greatest number is preferred.

    :param names: the engines.
    :param beginning: the beginning.
    """
    number = xxhash.xxh3_64_intdigest
    return [number(f"{beginning}\n{name}".encode()) for name in names]


def reading_rank(reading: float, aim: float) -> int:
    """Rank a prompt at an engine: one that reads long holds up all behind it.

    :param reading: seconds to read it.
    :param aim: the time in which its route's answers should begin; seconds.
    :returns: its rank, lower for what is read sooner.
    """
    if reading <= 0 or aim <= 0:
        return FIRST_RANK
    rank = WHOLE_AIM_RANK + round(math.log2(reading / aim))
    return min(LAST_RANK, max(FIRST_RANK, rank))
