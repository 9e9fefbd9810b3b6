# Licensed under the Apache License 2.0: see LICENSE for details.

"""An entry VM of the users' platform: its start, its stop and its configuration."""

from __future__ import annotations

import asyncio

from standins.worker import Behaviour
from tests.gatewaycase import WAIT_SECONDS, GatewayCase, catalogue
from walnutquay.protocol.messages import CrashDigest, Envelope, VmNews, VmRow
from walnutquay.state.fleet.membership import VmLocation
from walnutquay.state.process.clock import Stamp


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


class ReturnTest(GatewayCase):
    """A VM that has left, and is back, is told all news again."""

    async def test_any_message_of_its_next_process_shows_it(self):
        second = await self.add_gateway("vm-2", [self.gateway])
        name = second.context.vm
        await self.until(lambda: second.vm_list.entered_at > 0)
        for gateway in (self.gateway, second):
            gateway.vm_list.tasks.stop()
        row = VmRow(name, self.gateway.peers.known[name])
        left = VmNews(row, leaving=True, incarnation="an earlier process")
        await self.gateway.dispatcher.deliver(
            Envelope("vm-3", "its own", Stamp(1, 0), left)
        )
        # Its own announcement would show it as well.
        del self.gateway.dispatcher.receivers[VmNews]
        self.assertNotIn(name, self.gateway.peers.known)
        second.peers.known[self.gateway.context.vm] = VmLocation(
            self.gateway.peers.own, self.gateway.context.hall
        )
        second.peers.broadcast(CrashDigest(0))
        await self.until(lambda: name in self.gateway.peers.known)


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

    async def test_a_store_that_is_silent_does_not_hold_it(self):
        # A process that still waited for the store was killed at the end of its time.
        await self.until(lambda: self.gateway.vm_list.entered_at > 0)
        self.store.silent = True
        self.gateway.store.call_seconds = 3600.0
        async with asyncio.timeout(WAIT_SECONDS):
            await self.close_gateway(self.gateway)

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
        while not trial.rejected and number < 200:
            number += 1
            await self.call("/stream/x", b"b", Model="tiny", Session=f"s{number}")
        self.assertTrue(trial.rejected)
        await self.until(
            lambda: (self.rollout().status or {}).get("state") == "rolled_back"
        )
        before = self.runs("n1", "n2")
        for _ in range(20):
            await self.call("/stream/x", b"b", Model="tiny")
        self.assertEqual(self.runs("n1", "n2"), before)

    def listed(self, *names: str) -> bool:
        """:returns: whether the gateway knows these endpoints."""
        return set(names) <= set(self.gateway.knowledge.instances.registry.known)

    def rollout(self):
        """:returns: the order as it is stored now."""
        return self.store.kinds["rollouts"]["engine"]
