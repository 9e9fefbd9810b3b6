# Licensed under the Apache License 2.0: see LICENSE for details.

"""The timer service that parts subscribe to, and the clocks."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import logbook

log = logbook.Logger(__name__)

MICROSECONDS = 1_000_000
# How often it is looked whether the machine was away, and how late a look must be for
# that: a process that is only short of its processor looks some 0.1 s late.
LOOK_SECONDS = 0.1
WAKE_SECONDS = 1.0
Callback = Callable[[], Awaitable[None] | None]


def monotonic() -> float:
    """:returns: seconds on a clock that never goes back and counts pauses.

    `CLOCK_BOOTTIME` goes on while the machine sleeps, which `CLOCK_MONOTONIC`
    does not: a lease must not be thought valid because its holder slept.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_microseconds() -> int:
    """:returns: microseconds of Unix time, for stamps."""
    return time.time_ns() // 1000


class Subscription:
    """A part's interest in a timer; :meth:`cancel` ends it.

    :param name: what it is for, as shown by ``debug timers``.
    :param period: seconds between calls.
    :param callback: what is called; an awaitable result runs as a task, and the
        next call waits until it has ended.
    """

    def __init__(self, name: str, period: float, callback: Callback) -> None:
        self.name = name
        self.period = period
        self.callback = callback
        self.cancelled = False
        self.calls = 0
        # The task of the last call, where the callback returned an awaitable.
        self.task: asyncio.Task | None = None

    def cancel(self) -> None:
        """End the subscription."""
        self.cancelled = True
        if self.task is not None:
            self.task.cancel()


class TimerService:
    """Calls its subscribers at their periods, on the running loop.

    The first call comes one period after the subscription.  Periods do not count the
    time for which the machine is suspended or the process stopped; parts that must
    know of it subscribe to waking.
    """

    def __init__(self) -> None:
        self.subscriptions: list[Subscription] = []
        # Told of the seconds for which the machine was away.
        self.wakers: list[Callable[[float], None]] = []
        # When it was last looked; monotonic seconds.
        self.looked_at = float("inf")

    def on_wake(self, callback: Callable[[float], None]) -> None:
        """Subscribe to waking.

        :param callback: told for how many seconds the machine was away.
        """
        if not self.wakers:
            self.looked_at = monotonic()
            self.every("wake", LOOK_SECONDS, self.look)
        self.wakers.append(callback)

    def look(self) -> None:
        """Look whether the machine was away, and tell whoever must know.

        Whoever acts on what may be old calls it first: the timer itself may be late.
        """
        now = monotonic()
        away = now - self.looked_at - LOOK_SECONDS
        self.looked_at = now
        if away < WAKE_SECONDS:
            return
        for waker in self.wakers:
            waker(away)

    def every(self, name: str, period: float, callback: Callback) -> Subscription:
        """Subscribe to a periodic call.

        :param name: what it is for.
        :param period: seconds between calls.
        :param callback: what to call.
        """
        subscription = Subscription(name, period, callback)
        self.subscriptions.append(subscription)
        self._arm(subscription)
        return subscription

    def stop(self) -> None:
        """End all subscriptions."""
        for subscription in self.subscriptions:
            subscription.cancel()
        self.subscriptions.clear()

    def _arm(self, subscription: Subscription) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(subscription.period, self._fire, subscription)

    def _fire(self, subscription: Subscription) -> None:
        if subscription.cancelled:
            return
        self._arm(subscription)
        if subscription.task is not None and not subscription.task.done():
            return
        subscription.calls += 1
        result = subscription.callback()
        if result is not None:
            task = asyncio.ensure_future(self._guard(subscription, result))
            subscription.task = task
            if asyncio.iscoroutine(result):
                # Avoids a "never awaited" warning if cancelled before it starts.
                task.add_done_callback(lambda _: result.close())

    async def _guard(self, subscription: Subscription, result: Awaitable) -> None:
        """Keep one failing call from ending the subscription."""
        try:
            await result
        except Exception:
            log.exception("timer {} failed", subscription.name)
