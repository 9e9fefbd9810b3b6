# Licensed under the Apache License 2.0: see LICENSE for details.

"""The path of routed requests: what endpoints get, and what callers are told."""

from __future__ import annotations

import asyncio

from standins.worker import Behaviour
from tests.gatewaycase import GatewayCase, catalogue
from walnutquay.exceptions import EndpointError
from walnutquay.transport.client import ConnectionEnd


class PassingOnTest(GatewayCase):
    """Requests reach endpoints unaltered, answers return unaltered."""

    async def test_the_request_is_passed_on_as_it_came(self):
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

    async def test_status_body_and_seal_return(self):
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(status=409, body=b"conflict")
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual((answer.status, answer.body), (409, b"conflict"))
        self.assertIn("Reply-Seal", answer.headers)

    async def test_a_reused_address_is_not_run(self):
        self.endpoints["p1"].name = "another"
        self.endpoints["p2"].name = "yet-another"
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)
        self.assertNotIn("Reply-Seal", answer.headers)
        self.assertEqual(self.runs(), 0)


class RepeatingTest(GatewayCase):
    """What may be repeated is; what may not never is."""

    async def test_a_safe_request_is_tried_elsewhere(self):
        self.endpoints["p1"].default = Behaviour(status=500)
        for _ in range(4):
            answer = await self.call("/safe/x")
            self.assertEqual(answer.status, 200)

    async def test_both_failing_the_endpoints_own_answer_returns(self):
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(status=500, body=b"mine")
        answer = await self.call("/safe/x")
        self.assertEqual((answer.status, answer.body), (500, b"mine"))
        self.assertEqual(self.runs(), 2)

    async def test_an_unsafe_request_runs_once(self):
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

    async def test_what_was_not_run_goes_elsewhere(self):
        self.endpoints["p1"].default = Behaviour(status=503, not_run=True)
        for _ in range(3):
            answer = await self.call("/unsafe/x", b"b")
            self.assertEqual(answer.status, 200)

    async def test_all_turning_away_is_a_true_refusal(self):
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(status=503, not_run=True)
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual(answer.status, 503)
        self.assertIn(b'"not_run"', answer.body)
        self.assertEqual(self.runs(), 0)


class WholeBodyTest(GatewayCase):
    """An answer that broke off is never passed on as a whole one."""

    workers = {"p1": "plain", "e1": "engine"}

    async def test_a_reset_without_a_length_is_no_end(self):
        self.endpoints["p1"].next.append(
            Behaviour(body=b"0123456789", cut_after=4, framed=False)
        )
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual(answer.status, 502)

    async def test_a_reset_is_noticed_after_the_connection_is_let_go_of(self):
        self.endpoints["p1"].default = Behaviour(
            body=b"0123456789", cut_after=4, framed=False
        )
        url = f"http://{self.endpoints['p1'].address}/x"
        headers = {"Request-Id": "r1", "Target-Instance": "p1"}
        client = self.gateway.client
        async with client.request("GET", url, peer="p1", headers=headers) as answer:
            # Whoever reads the answer late, as on a busy VM.
            while answer.connection is not None:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
            end = ConnectionEnd(answer)
            await answer.read()
            with self.assertRaises(EndpointError):
                end.check("p1")

    async def test_a_close_without_a_length_is_one(self):
        self.endpoints["p1"].next.append(Behaviour(body=b"0123456789", framed=False))
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual((answer.status, answer.body), (200, b"0123456789"))

    async def test_a_second_answer_belongs_to_nobody(self):
        self.endpoints["p1"].default = Behaviour(extra=True)
        for _ in range(5):
            answer = await self.call("/safe/x")
            self.assertEqual((answer.status, answer.body), (200, b"done"))
            self.assertEqual(answer.headers["Request-Id"], f"r{self.numbers}")


