# Licensed under the Apache License 2.0: see LICENSE for details.

"""Leases in the platform, each held by the VM that ranks first for its duty."""

from __future__ import annotations

from dataclasses import replace

import logbook

from walnutquay.coordination.own.members import Members
from walnutquay.coordination.own.platform import Platform
from walnutquay.coordination.process.context import Context
from walnutquay.exceptions import PlatformError
from walnutquay.state.own.leases import LEASE_PREFIX, LeaseValue, LeaseView
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import Incarnation, VmName
from walnutquay.state.process.revisions import Era
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# Number of renewals within the duration of a lease.
RENEWALS = 3
# Number of VMs that read a lease: the first in rank and its successor.
CANDIDATES = 2
NOBODY = VmName("")


class Lease:
    """The lease on one duty.

    :param context: the state shared by this process.
    :param platform: the client of the platform's value store.
    :param members: the other VMs.
    :param duty: the duty's name.
    :param seconds: duration of the lease.
    :param order_seconds: maximum time that an order takes.
    """

    def __init__(
        self,
        context: Context,
        platform: Platform,
        members: Members,
        duty: str,
        seconds: float,
        order_seconds: float,
    ) -> None:
        self.context = context
        self.platform = platform
        self.members = members
        self.duty = duty
        self.name = LEASE_PREFIX + duty
        self.value = LeaseValue(context.vm, context.incarnation, seconds)
        self.view = LeaseView(context.incarnation, order_seconds)
        platform.eras.restore_listeners.append(self._on_restored)

    def _on_restored(self, era: Era) -> None:
        self.view.on_restored(monotonic(), self.value.seconds)

    def start(self) -> None:
        """Start to renew the lease, or to observe its holder."""
        period = self.value.seconds / RENEWALS
        self.context.timers.every(f"lease-{self.duty}", period, self.keep)

    def fence(self) -> int | None:
        """:returns: the fence for an order sent now; None if no order may be sent."""
        return self.view.fence(monotonic())

    async def keep(self) -> None:
        """Renew the lease, or acquire it if it is free and this VM ranks first."""
        asked_at = monotonic()
        if not self.view.is_held(asked_at) and not self._is_candidate():
            # If all VMs read the lease, these reads alone would use up the platform's
            # rates.
            return
        try:
            if not self.view.is_held(asked_at):
                await self._read()
                asked_at = monotonic()
            if self.view.is_held(asked_at) or self._is_due(asked_at):
                await self._write(asked_at)
        except PlatformError as error:
            # The lease may have been renewed nevertheless.  The confirmed time
            # remains valid, and the next read shows the actual state.
            log.debug(
                "lease {} cannot be read or written now; will be read again: {}",
                self.duty,
                error,
            )
            self.view.version = None

    async def _read(self) -> None:
        stored = await self.platform.read(self.name)
        value = LeaseValue.decode(stored.value) if stored.version else None
        self.view.observe(stored.version, value, monotonic())

    def _is_candidate(self) -> bool:
        ranked = self.members.table.ranked(self.name, monotonic())
        return self.context.vm in ranked[:CANDIDATES]

    def _is_due(self, now: float) -> bool:
        ranked = self.members.table.ranked(self.name, now)
        return ranked[0] == self.context.vm and self.view.may_acquire(now)

    async def _write(self, asked_at: float) -> None:
        held = self.view.is_held(asked_at)
        if self.view.version is None:
            await self._read()
        assert self.view.version is not None
        self.value = replace(self.value, writes=self.value.writes + 1)
        version = await self.platform.write(
            self.name, self.value.encode(), self.view.version
        )
        self.view.record_acquired(version, self.value, asked_at)
        if not held:
            self.context.timeline.emit(
                EventKind.LEASE, detail=f"{self.duty} taken, fence {version.fence}"
            )

    async def release(self) -> None:
        """Release the lease, so that another VM can acquire it at once.

        This is used for a planned stop.
        """
        if not self.view.is_held(monotonic()):
            return
        version = self.view.version
        self.view.mark_lost()
        if version is None:
            return
        nobody = LeaseValue(NOBODY, Incarnation(""), self.value.seconds)
        try:
            await self.platform.write(self.name, nobody.encode(), version)
        except PlatformError as error:
            log.debug(
                "lease {} cannot be released; it expires on its own: {}",
                self.duty,
                error,
            )
