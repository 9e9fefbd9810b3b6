"""The store turns three of nine VMs away, and the others keep an old configuration."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parent.parent)]

import harness  # noqa: E402
from worker import Worker  # noqa: E402

HALLS = "abcabcabc"
# The share of the VMs that the store may turn away, and for how long.
TURNED_AWAY_SHARE, TURNED_AWAY_SECONDS = 0.35, 9.0
# Within so long a configuration has to be in force, and what an unstable store may add.
CONFIG_APPLY_SECONDS, OUTER_SECONDS = 2.0, 5.0
MARGIN_SECONDS = 0.3
ACQUAINTED_SECONDS = 8.0
COUNTED_SECONDS = 4.0
# By then the VMs that are turned away have noticed it.
NOTICED_SECONDS = 0.5
TAKEN, KEPT = "key-that-is-taken-away", "key-that-is-kept"


def configuration(version: int, keys: list[str]) -> dict[str, object]:
    """Return a configuration whose only tenant has some keys."""
    return {
        "version": version,
        "routes": [harness.route("plain", "unsafe", "app")],
        "services": [{"name": "app", "healthPath": "/healthz", "maxConns": 100}],
        "tenants": [{"name": "tenant-1", "apiKeys": keys}],
    }


async def play(deployment: harness.Deployment) -> int:
    """Play the case.

    :returns: the exit code.
    """
    record = deployment.record
    await deployment.start(HALLS)
    worker = Worker("i-worker-1", record.line, 0.0, framed=True)
    await worker.start()
    await deployment.store.put("config", "main", configuration(1, [TAKEN, KEPT]))
    await deployment.store.put("servers", worker.name, worker.entry("app"))
    await deployment.start_vms()
    await asyncio.sleep(ACQUAINTED_SECONDS)
    before = {vm.name: vm.view.calls["GET config watch"] for vm in deployment.vms}
    await asyncio.sleep(COUNTED_SECONDS)
    watching = [
        vm
        for vm in deployment.vms
        if vm.view.calls["GET config watch"] > before[vm.name]
    ]
    record.line(f"VMs that watch the store: {', '.join(vm.name for vm in watching)}")
    away = watching[: int(TURNED_AWAY_SHARE * len(HALLS))]
    others = [vm for vm in deployment.vms if vm not in away]
    began = time.monotonic()
    if harness.troubled():
        for vm in away:
            vm.view.turned_away = True
        record.line("the store turns these away (503), and serves the others")
    await asyncio.sleep(NOTICED_SECONDS)
    await deployment.store.put("config", "main", configuration(2, [KEPT]))
    acknowledged = time.monotonic()
    record.line(f"the store acknowledges version 2, without {TAKEN}")

    async def call(vm: harness.Vm, key: str) -> tuple[str, int]:
        request = f"{key}-at-{vm.name}"
        reader, writer = await asyncio.open_connection(vm.host, vm.ports["callers"])
        writer.write(
            harness.request_bytes(
                "POST", "/plain/a", request, b"body", Authorization=f"Bearer {key}"
            )
        )
        record.line(f"client sends {request}")
        answer = await harness.read_answer(reader)
        writer.close()
        record.line(f"client has {request}: {answer.status}")
        return request, answer.status

    in_force = CONFIG_APPLY_SECONDS + OUTER_SECONDS + MARGIN_SECONDS
    await asyncio.sleep(acknowledged + in_force - time.monotonic())
    after = time.monotonic() - acknowledged
    record.line(f"{after:.1f} s after that, at the VMs that are not turned away:")
    got = dict(await asyncio.gather(*(call(vm, TAKEN) for vm in others)))
    got |= dict(await asyncio.gather(*(call(vm, KEPT) for vm in others)))
    lasted = time.monotonic() - began
    for vm in away:
        vm.view.turned_away = False
    record.line(f"after {lasted:.1f} s the store serves all again")
    worker.stop()
    assert lasted < TURNED_AWAY_SECONDS
    ran = [request for request in got if TAKEN in request and request in worker.runs]
    if ran:
        record.line(f"CONFIG: {len(ran)} requests with {TAKEN} were run")
        return harness.BROKEN
    return harness.HELD


if __name__ == "__main__":
    harness.run(HERE, play)