class StreamTest(GatewayCase):
    """Streams are passed on event by event, and taken up where they broke."""

    workers = {"p1": "plain", "e1": "engine", "e2": "engine"}
    prompt = {
        "Model": "*",
        "Token_Count": "100,50",
        "Prefix_Hash": "aa:60,bb:40",
        "Session": "s1",
    }

    def events(self, count: int, first: int = 1) -> bytes:
        """:returns: the whole stream."""
        return b"".join(
            f"id: {n}\ndata: word {n}\n\n".encode() for n in range(first, count + 1)
        )

    async def test_a_whole_stream(self):
        for name in ("e1", "e2"):
            self.endpoints[name].default = Behaviour(events=5)
        answer = await self.call("/stream/x", b"b", **self.prompt)
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body, self.events(5))

    async def test_a_stream_that_breaks_within_an_event_goes_on_elsewhere(self):
        broken = Behaviour(events=6, cut_after=3, within=9)
        once = [broken]
        for name in ("e1", "e2"):
            self.endpoints[name].default = Behaviour(events=6)
            self.endpoints[name].choose = lambda seen: once.pop() if once else None
        answer = await self.call("/stream/x", b"b", **self.prompt)
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body, self.events(6))
        second = [r for n in ("e1", "e2") for r in self.endpoints[n].runs]
        marks = {run.headers.get("last-event-id") for run in second}
        self.assertEqual(marks, {None, "3"})

    async def test_the_callers_own_mark_is_passed_on(self):
        for name in ("e1", "e2"):
            self.endpoints[name].default = Behaviour(events=6)
        answer = await self.call("/stream/x", b"b", Last_Event_Id="4", **self.prompt)
        self.assertEqual(answer.body, self.events(6, 5))

    async def test_one_that_may_not_be_resumed_ends_as_broken(self):
        for name in ("e1", "e2"):
            self.endpoints[name].default = Behaviour(events=6, cut_after=3)
        answer = await self.call("/once/x", b"b", Model="tiny")
        self.assertFalse(answer.whole)
        self.assertEqual(answer.body, self.events(3))
        self.assertEqual(self.runs(), 1)

    async def test_little_confidence_asks_the_largest_model(self):
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

    async def test_a_caller_who_leaves_stops_the_work(self):
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


class SilenceTest(GatewayCase):
    """An endpoint that falls silent does not keep its callers."""

    workers = {"p1": "plain", "p2": "plain", "e1": "engine", "e2": "engine"}

    async def test_a_stream_goes_on_elsewhere(self):
        silent = [Behaviour(events=8, cut_after=None, pause=30.0)]
        for name in ("e1", "e2"):
            self.endpoints[name].default = Behaviour(events=8)
            self.endpoints[name].choose = lambda seen: silent.pop() if silent else None
        answer = await self.call("/stream/x", b"b", Model="tiny", Deadline="9000")
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body.count(b"id:"), 8)
        self.assertEqual(self.runs("e1", "e2"), 2)
        runs = self.endpoints["e1"].runs + self.endpoints["e2"].runs
        await self.until(lambda: any(run.left for run in runs))

    async def test_a_safe_call_is_answered_elsewhere(self):
        self.endpoints["p1"].default = Behaviour(mute=True)
        for _ in range(3):
            answer = await self.call("/safe/x")
            self.assertEqual(answer.status, 200)

    async def test_an_unsafe_call_is_not(self):
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(mute=True)
        answer = await self.call("/unsafe/x", b"b", Deadline="1200")
        self.assertEqual(answer.status, 504)
        self.assertEqual(self.runs("p1", "p2"), 1)


class DarkEngineTest(GatewayCase):
    """An engine that cannot be connected to any more is not waited for."""

    workers = {"p1": "plain", "e1": "engine", "e2": "engine"}

    async def test_a_stream_is_answered_elsewhere_well_before_its_time_for_a_head(self):
        held = [Behaviour(mute=True)]
        for name in ("e1", "e2"):
            self.endpoints[name].default = Behaviour(events=3)
            self.endpoints[name].choose = lambda seen: held.pop() if held else None
        call = asyncio.ensure_future(
            self.call("/stream/x", b"b", Model="tiny", Deadline="9000")
        )
        await self.until(lambda: self.runs("e1", "e2") == 1)
        dark = next(n for n in ("e1", "e2") if self.endpoints[n].runs)
        reach = self.gateway.path.places.reach
        # Its port is closed; the connection that is open stays as it is.
        self.endpoints[dark].server.close()
        await self.until(lambda: dark in reach.unreachable)
        answer = await call
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual(self.runs("e1", "e2"), 2)
        self.assertTrue(all(run.left for run in self.endpoints[dark].runs))

    async def test_requests_that_wait_share_one_try(self):
        reach = self.gateway.path.places.reach
        endpoint = self.gateway.knowledge.instances.book.known["e1"]
        before = self.endpoints["e1"].connections
        tries = [reach.still_there(endpoint) for _ in range(9)]
        self.assertTrue(all(await asyncio.gather(*tries)))
        await self.until(lambda: self.endpoints["e1"].connections > before)
        self.assertEqual(self.endpoints["e1"].connections, before + 1)


