# Licensed under the Apache License 2.0: see LICENSE for details.

"""Answers that broke off while a version was on trial, as evidence against it.

An answer may break off because of its version, its endpoint or the path to it.  A path
that is reset breaks the answers of all versions, at one moment; a bad version goes on
breaking its own.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

# Breaks within this time of each other may have one cause; seconds.
BURST_SECONDS = 0.5
# A version that broke off nothing for so long before has stopped doing so; seconds.
RECURRENCE_SECONDS = 10.0

Answer = TypeVar("Answer")


@dataclass
class Breaks(Generic[Answer]):
    """The answers of one service that broke off at this VM.

    Those of the version on trial count if none of another version broke off at that
    moment, and only from the second such moment on: one alone may be the path's.
    """

    # When answers of other versions broke off; monotonic seconds.
    others: deque[float] = field(default_factory=lambda: deque(maxlen=100))
    # Those of the version on trial that are not decided yet, one for each moment.
    undecided: deque[tuple[float, Answer]] = field(default_factory=deque)
    # The first one, while there is no second; and when the last one counted.
    single: tuple[float, Answer] | None = None
    last: float = float("-inf")

    def add_other(self, now: float) -> None:
        """Note that an answer of another version has broken off.

        :param now: monotonic seconds.
        """
        self.others.append(now)

    def add(self, answer: Answer, now: float) -> None:
        """Note that an answer of the version on trial has broken off.

        :param answer: the answer.
        :param now: monotonic seconds.
        """
        if not self.undecided or now > self.undecided[-1][0] + BURST_SECONDS:
            self.undecided.append((now, answer))

    def take_counted(self, now: float) -> list[Answer]:
        """Return the answers that count against the version from now on.

        :param now: monotonic seconds.
        """
        counted = []
        while self.undecided and now > self.undecided[0][0] + BURST_SECONDS:
            at, answer = self.undecided.popleft()
            if any(abs(at - other) <= BURST_SECONDS for other in self.others):
                continue
            counted += self._count(at, answer)
        return counted

    def _count(self, at: float, answer: Answer) -> list[Answer]:
        first, recent = self.single, at - RECURRENCE_SECONDS
        if self.last >= recent:
            self.last = at
            return [answer]
        if first is None or first[0] < recent:
            self.single = (at, answer)
            return []
        self.single, self.last = None, at
        return [first[1], answer]
