# Licensed under the Apache License 2.0: see LICENSE for details.

"""Broken streams that no endpoint can resume."""

from __future__ import annotations

import asyncio

from standins.worker import Behaviour
from tests.gatewaycase import WAIT_SECONDS, GatewayCase

PROMPT = {
    "Model": "*",
    "Token_Count": "100,50",
    "Prefix_Hash": "aa:60,bb:40",
    "Session": "s1",
}
EVENTS = 6
EVENTS_BEFORE_CUT = 3


def first_events(count: int) -> bytes:
    """:param count: the number of events.

    :returns: the first events of a stream, as sent on the wire.
    """
    return b"".join(
        f"id: {n}\ndata: word {n}\n\n".encode() for n in range(1, count + 1)
    )


class ResumedStreamTest(GatewayCase):
    """A stream that cannot be resumed ends as broken, with no extra bytes."""

    workers = {"e1": "engine", "e2": "engine", "e3": "engine", "e4": "engine"}

    async def assert_ends_broken(self, on_resume: Behaviour) -> None:
        """Break a stream, and check that it ends as broken after its whole events.

        :param on_resume: how every attempt to resume it is answered.
        """
        broken = Behaviour(events=EVENTS, cut_after=EVENTS_BEFORE_CUT, within=9)

        def choose(seen):
            return on_resume if "last-event-id" in seen.headers else broken

        for endpoint in self.endpoints.values():
            endpoint.choose = choose
        # Guards against a response that never ends.
        async with asyncio.timeout(WAIT_SECONDS):
            answer = await self.call("/stream/x", b"b", **PROMPT)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, first_events(EVENTS_BEFORE_CUT))
        self.assertFalse(answer.whole)
        resume_attempts = [
            request
            for endpoint in self.endpoints.values()
            for request in [*endpoint.runs, *endpoint.turned_away]
            if "last-event-id" in request.headers
        ]
        self.assertGreater(len(resume_attempts), 0)

    async def test_failure_500(self):
        await self.assert_ends_broken(Behaviour(status=500, body=b"failed"))

    async def test_failure_502(self):
        await self.assert_ends_broken(Behaviour(status=502, body=b"failed"))

    async def test_failure_503(self):
        await self.assert_ends_broken(Behaviour(status=503, body=b"failed"))

    async def test_failure_504(self):
        await self.assert_ends_broken(Behaviour(status=504, body=b"failed"))

    async def test_refusal_400_that_has_run(self):
        await self.assert_ends_broken(Behaviour(status=400, body=b"refused"))

    async def test_refusal_404_that_has_run(self):
        await self.assert_ends_broken(Behaviour(status=404, body=b"refused"))

    async def test_refusal_409_that_has_run(self):
        await self.assert_ends_broken(Behaviour(status=409, body=b"refused"))

    async def test_refusal_421_that_has_run(self):
        await self.assert_ends_broken(Behaviour(status=421, body=b"refused"))

    async def test_refusal_429_that_has_run(self):
        await self.assert_ends_broken(Behaviour(status=429, body=b"refused"))

    async def test_refusal_421_that_has_not_run(self):
        await self.assert_ends_broken(Behaviour(status=421, not_run=True))

    async def test_refusal_429_that_has_not_run(self):
        await self.assert_ends_broken(Behaviour(status=429, not_run=True))

    async def test_refusal_503_that_has_not_run(self):
        await self.assert_ends_broken(Behaviour(status=503, not_run=True))

    async def test_success_202(self):
        await self.assert_ends_broken(Behaviour(status=202, body=b""))

    async def test_success_204(self):
        await self.assert_ends_broken(Behaviour(status=204, body=b""))

    async def test_success_206(self):
        await self.assert_ends_broken(Behaviour(status=206, body=b""))

    async def test_answer_that_is_not_a_stream(self):
        await self.assert_ends_broken(Behaviour(body=b"a whole answer"))

    async def test_stream_that_breaks_before_its_next_event(self):
        await self.assert_ends_broken(
            Behaviour(events=EVENTS, cut_after=EVENTS_BEFORE_CUT)
        )
