# Licensed under the Apache License 2.0: see LICENSE for details.

"""How an engine behaves."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class EngineOptions:
    """How an engine behaves.

    :param name: the endpoint's name.
    :param versions: versions that are loaded, each with its quality from 0 to 1.
    :param slots: requests that run at once.
    :param queue: requests that may wait.
    :param prefill: seconds for a thousand prompt tokens that are not cached.
    :param step: seconds for each token of an answer.
    :param tokens: tokens of an answer, unless the caller sets ``max_tokens``.
    :param cache_blocks: prefix blocks that the cache holds.
    :param report_lag: seconds by which the load report is late.
    :param event_lag: seconds by which cache events are late.
    :param event_loss: share of cache events that are lost.
    :param checks_fences: whether orders with an older fence are refused.
    :param hard: for prompts that have a certain word, the quality by version.
    :param crash_word: prompts that have it end the process that begins to run them.
    :param seed: the seed of all chance here.
    """

    name: str
    versions: dict[str, float]
    slots: int = 8
    queue: int = 8
    prefill: float = 0.02
    step: float = 0.0005
    tokens: int = 16
    cache_blocks: int = 512
    report_lag: float = 0.3
    event_lag: float = 0.5
    event_loss: float = 0.05
    checks_fences: bool = True
    hard: dict[str, dict[str, float]] = field(default_factory=dict)
    crash_word: str = ""
    seed: int = 1
