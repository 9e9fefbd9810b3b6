# Licensed under the Apache License 2.0: see LICENSE for details.

"""Callers who read slowly or not at all, and endpoints that do."""

from __future__ import annotations

import asyncio
import socket
from typing import Any
from unittest import mock

from standins.behaviour import Behaviour, Seen
from tests.gatewaycase import HOST, KEY, WAIT_SECONDS, GatewayCase, catalogue
from tests.scriptedendpoint import DaemonLoops
from walnutquay.coordination.routed.bodies import MAX_ANSWER
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.transport import client
from walnutquay.transport import gateway as caller_side
from walnutquay.transport.client import READ_BYTES
from walnutquay.transport.timers import monotonic

MEGABYTE = 1 << 20
# More than the system keeps for a connection on both sides.
LARGE = 12 * MEGABYTE
# What the VM may keep for all callers, in a test.
LIMIT = 4 * MEGABYTE
# What it may keep of each answer that is passed on as it comes.
EACH = 4 * READ_BYTES
CALLERS = 8
# What the system keeps for a caller that does not read.
RECEIVE_BYTES = 1 << 14
EVENT_BYTES = 1 << 16
EVENTS = 400


class SlowCaller:
    """A caller that reads nothing until it is told to.

    :param port: the VM's.
    """

    def __init__(self, port: int) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)

    def ask(self, path: str, request: str, deadline: int = 4000) -> None:
        """Send a request."""
        lines = (
            f"GET {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Authorization: Bearer {KEY}",
            f"Request-Id: {request}",
            f"Deadline: {deadline}",
        )
        self.socket.send("\r\n".join([*lines, "", ""]).encode())

    async def read(self, count: int) -> int:
        """:returns: how many bytes came, of at most so many, until the end."""
        loop = asyncio.get_running_loop()
        came = 0
        try:
            while came < count:
                data = await loop.sock_recv(self.socket, min(1 << 20, count - came))
                if not data:
                    break
                came += len(data)
        except ConnectionError:
            pass
        return came


class SlowCase(GatewayCase):
    """Starts a gateway whose callers read slowly."""

    workers = {"p1": "plain", "p2": "plain", "e1": "engine", "e2": "engine"}

    @classmethod
    def setUpClass(cls) -> None:
        asyncio.set_event_loop_policy(DaemonLoops())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)

    async def asyncSetUp(self) -> None:
        # How fast a busy machine makes connections decides nothing here.
        patient = mock.patch.object(client, "CONNECT_SECONDS", WAIT_SECONDS)
        self.enterContext(patient)
        await super().asyncSetUp()

    async def prepare(self, gateway: GatewayDaemon) -> None:
        """Limit what it keeps of answers."""
        gateway.path.memory.limit = LIMIT

    def behave(self, behaviour: Behaviour) -> None:
        """Have all endpoints answer alike."""
        for endpoint in self.endpoints.values():
            endpoint.default = behaviour

    def seen(self) -> list[Seen]:
        """:returns: all requests that were run."""
        return [seen for endpoint in self.endpoints.values() for seen in endpoint.runs]

    async def all_wait(self, count: int) -> None:
        """Wait until so many callers keep their answers waiting."""
        await self.until(lambda: len(self.gateway.api.server.web.paused) == count)

    async def slow(self, path: str, count: int = 1, **more: int) -> list[SlowCaller]:
        """:returns: callers who have asked, and do not read."""
        callers = []
        for number in range(count):
            caller = SlowCaller(self.gateway.api.server.port)
            self.addCleanup(caller.socket.close)
            caller.ask(path, f"slow-{path}-{number}", **more)
            callers.append(caller)
        return callers

    def unsent(self) -> int:
        """:returns: bytes that are kept for callers."""
        transports = self.gateway.api.server.web.transports.values()
        return sum(one.get_write_buffer_size() for one in transports)


