# Licensed under the Apache License 2.0: see LICENSE for details.

"""Added latency and requests a second of an entry VM against a pass-through.

``python -m lab.capacity.overhead [ROUNDS]`` runs both by turns in one run and prints
the ratio. The entry VM has a second VM beside it, which keeps copies of its bills.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path
from statistics import median

from standins.fleet import Fleet, Process
from walnutquay.state.process.keys import key_hash

KEY = "key-of-the-lab"
SECONDS = 4.0
# Load processes, and requests that each keeps under way.
BUSY = (3, 16)
IDLE = (1, 1)


def content(engines: list[str]) -> dict:
    """:param engines: where they listen.

    :returns: a configuration of one version on all engines.
    """
    return {
        "organisations": [
            {"name": "lab", "keys": [key_hash(KEY)], "versions": ["small-1"]}
        ],
        "versions": [{"name": "small-1", "model": "small", "price_output": 1.0}],
        "pools": [{"name": "models", "work": "patient"}],
        "endpoints": [
            {
                "name": f"engine-{number}",
                "pool": "models",
                "hall": "hall-a",
                "address": url,
                "versions": ["small-1"],
                "slots": 64,
            }
            for number, url in enumerate(engines)
        ],
    }


def cpu_seconds(pid: int) -> float:
    """:param pid: a process.

    :returns: the processor time that it has used.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure(
    process: Process, processes: int, connections: int
) -> dict[str, float]:
    """Load a server from several processes.

    :param process: the server.
    :param processes: load processes.
    :param connections: requests that each keeps under way.
    """
    target = f"http://127.0.0.1:{process.ports['callers']}/v1/chat/completions"
    used = cpu_seconds(process.handle.pid)
    arguments = ("-m", "lab.capacity.load", target, KEY, str(connections), str(SECONDS))
    handles = [
        await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdout=asyncio.subprocess.PIPE
        )
        for _ in range(processes)
    ]
    outputs = [(await handle.communicate())[0] for handle in handles]
    results = [json.loads(output) for output in outputs]
    if any(result["failed"] for result in results):
        raise RuntimeError(f"requests failed: {results}")
    rate = sum(result["rate"] for result in results)
    used = cpu_seconds(process.handle.pid) - used
    return {
        "rate": rate,
        "cpu_us": used / (rate * SECONDS) * 1e6,
        "p50_ms": median(result["p50_ms"] for result in results),
        "p99_ms": max(result["p99_ms"] for result in results),
    }


def row_text(name: str, busy: dict[str, float], idle: dict[str, float]) -> str:
    """:param name: what was measured.

    :param busy: under load.
    :param idle: one request at a time.
    """
    return (
        f"{name:<6} {busy['rate']:8.0f}/s busy, {busy['cpu_us']:.0f} us each, "
        f"p50 {busy['p50_ms']:.2f} p99 {busy['p99_ms']:.2f} ms;  one by one "
        f"p50 {idle['p50_ms']:.2f} p99 {idle['p99_ms']:.2f} ms"
    )


async def run(rounds: int) -> None:
    """Measure both by turns.

    :param rounds: how often.
    """
    async with Fleet() as fleet:
        await fleet.start_platform()
        engines = []
        for number in range(2):
            process = await fleet.start_process(
                f"e{number}", "-m", "lab.capacity.fastengine"
            )
            engines.append(f"http://127.0.0.1:{process.ports['http']}")
        bare = await fleet.start_process(
            "bare", "-m", "lab.capacity.passthrough", *engines
        )
        entry = await fleet.start_vm("vm-a1", "hall-a")
        await fleet.start_vm("vm-a2", "hall-a")
        await fleet.wait_for_members()
        await fleet.apply(content(engines))
        servers = {"bare": bare, "entry": entry.process}
        ratios = []
        cpu_ratios = []
        for _ in range(rounds):
            row = {}
            for name, process in servers.items():
                busy = await measure(process, *BUSY)
                idle = await measure(process, *IDLE)
                row[name] = (busy, idle)
                print(row_text(name, busy, idle))
            ratios.append(row["entry"][0]["rate"] / row["bare"][0]["rate"])
            bare_row, entry_row = row["bare"], row["entry"]
            cpu_ratios.append(bare_row[0]["cpu_us"] / entry_row[0]["cpu_us"])
        print(f"ratio of rates, median of {rounds}: {median(ratios):.2f}")
        print(f"ratio of processor time: {median(cpu_ratios):.2f}")


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]) if len(sys.argv) > 1 else 3))
