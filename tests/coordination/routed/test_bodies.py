# Licensed under the Apache License 2.0: see LICENSE for details.

"""Waits for answers' heads that are given up just as they end."""

from __future__ import annotations

import asyncio
import gc
import unittest
from typing import Any

from walnutquay.coordination.routed.bodies import give_up
from walnutquay.exceptions import EndpointError

# Turns of the loop in which a wait ends.
STEPS = 5


class Answer:
    """An answer that may be closed."""

    closed = False

    def close(self) -> None:
        """Note that it was closed."""
        self.closed = True


class GivenUpWaitTest(unittest.IsolatedAsyncioTestCase):
    """Nothing is left behind, whatever the wait ends with."""

    async def asyncSetUp(self) -> None:
        # What the loop reports of tasks whose errors nobody has asked for.
        self.reported: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: self.reported.append(context)
        )

    async def give_up(self, outcome: Answer | Exception) -> None:
        """Give up a wait that ends with an outcome though it is cancelled."""

        async def wait() -> Answer:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                if isinstance(outcome, Exception):
                    raise outcome from None
            return outcome

        connecting = asyncio.ensure_future(wait())
        await asyncio.sleep(0)
        give_up(connecting)
        for _ in range(STEPS):
            await asyncio.sleep(0)
        del connecting
        gc.collect()

    async def test_an_error_is_not_reported(self):
        error = EndpointError("timed out", step="exchange", peer="p1")
        await self.give_up(error)
        self.assertEqual(self.reported, [])

    async def test_an_answer_is_closed(self):
        answer = Answer()
        await self.give_up(answer)
        self.assertTrue(answer.closed)

    async def test_an_answer_that_has_come_is_closed(self):
        answer = Answer()
        connecting = asyncio.get_running_loop().create_future()
        connecting.set_result(answer)
        give_up(connecting)
        await asyncio.sleep(0)
        self.assertTrue(answer.closed)

    async def test_an_answer_that_is_used_stays_open(self):
        give_up(None)
