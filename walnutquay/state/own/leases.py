# Licensed under the Apache License 2.0: see LICENSE for details.

"""Leases on duties that two VMs must not perform at once: who may act, and since when.

An object in the platform records the holder of a lease.  The VMs share no clock: the
holder counts the lease from before it requested it, all others from when they first
observed the object's version.  The lease thus always expires at the holder first.  The
object's version is the fence that each order carries.  The object is never deleted and
created again, so fences only increase.
"""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from walnutquay.state.process.ids import Incarnation, VmName
from walnutquay.state.process.revisions import NOTHING_STORED, StoreRevision

LEASE_PREFIX = "leases/"


@dataclass(frozen=True, slots=True)
class LeaseValue:
    """The value of a lease's object.

    :param vm: the holder; empty after the lease has been released.
    :param incarnation: the holder's incarnation.
    :param seconds: duration of the lease from each renewal.
    :param writes: number of times that the holder has written the value.  It makes each
        write change the value: the platform keeps an object's version if a write
        changes nothing, and other VMs notice a renewal only by a new version.
    """

    vm: VmName
    incarnation: Incarnation
    seconds: float
    writes: int = 0

    def encode(self) -> bytes:
        """Encode the value for the lease's object."""
        return orjson.dumps([self.vm, self.incarnation, self.seconds, self.writes])

    @classmethod
    def decode(cls, data: bytes) -> LeaseValue:
        """Decode the result of :meth:`encode`."""
        return cls(*orjson.loads(data))


@dataclass(slots=True)
class LeaseView:
    """One VM's view of one lease.

    Times are seconds of a monotonic clock that includes the time a VM is suspended.

    :param incarnation: this VM's incarnation.
    :param order_seconds: maximum time that an order may be in progress.
    """

    incarnation: Incarnation
    order_seconds: float
    # The object's version and value as last observed; None if it must be read again.
    version: StoreRevision | None = NOTHING_STORED
    value: LeaseValue | None = None
    # When this version was first observed.
    seen_at: float = 0.0
    # The time until which this VM holds the lease, and the time from which it may act.
    held_until: float = float("-inf")
    may_act_from: float = float("inf")
    # When a lease from before a restore of the store has expired at any holder.
    expired_at: float = float("-inf")

    def observe(
        self, version: StoreRevision, value: LeaseValue | None, now: float
    ) -> None:
        """Apply the version and value that were read from the platform.

        :param version: the object's version.
        :param value: its value; None if there is no object.
        :param now: when the platform's response arrived.
        """
        if version == self.version:
            return
        self.version = version
        self.value = value
        self.seen_at = now
        if value is None or value.incarnation != self.incarnation:
            self.mark_lost()

    def mark_lost(self) -> None:
        """Record that this VM does not hold the lease, or cannot be sure of it."""
        self.held_until = float("-inf")
        self.may_act_from = float("inf")

    def on_restored(self, now: float, seconds: float) -> None:
        """Treat the lease as held by an unknown VM, as the store was restored.

        The object may be older than the lease that is in force, or gone.

        :param now: when this VM learnt of the restore.
        :param seconds: duration of the lease.
        """
        self.mark_lost()
        self.version = None
        self.value = None
        self.expired_at = now + seconds

    def may_acquire(self, now: float) -> bool:
        """Return whether no other VM can hold the lease any longer.

        :param now: the current time.
        """
        if now <= self.expired_at:
            return False
        if self.value is None or not self.value.vm:
            return True
        if self.value.incarnation == self.incarnation:
            return True
        return now > self.seen_at + self.value.seconds

    def record_acquired(
        self, version: StoreRevision, value: LeaseValue, asked_at: float
    ) -> None:
        """Record that this VM acquired or renewed the lease.

        After a change of holder, the new holder waits for as long as an order of the
        previous one can take: an order that was in progress when the lease expired
        cannot be cancelled.

        :param version: the object's new version.
        :param value: its new value.
        :param asked_at: when this VM requested the lease.
        """
        renewed = self.is_held(asked_at)
        never_held = self.value is None and self.expired_at == float("-inf")
        self.version = version
        self.value = value
        self.seen_at = asked_at
        self.held_until = asked_at + value.seconds
        if not renewed:
            self.may_act_from = asked_at + (0.0 if never_held else self.order_seconds)

    def is_held(self, now: float) -> bool:
        """Return whether this VM holds the lease.

        :param now: the current time.
        """
        return now < self.held_until

    def fence(self, now: float) -> int | None:
        """Return the fence for an order that is sent now.

        :param now: the current time.
        :returns: the order's fence; None if no order may be sent, which includes the
            case that it could still be in progress when the lease expires.
        """
        in_time = now + self.order_seconds < self.held_until
        if self.version is None or not in_time or now < self.may_act_from:
            return None
        return self.version.fence
