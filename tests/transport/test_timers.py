# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests for cancelling timer subscriptions with asynchronous callbacks."""

from __future__ import annotations

import asyncio
import gc
import unittest
import warnings
import weakref

from walnutquay.transport.timers import TimerService

PERIOD_SECONDS = 0.01


class CancelTest(unittest.IsolatedAsyncioTestCase):
    """Callback coroutines are awaited or closed, whenever the timer service stops."""

    async def test_cancel_before_task_starts_closes_coroutine(self):
        """Guards against a "never awaited" warning for the callback's coroutine."""
        timers = TimerService()
        called = []

        async def callback() -> None:
            called.append(True)

        with warnings.catch_warnings(record=True) as caught:
            warnings.simplefilter("always")
            subscription = timers.every("test", PERIOD_SECONDS, callback)
            timers._fire(subscription)
            timers.stop()
            subscription_ref = weakref.ref(subscription)
            del subscription
            # The pending call_later handle references the subscription until it runs.
            async with asyncio.timeout(30.0):
                while subscription_ref() is not None:
                    await asyncio.sleep(PERIOD_SECONDS)
                    gc.collect()
        self.assertEqual([str(w.message) for w in caught], [])
        self.assertEqual(called, [])

    async def test_call_completes_without_cancel(self):
        """Guards against closing the callback's coroutine before it completes."""
        timers = TimerService()
        completed = asyncio.Event()

        async def callback() -> None:
            await asyncio.sleep(0)
            completed.set()

        subscription = timers.every("test", 1000.0, callback)
        timers._fire(subscription)
        async with asyncio.timeout(30.0):
            await completed.wait()
        timers.stop()
