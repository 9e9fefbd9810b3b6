# Licensed under the Apache License 2.0: see LICENSE for details.

"""Prompts that were sent to engines and whose answers have not begun."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.state.process.ids import EndpointName, HallName
from walnutquay.state.routed.work import PromptWork


@dataclass(frozen=True, slots=True)
class PendingPrompt:
    """A prompt that was sent to an engine and whose answer has not begun.

    :param work: the prompt.
    :param engine: the engine.
    :param hall: the engine's data hall.
    :param wait: the reading time that was known to be queued before it; seconds.
    :param seconds: its own reading time.
    :param cached: whether its prefix was assumed to be cached at the engine.
    :param position: its position in the total reading time assigned to the engine.
    """

    work: PromptWork
    engine: EndpointName
    hall: HallName
    wait: float
    seconds: float
    cached: bool
    position: float
