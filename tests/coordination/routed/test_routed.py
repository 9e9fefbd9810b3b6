# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the path of routed requests, as endpoints and callers see it."""

from __future__ import annotations

import asyncio

from standins.worker import Behaviour
from tests.gatewaycase import GatewayCase
from walnutquay.exceptions import EndpointError
from walnutquay.transport.client import ConnectionEnd


class ForwardingTest(GatewayCase):
    """Requests and answers are forwarded unchanged."""

    async def test_request_is_forwarded_unchanged(self):
        answer = await self.call(
            "/unsafe/a%2Fb?x=%20y", b"\x00body", Tenant="org-b", Hold="h1", X_More="m"
        )
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        seen = [run for name in ("p1", "p2") for run in self.endpoints[name].runs]
        self.assertEqual(len(seen), 1)
        self.assertEqual(seen[0].method, "POST")
        self.assertEqual(seen[0].target, "/unsafe/a%2Fb?x=%20y")
        self.assertEqual(seen[0].body, b"\x00body")
        self.assertEqual(seen[0].headers["host"], "app.example")
        self.assertEqual(seen[0].headers["tenant"], "org-a")
        self.assertEqual(seen[0].headers["x-more"], "m")
        self.assertNotIn("authorization", seen[0].headers)
        self.assertNotIn("hold", seen[0].headers)
        self.assertLessEqual(int(seen[0].headers["deadline"]), 4000)

    async def test_status_body_and_seal_are_returned(self):
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(status=409, body=b"conflict")
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual((answer.status, answer.body), (409, b"conflict"))
        self.assertIn("Reply-Seal", answer.headers)

    async def test_nothing_runs_at_a_reused_address(self):
        self.endpoints["p1"].name = "another"
        self.endpoints["p2"].name = "yet-another"
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)
        self.assertNotIn("Reply-Seal", answer.headers)
        self.assertEqual(self.runs(), 0)


class RetryTest(GatewayCase):
    """Repeatable requests are retried; other requests never are."""

    async def test_safe_request_is_retried_elsewhere(self):
        self.endpoints["p1"].default = Behaviour(status=500)
        for _ in range(4):
            answer = await self.call("/safe/x")
            self.assertEqual(answer.status, 200)

    async def test_endpoints_answer_is_returned_if_all_fail(self):
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(status=500, body=b"mine")
        answer = await self.call("/safe/x")
        self.assertEqual((answer.status, answer.body), (500, b"mine"))
        self.assertEqual(self.runs(), 2)

    async def test_endpoints_answer_is_returned_if_no_other_is_left(self):
        await self.store.remove("servers", "p2")
        registry = self.gateway.knowledge.instances.registry
        await self.until(lambda: "p2" not in registry.known)
        self.endpoints["p1"].default = Behaviour(status=500, body=b"mine")
        answer = await self.call("/safe/x")
        self.assertEqual((answer.status, answer.body), (500, b"mine"))

    async def test_unsafe_request_runs_once(self):
        for fault in (
            Behaviour(status=500),
            Behaviour(cut_after=0),
            Behaviour(cut_after=2, framed=False),
            Behaviour(crossed=True),
        ):
            with self.subTest(fault=fault):
                before = self.runs()
                for name in ("p1", "p2"):
                    self.endpoints[name].default = fault
                answer = await self.call("/unsafe/x", b"b")
                self.assertEqual(self.runs() - before, 1)
                self.assertIn(answer.status, (500, 502))
                self.assertEqual("Reply-Seal" in answer.headers, answer.status == 500)

    async def test_request_that_was_not_run_is_sent_elsewhere(self):
        self.endpoints["p1"].default = Behaviour(status=503, not_run=True)
        for _ in range(3):
            answer = await self.call("/unsafe/x", b"b")
            self.assertEqual(answer.status, 200)

    async def test_refused_by_all_is_reported_as_not_run(self):
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(status=503, not_run=True)
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual(answer.status, 503)
        self.assertIn(b'"not_run"', answer.body)
        self.assertEqual(self.runs(), 0)


