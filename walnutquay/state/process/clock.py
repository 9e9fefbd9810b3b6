# Licensed under the Apache License 2.0: see LICENSE for details.

"""A hybrid logical clock, which orders the events of all processes.

See Kulkarni et al., "Logical Physical Clocks" (OPODIS 2014).
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """A timestamp: Unix time in microseconds and a counter within a microsecond."""

    physical: int
    logical: int


class HybridClock:
    """A clock whose stamps increase and are later than every stamp observed.

    Callers pass the physical time as Unix time in microseconds.
    """

    def __init__(self) -> None:
        self.last = Stamp(0, 0)

    def tick(self, physical: int) -> Stamp:
        """Return a stamp for an event of this process.

        :param physical: the current time.
        """
        if physical > self.last.physical:
            self.last = Stamp(physical, 0)
        else:
            self.last = Stamp(self.last.physical, self.last.logical + 1)
        return self.last

    def observe(self, other: Stamp, physical: int) -> Stamp:
        """Advance past the stamp of another process and return a new stamp.

        :param other: the stamp of a message from that process.
        :param physical: the current time.
        """
        self.last = max(self.last, other)
        return self.tick(physical)
