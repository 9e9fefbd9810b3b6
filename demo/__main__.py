# Licensed under the Apache License 2.0: see LICENSE for details.

"""Starts a small fleet, replays a recorded trace, and prints what came of it."""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from demo.configuration import QUALITY, configuration, key_of
from standins.fleet import Fleet
from walnutquay.commands.administer import timeline_text
from walnutquay.replay.player import Player
from walnutquay.replay.report import ReplayResult, report_text
from walnutquay.replay.traces import read_trace
from walnutquay.state.own.bills import decode_records

TRACE = Path(__file__).with_name("trace.jsonl")
VMS = {"vm-a1": "hall-a", "vm-a2": "hall-a", "vm-b1": "hall-b"}
ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
SERVICES = {"library-1": "library", "library-2": "library", "tariff-1": "tariff"}
SHOWN_SESSION = "desk-north-agent-1"
CALLERS_KEY = key_of("{organisation}")


async def start(fleet: Fleet) -> dict[str, str]:
    """Start everything and put the configuration in force.

    :param fleet: the fleet to start.
    :returns: address of each service endpoint by name.
    """
    await fleet.start_platform()
    engines = {
        name: await fleet.stand_in(
            "engine", name, name=name, versions=QUALITY, seed=index
        )
        for index, name in enumerate(ENGINES)
    }
    services = {
        name: await fleet.stand_in("service", name, name=name) for name in SERVICES
    }
    for name, hall in VMS.items():
        await fleet.start_vm(name, hall)
    content = configuration(
        engines, {name: (SERVICES[name], url) for name, url in services.items()}
    )
    revision = await fleet.apply(content)
    print(f"{len(VMS)} entry VMs run; revision {revision} is in force on each")
    return services


async def bills(fleet: Fleet) -> Counter[str]:
    """Count the bill records that the platform holds, by request.

    :param fleet: the fleet, its entry VMs stopped.
    """
    objects = await fleet.control(fleet.platform, "snapshot?prefix=bills/")
    found: Counter[str] = Counter()
    for _, value in objects.values():
        for record in decode_records(value.encode("latin-1")):
            found[record.request] += 1
    return found


async def bookings(fleet: Fleet, services: dict[str, str]) -> Counter[str]:
    """Count the bookings that were run, by idempotency key.

    :param fleet: the fleet.
    :param services: address of each service endpoint by name.
    """
    found: Counter[str] = Counter()
    for url in services.values():
        effects = (await fleet.control(url, "effects"))["effects"]
        found.update(key for _, _, key, _ in effects if key)
    return found


async def session_events(fleet: Fleet) -> list[dict[str, Any]]:
    """Merge the events of one session over all VMs.

    :param fleet: the fleet.
    """
    path = f"/v1/timeline?session={SHOWN_SESSION}"
    events = []
    for vm in fleet.vms.values():
        _, found = await fleet.administer(vm, "GET", path)
        events.extend(found)
    return sorted(events, key=lambda event: event["at"])


def check(
    result: ReplayResult, billed: Counter[str], booked: Counter[str]
) -> list[str]:
    """Judge what the trace's stated outcomes do not say by themselves.

    :param result: the replay.
    :param billed: bill records by request.
    :param booked: bookings run by key.
    :returns: what did not hold.
    """
    wrong = []
    answered = {
        played.headers["x-walnutquay-request"]
        for played in result.played
        if played.status == 200
    }
    if set(billed) != answered:
        wrong.append(f"{len(answered)} requests answered, {len(billed)} billed")
    wrong.extend(f"{r} is billed {n} times" for r, n in billed.items() if n != 1)
    wrong.extend(f"{key} was run {n} times" for key, n in booked.items() if n != 1)
    sessions: dict[tuple[str, str], set[str]] = {}
    for played in result.played:
        version = played.headers.get("x-walnutquay-version", "")
        if played.request.session and version:
            key = (played.request.session, version.split("-")[0])
            sessions.setdefault(key, set()).add(version)
    wrong.extend(
        f"session {session} changed its version of {model}: {sorted(versions)}"
        for (session, model), versions in sessions.items()
        if len(versions) > 1
    )
    return wrong


async def run() -> int:
    """Run the demo.

    :returns: the exit code: 0 if every stated outcome held.
    """
    async with Fleet() as fleet:
        services = await start(fleet)
        trace = read_trace(TRACE)
        addresses = [vm.url("callers") for vm in fleet.vms.values()]
        print(f"replaying {len(trace)} requests of {TRACE.name} ...")
        result = await Player(addresses, CALLERS_KEY).play(trace)
        events = await session_events(fleet)
        booked = await bookings(fleet, services)
        codes = [await fleet.stop_process(vm.process) for vm in fleet.vms.values()]
        billed = await bills(fleet)
        objects = await fleet.control(fleet.platform, "snapshot?prefix=bills/")
        calls = await fleet.control(fleet.platform, "calls")
    print()
    print(report_text(result.plain()))
    print(cost_text(objects))
    print(f"platform calls: {json.dumps(calls)}")
    print(f"\ntime line of session {SHOWN_SESSION}:")
    print(timeline_text(events))
    wrong = check(result, billed, booked)
    if any(codes):
        wrong.append(f"entry VMs ended with {codes}")
    print()
    for line in wrong:
        print(f"DID NOT HOLD: {line}")
    if wrong or result.violations:
        return 1
    print("all held: each request billed once, each booking run once, each session")
    print("on its version, each stated outcome as stated, each VM stopped as planned")
    return 0


def cost_text(objects: dict[str, Any]) -> str:
    """:param objects: the platform's bill objects.

    :returns: what each organisation pays.
    """
    costs: dict[str, float] = {}
    for _, value in objects.values():
        for record in decode_records(value.encode("latin-1")):
            cost = sum(line.cost for line in record.lines)
            costs[record.organisation] = costs.get(record.organisation, 0.0) + cost
    rows = [f"  {name:<20}{cost:>10.4f}" for name, cost in sorted(costs.items())]
    return "\n".join(["cost by organisation:", *rows])


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
