# Licensed under the Apache License 2.0: see LICENSE for details.

"""Starts a small fleet as processes on the loopback, for demo, tests and lab."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Any

import aiohttp
import tomli_w

from standins.link import Link
from standins.processes import HOST, Process, Vm
from walnutquay.state.process.keys import key_hash

OPERATOR_TOKEN = "operator-token-of-the-stand-in-fleet"
FLEET_KEY = "fleet-key-of-the-stand-in-fleet"
START_SECONDS = 30.0
STOP_SECONDS = 15.0
# A wait that lasts so long will never end; it bounds hangs and measures nothing.
HANG_SECONDS = 60.0
# Timeout for querying each VM's status and metrics after a failed wait.
DESCRIBE_SECONDS = 5.0
# Between two tries of what was refused for now.
RETRY_SECONDS = 0.2


@dataclass
class Fleet:
    """A platform, endpoints and entry VMs, each a process of its own.

    Use it as a context manager; it ends what it has started.
    """

    vms: dict[str, Vm] = field(default_factory=dict)
    processes: dict[str, Process] = field(default_factory=dict)
    listed_endpoints: list[dict] = field(default_factory=list)
    # Links between data halls, by the hall they lead from and the VM they lead
    # to; VMs of one hall know those of others by these.
    cuttable: bool = False
    links: dict[tuple[str, str], Link] = field(default_factory=dict)
    platform: str = ""
    # VMs start at the same time; each list must go out whole before the next
    # one is written, or an older one may come last.
    publishing: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def __aenter__(self) -> Fleet:
        self.folder = tempfile.TemporaryDirectory(prefix="walnutquay-")
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.stop_all()
        for link in self.links.values():
            link.stop()
        await self.session.close()
        self.folder.cleanup()

    # Processes.

    async def start_process(self, name: str, *arguments: str) -> Process:
        """Start a process and wait until it announces its ports.

        :param name: its name here.
        :param arguments: what to run, after the interpreter.
        """
        log = open(Path(self.folder.name) / f"{name}.log", "ab")  # noqa: ASYNC230, SIM115
        handle = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        log.close()
        assert handle.stdout is not None
        async with asyncio.timeout(START_SECONDS):
            line = await handle.stdout.readline()
        if not line:
            raise RuntimeError(f"{name} did not start:\n{self.log_of(name)}")
        process = Process(name, handle, json.loads(line)["ready"])
        self.processes[name] = process
        return process

    def log_of(self, name: str) -> str:
        """:param name: a process's name.

        :returns: what it has logged.
        """
        path = Path(self.folder.name) / f"{name}.log"
        return path.read_text(errors="replace")

    async def stop_process(
        self, process: Process, number: signal.Signals = signal.SIGTERM
    ) -> int:
        """Stop a process and wait for its end.

        :param process: the process.
        :param number: the signal to stop it by.
        :returns: its exit code.
        """
        process.signal(signal.SIGCONT)
        process.signal(number)
        try:
            async with asyncio.timeout(STOP_SECONDS):
                return await process.handle.wait()
        except TimeoutError:
            process.signal(signal.SIGKILL)
            return await process.handle.wait()

    async def stop_all(self) -> None:
        """Stop everything, entry VMs first."""
        entries = [vm.process for vm in self.vms.values() if vm.process]
        await asyncio.gather(*(self.stop_process(p) for p in entries))
        rest = [p for p in self.processes.values() if p.running]
        await asyncio.gather(*(self.stop_process(p) for p in rest))

    # Stand-ins.

    async def stand_in(self, kind: str, name: str, /, **options: Any) -> str:
        """Start a stand-in.

        :param kind: which.
        :param name: its name here.
        :param options: its options.
        :returns: where it listens.
        """
        process = await self.start_process(
            name, "-m", "standins", kind, "--options", json.dumps(options)
        )
        return f"http://{HOST}:{process.ports['http']}"

    async def start_platform(self, **options: Any) -> None:
        """Start the platform and the rater."""
        self.platform, self.rater = await asyncio.gather(
            self.stand_in("platform", "platform", **options),
            self.stand_in("rater", "rater"),
        )

    async def control(self, url: str, path: str, body: Any = None) -> Any:
        """Use a stand-in's control path.

        :param url: where the stand-in listens.
        :param path: behind ``/_control/``.
        :param body: what to post; None gets.
        """
        method = "GET" if body is None else "POST"
        target = f"{url}/_control/{path}"
        async with self.session.request(method, target, json=body) as answer:
            return await answer.json()

    # Entry VMs.

    def settings_of(self, vm: Vm) -> dict[str, Any]:
        """:param vm: an entry VM.

        :returns: its settings.
        """
        return {
            "vm": {"name": vm.name, "hall": vm.hall},
            "callers": {"host": HOST, "port": 0},
            "administration": {
                "host": HOST,
                "port": 0,
                "token_hash": key_hash(OPERATOR_TOKEN),
            },
            "peers": {"host": HOST, "port": 0, "heartbeat_seconds": 0.25},
            "fleet": {"keys": [FLEET_KEY]},
            "platform": {
                "url": self.platform,
                "vm_list_url": f"{self.platform}/vms",
                "list_seconds": 0.5,
            },
            "rater": {"url": f"{self.rater}/rate"},
            "stop": {"balancer_seconds": 0.5},
        }

    async def start_vm(
        self, name: str, hall: str, changes: dict[str, dict] | None = None
    ) -> Vm:
        """Start an entry VM and put it on the list.

        :param name: its name.
        :param hall: its data hall.
        :param changes: settings that differ, by section.
        """
        vm = self.vms.setdefault(name, Vm(name, hall))
        settings = self.settings_of(vm)
        for section, values in (changes or {}).items():
            settings.setdefault(section, {}).update(values)
        vm.settings = Path(self.folder.name) / f"{name}.toml"
        vm.settings.write_text(tomli_w.dumps(settings))
        arguments = ("-m", "walnutquay", "entry", "--settings", str(vm.settings))
        vm.process = await self.start_process(name, *arguments)
        await self.publish_vms()
        return vm

    async def publish_vms(self, lag: float = 0.0) -> None:
        """Set the platform's list of VMs.

        :param lag: seconds until it is shown.
        """
        async with self.publishing:
            await self._publish(lag)

    async def _publish(self, lag: float) -> None:
        entries = [
            {
                "name": vm.name,
                "kind": "entry",
                "host": HOST,
                "port": vm.process.ports["peers"],
                "hall": vm.hall,
                "leaving": False,
            }
            for vm in self.vms.values()
            if vm.process is not None and vm.process.running
        ]
        body = {
            "vms": [] if self.cuttable else entries + self.listed_endpoints,
            "lag": lag,
            "views": await self._views(entries) if self.cuttable else {},
        }
        async with self.session.put(
            f"{self.platform}/_control/vms", json=body
        ) as answer:
            answer.raise_for_status()

    async def _views(self, entries: list[dict]) -> dict[str, list[dict]]:
        """Write the list as each VM sees it, other halls' VMs behind links."""
        views = {}
        for viewer in entries:
            hall = viewer["hall"]
            seen = []
            for entry in entries:
                port = entry["port"]
                if entry["hall"] != hall:
                    port = await self._link(hall, entry["name"], port)
                seen.append({**entry, "port": port})
            views[viewer["name"]] = seen + self.listed_endpoints
        return views

    async def _link(self, hall: str, name: str, port: int) -> int:
        link = self.links.get((hall, name))
        if link is None:
            link = self.links[hall, name] = Link((HOST, port))
            await link.start()
        link.target = (HOST, port)
        return link.port

    def cut(self, hall: str, cut: bool = True, loss: float = 0.0) -> None:
        """Cut a data hall off from all others, or heal it.

        :param hall: the data hall.
        :param cut: whether nothing passes.
        :param loss: share of datagrams that are lost where it is not cut.
        """
        for (source, name), link in self.links.items():
            if hall in (source, self.vms[name].hall):
                link.set_cut(cut)
                link.loss = loss

    async def cut_platform(self, *names: str) -> None:
        """Cut VMs off from the platform and its list; none heals all.

        :param names: the VMs.
        """
        faults = {"cut": list(names), "cut_list": list(names)}
        await self.control(self.platform, "faults", faults)

    # Operators.

    async def administer(
        self, vm: Vm, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Call a VM's administration API.

        :param vm: the VM.
        :param method: the HTTP method.
        :param path: the path.
        :param body: what to send.
        :returns: the status and the answer.
        """
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = vm.url("administration") + path
        async with self.session.request(
            method, url, json=body, headers=headers
        ) as answer:
            return answer.status, await answer.json()

    async def apply(self, content: dict[str, Any], vm: Vm | None = None) -> int:
        """Apply a configuration and wait until each VM has it in force.

        :param content: the parts to set.
        :param vm: through which VM; the first if None.
        :returns: the revision.
        """
        through = vm or next(iter(self.vms.values()))
        body = {"content": content}
        async with asyncio.timeout(HANG_SECONDS):
            while True:
                status, answer = await self.administer(
                    through, "PUT", "/v1/configuration", body
                )
                # Nothing was changed: on a busy machine the store is reached late.
                if status != HTTPStatus.SERVICE_UNAVAILABLE:
                    break
                await asyncio.sleep(RETRY_SECONDS)
        if status != HTTPStatus.OK:
            raise RuntimeError(f"not accepted ({status}): {answer}")
        await self.wait_for_revision(answer["revision"])
        return answer["revision"]

    async def wait_for_members(self) -> None:
        """Wait until each running VM hears each other, and has it on its list.

        :raises RuntimeError: saying what is missing, if it does not come about.
        """
        running = [vm for vm in self.vms.values() if vm.process and vm.process.running]
        wanted = {vm.name for vm in running}
        for vm in running:
            await self._wait(
                vm, lambda status, vm=vm: _hears(status, wanted - {vm.name})
            )

    async def wait_for_revision(self, revision: int) -> None:
        """Wait until each running VM has a revision in force.

        :param revision: the revision.
        :raises RuntimeError: saying what is missing, if it does not come about.
        """
        for vm in self.vms.values():
            if vm.process is not None and vm.process.running:
                await self._wait(vm, lambda status: status["revision"] >= revision)

    async def _wait(self, vm: Vm, holds: Callable[[dict[str, Any]], bool]) -> None:
        """Wait until a VM's status is as it should be."""
        status: dict[str, Any] = {}
        try:
            async with asyncio.timeout(HANG_SECONDS):
                while not status or not holds(status):
                    await asyncio.sleep(0.05)
                    _, status = await self.administer(vm, "GET", "/v1/status")
        except TimeoutError as error:
            members, revision = status.get("members"), status.get("revision")
            details = "\n".join([await self._describe(vm) for vm in self.vms.values()])
            raise RuntimeError(
                f"{vm.name} has revision {revision} and members {members}\n{details}"
            ) from error

    async def _describe(self, vm: Vm) -> str:
        """Describe the members a VM knows and its peer traffic counters."""
        if vm.process is None or not vm.process.running:
            return f"{vm.name} is not running"
        try:
            async with asyncio.timeout(DESCRIBE_SECONDS):
                _, status = await self.administer(vm, "GET", "/v1/status")
                _, metrics = await self.administer(vm, "GET", "/v1/metrics")
        except (TimeoutError, aiohttp.ClientError) as error:
            return f"{vm.name} did not respond: {error!r}"
        counters = metrics["counters"]
        traffic = {
            name: count for name, count in counters.items() if name.startswith("peer_")
        }
        return f"{vm.name}: members {status['members']}, {traffic}"


def _hears(status: dict[str, Any], names: set[str]) -> bool:
    """Tell whether a VM hears others and has them on its list."""
    heard = {
        member["vm"]
        for member in status["members"]
        if member["state"] == "alive" and member["listed"]
    }
    return names <= heard
