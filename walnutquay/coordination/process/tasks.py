# Licensed under the Apache License 2.0: see LICENSE for details.

"""Background tasks of a part, which are cancelled with it and log their errors."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

import logbook

log = logbook.Logger(__name__)

RESTART_SECONDS = 1.0


class Tasks:
    """The background tasks of a part."""

    def __init__(self) -> None:
        self.running: set[asyncio.Task] = set()

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run a coroutine once in the background.

        :param coroutine: the coroutine to run.
        :returns: its task.
        """
        task = asyncio.ensure_future(coroutine)
        self.running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def spawn_loop(self, name: str, function: Callable[[], Awaitable[None]]) -> None:
        """Run a loop in the background and restart it after an unexpected error.

        :param name: the name of the loop in the log.
        :param function: the loop; it is also called again if it returns.
        """
        self.spawn(self._run_loop(name, function))

    async def _run_loop(
        self, name: str, function: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await function()
            except Exception:
                log.exception("background task {} failed; restarting it", name)
            await asyncio.sleep(RESTART_SECONDS)

    def _on_done(self, task: asyncio.Task) -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error(
                "background task failed and is not restarted: {!r}", task.exception()
            )

    def stop(self) -> None:
        """Cancel all tasks."""
        for task in list(self.running):
            task.cancel()
