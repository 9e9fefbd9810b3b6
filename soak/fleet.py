# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a soak is played on: entry VMs as processes, a store, endpoints, and links."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import tomli_w

from soak.endpoints import HOST, Endpoint
from standins.link import Link
from standins.ports import HeldPorts
from standins.store import StoreStandIn
from standins.worker import WorkerStandIn

APP = "app.example"
# A wait that lasts so long will never end; it bounds hangs and measures nothing.
HANG_SECONDS = 60.0
POLL_SECONDS = 0.05
# The end of a log that is told where a VM does not start.
TOLD_BYTES = 500
# After a fault a VM is given so long before what is bound by time is judged.
CONTACT_SECONDS = 3.0
KEYS = {"org-a": ["key-a1", "key-a2"], "org-b": ["key-b1"]}
HALLS = ("hall-0", "hall-1")
# What a cold endpoint bears in a second, what operators allow there, and how long
# endpoints are cold that have started.
COLD_PER_SECOND = 2.0
COLD_OVER, COLD_EXTRA = 1.5, 1.0
COLD_SECONDS = 3.0
# The priority of urgent calls; others have the next lower one.
URGENT = 0
PROMISES = {
    "config_seconds": 2.0,
    "drain_seconds": 2.0,
    "balancer_seconds": 0.5,
    "empty_seconds": 2.0,
    "cold_over": COLD_OVER,
    "cold_extra": COLD_EXTRA,
}


def _route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": APP,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 8000,
        "sloMs": 1000,
        "priority": 1,
        "service": service,
        "attempts": 3,
        "public": False,
        **more,
    }


def configuration(version: int, keys: dict[str, list[str]]) -> dict[str, Any]:
    """:returns: a configuration as the platform writes it."""
    cold = {"coldPerS": COLD_PER_SECOND, "coldStartS": COLD_SECONDS}
    stream = {"sticky": True, "resumable": True, "gapAimMs": 500, "sizes": ["tiny"]}
    return {
        "version": version,
        "routes": [
            _route("safe", "safe", "plain"),
            _route("unsafe", "unsafe", "plain"),
            _route("urgent", "safe", "plain", priority=URGENT),
            _route("stream", "stream", "engine", **stream),
        ],
        "services": [
            {"name": "plain", "healthPath": "/healthz", "maxConns": 100, **cold},
            {
                "name": "engine",
                "maxConns": 100,
                **cold,
                "engine": {
                    "kvTokens": 100_000,
                    "models": [{"name": "tiny", "cost": 0.01}],
                },
            },
        ],
        "tenants": [{"name": name, "apiKeys": own} for name, own in keys.items()],
    }