class PlainAnswerTest(SlowCase):
    """Plain answers of callers who do not read are bounded over all callers."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # On a busy machine, the first callers must not be reset before the last ask.
        patient = mock.patch.object(caller_side, "UNREAD_SECONDS", 10 * WAIT_SECONDS)
        patient.start()
        self.addCleanup(patient.stop)
        self.behave(Behaviour(body=bytes(LARGE)))

    async def test_what_is_kept_is_bounded(self):
        callers = await self.slow("/safe/x", CALLERS)
        await self.all_wait(CALLERS)
        self.assertLessEqual(self.unsent(), LIMIT + CALLERS * EACH)
        # They still get all of it, and once.
        came = await asyncio.gather(*(one.read(LARGE) for one in callers))
        self.assertEqual(came, [LARGE] * CALLERS)
        self.assertEqual(len(self.seen()), CALLERS)

    async def test_answers_that_are_ready_are_delivered_late(self):
        self.gateway.path.memory.limit = MEGABYTE
        end = monotonic() + 4.0
        callers = await self.slow("/unsafe/x", 2, deadline=4000)
        await self.all_wait(2)
        await self.until(lambda: monotonic() > end)
        came = await asyncio.gather(*(one.read(LARGE) for one in callers))
        self.assertEqual(came, [LARGE] * 2)

    async def test_others_get_theirs_meanwhile(self):
        await self.slow("/safe/x", CALLERS)
        await self.all_wait(CALLERS)
        got = await self.call("/safe/y")
        self.assertEqual((got.status, len(got.body), got.whole), (200, LARGE, True))
        self.assertEqual(got.headers["Content-Length"], str(LARGE))
        self.assertIn("Reply-Seal", got.headers)

    async def test_a_small_answer_is_held_whole(self):
        await self.slow("/safe/x", CALLERS)
        await self.all_wait(CALLERS)
        self.behave(Behaviour(body=b"whole"))
        broken = self.endpoints["p1"].next
        broken.append(Behaviour(body=bytes(1000), cut_after=500))
        while broken:
            got = await self.call("/safe/y")
            self.assertEqual((got.status, got.body), (200, b"whole"))

    async def test_one_that_breaks_in_passing_is_not_run_again(self):
        await self.slow("/safe/x", CALLERS)
        await self.all_wait(CALLERS)
        self.behave(Behaviour(body=bytes(LARGE), cut_after=LARGE // 2))
        got = await self.call("/safe/y")
        self.assertEqual((got.status, got.whole), (200, False))
        self.assertEqual(len(self.seen()), CALLERS + 1)

    async def test_larger_than_any_that_is_held_whole(self):
        self.behave(Behaviour(body=bytes(MAX_ANSWER + MEGABYTE)))
        got = await self.call("/unsafe/y", b"")
        self.assertEqual((got.status, got.whole), (200, True))
        self.assertEqual(len(got.body), MAX_ANSWER + MEGABYTE)


class StreamTest(SlowCase):
    """Streams are read no faster than their callers read."""

    async def test_what_is_kept_is_bounded(self):
        self.behave(Behaviour(events=EVENTS, padding=EVENT_BYTES))
        await self.slow("/stream/x", CALLERS)
        await self.all_wait(CALLERS)
        self.assertLess(self.unsent(), CALLERS * MEGABYTE)
        got = await self.call("/stream/y")
        self.assertEqual((got.status, got.whole), (200, True))
        self.assertEqual(got.body.count(b"id: "), EVENTS)

    async def test_cut_off_as_unread(self):
        """It runs once, and its endpoint has not failed."""
        self.behave(Behaviour(events=EVENTS, padding=EVENT_BYTES, unread_after=0.3))
        with mock.patch("walnutquay.state.routed.callerpace.HOLD_SECONDS", 0.2):
            (caller,) = await self.slow("/stream/x")
            await self.until(lambda: any(seen.cut for seen in self.seen()))
            came = await caller.read(EVENTS * EVENT_BYTES)
        await self.until(lambda: not self.gateway.api.server.in_flight)
        self.assertLess(came, EVENTS * EVENT_BYTES)
        self.assertEqual(len(self.seen()), 1)
        counters = self.gateway.context.metrics.counters
        self.assertEqual(counters["retries"] + counters["broken"], 0)

    async def test_broken_while_its_caller_reads(self):
        """It goes on at another endpoint."""
        self.behave(Behaviour(events=5))
        broken = self.endpoints["e1"].next
        broken.append(Behaviour(events=5, cut_after=2))
        while broken:
            got = await self.call("/stream/y")
            self.assertEqual(got.body.count(b"id: "), 5)


class SilentCallerTest(SlowCase):
    """A caller who reads nothing at all is ended, and nobody works on for it."""

    async def test_after_the_idle_time(self):
        limits = {"maxBodyBytes": 100_000, "idleTimeoutMs": 600}
        await self.store.put("config", "main", catalogue(2, limits=limits))
        web = self.gateway.api.server.web
        await self.until(lambda: web.limits.idle_seconds < 1.0)
        self.behave(Behaviour(events=EVENTS, padding=EVENT_BYTES))
        await self.slow("/stream/x", deadline=9000)
        await self.all_wait(1)
        engines = (self.endpoints["e1"], self.endpoints["e2"])
        await self.until(lambda: not any(one.writers for one in engines))
        self.assertEqual(self.unsent(), 0)
        self.assertEqual(self.gateway.context.metrics.counters["retries"], 0)

    async def test_earlier_where_memory_is_short(self):
        self.behave(Behaviour(body=bytes(LARGE)))
        with mock.patch("walnutquay.transport.gateway.UNREAD_SECONDS", 0.6):
            await self.slow("/safe/x", CALLERS)
            await self.all_wait(CALLERS)
            self.gateway.path.memory.limit = MEGABYTE
            await self.until(lambda: self.unsent() <= MEGABYTE)
        self.assertGreater(len(self.gateway.api.server.web.transports), 0)


class SlowEndpointTest(SlowCase):
    """An endpoint that does not read a request's body holds up nobody else."""

    workers = {"e1": "engine"}

    async def test_until_the_deadline(self):
        streams: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

        async def read_nothing(*accepted: Any) -> None:
            streams.append(accepted)

        server = await asyncio.start_server(read_nothing, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        worker = self.endpoints["e1"]
        spec = {**worker.spec("plain"), "address": f"127.0.0.1:{port}"}
        await self.store.put("servers", "slow", spec)
        limits = {"maxBodyBytes": LARGE}
        await self.store.put("config", "main", catalogue(2, limits=limits))
        known = self.gateway.knowledge
        await self.until(
            lambda: (
                "slow" in known.instances.registry.known
                and known.catalogue.current.limits.body_bytes == LARGE
            )
        )
        sending = asyncio.ensure_future(
            self.call("/unsafe/x", bytes(LARGE), Deadline="1000")
        )
        self.behave(Behaviour(events=3))
        self.assertEqual((await self.call("/stream/y")).status, 200)
        self.assertEqual((await sending).status, 504)
        # What is left of the body does not follow.
        reader, writer = streams.pop()
        self.addCleanup(writer.close)
        self.assertLess(len(await reader.read()), LARGE)
