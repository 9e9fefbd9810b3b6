# Licensed under the Apache License 2.0: see LICENSE for details.

"""A loop whose clock goes on only when nothing else is left to do.

Waiting takes no time, and what happens depends on no other process.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any
from unittest import mock

from walnutquay.transport import timers

START = 1000.0


class _Selector(selectors.SelectSelector):
    """Lets the clock go on instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START

    def select(self, timeout: float | None = None) -> list:
        if timeout:
            self.now += timeout
        elif timeout is None:
            raise AssertionError("everything waits for ever")
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop with a clock of its own."""

    def __init__(self) -> None:
        self.clock = _Selector()
        super().__init__(self.clock)

    def time(self) -> float:
        """Return the loop's clock."""
        return self.clock.now


def play(story: Coroutine[Any, Any, Any]) -> Any:
    """Run a story to its end, with the clocks of all parts at the loop's.

    :param story: what happens.
    :returns: its result.
    """
    loop = VirtualLoop()
    clock = SimpleNamespace(
        clock_gettime=lambda _: loop.time(),
        CLOCK_BOOTTIME=0,
        time_ns=lambda: int(loop.time() * 1e9),
    )
    with mock.patch.object(timers, "time", clock):
        try:
            return loop.run_until_complete(story)
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
            loop.close()
