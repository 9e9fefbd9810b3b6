# Licensed under the Apache License 2.0: see LICENSE for details.

"""The reading work (prefill) queued at each engine, and the prompts it has cached.

An engine reads prompts one after another, so a long one delays all that come after it.
Load reports count requests and arrive late.  This table counts tokens, both of this
VM's own requests and of the requests that other VMs announce.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass

import xxhash

from walnutquay.state.process.counts import LruTable
from walnutquay.state.process.ids import EndpointName

# Reading rates are measured only on prompts of at least this size, because their time
# to the first token is mostly reading time.
MIN_SAMPLE_TOKENS = 1_000
# The reading rate of a model, in seconds per token, is this quantile of this number of
# its last samples.  It lies below the median because waits that this VM does not know
# of make some prompts seem slower than they were.
RATE_SAMPLES = 25
RATE_QUANTILE = 0.3
# The ranks that prompts may get at an engine, from a negligible reading time to one of
# the whole objective or more; each rank stands for twice the time of the previous one.
FIRST_RANK, LAST_RANK = 2, 8
OBJECTIVE_RANK = 9
# The maximum number of cached prefixes that are tracked, over all engines.
MAX_PREFIXES = 20_000
# The probability that the preferred engine for a prefix has cached it although no VM
# has announced this.  Prompts with a long reading time are announced, but datagrams may
# be lost.  The value breaks ties between otherwise equal engines, in the same way on
# all VMs.
PREFERRED_CHANCE = 0.1


@dataclass(frozen=True, slots=True)
class PromptWork:
    """The work of reading one prompt with one model.

    :param model: the model.
    :param tokens: the number of tokens in the whole prompt.
    :param shared_prefix: the identifier of the longest prefix that other prompts share;
        empty if there is none.
    :param shared_prefix_tokens: the number of tokens in that prefix.
    """

    model: str
    tokens: int
    shared_prefix: str
    shared_prefix_tokens: int

    @property
    def beginning(self) -> str:
        """The key of the cache entry for the shared prefix, as read by this model.

        Empty if there is no shared prefix.
        """
        if not self.shared_prefix:
            return ""
        return xxhash.xxh3_64_hexdigest(f"{self.model}\n{self.shared_prefix}".encode())


class WorkTable:
    """One VM's estimate of the reading work queued at each engine."""

    def __init__(self) -> None:
        # The time at which each engine will have finished all known reading work.
        self.busy_until: dict[EndpointName, float] = {}
        # The total reading time of all prompts ever sent to each engine; seconds.
        self.total_seconds: dict[EndpointName, float] = {}
        # The reading rate of each model in seconds per token, and its last samples.
        self.rates: dict[str, float] = {}
        self.rate_samples: dict[str, deque[float]] = {}
        # The time at which each prefix was last sent to each engine.
        self.last_sent: LruTable[tuple[EndpointName, str], list[float]] = LruTable(
            MAX_PREFIXES, list
        )

    def rate(self, model: str) -> float:
        """Return the reading rate of a model.

        :param model: the model.
        :returns: seconds per token; 0 if not known yet.
        """
        return self.rates.get(model, 0.0)

    def learn(self, model: str, tokens: int, seconds: float) -> None:
        """Update a model's rate from a prompt sent to an engine with no known work.

        :param model: the model.
        :param tokens: the prompt's size.
        :param seconds: the time until the answer began.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return
        samples = self.rate_samples.setdefault(model, deque(maxlen=RATE_SAMPLES))
        samples.append(seconds / tokens)
        self.rates[model] = sorted(samples)[int(RATE_QUANTILE * len(samples))]

    def apply_peer_rate(self, model: str, rate: float) -> None:
        """Adopt a peer's rate for a model if this VM has no samples of its own.

        :param model: the model.
        :param rate: the reading rate; seconds per token.
        """
        if model and rate > 0 and model not in self.rate_samples:
            self.rates[model] = rate

    def wait(self, name: EndpointName, now: float) -> float:
        """Return the time until an engine has finished all known reading work.

        :param name: the engine.
        :param now: monotonic seconds.
        :returns: seconds.
        """
        return self.waits([name], now)[0]

    def waits(self, names: Sequence[EndpointName], now: float) -> list[float]:
        """Return the time until each engine has finished all known reading work.

        :param names: the engines.
        :param now: monotonic seconds.
        :returns: seconds for each of them.
        """
        until = self.busy_until.get
        return [max(0.0, until(name, now) - now) for name in names]

    def has_cached(
        self, name: EndpointName, beginning: str, now: float, kept: float
    ) -> bool:
        """Return whether an engine is likely to have a prefix in its cache.

        :param name: the engine.
        :param beginning: the key of the prefix; see :attr:`PromptWork.beginning`.
        :param now: monotonic seconds.
        :param kept: seconds for which engines keep a prefix in their cache.
        :returns: whether the engine was sent that prefix within this time.
        """
        return self.cached_at([name], beginning, now, kept)[0]

    def cached_at(
        self, names: Sequence[EndpointName], beginning: str, now: float, kept: float
    ) -> list[bool]:
        """Return for each engine whether it is likely to have a prefix in its cache.

        :param names: the engines.
        :param beginning: the key of the prefix; see :attr:`PromptWork.beginning`.
        :param now: monotonic seconds.
        :param kept: seconds for which engines keep a prefix in their cache.
        :returns: for each engine, whether it was sent that prefix within this time.
        """
        last_sent = self.last_sent.entries
        sent_times = [last_sent.get((name, beginning)) for name in names]
        return [bool(times) and now - times[0] < kept for times in sent_times]

    def reading(
        self,
        name: EndpointName,
        work: PromptWork,
        now: float,
        preferred: bool,
        kept: float,
    ) -> float:
        """Estimate the time that an engine needs to read a prompt.

        :param name: the engine.
        :param work: the prompt.
        :param now: monotonic seconds.
        :param preferred: whether all VMs prefer this engine for the prompt's prefix.
        :param kept: seconds for which engines keep a prefix in their cache.
        :returns: seconds, without the wait for earlier prompts.
        """
        preferred_names = {name} if preferred else set()
        return self.readings([name], work, now, preferred_names, kept)[0]

    def readings(
        self,
        names: Sequence[EndpointName],
        work: PromptWork,
        now: float,
        preferred: Collection[EndpointName | None],
        kept: float,
    ) -> list[float]:
        """Estimate the time that each engine needs to read a prompt.

        :param names: the engines.
        :param work: the prompt.
        :param now: monotonic seconds.
        :param preferred: the engines that all VMs prefer for the prompt's prefix.
        :param kept: seconds for which engines keep a prefix in their cache.
        :returns: seconds for each engine, without the wait for earlier prompts.
        """
        uncached = self._read_seconds(work, 0.0)
        if not work.shared_prefix:
            return [uncached] * len(names)
        cached = self._read_seconds(work, 1.0)
        expected = self._read_seconds(work, PREFERRED_CHANCE)
        in_cache = self.cached_at(names, work.beginning, now, kept)
        return [
            cached if is_cached else expected if name in preferred else uncached
            for name, is_cached in zip(names, in_cache, strict=True)
        ]

    def _read_seconds(self, work: PromptWork, chance: float) -> float:
        """Return the time to read a prompt whose prefix is cached with some chance."""
        tokens = float(work.tokens) - chance * work.shared_prefix_tokens
        return max(0.0, tokens) * self.rate(work.model)

    def add(
        self, name: EndpointName, seconds: float, beginning: str, now: float
    ) -> float:
        """Record that a prompt was sent to an engine.

        :param name: the engine.
        :param seconds: the time that the engine will need to read it.
        :param beginning: the key of the prefix that the engine caches; empty for none.
        :param now: monotonic seconds.
        :returns: the engine's total reading time up to and including this prompt, for
            :meth:`record_read`.
        """
        self.busy_until[name] = now + self.wait(name, now) + seconds
        mark = self.total_seconds[name] = self.total_seconds.get(name, 0.0) + seconds
        if beginning:
            times = self.last_sent.touch((name, beginning))
            times[:] = [now]
        return mark

    def record_read(self, name: EndpointName, mark: float, now: float) -> None:
        """Record that an engine has read a prompt, and thus all prompts before it.

        Without this correction, a rate that was estimated too slow would never recover:
        every engine would seem busy, and rates are measured on idle engines only.

        :param name: the engine.
        :param mark: the value that :meth:`add` returned for the prompt.
        :param now: monotonic seconds.
        """
        remaining = max(0.0, self.total_seconds.get(name, 0.0) - mark)
        self.busy_until[name] = min(self.busy_until.get(name, now), now + remaining)

    def forget(self, name: EndpointName) -> None:
        """Remove an engine that no longer runs; its cache is lost too.

        :param name: the engine.
        """
        self.busy_until.pop(name, None)
        self.total_seconds.pop(name, None)
        self.last_sent.drop(lambda key: key[0] == name)

    def forget_except(self, names: set[EndpointName]) -> None:
        """Remove the queued work of all engines but some.

        :param names: the engines to keep.
        """
        for name in [name for name in self.busy_until if name not in names]:
            del self.busy_until[name]
            self.total_seconds.pop(name, None)


def reading_rank(reading: float, objective: float) -> int:
    """Return the rank of a prompt at an engine, lower for a shorter reading time.

    A prompt with a long reading time delays all prompts queued behind it.

    :param reading: seconds to read it.
    :param objective: the time in which answers on its route should begin; seconds.
    """
    if reading <= 0 or objective <= 0:
        return FIRST_RANK
    rank = OBJECTIVE_RANK + round(math.log2(reading / objective))
    return min(LAST_RANK, max(FIRST_RANK, rank))
