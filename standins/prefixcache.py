# Licensed under the Apache License 2.0: see LICENSE for details.

"""The prefix cache of an engine, and what it tells of it."""

from __future__ import annotations

import hashlib
import random
import time
from collections import OrderedDict
from typing import Any

PREFIX_BLOCK = 64


class PrefixCache:
    """Holds the blocks of prompts that were read, the least used out first.

    :param size: blocks that it holds.
    :param lag: seconds by which its events are late.
    :param loss: share of its events that are lost.
    :param rng: the source of chance.
    """

    def __init__(self, size: int, lag: float, loss: float, rng: random.Random) -> None:
        self.size = size
        self.lag = lag
        self.loss = loss
        self.rng = rng
        self.blocks: OrderedDict[str, None] = OrderedDict()
        # When each event is shown, its number, its kind and its block.
        self.events: list[tuple[float, int, str, str]] = []
        # Blocks that were found, and that were looked for.
        self.hits = 0
        self.looked_up = 0

    def look_up(self, prompt: str) -> float:
        """Look a prompt up, and put it here.

        :param prompt: the prompt.
        :returns: the share of its blocks that were here.
        """
        blocks = max(1, len(prompt) // PREFIX_BLOCK)
        hits = 0
        chain = hashlib.sha256()
        for index in range(blocks):
            piece = prompt[index * PREFIX_BLOCK : (index + 1) * PREFIX_BLOCK]
            chain.update(piece.encode())
            hits += self._touch(chain.hexdigest()[:16])
        self.hits += hits
        self.looked_up += blocks
        return hits / blocks

    def _touch(self, block: str) -> bool:
        """:returns: whether a block was here; it is now."""
        if block in self.blocks:
            self.blocks.move_to_end(block)
            return True
        self.blocks[block] = None
        self._tell("stored", block)
        if len(self.blocks) > self.size:
            old, _ = self.blocks.popitem(last=False)
            self._tell("removed", old)
        return False

    def _tell(self, kind: str, block: str) -> None:
        if self.rng.random() < self.loss:
            return
        shown_at = time.monotonic() + self.lag
        self.events.append((shown_at, len(self.events), kind, block))

    def events_after(self, number: int) -> list[dict[str, Any]]:
        """:param number: the last event that is known.

        :returns: those after it that are shown by now.
        """
        now = time.monotonic()
        return [
            {"number": own, "kind": kind, "block": block}
            for at, own, kind, block in self.events
            if own > number and at <= now
        ]
