# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tasks that a part owns: kept, ended with it, and never lost in silence."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

import logbook

log = logbook.Logger(__name__)

RESTART_SECONDS = 1.0


class Tasks:
    """The tasks of one part."""

    def __init__(self) -> None:
        self.running: set[asyncio.Task] = set()

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run something once, in the background.

        :param coroutine: what to run.
        """
        task = asyncio.ensure_future(coroutine)
        self.running.add(task)
        task.add_done_callback(self._ended)
        return task

    def spawn_loop(self, name: str, function: Callable[[], Awaitable[None]]) -> None:
        """Run a loop that begins again after an error that nobody foresaw.

        :param name: what it is, for the log.
        :param function: the loop.
        """
        self.spawn(self._guard(name, function))

    async def _guard(self, name: str, function: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await function()
            except Exception:
                log.exception("task {} failed and begins again", name)
            await asyncio.sleep(RESTART_SECONDS)

    def _ended(self, task: asyncio.Task) -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a background task failed: {!r}", task.exception())

    def stop(self) -> None:
        """End all tasks."""
        for task in list(self.running):
            task.cancel()