class SilentConnectionTest(GatewayCase):
    """Kept connections to an endpoint that fall silent while new ones work."""

    workers = {"e1": "engine"}

    async def test_a_safe_call_is_answered_all_the_same(self):
        link = await self.add_linked_worker("p1", "plain")
        self.assertEqual((await self.call("/safe/x")).status, 200)
        link.silence()
        first = await self.call("/safe/x")
        second = await self.call("/safe/x")
        self.assertIn(200, (first.status, second.status))
        self.assertEqual((await self.call("/unsafe/x", b"b")).status, 200)


class GivenUpTest(GatewayCase):
    """A request that was given up does not arrive later, when its link works again.

    It would be run for nobody, and at endpoints that have announced their end long ago.
    """

    workers = {"e1": "engine"}

    async def test_what_waits_on_a_full_link(self):
        link = await self.add_linked_worker("p1", "plain")
        link.hold()
        answer = await self.call("/safe/x", Deadline="300")
        self.assertEqual(answer.status, 504)
        link.release()
        await self.until(lambda: not link.writers)
        self.assertEqual(self.runs("p1"), 0)


class LeavingCallerTest(GatewayCase):
    """Endpoints stop working on what nobody waits for any more."""

    async def test_plain_calls(self):
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(mute=True)
        port = self.gateway.api.server.port
        for path in ("/safe/x", "/unsafe/x"):
            with self.subTest(path=path):
                before = self.runs("p1", "p2")
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                head = [f"GET {path} HTTP/1.1"]
                head += [f"{name}: {value}" for name, value in self.head().items()]
                writer.write("\r\n".join([*head, "", ""]).encode())
                await self.until(lambda: self.runs("p1", "p2") > before)  # noqa: B023
                writer.close()
                runs = self.endpoints["p1"].runs + self.endpoints["p2"].runs
                await self.until(lambda: all(run.left for run in runs))  # noqa: B023

    async def test_one_that_waits_for_a_second_endpoint(self):
        # The first endpoint fails as the caller leaves; no other may be asked then.
        self.endpoints["p1"].default = Behaviour(mute=True)
        self.endpoints["p2"].default = Behaviour(mute=True)
        call = asyncio.ensure_future(self.call("/safe/x"))
        await self.until(lambda: self.runs("p1", "p2") == 1)
        call.cancel()
        runs = self.endpoints["p1"].runs + self.endpoints["p2"].runs
        await self.until(lambda: all(run.left for run in runs))
        self.assertEqual(self.runs("p1", "p2"), 1)
        await self.until(lambda: not self.gateway.path.in_flight)


class ReadinessTest(GatewayCase):
    """A VM that says it is ready takes connections at once."""

    configured = False

    async def test_the_first_ready_answer(self):
        await self.store.put("config", "main", catalogue())
        port = self.gateway.api.ready_server.port
        url = f"http://127.0.0.1:{port}/v1/ready"
        status = 0
        async with asyncio.timeout(10):
            while status != 200:
                async with self.session.get(url) as ready:
                    status = ready.status
        answers = await asyncio.gather(*(self.call("/safe/x") for _ in range(8)))
        self.assertEqual({answer.status for answer in answers}, {200})

    async def test_not_ready_before_the_listener_closes(self):
        await self.store.put("config", "main", catalogue())
        await self.until(lambda: self.gateway.knowledge.ready)
        port = self.gateway.api.ready_server.port
        stopping = asyncio.ensure_future(self.gateway.drain())
        await asyncio.sleep(0)
        url = f"http://127.0.0.1:{port}/v1/ready"
        async with self.session.get(url) as ready:
            self.assertEqual(ready.status, 503)
        await stopping


class TimeTest(GatewayCase):
    """A request whose time is over is answered then."""

    async def test_a_mute_endpoint(self):
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(mute=True)
        answer = await self.call("/unsafe/x", b"b", Deadline="150")
        self.assertEqual(answer.status, 504)


