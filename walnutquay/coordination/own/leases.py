# Licensed under the Apache License 2.0: see LICENSE for details.

"""Keeps a lease in the platform for the VM that is first in rank for it."""

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
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# Renewals in the time of one lease.
RENEWALS = 3
# VMs that look at a lease: the first in rank and who comes after it.
LOOKERS = 2
NOBODY = VmName("")


class Lease:
    """One duty's lease.

    :param context: what this process shares.
    :param platform: the store of values.
    :param members: the other VMs.
    :param duty: the duty's name.
    :param seconds: how long the lease runs.
    :param order_seconds: how long an order may be under way at the most.
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

    def start(self) -> None:
        """Begin to keep the lease, or to look who does."""
        period = self.value.seconds / RENEWALS
        self.context.timers.every(f"lease-{self.duty}", period, self.keep)

    def fence(self) -> int | None:
        """:returns: the fence of an order sent now; None where none may be."""
        return self.view.fence(monotonic())

    async def keep(self) -> None:
        """Renew the lease, or take it if it is this VM's turn and free."""
        asked_at = monotonic()
        if not self.view.held(asked_at) and not self._is_near():
            # Were all VMs to look, the looking alone would fill the platform.
            return
        try:
            if not self.view.held(asked_at):
                await self._look()
                asked_at = monotonic()
            if self.view.held(asked_at) or self._is_next(asked_at):
                await self._take(asked_at)
        except PlatformError as error:
            # It may have been renewed all the same; the time that is known
            # to be held runs on, and the next look tells.
            log.debug("lease {} cannot be kept now: {}", self.duty, error)
            self.view.version = -1

    async def _look(self) -> None:
        stored = await self.platform.read(self.name)
        value = LeaseValue.decode(stored.value) if stored.version else None
        self.view.saw(stored.version, value, monotonic())

    def _is_near(self) -> bool:
        ranked = self.members.table.ranked(self.name, monotonic())
        return self.context.vm in ranked[:LOOKERS]

    def _is_next(self, now: float) -> bool:
        ranked = self.members.table.ranked(self.name, now)
        return ranked[0] == self.context.vm and self.view.may_take(now)

    async def _take(self, asked_at: float) -> None:
        held = self.view.held(asked_at)
        if self.view.version < 0:
            await self._look()
        self.value = replace(self.value, writes=self.value.writes + 1)
        version = await self.platform.write(
            self.name, self.value.encode(), self.view.version
        )
        self.view.took(version, self.value, asked_at)
        if not held:
            self.context.timeline.emit(
                EventKind.LEASE, detail=f"{self.duty} taken, fence {version}"
            )

    async def release(self) -> None:
        """Let another VM take the lease at once, as at a planned stop."""
        if not self.view.held(monotonic()):
            return
        version = self.view.version
        self.view.lost()
        nobody = LeaseValue(NOBODY, Incarnation(""), self.value.seconds)
        try:
            await self.platform.write(self.name, nobody.encode(), version)
        except PlatformError as error:
            log.debug("lease {} runs out by itself: {}", self.duty, error)
