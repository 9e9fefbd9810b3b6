# Licensed under the Apache License 2.0: see LICENSE for details.

"""A hybrid logical clock, which orders events over all processes.

After Kulkarni and others, "Logical Physical Clocks" (OPODIS 2014).
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """A moment: microseconds of Unix time, and a count within them."""

    physical: int
    logical: int


class HybridClock:
    """Gives stamps that never go back and follow every stamp it has seen.

    Physical time is passed in, in microseconds of Unix time.
    """

    def __init__(self) -> None:
        self.last = Stamp(0, 0)

    def tick(self, physical: int) -> Stamp:
        """Stamp an event of this process.

        :param physical: the time now.
        """
        if physical > self.last.physical:
            self.last = Stamp(physical, 0)
        else:
            self.last = Stamp(self.last.physical, self.last.logical + 1)
        return self.last

    def observe(self, other: Stamp, physical: int) -> Stamp:
        """Take in another process's stamp.

        :param other: the stamp of its message.
        :param physical: the time now.
        """
        self.last = max(self.last, other)
        return self.tick(physical)
