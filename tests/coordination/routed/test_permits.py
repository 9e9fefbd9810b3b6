# Licensed under the Apache License 2.0: see LICENSE for details.

"""Permits that a VM issues while it is late."""

from __future__ import annotations

import asyncio
import unittest

from walnutquay.coordination.process.tasks import Tasks
from walnutquay.coordination.routed.permits import PermitIssuer
from walnutquay.state.routed.permits import Verdict
from walnutquay.transport.timers import monotonic

RATE = 1000.0


class LateTest(unittest.IsolatedAsyncioTestCase):
    """A permit is issued in the moment in which the wait for it ends."""

    async def test_the_permit_is_lost(self):
        tasks = Tasks()
        self.addCleanup(tasks.stop)
        issuer = PermitIssuer(tasks)
        issuer.queue.set_rate(RATE, monotonic())
        decision = issuer.queue.request(0, 9.0, monotonic())
        self.assertIs(decision.verdict, Verdict.QUEUED)
        await asyncio.sleep(2.0 / RATE)
        # The task that issues runs first, and the end of the wait right behind it.
        decision = await issuer._wait(decision.number, 0.0, lambda: RATE)
        self.assertIs(decision.verdict, Verdict.GRANTED)
        self.assertFalse(issuer.queue.waiters)
