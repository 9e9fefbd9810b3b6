# Licensed under the Apache License 2.0: see LICENSE for details.

"""Plays loads on six VMs and three endpoints: ``python -m lab.overload.replay``.

All run in this process, in real time.  A busy machine changes the figures: the load of
this process is printed with each table, and a figure counts only where it is well below
one processor.
"""

from __future__ import annotations

import asyncio
import itertools
import statistics
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import click

from lab.overload.callers import HOST, KEYS, Callers, Outcome, Tally, tally
from lab.overload.loads import LOADS, URGENCIES, Arrival, Bounds, Load
from standins.slots import WorkSlots
from standins.store import StoreStandIn
from standins.worker import WorkerStandIn
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.settings import GatewayOptions, Settings

ANYWHERE = "127.0.0.1:0"
POLL_SECONDS = 0.02
HANG_SECONDS = 30.0
MILLISECONDS = 1000
ATTEMPTS = 2
HEADER = (
    "load, callers, asked, could be, in time, served, held, failed, refused, "
    "refused after (median, 95 in 100), returned, of them served"
)


def catalogue(bounds: Bounds) -> dict[str, Any]:
    """Return a configuration with a route of each urgency, and two organisations."""
    return {
        "version": 1,
        "routes": [
            {
                "name": f"u{urgency}",
                "host": HOST,
                "pathPrefix": f"/u{urgency}/",
                "kind": "safe",
                "timeoutMs": round(bounds.deadline * MILLISECONDS),
                "sloMs": round(bounds.aim * MILLISECONDS),
                "priority": urgency,
                "service": "s",
                "attempts": ATTEMPTS,
                "public": False,
            }
            for urgency in URGENCIES
        ],
        "services": [{"name": "s", "healthPath": "/healthz", "maxConns": 1000}],
        "limits": {"maxBodyBytes": 100_000},
        "tenants": [{"name": name, "apiKeys": [key]} for name, key in KEYS.items()],
    }


class Fleet:
    """A store, VMs that know each other, and endpoints with slots.

    :param bounds: what the endpoints bear.
    :param vms: the number of VMs.
    :param settings: sections of the VMs' settings that are not as usual.
    """

    def __init__(
        self, bounds: Bounds, vms: int, settings: Mapping[str, Any] | None = None
    ) -> None:
        self.bounds = bounds
        self.vms = vms
        self.settings = settings or {}
        self.store = StoreStandIn()
        self.endpoints: list[WorkerStandIn] = []
        self.gateways: list[GatewayDaemon] = []

    async def start(self) -> None:
        """Start everything, and wait until all VMs know all."""
        await self.store.start()
        await self.store.put("config", "main", catalogue(self.bounds))
        for number in range(self.bounds.endpoints):
            endpoint = WorkerStandIn(f"e{number}")
            endpoint.slots = WorkSlots(
                self.bounds.slots,
                self.bounds.queue,
                self.bounds.work,
                self.bounds.spread,
                seed=number,
            )
            self.endpoints.append(endpoint)
            await endpoint.start()
            spec = endpoint.spec("s", slots=self.bounds.slots)
            await self.store.put("servers", endpoint.name, spec)
        self.gateways = [self._gateway(number) for number in range(self.vms)]
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        async with asyncio.timeout(HANG_SECONDS):
            while not self.is_ready():  # noqa: ASYNC110
                await asyncio.sleep(POLL_SECONDS)

    def _gateway(self, number: int) -> GatewayDaemon:
        options = GatewayOptions.model_validate(
            {
                "vm": {"name": f"vm-{number}", "hall": "hall-a"},
                "callers": {"address": ANYWHERE},
                "ready": {"address": ANYWHERE},
                "metrics": {"address": ANYWHERE},
                "peers": {"address": ANYWHERE},
                "store": {"address": self.store.address},
                "log": {"events": False},
                **self.settings,
            }
        )
        return GatewayDaemon(Settings(options, {}))

    def is_ready(self) -> bool:
        """Return whether all VMs know each other and all endpoints."""
        return all(
            len(gateway.peers.known) == self.vms
            and gateway.knowledge.ready
            and len(gateway.knowledge.instances.registry.known) == len(self.endpoints)
            for gateway in self.gateways
        )

    @property
    def ports(self) -> list[int]:
        """Where the VMs serve callers."""
        return [gateway.api.server.port for gateway in self.gateways]

    def came(self) -> set[str]:
        """Return the ids of all requests that any endpoint was sent."""
        return {
            name
            for endpoint in self.endpoints
            if endpoint.slots is not None
            for name in endpoint.slots.came
        }

    async def slow_in_turn(self, seconds: float, slowness: float) -> None:
        """Make one endpoint after another slow, each for some seconds, for ever."""
        for endpoint in itertools.cycle(self.endpoints):
            assert endpoint.slots is not None
            endpoint.slots.pace = slowness
            try:
                await asyncio.sleep(seconds)
            finally:
                endpoint.slots.pace = 1.0

    async def play(self, load: Load, scale: float, seed: int) -> list[Outcome]:
        """Play a load, and return what became of its callers."""
        callers = Callers(self.ports, self.bounds, seed)
        playing = callers.play(load, scale, seed)
        if not load.slow_seconds:
            return await playing
        seconds = load.slow_seconds * scale
        slowing = asyncio.create_task(self.slow_in_turn(seconds, load.slowness))
        try:
            return await playing
        finally:
            slowing.cancel()

    async def close(self) -> None:
        """Close everything."""
        await asyncio.gather(*(gateway.close() for gateway in self.gateways))
        for endpoint in self.endpoints:
            await endpoint.stop()
        await self.store.stop()


