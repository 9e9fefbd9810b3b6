# Licensed under the Apache License 2.0: see LICENSE for details.

"""A stand-in for a VM's narrow network link, which all its connections share."""

from __future__ import annotations

import asyncio

from standins.link import Link


class Bandwidth:
    """What a link carries one way, byte after byte; shared by all streams on it.

    :param bytes_per_second: its speed.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self.bytes_per_second = bytes_per_second
        # When the bytes that wait have been carried; the loop's seconds.
        self.free_at = 0.0

    async def carry(self, count: int) -> None:
        """Wait until bytes have been carried, behind those that wait already.

        :param count: how many.
        """
        now = asyncio.get_running_loop().time()
        begins = max(now, self.free_at)
        self.free_at = begins + count / self.bytes_per_second
        await asyncio.sleep(self.free_at - now)


class NarrowLink(Link):
    """Forwards a port over a link whose speed is limited.

    What a sender has sent is on its way, whether or not the receiver wants it.

    :param target: host and port to forward to.
    :param forth: what the link carries towards the target; other streams share it.
    :param back: what it carries from there.
    """

    def __init__(
        self, target: tuple[str, int], forth: Bandwidth, back: Bandwidth
    ) -> None:
        super().__init__(target)
        self.forth = forth
        self.back = back

    async def _carry(self, count: int, forth: bool) -> None:
        await (self.forth if forth else self.back).carry(count)
