# Licensed under the Apache License 2.0: see LICENSE for details.

"""Configurations that the VMs which watch the platform cannot read."""

from __future__ import annotations

import asyncio
import random
import unittest
from types import SimpleNamespace

from tests.virtualtime import play
from walnutquay.coordination.own.configurations import Configurations
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.exceptions import PlatformUnavailableError
from walnutquay.state.process.revisions import EraTracker
from walnutquay.transport.timers import monotonic

# Within so long a configuration is in force at all VMs.
IN_FORCE_SECONDS = 11.0


class Platform:
    """Counts the reads of one VM."""

    def __init__(self) -> None:
        self.eras = EraTracker()
        self.reads: list[float] = []

    async def read(self, key: str) -> None:
        self.reads.append(monotonic())
        raise PlatformUnavailableError("refused", step="read", peer=key)


class UnconfirmedHeadTest(unittest.TestCase):
    """A VM that does not watch reads the head itself while nobody confirms its own.

    Guards against healthy VMs that keep an old configuration for as long as the
    platform turns away the VMs that watch it.
    """

    def setUp(self) -> None:
        self.platform = Platform()

    async def follow(self, seconds: float, confirmed_every: float | None) -> None:
        """Follow the head, while a peer confirms it or nobody does."""
        context = SimpleNamespace(
            vm="vm-9", hall="h", rng=random.Random(1), metrics=None, timeline=None
        )
        table = SimpleNamespace(ranked=lambda *_: ["vm-1", "vm-2", "vm-9"], members={})
        members = SimpleNamespace(table=table, update_listeners=[])
        found = Configurations(context, self.platform, members, Dispatcher())
        following = asyncio.ensure_future(found._follow())
        end = monotonic() + seconds
        while monotonic() < end:
            await asyncio.sleep(confirmed_every or seconds)
            if confirmed_every:
                found._confirm(monotonic())
        following.cancel()

    def test_read_in_time(self) -> None:
        play(self.follow(30.0, None))
        gaps = [
            later - earlier
            for earlier, later in zip(
                self.platform.reads, self.platform.reads[1:], strict=False
            )
        ]
        self.assertTrue(gaps)
        self.assertLess(max(gaps), IN_FORCE_SECONDS)

    def test_not_read_while_others_confirm_it(self) -> None:
        play(self.follow(30.0, 1.0))
        # The first read is that of the start.
        self.assertEqual(len(self.platform.reads), 1)


if __name__ == "__main__":
    unittest.main()