def groups(load: Load) -> dict[str, Callable[[Arrival], bool]]:
    """Return the groups of callers whose outcomes are shown."""
    found: dict[str, Callable[[Arrival], bool]] = {"all": lambda _: True}
    for urgency in URGENCIES:
        found[f"urgency {urgency}"] = lambda one, rank=urgency: one.urgency == rank
    for name in load.organisations:
        found[name] = lambda one, name=name: one.organisation == name
    if len(load.phases) > 1:
        for place in range(len(load.phases)):
            found[f"phase {place}"] = lambda one, place=place: one.phase == place
    return found


def row(label: str, counted: Tally, could: int | None) -> str:
    """Return a row of the table."""
    refused = counted.refused
    soon = "-"
    if refused:
        last = refused[int(len(refused) * 0.95)]
        soon = f"{statistics.median(refused):.3f} and {last:.3f} s"
    asked = max(counted.asked, 1)
    return (
        f"{label}, {counted.asked}, {'-' if could is None else could}, "
        f"{counted.in_time}, {counted.served} ({counted.served / asked:.2f}), "
        f"{counted.held} ({counted.held / asked:.2f}), {counted.failed}, "
        f"{len(refused)}, {soon}, {counted.returned}, {counted.returned_served}"
    )


def table(
    name: str, load: Load, outcomes: Sequence[Outcome], bounds: Bounds, scale: float
) -> list[str]:
    """Return the rows of a load."""
    rows = []
    for label, within in groups(load).items():
        counted = tally(outcomes, bounds, within)
        seconds = {
            "all": sum(phase.seconds for phase in load.phases),
            **{f"phase {n}": phase.seconds for n, phase in enumerate(load.phases)},
        }.get(label)
        could = None
        if seconds is not None:
            could = min(counted.asked, round(load.bears(bounds) * seconds * scale))
        rows.append(row(f"{name}, {label}", counted, could))
    return rows


async def replay(
    name: str, scale: float, vms: int, seed: int, settings: Mapping[str, Any]
) -> list[str]:
    """Play a load, and return its rows."""
    bounds = Bounds().scaled(scale)
    fleet = Fleet(bounds, vms, settings)
    await fleet.start()
    begin = time.monotonic(), time.process_time()
    outcomes = await fleet.play(LOADS[name], scale, seed)
    elapsed = time.monotonic() - begin[0]
    processor = (time.process_time() - begin[1]) / elapsed
    came = fleet.came()
    refused = [one.tries[0].request for one in outcomes if one.refused]
    unsent = sum(request not in came for request in refused)
    await fleet.close()
    return [
        *table(name, LOADS[name], outcomes, bounds, scale),
        f"{name}: refused before an endpoint was sent the request {unsent} of "
        f"{len(refused)}; {processor:.2f} of a processor",
    ]


@click.command()
@click.option("--load", "names", multiple=True, type=click.Choice(list(LOADS)))
@click.option("--scale", default=1.0, show_default=True, help="Makes times longer.")
@click.option("--vms", default=6, show_default=True, help="Entry VMs.")
@click.option("--seed", default=1, show_default=True, help="Of all chance.")
@click.option("--share-slots", default="paced", show_default=True)
def main(
    names: Sequence[str], scale: float, vms: int, seed: int, share_slots: str
) -> None:
    """Print what became of callers under loads; all loads unless some are named."""
    click.echo(HEADER)
    settings = {"overload": {"share_slots": share_slots}}
    for name in names or LOADS:
        for line in asyncio.run(replay(name, scale, vms, seed, settings)):
            click.echo(line)


if __name__ == "__main__":
    main()
