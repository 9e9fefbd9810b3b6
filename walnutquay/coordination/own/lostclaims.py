# Licensed under the Apache License 2.0: see LICENSE for details.

"""Claims of this VM that a restored store has lost, which are written again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from walnutquay.coordination.own.platform import Platform
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.exceptions import PlatformConflictError, PlatformError
from walnutquay.platform.values import ABSENT, Stored
from walnutquay.state.own.claims import Claim, Run, RunState, RunTable
from walnutquay.state.process.ids import RequestId
from walnutquay.state.process.revisions import Era
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# A restored store may have lost the claims of this time.
BACKUP_SECONDS = 600.0
RETRY_SECONDS = 0.1


class LostClaims:
    """Writes the claims of this VM again after a restore of the store.

    :param context: the state shared by this process.
    :param platform: the client of the platform's value store.
    :param table: the claimed requests of this VM.
    :param claim_of: returns the claim of a request.
    """

    def __init__(
        self,
        context: Context,
        platform: Platform,
        table: RunTable,
        claim_of: Callable[[RequestId], Claim],
    ) -> None:
        self.context = context
        self.platform = platform
        self.table = table
        self.claim_of = claim_of
        self.tasks = Tasks()
        platform.eras.restore_listeners.append(self._on_restored)

    def _on_restored(self, era: Era) -> None:
        self.tasks.spawn(self.write_again())

    def stop(self) -> None:
        """Stop writing."""
        self.tasks.stop()

    async def write_again(self) -> None:
        """Write all recent claims that may have been dispatched."""
        oldest = monotonic() - BACKUP_SECONDS
        for request, run in list(self.table.runs.items()):
            if run.claimed_at < oldest or run.state is RunState.ABANDONED:
                continue
            await self._write(run, self.claim_of(request))

    async def _write(self, run: Run, claim: Claim) -> None:
        while True:
            if await self._ensure(run, claim):
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def _ensure(self, run: Run, claim: Claim) -> bool:
        """Write a claim, unless the store still has it.

        :returns: whether the store has a claim on the key now.
        """
        try:
            run.version = await self.platform.write(
                run.claim_name, claim.encode(), ABSENT
            )
        except PlatformConflictError:
            return await self._resolve(run, claim)
        except PlatformError as error:
            log.debug("a claim cannot be written again yet: {}", error)
            return False
        return True

    async def _resolve(self, run: Run, claim: Claim) -> bool:
        """Take the key over from a claim that was abandoned, or report another one."""
        try:
            stored = await self.platform.read(run.claim_name)
            if not stored.version:
                return False
            return await self._replace(run, claim, stored)
        except PlatformError as error:
            log.debug("a claim cannot be written again yet: {}", error)
            return False

    async def _replace(self, run: Run, claim: Claim, stored: Stored) -> bool:
        current = Claim.decode(stored.value)
        if current.request == claim.request:
            run.version = stored.version
        elif current.abandoned:
            run.version = await self.platform.write(
                run.claim_name, claim.encode(), stored.version
            )
        else:
            self.context.metrics.count("claims_lost")
            log.error("{} has claimed the key of {}", current.request, claim.request)
        return True
