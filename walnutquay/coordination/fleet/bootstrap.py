# Licensed under the Apache License 2.0: see LICENSE for details.

"""Bootstrap of a starting VM from a running one: all lists in a single query.

The store charges for each call, and a fleet of 195 VMs that all list three kinds of
objects would make some 800 calls.  Therefore only a few VMs, the seeds, read the store
as they start, and the others query the seeds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.coordination.process.context import Context
from walnutquay.protocol.messages import AskStart, Envelope, KnownList, StartIs
from walnutquay.transport.timers import monotonic

# The time for which a starting VM queries its peers, while callers wait.  When a whole
# fleet was lost, its VMs return within 0.3 s of each other, and a seed has its lists
# 0.02 s after its start.
BOOTSTRAP_SECONDS = 0.3
# The same if the whole fleet starts for the first time, when there are no callers yet.
FIRST_START_SECONDS = 2.0
PAUSE_SECONDS = 0.03
# The time limit for the answer of one seed, before the next one is queried.
ATTEMPT_SECONDS = 0.12


class Bootstrap:
    """Queries a running VM once for all its lists, and answers such queries of others.

    :param context: the state shared by this process.
    :param peers: the other VMs.
    :param export: returns the lists of this VM; empty until it has all of them.
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
        self.time_limit = FIRST_START_SECONDS if first_start else BOOTSTRAP_SECONDS
        # The only query, running or done; its result is shared by all callers.
        self.query: asyncio.Task[StartIs | None] | None = None

    async def get(self) -> StartIs | None:
        """Return the lists of another VM at the start of this one, or None."""
        if self.query is None:
            self.query = asyncio.ensure_future(self._query_peers())
        return await asyncio.shield(self.query)

    async def list_of(self, kind: str) -> bytes:
        """Return the list of one kind of objects from another VM.

        :param kind: the kind of the store's objects.
        :returns: the list; empty if no VM sent one.
        """
        received = await self.get()
        if received is None:
            return b""
        return next((known.data for known in received.lists if known.kind == kind), b"")

    async def _query_peers(self) -> StartIs | None:
        # The other VMs find the fleet through the seeds, so a seed waits for no one.
        if self.peers.is_seed:
            return None
        began = monotonic()
        while self.peers.addresses():
            answer = await self.peers.query_each(AskStart(), ATTEMPT_SECONDS)
            seconds = monotonic() - began
            if isinstance(answer, StartIs) and answer.lists:
                self.context.metrics.record("starting_knowledge", seconds)
                return answer
            if seconds >= self.time_limit:
                break
            await asyncio.sleep(PAUSE_SECONDS)
        self.context.metrics.count("starts_without_peers")
        return None

    def answer(self, envelope: Envelope) -> StartIs:
        """Answer the query of a starting VM.

        :param envelope: the query.
        :returns: the list of VMs and all other lists of this VM.
        """
        return StartIs(self.peers.packed(), self.export())
