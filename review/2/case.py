"""A tenant sends more large requests than usual, and its VM runs out of memory."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parent.parent)]

import harness  # noqa: E402
from worker import Worker  # noqa: E402

# Of the deployment's sheet and site file: what a VM may take, and a client may send.
MEMORY_MB = 150
MAX_BODY_BYTES = 4_194_304
# Large requests that the tenant sends, one after the other: usually, and while it is
# hot, which is 7.5 times as many.
USUAL, HOT = 4, 30
# From the begin of one to that of the next, so that they take a sixth of the machine's
# link.
INTERVAL_SECONDS = 0.2
# Requests of others that are under way meanwhile, on connections that are kept.
KEPT = 6
# A VM that cuts more of them breaks the rule.
CUTS_ALLOWED = 3
WORK_PART_SECONDS = 1.2
ACQUAINTED_SECONDS = 3.0
PLATFORM_LOOKS_SECONDS = 0.01
TOLD_MB = 20.0
KEY = "key-of-the-tenant"


def own_memory_mb(pid: int) -> float:
    """Return what a process has allocated, without files that are only mapped."""
    for line in Path(f"/proc/{pid}/status").read_text("ascii").splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def limit_memory(vm: harness.Vm, record: harness.Record) -> None:
    """End a process that goes over its memory, as the platform does."""
    told = 0.0
    while True:
        await asyncio.sleep(PLATFORM_LOOKS_SECONDS)
        used = own_memory_mb(vm.pid)
        if used > told + TOLD_MB:
            told = used
            record.line(f"{vm.name} uses {used:.0f} MB")
        if used > MEMORY_MB:
            record.line(f"the platform ends {vm.name}: {used:.0f} of {MEMORY_MB} MB")
            await vm.end(signal.SIGKILL)
            return


async def play(deployment: harness.Deployment) -> int:
    """Play the case.

    :returns: the exit code.
    """
    record = deployment.record
    count = HOT if harness.troubled() else USUAL
    await deployment.start("a")
    (vm,) = deployment.vms
    worker = Worker(
        "i-worker-1", record.line, WORK_PART_SECONDS, framed=True, paused="/plain/slow"
    )
    await worker.start()
    configuration = {
        "version": 1,
        "routes": [harness.route("plain", "unsafe", "app")],
        "services": [{"name": "app", "healthPath": "/healthz", "maxConns": 100}],
        "tenants": [
            {"name": "tenant-1", "apiKeys": [KEY]},
            {"name": "tenant-2", "apiKeys": [f"other-{KEY}"]},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    await deployment.store.put("config", "main", configuration)
    await deployment.store.put("servers", worker.name, worker.entry("app"))
    await deployment.start_vms()
    await asyncio.sleep(ACQUAINTED_SECONDS)
    record.line(f"{vm.name} uses {own_memory_mb(vm.pid):.0f} MB at rest")
    platform = asyncio.ensure_future(limit_memory(vm, record))

    async def exchange(
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        path: str,
        request: str,
        body: bytes,
        key: str,
    ) -> harness.Answer:
        reader, writer = streams
        data = harness.request_bytes(
            "POST", path, request, body, Authorization=f"Bearer {key}"
        )
        record.line(f"client sends {request} with a body of {len(body)} bytes")
        try:
            writer.write(data)
            await writer.drain()
        except OSError:
            return harness.Answer()
        answer = await harness.read_answer(reader)
        closed = "" if answer.whole else ", the connection was closed"
        record.line(f"client has {request}: status {answer.status or 'none'}{closed}")
        return answer

    async def kept(number: int) -> harness.Answer:
        """Send a second request on a connection."""
        streams = await asyncio.open_connection(vm.host, vm.ports["callers"])
        name, key = f"kept-{number}", f"other-{KEY}"
        first = await exchange(streams, "/plain/a", f"{name}-first", b"body", key)
        assert first.status == 200, first
        answer = await exchange(streams, "/plain/slow", name, b"body", key)
        streams[1].close()
        return answer

    calls = [asyncio.ensure_future(kept(number)) for number in range(KEPT)]
    names = [f"kept-{number}" for number in range(KEPT)]
    await harness.until(lambda: set(names) <= worker.under_way)
    record.line(f"the hot tenant sends {count} large requests, one after the other")
    began = time.monotonic()
    for number in range(count):
        due = began + number * INTERVAL_SECONDS
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        try:
            streams = await asyncio.open_connection(vm.host, vm.ports["callers"])
        except OSError:
            record.line(f"no connection for large-{number}")
            break
        name = f"large-{number}"
        await exchange(streams, "/plain/a", name, b"." * MAX_BODY_BYTES, KEY)
        streams[1].close()
    answers = await asyncio.gather(*calls)
    platform.cancel()
    worker.stop()
    cut = [
        name
        for name, answer in zip(names, answers, strict=True)
        if worker.runs.get(name) and not answer.whole
    ]
    record.line(f"requests of kept connections that ran and got no answer: {len(cut)}")
    if len(cut) > CUTS_ALLOWED:
        record.line(f"LOST: {', '.join(cut)}")
        return harness.BROKEN
    return harness.HELD


if __name__ == "__main__":
    harness.run(HERE, play)
