# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests without a key run under a tenant that a new configuration brings in."""

from __future__ import annotations

import asyncio
import secrets
import sys
from pathlib import Path

import stage
from client import Got, read_answer

from standins.store import StoreStandIn
from standins.worker import WorkerStandIn

ZONES = {
    "front-hall-dinhvu-1": "hall-dinhvu",
    "front-hall-lachhuyen-1": "hall-lachhuyen",
    "front-hall-hanoi-1": "hall-hanoi",
}
# The new tenant of the second configuration, and its key, which no client here has.
NEW_TENANT, NEW_KEY = "public", "k7w0zq3nfm5u2xh9d1ra"
REQUESTS_OF_VM = 10
# `configApplyMs` after the acknowledgement, and a margin.
APPLY_SECONDS = 2.5


async def call(vm: stage.Vm, path: str, *more: str) -> tuple[str, Got]:
    """Send one request without a key.

    :returns: its id, and what came.
    """
    request = secrets.token_hex(8)
    lines = [
        f"GET {path} HTTP/1.1",
        f"Host: {stage.HOST}",
        f"Request-Id: {request}",
        "Deadline: 3000",
        *more,
    ]
    got = Got()
    reader, writer = await asyncio.open_connection(vm.ip, vm.port)
    try:
        writer.write("\r\n".join([*lines, "", ""]).encode())
        await read_answer(reader, got)
    finally:
        writer.close()
    return request, got


async def play(record: stage.Record) -> int:
    """:returns: the exit code."""
    store = StoreStandIn(writes=400, reads=2000, era=0)
    await store.start()
    stand = stage.Stage(store.address, ZONES)
    worker = WorkerStandIn("i-7f3a91c2")
    tenants = [{"name": stage.TENANT, "apiKeys": [stage.KEY]}]
    routes = [
        stage.route("puxa403", "unsafe", "tariff-api", attempts=1),
        stage.route("cufi504", "safe", "tariff-api", public=True),
    ]
    asked: dict[str, str] = {}
    try:
        await worker.start()
        entry = worker.spec("tariff-api", zone="hall-hanoi")
        await store.put("servers", worker.name, entry)
        first = stage.configuration(2, routes)
        await store.put("config", "main", first)
        await stand.start_all()
        if stage.TROUBLE:
            tenants.append({"name": NEW_TENANT, "apiKeys": [NEW_KEY]})
            second = {**first, "version": 5, "tenants": tenants}
            await store.put("config", "main", second)
            record.say(f"version 5 is acknowledged; it brings in tenant {NEW_TENANT!r}")
        await asyncio.sleep(APPLY_SECONDS)
        for vm in stand.vms.values():
            for _ in range(REQUESTS_OF_VM):
                request, got = await call(vm, "/cufi504/2f")
                asked[request] = vm.name
                record.say(f"{request} without a key to {vm.name}: {got.status}")
    finally:
        await stand.stop()
        await worker.stop()
        await store.stop()
    names = {one["name"] for one in tenants}
    wrong = []
    for seen in worker.runs:
        tenant = seen.headers.get("tenant")
        record.say(f"{seen.headers['request-id']} runs, Tenant: {tenant}")
        if seen.headers["request-id"] in asked and tenant in names:
            wrong.append(seen.headers["request-id"])
    text = (
        f"{len(wrong)} of {len(asked)} requests without a key ran under a tenant of "
        "the configuration"
    )
    return record.result(bool(wrong), text)


def main() -> int:
    """:returns: the exit code."""
    record = stage.Record(Path(__file__).parent)
    try:
        return asyncio.run(play(record))
    except Exception as error:
        record.say(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return stage.COULD_NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
