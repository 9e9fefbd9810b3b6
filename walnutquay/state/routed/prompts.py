# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a router knows of a prompt: its size, and which parts others share."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other prompts may share.

    :param name: what stands for its words.
    :param tokens: its size.
    """

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The size of a prompt and its parts.

    :param tokens: tokens to read.
    :param max_output_tokens: the most tokens that may be written.
    :param expected_output_tokens: the caller's guess of how many will be; 0 for none.
    :param parts: its parts in order; the last is the request's own or its
        session's, the others are shared.
    """

    tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_prefix(self) -> str:
        """What stands for the longest beginning that other prompts share."""
        return self.parts[-2].name if len(self.parts) > 1 else ""

    @property
    def shared_prefix_tokens(self) -> int:
        """Tokens of that beginning."""
        return sum(part.tokens for part in self.parts[:-1])
