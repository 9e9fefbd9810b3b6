"""What the scripts of the review share: the platform, entry VMs and callers.

Entry VMs are real processes, started with the command of the deploy file and with
settings like those that ``deploy/settings.toml`` gives a small deployment.  The store
is the project's own stand-in.  All addresses are of the loopback.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from standins.store import StoreStandIn

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
# A wait that lasts so long will never end.
HANG_SECONDS = 30.0
POLL_SECONDS = 0.05
HEAD_END = b"\r\n\r\n"
# What a script tells by its exit code.
HELD, BROKEN, NOT_RUN = 0, 1, 2


def troubled() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the seconds since the start.

    :param path: the file.
    """

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def line(self, text: str) -> None:
        """:param text: what has happened."""
        seconds = time.monotonic() - self.began
        self.file.write(f"{seconds:8.3f}  {text}\n")
        self.file.flush()


def held_port(host: str = "127.0.0.1") -> tuple[int, socket.socket]:
    """Return a port at which nothing listens, and the socket that holds it."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((host, 0))
    return held.getsockname()[1], held


def common_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free at several addresses, for streams and datagrams."""
    found: list[int] = []
    while len(found) < count:
        port, held = held_port(hosts[0])
        held.close()
        if port not in found and all(_is_free(host, port) for host in hosts):
            found.append(port)
    return found


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class StoreView:
    """The store as one machine reaches it.

    A machine whose way to a worker is cut finds nothing at the worker's address.  On
    one host all machines share the loopback, so that machine is told another address.
    It has to be the only one of its zone: machines of a zone tell each other what they
    have read in the store.

    :param store: the store.
    """

    def __init__(self, store: StoreStandIn) -> None:
        self.store = store
        self.moved: dict[bytes, bytes] = {}
        # Whether the store turns this machine away, and its calls by what they were.
        self.turned_away = False
        self.calls: Counter[str] = Counter()
        self.app = web.Application()
        self.app.router.add_route("*", "/v1/objects/{path:.+}", self._handle)
        self.runner: web.AppRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen."""
        self.runner = web.AppRunner(self.app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self.runner.addresses[0][1]}"

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        kind = request.match_info["path"].partition("/")[0]
        watch = " watch" if "watch" in request.query else ""
        self.calls[f"{request.method} {kind}{watch}"] += 1
        if self.turned_away:
            return web.Response(status=503)
        answer = await self.store.handle(request)
        if self.turned_away:
            # A watch that had begun before ends like the others.
            return web.Response(status=503)
        if isinstance(answer, web.Response) and isinstance(answer.body, bytes):
            body = answer.body
            for address, other in self.moved.items():
                body = body.replace(address, other)
            answer.body = body
        return answer

    async def stop(self) -> None:
        """Close everything."""
        if self.runner is not None:
            await self.runner.cleanup()


@dataclass
class Vm:
    """One entry VM.

    :param name: its name.
    :param host: its address.
    :param ports: where it listens, by what is served there.
    :param view: its way to the store.
    """

    name: str
    host: str
    ports: dict[str, int]
    view: StoreView
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """The id of its process."""
        assert self.process is not None
        return self.process.pid

    async def start(self) -> None:
        """Start its process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        program, *words = deploy["roles"]["entry"]["run"].split()
        assert program == "python3"
        with self.log.open("ab") as file:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *words,
                cwd=ROOT,
                stdout=file,
                stderr=file,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(DEPS),
                    "WALNUTQUAY_SETTINGS": str(self.settings),
                },
            )

    async def is_ready(self) -> bool:
        """Ask as the balancer does whether it takes callers."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ports["ready"]
            )
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            async with asyncio.timeout(1.0):
                line = await reader.readline()
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def until_ready(self) -> None:
        """Wait until it takes callers."""
        async with asyncio.timeout(HANG_SECONDS):
            while not await self.is_ready():  # noqa: ASYNC110
                await asyncio.sleep(POLL_SECONDS)

    async def end(self, number: signal.Signals = signal.SIGKILL) -> None:
        """End its process, and wait until it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()


