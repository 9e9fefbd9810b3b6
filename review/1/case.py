"""A VM is killed while it forwards answers that end with their connections."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parent.parent)]

import harness  # noqa: E402
from worker import Worker  # noqa: E402

# The zones of the machines.  The last machine has a zone of its own, see StoreView.
HALLS = "aaabbbc"
WORKERS = 5
# Of each kind; a fifth of them goes to the worker that one VM does not reach.
REQUESTS = 20
# Between two requests: a VM first has to learn who forwards for it.
INTERVAL_SECONDS = 0.015
PART_SECONDS = 0.25
KILL_AFTER_SECONDS = 0.3
# How a VM logs that it forwards a connection.
TUNNEL_OPENED = '"kind":"tunnel-opened"'
# By then all VMs know the workers.
LISTED_SECONDS = 1.0
# By then VMs that have just started know each other.
ACQUAINTED_SECONDS = 5.0


def forwarded(vm: harness.Vm) -> int:
    """Return how many connections a VM has forwarded for others, by its log."""
    return vm.log.read_text("utf-8").count(TUNNEL_OPENED)


async def play(deployment: harness.Deployment) -> int:
    """Play the case.

    :returns: the exit code.
    """
    record = deployment.record
    trouble = harness.troubled()
    await deployment.start(HALLS)
    *others, near = deployment.vms
    workers = [
        Worker(f"i-worker-{one}", record.line, PART_SECONDS)
        for one in range(1, WORKERS + 1)
    ]
    configuration = {
        "version": 1,
        "routes": [
            harness.route("plain", "unsafe", "app"),
            harness.route("safe", "safe", "app"),
            harness.route("stream", "stream", "app", gapAimMs=1200),
        ],
        "services": [{"name": "app", "healthPath": "/healthz", "maxConns": 100}],
    }
    await deployment.store.put("config", "main", configuration)
    await deployment.start_vms()
    await asyncio.sleep(ACQUAINTED_SECONDS)
    for worker in workers:
        await worker.start()
    lost = workers[0]
    port, held = harness.held_port()
    if trouble:
        # The way from this VM to the worker is cut, and answers with a reset.
        near.view.moved[lost.address.encode()] = f"127.0.0.1:{port}".encode()
        record.line(f"{near.name} has no way to {lost.name}")
    for worker in workers:
        await deployment.store.put("servers", worker.name, worker.entry("app"))
    await asyncio.sleep(LISTED_SECONDS)

    async def call(kind: str, number: int) -> tuple[str, harness.Answer]:
        request = f"{kind}-{number}"
        reader, writer = await asyncio.open_connection(near.host, near.ports["callers"])
        writer.write(harness.request_bytes("POST", f"/{kind}/a", request, b"body"))
        record.line(f"client sends {request} to {near.name}")
        answer = await harness.read_answer(reader)
        record.line(
            f"client has {request}: status {answer.status}, {len(answer.body)} bytes, "
            f"{'whole' if answer.whole else 'broken off'}, "
            f"seal {answer.headers.get('reply-seal')}"
        )
        writer.close()
        return request, answer

    calls = []
    for number in range(REQUESTS):
        for kind in ("plain", "safe", "stream"):
            calls.append(asyncio.ensure_future(call(kind, number)))
            await asyncio.sleep(INTERVAL_SECONDS)
    await harness.until(
        lambda: sum(len(worker.under_way) for worker in workers) == len(calls)
    )
    if trouble:
        await asyncio.sleep(KILL_AFTER_SECONDS)
        helper = max(others, key=forwarded)
        record.line(f"{helper.name}, which forwards {forwarded(helper)}, is killed")
        await helper.end(signal.SIGKILL)
    answers = dict(await asyncio.gather(*calls))
    held.close()
    bodies: dict[str, bytes] = {}
    for worker in workers:
        worker.stop()
        bodies |= worker.bodies
    broken = False
    for request, answer in answers.items():
        sent = bodies[request]
        if 200 <= answer.status < 300 and answer.whole and answer.body != sent:
            broken = True
            record.line(
                f"MIXED: {request} got a whole {answer.status} with "
                f"{len(answer.body)} of the {len(sent)} bytes of the worker's answer"
            )
    return harness.BROKEN if broken else harness.HELD


if __name__ == "__main__":
    harness.run(HERE, play)
