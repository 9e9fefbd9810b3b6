# Licensed under the Apache License 2.0: see LICENSE for details.

"""Acceptance of operators' changes by a conditional update of one head object."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from walnutquay.coordination.own.configurations import HEAD, Configurations
from walnutquay.coordination.own.platform import Platform
from walnutquay.coordination.process.context import Context
from walnutquay.exceptions import (
    ConflictError,
    PlatformConflictError,
    PlatformError,
    PlatformUnavailableError,
    PlatformUnclearError,
)
from walnutquay.state.own.configuration import (
    Configuration,
    Content,
    Head,
    first_head,
    part_hash,
)
from walnutquay.state.process.ids import NO_REVISION
from walnutquay.state.process.revisions import StoreRevision

# Attempts to find out whether a change took effect after its response was lost.
SETTLE_TRIES = 5
SETTLE_PAUSE = 0.5
# Attempts to make a change; it is recomputed if another change was accepted first.
CHANGE_TRIES = 5
CHANGE_PAUSE = 1.0

Change = Callable[[Content], Content]


@dataclass(frozen=True, slots=True)
class Accepted:
    """An accepted change, which is in force.

    :param revision: the revision that the change created.
    :param operation: the operator's id of the change.
    """

    revision: int
    operation: str


class Acceptance:
    """Submits operators' changes to the platform.

    :param context: the state shared by this process.
    :param platform: the client of the platform's value store.
    :param configurations: the configuration in force on this VM.
    """

    def __init__(
        self, context: Context, platform: Platform, configurations: Configurations
    ) -> None:
        self.context = context
        self.platform = platform
        self.configurations = configurations

    async def apply(
        self,
        change: Change,
        operation: str,
        if_revision: int | None = None,
    ) -> Accepted:
        """Make a change, unless another operator's change is accepted first.

        :param change: computes the new content from the current content.
        :param operation: the operator's id of this change.
        :param if_revision: the revision that the operator has seen; None applies the
            change to the newest revision, whichever it is.
        :returns: the accepted change; the earlier one if the operation was accepted
            before.
        :raises ConflictError: if another revision is in force; the error names it.
        :raises PlatformError: if the platform does not respond;
            :class:`PlatformUnclearError` if the change may have taken effect.
        """
        for _ in range(CHANGE_TRIES):
            stored = await self.platform.read(HEAD)
            head = Head.decode(stored.value) if stored.version else first_head()
            earlier = head.revision_of(operation)
            if earlier is not None:
                return Accepted(earlier, operation)
            self._check_base(head, if_revision)
            try:
                return await self._try_change(head, stored.version, change, operation)
            except PlatformConflictError:
                if if_revision is not None:
                    continue
                await asyncio.sleep(self.context.rng.random() * CHANGE_PAUSE)
        raise ConflictError(
            "other changes kept coming first",
            revision=self.configurations.head.revision,
        )

    def _check_base(self, head: Head, if_revision: int | None) -> None:
        newest = self.configurations.newest_revision()
        if head.revision < newest:
            raise ConflictError(
                f"the platform has revision {head.revision}, older than the fleet's; "
                "it is being brought up to date",
                revision=newest,
            )
        if if_revision is not None and head.revision != if_revision:
            raise ConflictError(
                f"revision {head.revision} is in force, not {if_revision}",
                revision=head.revision,
            )

    async def _try_change(
        self, head: Head, version: StoreRevision, change: Change, operation: str
    ) -> Accepted:
        await self.configurations.adopt(head, peer="")
        if self.configurations.head.revision != head.revision:
            raise PlatformUnavailableError(
                "the parts of the newest configuration cannot be read", step="apply"
            )
        changed = Configuration(
            NO_REVISION, change(self.configurations.current.content)
        )
        parts = changed.part_bytes()
        await self.configurations.store.write_all(parts, frozenset(head.parts.values()))
        hashes = {name: part_hash(data) for name, data in parts.items()}
        successor = head.successor(hashes, operation)
        try:
            await self.platform.write(HEAD, successor.encode(), version)
        except PlatformUnclearError:
            return await self._settle(operation)
        self.configurations.cache_parts(parts)
        await self.configurations.adopt(successor, peer="")
        return Accepted(successor.revision, operation)

    async def _settle(self, operation: str) -> Accepted:
        """Find out whether a change took effect after its response was lost.

        Unless the head has changed, a delayed write can still take effect after a
        read that does not show it, so a missing change is never treated as refused.
        """
        for _ in range(SETTLE_TRIES):
            await asyncio.sleep(SETTLE_PAUSE)
            try:
                stored = await self.platform.read(HEAD)
            except PlatformError:
                continue
            head = Head.decode(stored.value) if stored.version else first_head()
            revision = head.revision_of(operation)
            if revision is not None:
                await self.configurations.adopt(head, peer="")
                return Accepted(revision, operation)
        raise PlatformUnclearError(
            f"it cannot be told whether change {operation} took effect; "
            "apply it again under the same operation id",
            step="accept",
            peer="platform",
        )