class CompleteBodyTest(GatewayCase):
    """An answer that was interrupted is never passed on as complete."""

    workers = {"p1": "plain", "e1": "engine"}

    async def test_reset_without_a_length_is_an_error(self):
        self.endpoints["p1"].next.append(
            Behaviour(body=b"0123456789", cut_after=4, framed=False)
        )
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual(answer.status, 502)

    async def test_reset_is_detected_after_the_connection_is_released(self):
        self.endpoints["p1"].default = Behaviour(
            body=b"0123456789", cut_after=4, framed=False
        )
        url = f"http://{self.endpoints['p1'].address}/x"
        headers = {"Request-Id": "r1", "Target-Instance": "p1"}
        client = self.gateway.client
        async with client.request("GET", url, peer="p1", headers=headers) as answer:
            # The answer is read late, as on a busy VM.
            while answer.connection is not None:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
            end = ConnectionEnd(answer)
            await answer.read()
            with self.assertRaises(EndpointError):
                end.check("p1")

    async def test_close_without_a_length_ends_the_body(self):
        self.endpoints["p1"].next.append(Behaviour(body=b"0123456789", framed=False))
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual((answer.status, answer.body), (200, b"0123456789"))

    async def test_second_answer_is_dropped(self):
        self.endpoints["p1"].default = Behaviour(extra=True)
        for _ in range(5):
            answer = await self.call("/safe/x")
            self.assertEqual((answer.status, answer.body), (200, b"done"))
            self.assertEqual(answer.headers["Request-Id"], f"r{self.numbers}")


class StreamTest(GatewayCase):
    """Streams are forwarded event by event, and resumed after an interruption."""

    workers = {"p1": "plain", "e1": "engine", "e2": "engine"}
    prompt = {
        "Model": "*",
        "Token_Count": "100,50",
        "Prefix_Hash": "aa:60,bb:40",
        "Session": "s1",
    }

    def events(self, count: int, first: int = 1) -> bytes:
        """Return the events of a stream, as sent on the wire.

        :param count: the number of the last event.
        :param first: the number of the first event.
        """
        return b"".join(
            f"id: {n}\ndata: word {n}\n\n".encode() for n in range(first, count + 1)
        )

    async def test_complete_stream(self):
        for name in ("e1", "e2"):
            self.endpoints[name].default = Behaviour(events=5)
        answer = await self.call("/stream/x", b"b", **self.prompt)
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body, self.events(5))

    async def test_stream_that_breaks_within_an_event_continues_elsewhere(self):
        broken = Behaviour(events=6, cut_after=3, within=9)
        once = [broken]
        for name in ("e1", "e2"):
            self.endpoints[name].default = Behaviour(events=6)
            self.endpoints[name].choose = lambda seen: once.pop() if once else None
        answer = await self.call("/stream/x", b"b", **self.prompt)
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body, self.events(6))
        second = [r for n in ("e1", "e2") for r in self.endpoints[n].runs]
        last_event_ids = {run.headers.get("last-event-id") for run in second}
        self.assertEqual(last_event_ids, {None, "3"})

    async def test_callers_last_event_id_is_forwarded(self):
        for name in ("e1", "e2"):
            self.endpoints[name].default = Behaviour(events=6)
        answer = await self.call("/stream/x", b"b", Last_Event_Id="4", **self.prompt)
        self.assertEqual(answer.body, self.events(6, 5))

    async def test_stream_that_may_not_be_resumed_ends_as_broken(self):
        for name in ("e1", "e2"):
            self.endpoints[name].default = Behaviour(events=6, cut_after=3)
        answer = await self.call("/once/x", b"b", Model="tiny")
        self.assertFalse(answer.whole)
        self.assertEqual(answer.body, self.events(3))
        self.assertEqual(self.runs(), 1)

    async def test_low_confidence_escalates_to_the_largest_model(self):
        def by_model(seen):
            confident = seen.headers["model"] == "huge"
            value = "90" if confident else "10"
            return Behaviour(events=3, headers={"Confidence": value})

        for name in ("e1", "e2"):
            self.endpoints[name].choose = by_model
        answer = await self.call("/stream/x", b"b", **self.prompt)
        self.assertEqual(answer.headers["Confidence"], "90")
        models = [
            r.headers["model"] for n in ("e1", "e2") for r in self.endpoints[n].runs
        ]
        self.assertEqual(sorted(models), ["huge", "tiny"])

    async def test_disconnecting_caller_stops_the_work(self):
        for name in ("e1", "e2"):
            self.endpoints[name].default = Behaviour(events=1000, pause=0.05)
        port = self.gateway.api.server.port
        url = f"http://127.0.0.1:{port}/stream/x"
        async with self.session.post(
            url, data=b"b", headers=self.head(**self.prompt)
        ) as answer:
            await answer.content.readany()
        await self.until(
            lambda: any(r.left for n in ("e1", "e2") for r in self.endpoints[n].runs)
        )
