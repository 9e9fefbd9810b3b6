# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a VM that starts learns from one that runs: all lists, by one question.

The store charges each call, and a fleet of 195 VMs that all list three kinds takes some
800.  So a few VMs, the seeds, read the store as they start, and the others ask them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.coordination.process.context import Context
from walnutquay.protocol.messages import AskStart, Envelope, KnownList, StartIs
from walnutquay.transport.timers import monotonic

# A VM that starts asks so long, while callers wait.  VMs that were all lost return
# within 0.3 s of each other, and a seed has its lists 0.02 s after its start.
PATIENCE_SECONDS = 0.3
# The same where the whole fleet starts for the first time, and there is no caller yet.
FIRST_START_SECONDS = 2.0
PAUSE_SECONDS = 0.03
# How long one seed may take to answer before the next one is asked.
TRY_SECONDS = 0.12


class Bootstrap:
    """Asks running VMs once for all that they know, and answers those that ask.

    :param context: what this process shares.
    :param peers: the other VMs.
    :param export: gives the lists that are known here; none until there are all.
    :param first_start: whether the whole fleet starts for the first time.
    """

    def __init__(
        self,
        context: Context,
        peers: FleetPeers,
        export: Callable[[], tuple[KnownList, ...]],
        first_start: bool,
    ) -> None:
        self.context = context
        self.peers = peers
        self.export = export
        self.patience = FIRST_START_SECONDS if first_start else PATIENCE_SECONDS
        # The one question that is under way or over, shared by all who want to know.
        self.asking: asyncio.Task[StartIs | None] | None = None

    async def get(self) -> StartIs | None:
        """:returns: what another VM knew when this one started; None if none told."""
        if self.asking is None:
            self.asking = asyncio.ensure_future(self._ask())
        return await asyncio.shield(self.asking)

    async def list_of(self, kind: str) -> bytes:
        """:param kind: a kind of the store's objects.

        :returns: its list as another VM knew it; empty if none told.
        """
        told = await self.get()
        if told is None:
            return b""
        return next((known.data for known in told.lists if known.kind == kind), b"")

    async def _ask(self) -> StartIs | None:
        # The others find the fleet by the seeds, so these wait for nobody.
        if self.peers.is_seed:
            return None
        began = monotonic()
        while self.peers.addresses():
            answer = await self.peers.query_each(AskStart(), TRY_SECONDS)
            seconds = monotonic() - began
            if isinstance(answer, StartIs) and answer.lists:
                self.context.metrics.record("starting_knowledge", seconds)
                return answer
            if seconds >= self.patience:
                break
            await asyncio.sleep(PAUSE_SECONDS)
        self.context.metrics.count("starts_without_peers")
        return None

    def answer(self, envelope: Envelope) -> StartIs:
        """:param envelope: the question of a VM that starts.

        :returns: all that is known here.
        """
        return StartIs(self.peers.packed(), self.export())