@dataclass
class Vm:
    """An entry VM, a process of its own; its store is behind a link.

    :param name: its name.
    :param settings: its settings file.
    :param log: where its lines go.
    :param ports: where it listens.
    :param link: its way to the store.
    """

    name: str
    settings: Path
    log: Path
    ports: dict[str, int]
    link: Link
    process: asyncio.subprocess.Process | None = None
    # When it was disturbed: from and until; monotonic seconds.
    disturbed: list[tuple[float, float]] = field(default_factory=list)
    # When its process was away or stopped, of those.
    interrupted: list[tuple[float, float]] = field(default_factory=list)
    # Ends that nobody asked for.
    own_ends: list[int] = field(default_factory=list)
    ordered: bool = False

    async def start(self) -> None:
        """Start it; its lines are added to those of its earlier starts."""
        with self.log.open("ab") as file:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "walnutquay",
                "gateway",
                "--settings",
                str(self.settings),
                stdout=file,
                stderr=file,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        # Only now: the process before it has ended too, as it was told.
        self.ordered = False

    def signal(self, number: signal.Signals) -> None:
        """:param number: a signal, to this process alone."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: signal.Signals) -> None:
        """:param number: the signal by which it is ended."""
        self.ordered = True
        self.signal(number)
        self.signal(signal.SIGCONT)
        assert self.process is not None
        async with asyncio.timeout(HANG_SECONDS):
            await self.process.wait()

    def in_touch(self, at: float) -> bool:
        """:param at: a time; monotonic seconds.

        :returns: whether nothing disturbed it then, nor shortly before.
        """
        spans = self.disturbed
        return not any(since <= at <= until + CONTACT_SECONDS for since, until in spans)

    def has_ended(self) -> bool:
        """:returns: whether its last process has ended."""
        return self.process is not None and self.process.returncode is not None

    def look(self) -> None:
        """Note an end that nobody asked for."""
        if self.has_ended() and not self.ordered:
            self.own_ends.append(self.process.returncode)
            self.ordered = True


class SoakFleet:
    """Starts everything, and ends what it has started.

    :param vms: entry VMs.
    :param plain: endpoints of the plain service.
    :param engines: engines.
    """

    def __init__(self, vms: int, plain: int, engines: int) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="walnutquay-soak-")
        self.sizes = (vms, plain, engines)
        self.store = StoreStandIn()
        self.endpoints: dict[str, Endpoint] = {}
        # Those that were taken away.
        self.gone: list[Endpoint] = []
        self.vms: list[Vm] = []
        self.keys = {name: list(own) for name, own in KEYS.items()}
        # Keys that were taken away from their organisation, org-b.
        self.former_keys: set[str] = set()
        self.version = 1
        # The entry of each endpoint as it was last written.
        self.entries: dict[str, dict[str, Any]] = {}
        # Endpoints that were ever started.
        self.made = 0
        # Data halls that were emptied: which, from and until; monotonic seconds.
        self.emptied: list[tuple[str, float, float]] = []
        self.ports = HeldPorts()
        self.session = aiohttp.ClientSession()

    async def start(self) -> None:
        """Start everything, and wait until it serves."""
        vms, plain, engines = self.sizes
        await self.store.start()
        await self.store.put("config", "main", configuration(1, self.keys))
        for number in range(plain):
            await self.add_endpoint(f"p{number}", "plain")
        for number in range(engines):
            await self.add_endpoint(f"e{number}", "engine")
        for number in range(vms):
            await self._add_vm(f"vm-{number}", HALLS[number % len(HALLS)])
        for vm in self.vms:
            await vm.start()
        for vm in self.vms:
            await self.until_ready(vm)

    async def stop(self) -> None:
        """End everything."""
        for vm in self.vms:
            if vm.process is not None:
                await vm.end(signal.SIGKILL)
            vm.link.stop()
        for endpoint in self.endpoints.values():
            await endpoint.worker.stop()
            endpoint.link.stop()
        await self.store.stop()
        await self.session.close()
        self.ports.close()
        self.folder.cleanup()

    async def add_endpoint(self, name: str, service: str) -> Endpoint:
        """Start an endpoint, and enter it into the store."""
        worker = WorkerStandIn(name)
        await worker.start()
        host, _, port = worker.address.partition(":")
        link = Link((host, int(port)))
        await link.start()
        worker.on_crash = link.close_port
        self.made += 1
        hall = HALLS[self.made % len(HALLS)]
        endpoint = self.endpoints[name] = Endpoint(worker, link, service, hall)
        worker.choose = endpoint.behave
        await self.enter(name)
        return endpoint

    async def enter(self, name: str) -> None:
        """Write the entry of an endpoint that has just started."""
        endpoint = self.endpoints[name]
        endpoint.start_entry()
        await self.write_entry(name, endpoint.entry)

    async def write_entry(self, name: str, entry: dict[str, Any]) -> None:
        """Write the entry of an endpoint."""
        self.entries[name] = entry
        await self.store.put("servers", name, entry)

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object, unless the store has lost it."""
        if name in self.store.kinds.get(kind, {}):
            await self.store.remove(kind, name)

    async def write_again(self) -> None:
        """Write what a restored store has lost, as operators and endpoints do.

        What they have removed since the backup is removed again.
        """
        await self.store.put("config", "main", configuration(self.version, self.keys))
        for name, entry in list(self.entries.items()):
            await self.store.put("servers", name, entry)
        for name in set(self.store.kinds.get("servers", {})) - self.entries.keys():
            await self.remove("servers", name)
        emptied = {hall for hall, _, until in self.emptied if until == float("inf")}
        for hall in emptied:
            await self.store.put("evacuations", hall, {})
        for hall in set(self.store.kinds.get("evacuations", {})) - emptied:
            await self.remove("evacuations", hall)

    async def start_again(self, name: str) -> None:
        """Start an endpoint that has ended, under its name."""
        endpoint = self.endpoints[name]
        await endpoint.worker.come_back(name)
        await endpoint.link.open_port()
        await self.enter(name)

    async def remove_endpoint(self, name: str) -> None:
        """Take an endpoint away that has announced its end, unless it is gone."""
        endpoint = self.endpoints.pop(name, None)
        if endpoint is None:
            return
        self.entries.pop(name, None)
        await self.remove("servers", name)
        self.gone.append(endpoint)
        await endpoint.worker.stop()
        endpoint.link.stop()

    async def turn_cold(self, name: str) -> None:
        """Have an endpoint say that it bears little, and some time later that it does.

        The entry must change back: one that is written as it was is no news to anybody.
        """
        endpoint = self.endpoints[name]
        warm = endpoint.entry
        entry = {**warm, "coldLeftMs": round(COLD_SECONDS * 1000.0)}
        await self.write_entry(name, entry)
        now = time.monotonic()
        endpoint.cold.append((now, now + COLD_SECONDS))
        await asyncio.sleep(COLD_SECONDS)
        if endpoint.entry is warm and endpoint.leaving_since is None:
            await self.write_entry(name, warm)

    async def empty_hall(self, hall: str, seconds: float) -> None:
        """Empty a data hall for some time."""
        await self.store.put("evacuations", hall, {})
        since = time.monotonic()
        self.emptied.append((hall, since, float("inf")))
        await asyncio.sleep(seconds)
        self.emptied.remove((hall, since, float("inf")))
        self.emptied.append((hall, since, time.monotonic()))
        await self.remove("evacuations", hall)

    def workers(self) -> list[WorkerStandIn]:
        """:returns: all endpoints that there ever were."""
        return [e.worker for e in (*self.endpoints.values(), *self.gone)]

    async def _add_vm(self, name: str, hall: str) -> None:
        host, _, port = self.store.address.partition(":")
        link = Link((host, int(port)))
        await link.start()
        folder = Path(self.folder.name)
        names = ("callers", "ready", "metrics", "peers")
        ports = dict(zip(names, self.ports.take(len(names)), strict=True))
        sections = {n: {"address": f"{HOST}:{port}"} for n, port in ports.items()}
        plain = {
            "vm": {"name": name, "hall": hall},
            "store": {"address": f"{HOST}:{link.port}"},
            "promises": PROMISES,
            "log": {"format": "json", "events": True},
            **sections,
        }
        # Each VM has a way of its own to the store, and so another address of it.
        plain["peers"]["fleet"] = "soak"
        settings = folder / f"{name}.toml"
        settings.write_text(tomli_w.dumps(plain), encoding="utf-8")
        self.vms.append(Vm(name, settings, folder / f"{name}.log", ports, link))

    def keep_logs(self, folder: Path) -> None:
        """Copy the VMs' lines to where they outlast the soak."""
        folder.mkdir(parents=True, exist_ok=True)
        for vm in self.vms:
            shutil.copy(vm.log, folder)

    async def is_ready(self, vm: Vm) -> bool:
        """:returns: whether a VM would serve callers."""
        try:
            url = f"http://{HOST}:{vm.ports['ready']}/v1/ready"
            limit = aiohttp.ClientTimeout(total=1.0)
            async with self.session.get(url, timeout=limit) as answer:
                return answer.status == 200
        except (TimeoutError, OSError, aiohttp.ClientError):
            return False

    async def until_ready(self, vm: Vm) -> None:
        """Wait until a VM would serve callers."""
        async with asyncio.timeout(HANG_SECONDS):
            while not await self.is_ready(vm):
                if vm.has_ended() and not vm.ordered:
                    last = vm.log.read_text(encoding="utf-8")[-TOLD_BYTES:]
                    raise RuntimeError(f"{vm.name} ended as it started: {last}")
                await asyncio.sleep(POLL_SECONDS)

    async def replace_key(self) -> str:
        """Take a key away, and give another one out.

        :returns: the key that holds no longer.
        """
        own = self.keys["org-b"]
        taken = own.pop(0)
        own.append(f"key-b{self.version + 1}")
        self.former_keys.add(taken)
        await self.configure()
        return taken

    async def configure(self) -> None:
        """Have a newer configuration come into force."""
        self.version += 1
        spec = configuration(self.version, self.keys)
        await self.store.put("config", "main", spec)