@dataclass
class Deployment:
    """A small deployment: a store, entry VMs, and whatever a script adds.

    :param record: what has happened.
    """

    record: Record
    folder: Path
    store: StoreStandIn = field(default_factory=StoreStandIn)
    vms: list[Vm] = field(default_factory=list)

    async def start(self, halls: str) -> None:
        """Start the store, and prepare entry VMs.

        :param halls: the letter of the zone of each.
        """
        await self.store.start()
        hosts = [f"127.0.0.{11 + number}" for number in range(len(halls))]
        kinds = ("callers", "ready", "control", "peers", "metrics")
        ports = dict(zip(kinds, common_ports(hosts, len(kinds)), strict=True))
        seeds = ",".join(f"{host}:{ports['control']}" for host in hosts[:3])
        for number, host in enumerate(hosts):
            view = StoreView(self.store)
            await view.start()
            names = [f"hall-{letter}" for letter in sorted(set(halls))]
            hall = f"hall-{halls[number]}"
            name = f"front-{hall}-{halls[: number + 1].count(halls[number])}"
            settings = self.folder / f"{name}.toml"
            plain = _settings(name, hall, host, ports, seeds, view.address)
            regions = "".join(f'"{one}" = "region-a"\n' for one in names)
            settings.write_text(plain.replace("REGIONS", regions))
            log = self.folder / f"{name}.log"
            self.vms.append(Vm(name, host, ports, view, settings, log))

    async def start_vms(self) -> None:
        """Start the processes of all entry VMs, and wait until they take callers."""
        await asyncio.gather(*(vm.start() for vm in self.vms))
        await asyncio.gather(*(vm.until_ready() for vm in self.vms))
        for vm in self.vms:
            self.record.line(f"{vm.name} is ready")

    async def stop(self) -> None:
        """End everything that was started."""
        for vm in self.vms:
            await vm.end()
            await vm.view.stop()
        await self.store.stop()


def _settings(
    name: str, hall: str, host: str, ports: dict[str, int], seeds: str, store: str
) -> str:
    """Return the settings of a VM, as the template of the deploy file gives them.

    Only ``fleet`` stands there besides: by it VMs know each other although each has a
    way of its own to the store.
    """
    return f"""
[vm]
name = "{name}"
hall = "{hall}"
region = "region-a"

[vm.regions]
REGIONS
[callers]
address = "{host}:{ports["callers"]}"

[ready]
address = "{host}:{ports["ready"]}"

[metrics]
address = "{host}:{ports["metrics"]}"

[peers]
address = "{host}:{ports["peers"]}"
seeds = "{seeds}"
first_start = true
fleet = "review"

[store]
address = "{store}"

[promises]
config_seconds = 2000e-3
drain_seconds = 2000e-3
stop_seconds = 8
retry_share = 0.9
retry_seconds = 10
retry_extra = 54
trial_share = 0.15
trial_extra = 30
withdraw_seconds = 5000e-3
session_seconds = 5

[overload]
rules = ["base","drain","config","cost","retry","recover","engine","stream","tenants",
"platform","rollout"]

[log]
format = "json"
events = true
"""


def route(name: str, kind: str, service: str, **more: object) -> dict[str, object]:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": "app.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 20000,
        "sloMs": 2000,
        "priority": 1,
        "service": service,
        "attempts": 2 if kind == "safe" else 1,
        **more,
    }


@dataclass
class Answer:
    """An answer as its caller has read it.

    :param status: its status; 0 if there is none.
    :param headers: its headers, by their names in lower case.
    :param body: what came of its body.
    :param whole: whether it ended as its framing says.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer strictly."""
    answer = Answer()
    try:
        head = (await reader.readuntil(HEAD_END)).decode("latin-1")
        first, *lines = head.split("\r\n")[:-2]
        answer.status = int(first.split()[1])
        for line in lines:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while size := int(await reader.readuntil(b"\r\n"), 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        elif "content-length" in answer.headers:
            left = int(answer.headers["content-length"])
            while left:
                part = await reader.read(left)
                if not part:
                    return answer
                answer.body += part
                left -= len(part)
        else:
            answer.body = await reader.read()
        answer.whole = True
    except (OSError, EOFError):
        answer.whole = False
    return answer


def request_bytes(
    method: str, path: str, request: str, body: bytes = b"", **headers: str
) -> bytes:
    """Write a request as clients do."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: app.example",
        f"Request-Id: {request}",
        "Deadline: 15000",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def until(condition: Callable[[], bool]) -> None:
    """Wait until something holds.

    :param condition: tells.
    """
    async with asyncio.timeout(HANG_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)


def run(case: Path, main: Callable[[Deployment], Awaitable[int]]) -> None:
    """Play a case, and end this process with what came of it.

    :param case: the folder of the case.
    :param main: plays it; gets the deployment, and returns an exit code.
    """

    async def play() -> int:
        with tempfile.TemporaryDirectory(prefix="walnutquay-review-") as name:
            deployment = Deployment(Record(case / "record.txt"), Path(name))
            try:
                async with asyncio.timeout(100.0):
                    return await main(deployment)
            finally:
                await deployment.stop()

    try:
        code = asyncio.run(play())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        code = NOT_RUN
    sys.exit(code)
