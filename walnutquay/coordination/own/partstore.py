# Licensed under the Apache License 2.0: see LICENSE for details.

"""Storage of configuration parts in the platform, each named by its hash."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from walnutquay.coordination.own.platform import Platform
from walnutquay.exceptions import PlatformConflictError, PlatformUnclearError
from walnutquay.platform.values import ABSENT
from walnutquay.state.own.configuration import part_hash

PART_PREFIX = "config/parts/"
# Attempts of a write whose response is lost.
WRITE_TRIES = 5
WRITE_PAUSE = 0.5


class PartStore:
    """Reads and writes parts, which never change because their name is their hash.

    :param platform: the client of the platform's value store.
    """

    def __init__(self, platform: Platform) -> None:
        self.platform = platform

    async def read(self, digest: str) -> bytes:
        """Read a part.

        :param digest: the part's hash.
        :returns: its bytes; empty if the platform does not have it.
        """
        stored = await self.platform.read(PART_PREFIX + digest)
        return stored.value

    async def write_all(
        self, parts: Mapping[str, bytes], known: frozenset[str] = frozenset()
    ) -> None:
        """Write the parts that the platform may not have.

        :param parts: bytes by the part's name.
        :param known: hashes of parts that the platform is known to have.
        :raises PlatformError: if a part cannot be written.
        """
        missing = {part_hash(data): data for data in parts.values()}
        for digest, data in missing.items():
            if digest not in known:
                await self._write(digest, data)

    async def _write(self, digest: str, data: bytes) -> None:
        """Write one part; if the response is lost, the same write is sent again."""
        for attempt in range(WRITE_TRIES):
            try:
                await self.platform.write(PART_PREFIX + digest, data, ABSENT)
            except PlatformConflictError:
                return
            except PlatformUnclearError:
                if attempt + 1 == WRITE_TRIES:
                    raise
                await asyncio.sleep(WRITE_PAUSE)
            else:
                return
