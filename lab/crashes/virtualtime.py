# Licensed under the Apache License 2.0: see LICENSE for details.

"""An event loop whose time passes only where all of its tasks wait."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import TypeVar

Result = TypeVar("Result")


class VirtualSelector(selectors.DefaultSelector):
    """Waits in no time: what would be waited for has passed at once."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """:param timeout: how long to wait; seconds.

        :returns: nothing: no task here waits for a socket.
        :raises RuntimeError: if all tasks wait for ever.
        """
        if timeout is None:
            raise RuntimeError("all tasks wait for each other")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in simulated time, for code that uses no sockets."""

    def __init__(self) -> None:
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        """:returns: simulated seconds since the loop was made."""
        return self.virtual.now


def run_virtually(loop: VirtualLoop, main: Coroutine[None, None, Result]) -> Result:
    """:param loop: a loop of its own for this run.

    :param main: what to run.
    :returns: its result.
    """
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