class StopTest(GatewayCase):
    """A planned stop cuts no request."""

    async def test_streams_end_and_connections_close(self):
        self.endpoints["e1"].default = Behaviour(events=20, pause=0.02)
        stream = asyncio.ensure_future(self.call("/stream/x", b"b", Model="tiny"))
        await self.call("/safe/x")
        await self.until(lambda: self.runs("e1") == 1)
        server = self.gateway.api.server
        stopping = asyncio.ensure_future(self.gateway.drain())
        answer = await stream
        await stopping
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body.count(b"id:"), 20)
        # The stream's own connection, begun before the stop, is closed as well.
        await self.until(lambda: not server.web.connections)

    async def test_a_request_that_crosses_the_close_is_not_passed_on(self):
        server = self.gateway.api.server
        # Kept connections: what is sent by them is sent at once.
        for _ in range(8):
            await self.call("/safe/x", Connection="close")
        sent = 8
        for turns in range(6):
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            await self.until(lambda: server.web.connections)
            head = ["GET /safe/x HTTP/1.1"]
            head += [f"{name}: {value}" for name, value in self.head().items()]
            data = "\r\n".join([*head, "", ""]).encode()
            # It has been read, and its handler has not begun yet, or just has.
            server.web.connections[0].data_received(data)
            for _ in range(turns):
                await asyncio.sleep(0)
            begun = server.in_flight
            server.close_idle()
            answer = await reader.readline()
            self.assertEqual(bool(answer), bool(begun))
            writer.close()
            await self.until(lambda: not server.web.connections)
            await self.call("/safe/x", Connection="close")
            await self.until(lambda: not server.web.connections)
            sent += 1 + begun
            self.assertEqual(self.runs("p1", "p2"), sent, turns)


class ConfigurationTest(GatewayCase):
    """The newest configuration is in force, also where a caller knows it first."""

    async def test_a_key_that_is_new(self):
        spec = catalogue(2)
        spec["tenants"][0]["apiKeys"].append("new-key")
        await self.store.put("config", "main", spec)
        answer = await self.call("/safe/x", Authorization="Bearer new-key")
        self.assertEqual(answer.status, 200)

    async def test_a_key_that_is_taken_away(self):
        spec = catalogue(2)
        spec["tenants"] = spec["tenants"][1:]
        await self.store.put("config", "main", spec)
        knowledge = self.gateway.knowledge
        await self.until(lambda: knowledge.catalogue.current.version == 2)
        self.assertEqual((await self.call("/safe/x")).status, 401)
        self.assertEqual((await self.call("/open/x")).status, 200)

    async def test_an_older_version_changes_nothing(self):
        await self.store.put("config", "main", catalogue(5))
        knowledge = self.gateway.knowledge
        await self.until(lambda: knowledge.catalogue.current.version == 5)
        await self.store.put("config", "main", catalogue(4, routes=[]))
        await knowledge.catalogue_follower.relist()
        self.assertEqual(knowledge.catalogue.current.version, 5)


class UnknownTest(GatewayCase):
    """A VM that knows nothing yet says so, and denies nobody."""

    configured = False

    async def test_before_the_configuration(self):
        answer = await self.call("/safe/x")
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)
        port = self.gateway.api.ready_server.port
        async with self.session.get(f"http://127.0.0.1:{port}/v1/ready") as ready:
            self.assertEqual(ready.status, 503)


class TrialTest(GatewayCase):
    """A new version is braked also where only its events come slowly."""

    workers = {"p1": "plain", "e1": "engine", "e2": "engine"}

    async def test_slow_events(self):
        for name in ("e1", "e2"):
            self.endpoints[name].default = Behaviour(events=8, pause=0.01)
        for _ in range(8):
            await self.call("/stream/x", b"b", Model="tiny")
        for name in ("n1", "n2"):
            worker = await self.add_worker(name, "engine", version="v2")
            worker.default = Behaviour(events=8, pause=0.1)
        order = {"service": "engine", "toVersion": "v2", "durationS": 600}
        await self.store.put("rollouts", "engine", order)
        trials = self.gateway.versions.tasks
        await self.until(lambda: "engine" in trials and self.listed("n1", "n2"))
        trial = trials["engine"].trial
        number = 0
        while not trial.braked and number < 200:
            number += 1
            await self.call("/stream/x", b"b", Model="tiny", Session=f"s{number}")
        self.assertTrue(trial.braked)
        await self.until(
            lambda: (self.rollout().status or {}).get("state") == "rolled_back"
        )
        before = self.runs("n1", "n2")
        for _ in range(20):
            await self.call("/stream/x", b"b", Model="tiny")
        self.assertEqual(self.runs("n1", "n2"), before)

    def listed(self, *names: str) -> bool:
        """:returns: whether the gateway knows these endpoints."""
        return set(names) <= set(self.gateway.knowledge.instances.book.known)

    def rollout(self):
        """:returns: the order as it is stored now."""
        return self.store.kinds["rollouts"]["engine"]
