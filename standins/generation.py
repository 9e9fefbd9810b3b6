# Licensed under the Apache License 2.0: see LICENSE for details.

"""Answers of an engine: what they follow from, and how far they have come."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass, field


@dataclass
class Generation:
    """One request that an engine runs or has run."""

    request: str
    version: str
    words: list[str]
    prompt_tokens: int
    produced: int = 0
    done: bool = False
    failed: bool = False
    cancelled: bool = False
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    def grow(self) -> None:
        """Wake whoever waits for more tokens."""
        self.grown.set()
        self.grown = asyncio.Event()


def answer_seed(version: str, prompt: str) -> str:
    """:param version: the version that answers.

    :param prompt: the messages, as sorted JSON.
    :returns: what the whole answer follows from.
    """
    return hashlib.sha256(f"{version}\n{prompt}".encode()).hexdigest()


def is_good(version: str, prompt: str, quality: float) -> bool:
    """:param version: the version that answers.

    :param prompt: the messages, as sorted JSON.
    :param quality: the version's quality for such prompts.
    :returns: whether the answer is a good one; always the same.
    """
    return int(answer_seed(version, prompt)[:8], 16) / 0xFFFFFFFF < quality
