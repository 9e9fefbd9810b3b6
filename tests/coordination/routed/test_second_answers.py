# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of endpoints that answer a request twice on a kept connection."""

from __future__ import annotations

import asyncio

from standins.worker import Behaviour, Seen
from tests.gatewaycase import GatewayCase

# Long enough to read a second answer while no request waits.  If it arrives later, it
# takes the place of the next answer, and the same checks apply.
IDLE_SECONDS = 0.03
CALLS = 4


class SecondAnswerTest(GatewayCase):
    """A second answer of an endpoint never reaches another caller."""

    workers = {"p1": "plain", "e1": "engine"}

    def answer_twice(self, **more: object) -> None:
        """Make the endpoint answer each request twice, with its target as the body.

        :param more: further fields of the endpoint's behaviour.
        """

        def choose(seen: Seen) -> Behaviour:
            return Behaviour(body=seen.target.encode(), extra=True, **more)

        self.endpoints["p1"].choose = choose

    async def assert_own_answers(self, status: int = 200, **headers: str) -> None:
        """Send requests one after another and check that each gets its own answer.

        :param status: the expected status.
        :param headers: the headers of each request.
        """
        for number in range(CALLS):
            path = f"/safe/{number}"
            answer = await self.call(path, **headers)
            self.assertEqual((answer.status, answer.body), (status, path.encode()))
            await asyncio.sleep(IDLE_SECONDS)

    async def test_while_no_request_waits(self):
        for named in (True, False):
            for pieces in (0, 1, 30):
                with self.subTest(named=named, pieces=pieces):
                    self.answer_twice(named=named, extra_pieces=pieces)
                    await self.assert_own_answers()

    async def test_in_place_of_the_next_answer(self):
        for status in (200, 500):
            for named in (True, False):
                with self.subTest(status=status, named=named):
                    self.answer_twice(status=status, named=named, extra_late=True)
                    await self.assert_own_answers(status)

    async def test_of_a_request_with_the_same_id(self):
        for late in (True, False):
            with self.subTest(late=late):
                self.answer_twice(extra_late=late)
                await self.assert_own_answers(Request_Id="same")
