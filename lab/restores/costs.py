# Licensed under the Apache License 2.0: see LICENSE for details.

"""Calls to the store after a restore: ``python -m lab.restores.costs``.

Starts gateways in one process, with a store and the entries of endpoints, and restores
the store from a backup that lacks the entries of some VMs, some endpoints and the
status of an order.  Counted are the calls of the fleet in the ten seconds before and
after; those of operators and endpoints, which the stand-in carries out itself, are not.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter

import click

from standins.store import StoreStandIn
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.settings import GatewayOptions, Settings

ANYWHERE = "127.0.0.1:0"
HALLS = 3
SPAN_SECONDS = 10.0
# How long the store is away before it is restored.
AWAY_SECONDS = 0.5
# How often it is looked whether all VMs have followed, and for how long.
POLL_SECONDS = 0.05
HANG_SECONDS = 120.0
ENDPOINTS_A_VM = 2
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": "app.example",
            "pathPrefix": "/",
            "kind": "safe",
            "timeoutMs": 5000,
            "sloMs": 1000,
            "priority": 1,
            "service": "s",
            "attempts": 2,
            "public": True,
        }
    ],
    "services": [{"name": "s", "healthPath": "/healthz", "maxConns": 100}],
    "tenants": [],
}
ORDER = {"service": "s", "toVersion": "v2", "durationS": 60}
STATUS = {"state": "complete", "toVersion": "v2"}


class Fleet:
    """A store and some gateways.

    :param size: the number of gateways.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.store = StoreStandIn()
        self.gateways: list[GatewayDaemon] = []

    async def start(self) -> None:
        """Start the store and all gateways, and wait until they know each other."""
        await self.store.start()
        await self.store.put("config", "main", CONFIGURATION)
        await self.write_endpoints(range(self.size * ENDPOINTS_A_VM))
        for number in range(self.size):
            options = GatewayOptions.model_validate(
                {
                    "vm": {"name": f"vm-{number}", "hall": f"hall-{number % HALLS}"},
                    "callers": {"address": ANYWHERE},
                    "ready": {"address": ANYWHERE},
                    "metrics": {"address": ANYWHERE},
                    "peers": {"address": ANYWHERE},
                    "store": {"address": self.store.address},
                    "log": {"events": False},
                }
            )
            self.gateways.append(GatewayDaemon(Settings(options, {})))
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        await self.until(
            lambda: all(len(g.peers.known) == self.size for g in self.gateways)
        )

    async def write_endpoints(self, numbers: range) -> None:
        """Write the entries of endpoints."""
        for number in numbers:
            spec = {
                "service": "s",
                "address": f"127.0.0.1:{number + 1}",
                "zone": f"hall-{number % HALLS}",
                "version": "v1",
                "slots": 4,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": 1,
            }
            await self.store.put("servers", f"i-{number}", spec)

    async def until(self, condition) -> None:
        """Wait until something is so."""
        async with asyncio.timeout(HANG_SECONDS):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(POLL_SECONDS)

    async def restore(self, lost: int) -> float:
        """Restore the store without the entries of some VMs.

        :returns: the seconds until all VMs have followed and all entries are there.
        """
        backup = self.store.copy()
        for number in range(lost):
            backup.kinds["entry-vms"].pop(f"vm-{number}")
        backup.kinds["servers"].pop("i-0")
        backup.kinds["rollouts"] = {}
        self.store.refuse = 503
        await asyncio.sleep(AWAY_SECONDS)
        await self.store.restore(backup)
        self.store.refuse = None
        since = time.monotonic()
        await self.write_endpoints(range(1))
        await self.store.put("rollouts", "s", ORDER)
        await self.until(self.has_followed)
        return time.monotonic() - since

    def has_followed(self) -> bool:
        """Return whether all VMs know the restored store, and it has all again."""
        followers = [f for g in self.gateways for f in g.knowledge.followers()]
        status = self.store.kinds["rollouts"]["s"].status
        return (
            all(f.revision and f.revision.era == self.store.era for f in followers)
            and len(self.store.kinds["entry-vms"]) == self.size
            and status is not None
        )

    async def close(self) -> None:
        """Close everything."""
        await asyncio.gather(*(gateway.close() for gateway in self.gateways))
        await self.store.stop()


async def measure(size: int, lost: int) -> str:
    """Return a row of the table.

    :param size: the number of VMs.
    :param lost: how many of their entries the store loses.
    """
    fleet = Fleet(size)
    await fleet.start()
    await fleet.store.put("rollouts", "s", ORDER, STATUS)
    await asyncio.sleep(SPAN_SECONDS)
    before = await calls(fleet, asyncio.sleep(SPAN_SECONDS))
    took: list[float] = []

    async def restore() -> None:
        took.append(await fleet.restore(lost))
        await asyncio.sleep(max(0.0, SPAN_SECONDS - took[0]))

    after = await calls(fleet, restore())
    await fleet.close()
    kinds = ", ".join(f"{kind} {count}" for kind, count in sorted(after.items()))
    return (
        f"{size} VMs, {lost} entries lost: {before.total()} calls before, "
        f"{after.total()} after, followed in {took[0]:.1f} s ({kinds})"
    )


async def calls(fleet: Fleet, meanwhile) -> Counter[str]:
    """Count the calls of the fleet while something goes on."""
    begin = Counter(fleet.store.calls)
    await meanwhile
    return Counter(fleet.store.calls) - begin


@click.command()
@click.option("--sizes", default="6,61", show_default=True, help="VMs, with commas.")
def main(sizes: str) -> None:
    """Print the calls to the store around a restore."""
    for size in map(int, sizes.split(",")):
        click.echo(asyncio.run(measure(size, max(1, size // 10))))


if __name__ == "__main__":
    main()
