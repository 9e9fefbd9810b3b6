# Licensed under the Apache License 2.0: see LICENSE for details.

"""Measures how the cost of an entry VM grows, for docs/CAPACITY.md.

``python -m lab.capacity.slopes [NAME ...]`` varies one size at a time, four values
each, fits a line to each cost, and writes all rows to lab/capacity/slopes.json; with
names, only those experiments are run anew.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from statistics import correlation, linear_regression
from typing import Any

from lab.capacity.overhead import KEY, content, cpu_seconds
from standins.fleet import HOST, Fleet, Process, Vm

OUTPUT = Path(__file__).with_name("slopes.json")
SECONDS = 5.0
SETTLE = 2.0
PEERS = (8, 80, 320, 640)
REPORTS = (0, 4, 8, 16)
ENDPOINTS = (10, 200, 1700, 6800)
RATES = (25, 50, 100, 200)
STREAMS = (5, 10, 20, 40)
CHANGES = (1, 2, 4, 8)
TALLY_ROWS = (0, 4, 8, 16)
HEARTBEAT = 1.0
PAGE = 4096


def memory(process: Process) -> float:
    """:param process: a process.

    :returns: its resident memory in MB.
    """
    text = Path(f"/proc/{process.handle.pid}/statm").read_text()
    return int(text.split()[1]) * PAGE / 1e6


async def sample(fleet: Fleet, vm: Vm) -> dict[str, float]:
    """:param fleet: the fleet.

    :param vm: an entry VM.
    :returns: its counters of now.
    """
    assert vm.process is not None
    _, metrics = await fleet.administer(vm, "GET", "/v1/metrics")
    counters = metrics["counters"]
    return {
        "cpu": cpu_seconds(vm.process.handle.pid),
        "bytes_out": counters.get("peer_bytes_out", 0),
        "bytes_in": counters.get("peer_bytes_in", 0),
        "messages_out": counters.get("peer_datagrams_out", 0),
        "messages_in": counters.get("peer_datagrams_in", 0),
        "platform_reads": counters.get("platform_get", 0),
        "platform_writes": counters.get("platform_put", 0),
    }


async def costs(
    fleet: Fleet, vm: Vm, work: Callable[[], Awaitable[Any]] | None = None
) -> dict[str, float]:
    """Measure a VM's costs for some seconds.

    :param fleet: the fleet.
    :param vm: the VM.
    :param work: what is done meanwhile.
    :returns: rates a second, and memory in MB.
    """
    await asyncio.sleep(SETTLE)
    before = await sample(fleet, vm)
    clock = asyncio.get_running_loop().time
    start = clock()
    if work is not None:
        await work()
    left = SECONDS - (clock() - start)
    if left > 0:
        await asyncio.sleep(left)
    after = await sample(fleet, vm)
    spent = clock() - start
    found = {name: (after[name] - before[name]) / spent for name in after}
    assert vm.process is not None
    found["memory_mb"] = memory(vm.process)
    return found


async def start_engines(fleet: Fleet, kind: str) -> list[str]:
    """Start two engines.

    :param fleet: the fleet.
    :param kind: ``fast`` answers at once; ``stream`` streams 64 tokens.
    """
    if kind == "fast":
        found = []
        for number in range(2):
            process = await fleet.start_process(
                f"e{number}", "-m", "lab.capacity.fastengine"
            )
            found.append(f"http://{HOST}:{process.ports['http']}")
        return found
    return [
        await fleet.stand_in(
            "engine",
            f"e{number}",
            name=f"e{number}",
            versions={"small-1": 0.9},
            slots=64,
            step=0.01,
            tokens=64,
        )
        for number in range(2)
    ]


async def load(vm: Vm, rate: float, kind: str) -> None:
    """Send requests at a rate.

    :param vm: where to.
    :param rate: requests a second.
    :param kind: ``stream`` or ``whole``.
    """
    url = f"{vm.url('callers')}/v1/chat/completions"
    arguments = (
        "-m",
        "lab.capacity.streamload",
        url,
        KEY,
        str(rate),
        kind,
        str(SECONDS),
    )
    handle = await asyncio.create_subprocess_exec(
        sys.executable, *arguments, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await handle.communicate()
    if json.loads(output)["failed"]:
        raise RuntimeError(f"requests failed at {rate}/s: {output.decode()}")


async def by_peers(count: int, rows: int = 0) -> dict[str, float]:
    """:param count: other entry VMs, simulated by one process.

    :param rows: counts of outcomes that they tell each second.
    """
    async with Fleet() as fleet:
        await fleet.start_platform()
        changes = {"peers": {"heartbeat_seconds": HEARTBEAT}}
        vm = await fleet.start_vm("vm-a1", "hall-0", changes)
        await fleet.apply(content([]))
        assert vm.process is not None
        port = str(vm.process.ports["peers"])
        fake = await fleet.start_process(
            "peers",
            "-m",
            "lab.capacity.fakepeers",
            str(count),
            port,
            str(HEARTBEAT),
            str(rows),
        )
        fleet.listed_endpoints = [
            {
                "name": f"fake-{number:04d}",
                "kind": "entry",
                "host": HOST,
                "port": fake.ports["peers"],
                "leaving": False,
            }
            for number in range(count)
        ]
        await fleet.publish_vms()
        return await costs(fleet, vm)


async def by_endpoints(count: int) -> dict[str, float]:
    """:param count: endpoints that are configured; two of them answer."""
    async with Fleet() as fleet:
        await fleet.start_platform()
        vm = await fleet.start_vm("vm-a1", "hall-a")
        await fleet.start_vm("vm-a2", "hall-a")
        await fleet.wait_for_members()
        engines = await start_engines(fleet, "fast")
        addresses = [engines[number % 2] for number in range(count)]
        await fleet.apply(content(addresses))
        return await costs(fleet, vm, lambda: load(vm, 50, "whole"))


async def by_reports(count: int) -> dict[str, float]:
    """:param count: endpoints that are asked for reports, with no other work."""
    async with Fleet() as fleet:
        await fleet.start_platform()
        changes = {"peers": {"heartbeat_seconds": HEARTBEAT}}
        vm = await fleet.start_vm("vm-a1", "hall-a", changes)
        engines = await start_engines(fleet, "fast")
        await fleet.apply(content([engines[number % 2] for number in range(count)]))
        return await costs(fleet, vm)


async def by_load(rate: int, kind: str) -> dict[str, float]:
    """Load a VM that has a peer for copies of its bills.

    :param rate: requests a second.
    :param kind: ``whole`` answers, or ``stream`` for streams of 64 tokens.
    """
    async with Fleet() as fleet:
        await fleet.start_platform()
        vm = await fleet.start_vm("vm-a1", "hall-a")
        await fleet.start_vm("vm-a2", "hall-a")
        await fleet.wait_for_members()
        engines = await start_engines(fleet, "fast" if kind == "whole" else kind)
        await fleet.apply(content(engines))
        return await costs(fleet, vm, lambda: load(vm, rate, kind))


async def by_changes(count: int) -> dict[str, float]:
    """:param count: changes of configuration in the time of a measurement."""
    async with Fleet() as fleet:
        await fleet.start_platform()
        vm = await fleet.start_vm("vm-a1", "hall-a")
        other = await fleet.start_vm("vm-a2", "hall-a")
        await fleet.wait_for_members()
        base = content(await start_engines(fleet, "fast"))
        await fleet.apply(base)

        async def change() -> None:
            for number in range(count):
                base["pools"][0]["queue_length"] = 10 + number
                await fleet.apply({"pools": base["pools"]}, other)

        return await costs(fleet, vm, change)


EXPERIMENTS: dict[str, tuple[tuple[int, ...], Callable]] = {
    "peers": (PEERS, by_peers),
    "reports": (REPORTS, by_reports),
    "endpoints": (ENDPOINTS, by_endpoints),
    "requests": (RATES, partial(by_load, kind="whole")),
    "streams": (STREAMS, partial(by_load, kind="stream")),
    "changes": (CHANGES, by_changes),
    "tallies": (TALLY_ROWS, partial(by_peers, PEERS[-1])),
}


def fit(sizes: tuple[int, ...], values: list[float]) -> dict[str, float]:
    """Fit a line.

    :param sizes: the sizes.
    :param values: the cost at each.
    :returns: slope, intercept, and the largest residual.
    """
    slope, intercept = linear_regression(sizes, values)
    residuals = [
        abs(v - slope * s - intercept) for s, v in zip(sizes, values, strict=True)
    ]
    flat = len(set(values)) == 1
    return {
        "slope": slope,
        "intercept": intercept,
        "residual": max(residuals),
        "correlation": 0.0 if flat else correlation(sizes, values),
    }


async def run(name: str) -> dict[str, Any]:
    """:param name: an experiment.

    :returns: its rows and fits.
    """
    sizes, experiment = EXPERIMENTS[name]
    rows = []
    for size in sizes:
        row = await experiment(size)
        rows.append({"size": size, **row})
        shown = "  ".join(f"{k} {v:.4g}" for k, v in row.items())
        print(f"{name} {size}: {shown}", flush=True)
    columns = [key for key in rows[0] if key != "size"]
    fits = {c: fit(sizes, [row[c] for row in rows]) for c in columns}
    return {"rows": rows, "fits": fits}


def main() -> None:
    """Run experiments and write what they found."""
    names = sys.argv[1:] or list(EXPERIMENTS)
    found = json.loads(OUTPUT.read_text()) if sys.argv[1:] else {}
    for name in names:
        found[name] = asyncio.run(run(name))
    OUTPUT.write_text(json.dumps(found, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
