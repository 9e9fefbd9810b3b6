# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a VM sends while it reaches no VM that shares out slots.

Answers the loss of the slot keeper, or of the way to it, at all VMs together: each goes
on with an equal part of what the slots bear, at times of its own.
"""

from __future__ import annotations

import random

from walnutquay.state.routed.slotforecast import (
    MAX_WORK_SECONDS,
    MIN_WORK_SECONDS,
    clip,
)

# The part of the slots that is used without a keeper: VMs then do not know of each
# other's requests, and a full endpoint would refuse.
USED_SHARE = 0.8
# Requests are this far apart by chance, relative to their interval: VMs that began
# together would else go on together.
SPREAD = 0.5


class OwnSlots:
    """A cautious share of a service's slots for one VM.

    :param rng: spreads the VMs' requests.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        # When the next request may be sent; None before the first is asked for.
        self.next_at: float | None = None
        self.interval = 0.0

    def next_send(self, slots: int, vms: int, work_seconds: float, now: float) -> float:
        """Return the seconds until this VM may send one more request.

        :param slots: the slots of all endpoints.
        :param vms: the VMs that share them.
        :param work_seconds: how long a request takes.
        :param now: monotonic seconds.
        """
        work = clip(work_seconds, MIN_WORK_SECONDS, MAX_WORK_SECONDS)
        bearable = USED_SHARE * max(1, slots)
        interval = work * max(1, vms) / bearable
        if self.next_at is None or now > self.next_at + interval:
            # VMs lose the keeper together: the first request of each after a pause is
            # spread over a whole interval.
            self.next_at = now + self.rng.random() * interval
        elif interval < self.interval:
            self.next_at = min(self.next_at, now + interval)
        self.interval = interval
        return max(0.0, self.next_at - now)

    def record_send(self, now: float) -> None:
        """Record that this VM sends a request.

        :param now: monotonic seconds.
        """
        spread = self.rng.uniform(1.0 - SPREAD, 1.0 + SPREAD)
        self.next_at = now + spread * self.interval
