# Licensed under the Apache License 2.0: see LICENSE for details.

"""Most new connections are handed to a VM whose link is narrow."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AbstractAsyncContextManager
from typing import Any
from unittest import mock

import aiohttp
from yarl import URL

from standins.narrowlink import Bandwidth, NarrowLink
from tests.gatewaycase import GatewayCase
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.protocol.messages import Message
from walnutquay.state.process.events import EventKind

LOCAL = "127.0.0.1"
# What the narrow link carries each way: some 24 of the callers' requests a second.
LINK_BYTES_PER_SECOND = 200_000.0
BODY = b"b" * 8_000
MESSAGE_BYTES = 200
CALLERS_PER_SECOND = 80
SECONDS = 7.0
# From when on callers are counted: a VM is given so long to adapt.
CONTACT_SECONDS = 3.0
DEADLINE_SECONDS = 1.5
# Callers must be served at least this often, relative to before.
LEAST_SHARE = 0.75


class RefusedConnectionTest(GatewayCase):
    """A VM that refuses new connections serves the open ones, and listens again."""

    def url(self) -> str:
        """:returns: where the VM listens."""
        return f"http://{LOCAL}:{self.gateway.api.server.port}/safe/x"

    async def test_open_connections_are_served_meanwhile(self):
        server = self.gateway.api.server
        self.assertEqual((await self.call("/safe/x")).status, 200)
        server.refuse()
        self.assertEqual((await self.call("/safe/x")).status, 200)
        async with aiohttp.ClientSession() as other:
            with self.assertRaises(aiohttp.ClientConnectorError):
                await other.get(self.url(), headers=self.head())
            await server.listen_again()
            async with other.get(self.url(), headers=self.head()) as answer:
                self.assertEqual(answer.status, 200)

    async def test_a_port_that_is_taken_is_tried_again(self):
        server = self.gateway.api.server
        server.refuse()
        with mock.patch("walnutquay.transport.gateway.listen", side_effect=OSError):
            await server.listen_again()
        self.assertTrue(server.is_refusing())
        await server.listen_again()
        self.assertFalse(server.is_refusing())

    async def test_a_vm_that_stops_does_not_listen_again(self):
        server = self.gateway.api.server
        server.refuse()
        server.close_listener()
        await server.listen_again()
        self.assertIsNone(server.server)

    async def test_a_vm_that_begins_to_stop_as_it_listens_again(self):
        server = self.gateway.api.server
        server.refuse()
        start = server.start

        async def stop_then_start(listener: socket.socket) -> None:
            server.close_listener()
            await start(listener)

        with mock.patch.object(server, "start", stop_then_start):
            await server.listen_again()
        self.assertIsNone(server.server)

    async def test_a_vm_that_is_not_watched_any_more_listens(self):
        gate = self.gateway.caller_gate
        server = self.gateway.api.server
        server.refuse()
        gate.watch = gate.tasks.spawn(gate._watch())
        await self.until(lambda: gate.watch is None)
        self.assertFalse(server.is_refusing())


class FullLinkTest(GatewayCase):
    """Callers whom a VM with a narrow link does not send away are served."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.inward = Bandwidth(LINK_BYTES_PER_SECOND)
        self.outward = Bandwidth(LINK_BYTES_PER_SECOND)
        self.links: dict[int, int] = {}
        for worker in self.endpoints.values():
            port = int(worker.address.rpartition(":")[2])
            self.links[port] = await self.linked(port, self.outward, self.inward)
        self.send_through_links(self.gateway)
        callers = self.gateway.api.server.port
        self.door = await self.linked(callers, self.inward, self.outward)
        self.carry_questions(self.gateway)
        self.second = await self.add_gateway("vm-2", [self.gateway])
        # How many callers were served, and how many were not, of those that were
        # neither refused nor sent away unread.
        self.served = 0
        self.lost = 0

    async def linked(self, port: int, forth: Bandwidth, back: Bandwidth) -> int:
        """:returns: a port that leads to another one over the narrow link."""
        link = NarrowLink((LOCAL, port), forth, back)
        await link.start()
        self.addCleanup(link.stop)
        return link.port

    def send_through_links(self, gateway: GatewayDaemon) -> None:
        """Let a VM's requests to endpoints cross the narrow link."""
        send = gateway.client.request

        def request(
            method: str, url: str, **options: Any
        ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
            direct = URL(url, encoded=True)
            through = direct.with_port(self.links[direct.port])
            return send(method, str(through), **options)

        gateway.client.request = request

    def carry_questions(self, gateway: GatewayDaemon) -> None:
        """Let a VM's questions to the others, and answers, cross the narrow link."""
        call = gateway.peers.call

        async def carried(name: str, body: Message, timeout: float) -> Message:
            await self.outward.carry(MESSAGE_BYTES)
            answer = await call(name, body, timeout)
            await self.inward.carry(MESSAGE_BYTES)
            return answer

        gateway.peers.call = carried

    def was_read(self, request: str) -> bool:
        """:returns: whether the VM has read a request."""
        return any(
            event.request == request and event.kind is EventKind.RECEIVED
            for event in self.gateway.context.timeline.ring.events
        )

    async def ask(self, counted: bool) -> None:
        """Send a request to the VM, on a connection of its own."""
        headers = self.head(Connection="close", Deadline=str(DEADLINE_SECONDS * 1000))
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"POST /safe/x HTTP/1.1\r\n{lines}Content-Length: {len(BODY)}\r\n\r\n"
        answer = b""
        late = False
        try:
            async with asyncio.timeout(DEADLINE_SECONDS):
                reader, writer = await asyncio.open_connection(LOCAL, self.door)
                writer.write(head.encode() + BODY)
                answer = await reader.read()
        except TimeoutError:
            late = True
        except OSError:
            pass
        read = self.was_read(headers["Request-Id"])
        sent_away = not answer and not late and not read
        if not counted or sent_away:
            return
        if answer.startswith(b"HTTP/1.1 200"):
            self.served += 1
        else:
            self.lost += 1

    async def test_who_is_not_sent_away_is_served_while_the_link_is_full(self):
        loop = asyncio.get_running_loop()
        began = loop.time()
        tasks = []
        while (passed := loop.time() - began) < SECONDS:
            tasks.append(asyncio.ensure_future(self.ask(passed >= CONTACT_SECONDS)))
            await asyncio.sleep(1.0 / CALLERS_PER_SECOND)
        await asyncio.gather(*tasks)
        self.assertGreater(self.served, 0, f"{self.lost} lost")
        share = self.served / (self.served + self.lost)
        self.assertGreaterEqual(share, LEAST_SHARE, f"{self.lost} lost")
