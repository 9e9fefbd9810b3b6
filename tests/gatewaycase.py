# Licensed under the Apache License 2.0: see LICENSE for details.

"""A gateway with a store and endpoints, all in the test's own process."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

from standins.link import Link
from standins.store import StoreStandIn
from standins.worker import WorkerStandIn
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.settings import GatewayOptions, Settings
from walnutquay.state.fleet.membership import VmLocation

HOST = "app.example"
KEY = "key-of-org-a"
# A condition that has not come true by then never will.
WAIT_SECONDS = 10.0
POLL_SECONDS = 0.005
ANYWHERE = "127.0.0.1:0"


@dataclass
class Got:
    """An answer as a caller got it."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    # Whether the answer ended as its framing says.
    whole: bool = True


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """:returns: a route as the platform writes it."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 5000,
        "sloMs": 1000,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
        **more,
    }


def catalogue(version: int = 1, **more: Any) -> dict[str, Any]:
    """:returns: a configuration as the platform writes it."""
    engine = {
        "kvTokens": 100000,
        "models": [{"name": "tiny", "cost": 0.01}, {"name": "huge", "cost": 0.2}],
    }
    stream = {"sticky": True, "resumable": True, "gapAimMs": 1000, "attempts": 3}
    stream["timeoutMs"] = 9000
    return {
        "version": version,
        "routes": [
            route("safe", "safe", "plain"),
            route("unsafe", "unsafe", "plain"),
            route("stream", "stream", "engine", sizes=["tiny", "huge"], **stream),
            route("once", "stream", "engine", gapAimMs=1000),
            route("open", "safe", "plain", public=True),
        ],
        "services": [
            {"name": "plain", "healthPath": "/healthz", "maxConns": 100},
            {"name": "engine", "maxConns": 100, "engine": engine},
        ],
        "limits": {"maxBodyBytes": 100_000},
        "tenants": [
            {"name": "org-a", "apiKeys": [KEY], "priority": 1},
            {"name": "org-b", "apiKeys": ["key-of-org-b"]},
        ],
        **more,
    }


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, endpoints and one gateway for each test.

    Subclasses change the class attributes.
    """

    # Endpoints by name, with the service that each runs.
    workers: Mapping[str, str] = {"p1": "plain", "p2": "plain", "e1": "engine"}
    configured = True

    async def asyncSetUp(self) -> None:
        self.store = StoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.endpoints: dict[str, WorkerStandIn] = {}
        for name, service in self.workers.items():
            await self.add_worker(name, service)
        if self.configured:
            await self.store.put("config", "main", catalogue())
        self.session = aiohttp.ClientSession(auto_decompress=False)
        self.addAsyncCleanup(self.session.close)
        self.numbers = 0
        self.gateways: list[GatewayDaemon] = []
        self.gateway = await self.add_gateway("vm-1")

    async def add_worker(self, name: str, service: str, **more: Any) -> WorkerStandIn:
        """Start an endpoint, and enter it into the store."""
        worker = self.endpoints[name] = WorkerStandIn(name)
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        await self.store.put("servers", name, worker.spec(service, **more))
        return worker

    async def add_gateway(
        self, name: str, peers: Sequence[GatewayDaemon] = (), **promises: Any
    ) -> GatewayDaemon:
        """Start a gateway, and wait until it is ready if it can be.

        :param name: its name.
        :param peers: gateways that it knows from its start on; they know it as soon as
            it has entered the list of VMs.
        :param promises: settings that are not as usual.
        """
        options = GatewayOptions.model_validate(
            {
                "vm": {"name": name, "hall": "hall-a"},
                "callers": {"address": ANYWHERE},
                "ready": {"address": ANYWHERE},
                "metrics": {"address": ANYWHERE},
                "peers": {"address": ANYWHERE},
                "store": {"address": self.store.address},
                "promises": {"balancer_seconds": 0.0, **promises},
            }
        )
        gateway = GatewayDaemon(Settings(options, {}))
        for peer in peers:
            place = VmLocation(peer.peers.own, peer.context.hall)
            gateway.peers.known = {**gateway.peers.known, peer.context.vm: place}
        await self.prepare(gateway)
        await gateway.start()
        self.gateways.append(gateway)
        self.addAsyncCleanup(self.close_gateway, gateway)
        # Until a VM has entered the list, its peers must not tell it that it is there.
        for peer in peers:
            await self.until(lambda one=peer: gateway.context.vm in one.peers.known)
        if self.configured:
            await self.until(lambda: gateway.knowledge.ready)
        return gateway

    async def prepare(self, gateway: GatewayDaemon) -> None:
        """Change a gateway before it starts, as a subclass needs it."""

    async def add_linked_worker(self, name: str, service: str) -> Link:
        """Start an endpoint that is reached through a link, and wait until it is known.

        :returns: the link.
        """
        worker = await self.add_worker(name, service)
        host, _, port = worker.address.partition(":")
        link = Link((host, int(port)))
        await link.start()
        self.addCleanup(link.stop)
        through = {**worker.spec(service), "address": f"{host}:{link.port}"}
        await self.store.put("servers", name, through)
        registry = self.gateway.knowledge.instances.registry
        await self.until(
            lambda: (
                name in registry.known
                and str(link.port) in registry.known[name].address
            )
        )
        return link

    async def close_gateway(self, gateway: GatewayDaemon) -> None:
        """Close a gateway, unless a test has closed it."""
        if gateway in self.gateways:
            self.gateways.remove(gateway)
            await gateway.close()

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until something is so."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(POLL_SECONDS)

    def head(self, **more: str) -> dict[str, str]:
        """:returns: a caller's headers, with an id that no other request has."""
        self.numbers += 1
        return {
            "Host": HOST,
            "Request-Id": f"r{self.numbers}",
            "Deadline": "4000",
            "Authorization": f"Bearer {KEY}",
            **{name.replace("_", "-"): value for name, value in more.items()},
        }

    async def call(
        self,
        path: str,
        body: bytes | None = None,
        gateway: GatewayDaemon | None = None,
        **headers: str,
    ) -> Got:
        """Send a request: with a body by POST, without by GET."""
        port = (gateway or self.gateway).api.server.port
        method = "GET" if body is None else "POST"
        url = f"http://127.0.0.1:{port}{path}"
        async with self.session.request(
            method, url, data=body, headers=self.head(**headers)
        ) as answer:
            data = b""
            whole = True
            try:
                async for part in answer.content.iter_any():
                    data += part
            except aiohttp.ClientPayloadError:
                whole = False
            return Got(answer.status, answer.headers, data, whole)

    async def raw(self, data: bytes, last: bool = False) -> bytes:
        """Send bytes as they are, and read until the connection ends.

        :param data: the bytes.
        :param last: whether to tell at once that no more follow.
        """
        port = self.gateway.api.server.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        if last:
            writer.write_eof()
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            writer.close()

    def runs(self, *names: str) -> int:
        """:returns: how many requests the named endpoints have run; all if none."""
        return sum(len(self.endpoints[n].runs) for n in names or self.endpoints)
