# Licensed under the Apache License 2.0: see LICENSE for details.

"""Leases on duties whose doubling does harm: who may act, and since when.

The platform's object says who holds a lease; no clock is shared.  A holder
counts the lease from before it asked for it; all others count it from when they
first saw the object's version.  So the holder's time always ends first.  The
object's version is the fence that each order carries; it is never made anew.
"""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from walnutquay.state.process.ids import Incarnation, VmName

LEASE_PREFIX = "leases/"


@dataclass(frozen=True, slots=True)
class LeaseValue:
    """What the lease's object holds.

    :param vm: the holder; empty once it has been given back.
    :param incarnation: the holder's incarnation.
    :param seconds: how long the lease runs from each renewal.
    :param writes: how often its holder has written it.  The platform leaves an
        object's version as it is where a write changes nothing, and others see a
        renewal by the version alone.
    """

    vm: VmName
    incarnation: Incarnation
    seconds: float
    writes: int = 0

    def encode(self) -> bytes:
        """:returns: the value as it is stored."""
        return orjson.dumps([self.vm, self.incarnation, self.seconds, self.writes])

    @classmethod
    def decode(cls, data: bytes) -> LeaseValue:
        """:param data: what :meth:`encode` wrote."""
        return cls(*orjson.loads(data))


@dataclass(slots=True)
class LeaseView:
    """One VM's view of one lease; times are monotonic seconds that count pauses.

    :param incarnation: this VM's incarnation.
    :param order_seconds: how long an order may be under way at the most.
    """

    incarnation: Incarnation
    order_seconds: float
    # The object's version and value as last seen; version 0 is "none yet".
    version: int = 0
    value: LeaseValue | None = None
    # When this version was first seen.
    seen_at: float = 0.0
    # Until when this VM holds the lease, and from when on it may act.
    held_until: float = float("-inf")
    acts_from: float = float("inf")

    def observe(self, version: int, value: LeaseValue | None, now: float) -> None:
        """Take in what the platform holds.

        :param version: the object's version.
        :param value: its value; None where there is none.
        :param now: when the answer came.
        """
        if version == self.version:
            return
        self.version = version
        self.value = value
        self.seen_at = now
        if value is None or value.incarnation != self.incarnation:
            self.mark_lost()

    def mark_lost(self) -> None:
        """Note that this VM does not hold the lease, or cannot be sure of it."""
        self.held_until = float("-inf")
        self.acts_from = float("inf")

    def may_acquire(self, now: float) -> bool:
        """:param now: the time.

        :returns: whether nobody can hold the lease any more.
        """
        if self.value is None or not self.value.vm:
            return True
        if self.value.incarnation == self.incarnation:
            return True
        return now > self.seen_at + self.value.seconds

    def record_acquired(self, version: int, value: LeaseValue, asked_at: float) -> None:
        """Note that this VM took or renewed the lease.

        After a change of holder the new one waits until the longest order of
        the one before has ended: an order that was under way when its lease
        ended cannot be called back.

        :param version: the object's new version.
        :param value: its new value.
        :param asked_at: when this VM asked for it.
        """
        renewed = self.is_held(asked_at)
        fresh = self.value is None
        self.version = version
        self.value = value
        self.seen_at = asked_at
        self.held_until = asked_at + value.seconds
        if not renewed:
            self.acts_from = asked_at + (0.0 if fresh else self.order_seconds)

    def is_held(self, now: float) -> bool:
        """:param now: the time.

        :returns: whether this VM holds the lease.
        """
        return now < self.held_until

    def fence(self, now: float) -> int | None:
        """Say whether an order may be sent now.

        :param now: the time.
        :returns: the order's fence; None where it may not be sent, also where
            it could still be under way when the lease ends.
        """
        in_time = now + self.order_seconds < self.held_until
        return self.version if in_time and now >= self.acts_from else None
