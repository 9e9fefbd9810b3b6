# Licensed under the Apache License 2.0: see LICENSE for details.

"""What the scripts of the second review share: entry VMs as the deploy file runs them.

The store is the project's stand-in, in the script's own process, and so are clients and
workers.  Each entry VM is a process of its own, on a loopback address of its own.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
START_SECONDS = 20.0
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
PORTS = {"front": 18227, "ready": 18220, "control": 18229}
PORT_RANGE = [17340, 17355]
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchupS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "backMs": 250,
    "outerMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudget": 0.9,
    "budgetWindowS": 10,
    "budgetExtra": 54,
    "exposeShare": 0.15,
    "exposeSlack": 30,
    "rollbackMs": 5000,
    "recoverS": 12,
    "passMs": 120,
    "retryAfterS": 7.9,
    "sessionS": 5,
}
CONTRACTS = (
    "base drain config cost retry recover engine stream tenants platform rollout"
)
GAP = re.compile(r"\{\{([#^/]?)([^{}|]+)(\|json)?\}\}")


class Record:
    """Writes ``record.txt`` in the folder of a case.

    :param folder: the folder.
    """

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.say(f"TROUBLE={'1' if TROUBLE else '0'}")

    def say(self, text: str) -> None:
        """:param text: what happened."""
        line = f"{time.monotonic() - self.began:9.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def result(self, broken: bool, text: str) -> int:
        """:returns: the exit code of the case."""
        self.say(("BROKEN: " if broken else "HELD: ") + text)
        print(("BROKEN: " if broken else "HELD: ") + text)
        return BROKEN if broken else HELD


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fill the gaps of a template as the platform does, as far as ours uses them."""
    scopes: list[Any] = [fields]

    def find(name: str) -> Any:
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit():
                    value = value[int(part)] if int(part) < len(value) else None
                else:
                    value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def put(name: str, as_json: bool, key: Any, more: bool) -> str:
        if name == "@":
            return str(key)
        if name == ",":
            return "," if more else ""
        value = find(name)
        if as_json:
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    def part(text: str, key: Any = None, more: bool = False) -> str:
        done, at = [], 0
        while (gap := GAP.search(text, at)) is not None:
            done.append(text[at : gap.start()])
            kind, name, at = gap[1], gap[2], gap.end()
            if not kind:
                done.append(put(name, bool(gap[3]), key, more))
                continue
            end = text.index("{{/" + name + "}}", at)
            inner, at = text[at:end], end + len(name) + 5
            value = find(name)
            entries: list[tuple[Any, Any]] = []
            if isinstance(value, dict):
                entries = list(value.items())
            elif isinstance(value, list):
                entries = list(enumerate(value))
            elif value is not None and value is not False:
                entries = [(None, value)]
            for number, (one, entry) in enumerate(entries):
                scopes.append(entry)
                done.append(part(inner, one, number + 1 < len(entries)))
                scopes.pop()
        return "".join([*done, text[at:]])

    return part(template)


@dataclass
class Vm:
    """An entry VM.

    :param name: its name.
    :param ip: its loopback address.
    :param zone: its zone.
    :param settings: its settings file.
    :param log: where its lines go.
    :param process: its process; None before it is started.
    """

    name: str
    ip: str
    zone: str
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def port(self) -> int:
        """Where clients connect."""
        return PORTS["front"]

    def signal(self, number: signal.Signals) -> None:
        """:param number: a signal for its process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Stage:
    """Starts entry VMs with the command of the deploy file, and ends them.

    :param store: ``IP:port`` of the store.
    :param zones: the zone of each VM, by its name.
    :param memory_mb: the memory of a VM.
    """

    def __init__(self, store: str, zones: dict[str, str], memory_mb: int = 150) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="walnutquay-review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        self.command = role["run"].split()
        self.template = (ROOT / role["template"]).read_text()
        self.store = store
        self.memory_mb = memory_mb
        self.vms: dict[str, Vm] = {}
        for number, (name, zone) in enumerate(zones.items()):
            # Scripts that run at the same time do not meet.
            ip = f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250}.{number + 10}"
            settings = self.folder / f"{name}.conf"
            log = self.folder / f"{name}.log"
            self.vms[name] = Vm(name, ip, zone, settings, log)
        self.zones = zones

    def write_settings(self, vm: Vm, first: bool) -> None:
        """Fill the template for a VM."""
        ips = [one.ip for one in self.vms.values()]
        listen = {name: f"{vm.ip}:{port}" for name, port in PORTS.items()}
        fields = {
            "node": vm.name,
            "ip": vm.ip,
            "zone": vm.zone,
            "region": "bac-bo",
            "zones": dict.fromkeys(self.zones.values(), "bac-bo"),
            "listen": listen,
            "portRange": PORT_RANGE,
            "seeds": [f"{ip}:{PORTS['control']}" for ip in ips[:3]],
            "bootstrap": first,
            "limits": {"memoryMb": self.memory_mb, "maxFds": 4100},
            "contracts": CONTRACTS.split(),
            "bounds": BOUNDS,
            "provider": {"address": self.store},
        }
        vm.settings.write_text(fill(self.template, fields))

    async def start(self, vm: Vm, first: bool = False) -> None:
        """Start a VM's process, as the platform does."""
        self.write_settings(vm, first)
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["WALNUTQUAY_SETTINGS"] = str(vm.settings)
        command = [sys.executable, *self.command[1:]]
        with vm.log.open("ab") as log:
            vm.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def start_all(self) -> None:
        """Start all VMs, and wait until they are ready."""
        for vm in self.vms.values():
            await self.start(vm, first=True)
        for vm in self.vms.values():
            await self.ready(vm)

    async def ready(self, vm: Vm, seconds: float = START_SECONDS) -> None:
        """Wait until a VM says that it is ready."""
        end = time.monotonic() + seconds
        while not await is_ready(vm):
            if time.monotonic() > end:
                raise RuntimeError(f"{vm.name} does not get ready")
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """End all processes that were started."""
        for vm in self.vms.values():
            vm.signal(signal.SIGCONT)
            vm.signal(signal.SIGKILL)
        for vm in self.vms.values():
            if vm.process is not None:
                await vm.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def is_ready(vm: Vm) -> bool:
    """:returns: whether a VM answers the platform's question with 200."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(vm.ip, PORTS["ready"])
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """:returns: a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 5000,
        "sloMs": 1000,
        "priority": 1,
        "attempts": 2,
        "public": False,
        **more,
    }


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """:returns: a configuration as the operator writes it."""
    services = sorted({one["service"] for one in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 100}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }
