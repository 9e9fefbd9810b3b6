# Licensed under the Apache License 2.0: see LICENSE for details.

"""The size of a prompt and the parts that it shares with other prompts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other prompts may share.

    :param name: an identifier of the part's text.
    :param tokens: its size.
    """

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The size of a prompt and its parts.

    :param tokens: the number of tokens in the prompt.
    :param max_output_tokens: the maximum number of tokens to generate.
    :param expected_output_tokens: the caller's estimate of the number of tokens that
        will be generated; 0 if not given.
    :param parts: its parts in order; the last belongs to this request or session only,
        the others are shared.
    """

    tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_prefix(self) -> str:
        """The identifier of the longest prefix that other prompts share."""
        return self.parts[-2].name if len(self.parts) > 1 else ""

    @property
    def shared_prefix_tokens(self) -> int:
        """The number of tokens in that prefix."""
        return sum(part.tokens for part in self.parts[:-1])
