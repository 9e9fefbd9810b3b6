# Licensed under the Apache License 2.0: see LICENSE for details.

"""Processor time of VMs that get no requests: ``python -m lab.capacity.restcost``.

Some VMs of a large fleet run in this process, with a store; the others are names in
their lists.  The store's own time is counted too: one VM asks it, the others ask that.
"""

from __future__ import annotations

import asyncio
import logging
import time

import click
import uvloop

from standins.store import StoreStandIn
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.settings import GatewayOptions, Settings
from walnutquay.state.fleet.membership import Address, VmLocation
from walnutquay.state.process.ids import HallName, VmName

ANYWHERE = "127.0.0.1:0"
HALLS = 4
# Nobody listens there.
ELSEWHERE = Address("127.0.0.1", 9)
SETTLE_SECONDS = 3.0
SECONDS = 10.0
MILLISECONDS = 1e3


def _vm(number: int, store: StoreStandIn) -> GatewayDaemon:
    options = {
        "vm": {"name": f"vm-{number}", "hall": "hall-0"},
        "callers": {"address": ANYWHERE},
        "ready": {"address": ANYWHERE},
        "metrics": {"address": ANYWHERE},
        "peers": {"address": ANYWHERE},
        "store": {"address": store.address},
    }
    return GatewayDaemon(Settings(GatewayOptions.model_validate(options), {}))


async def measure(running: int, vms: int) -> float:
    """:param running: VMs that run here, all in one data hall.

    :param vms: VMs of the fleet.
    :returns: processor time that each takes in a second; seconds.
    """
    store = StoreStandIn()
    await store.start()
    await store.put("config", "main", {"version": 1, "routes": [], "services": []})
    daemons = [_vm(number, store) for number in range(running)]
    for daemon in daemons:
        await daemon.start()
    known = {d.context.vm: VmLocation(d.peers.own, d.context.hall) for d in daemons}
    for number in range(running, vms):
        hall = HallName(f"hall-{1 + number % (HALLS - 1)}")
        known[VmName(f"vm-{number}")] = VmLocation(ELSEWHERE, hall)
    for daemon in daemons:
        daemon.peers.known = dict(known)
    await asyncio.sleep(SETTLE_SECONDS)
    began = time.process_time()
    await asyncio.sleep(SECONDS)
    used = time.process_time() - began
    for daemon in daemons:
        await daemon.close()
    await store.stop()
    return used / running / SECONDS


@click.command()
@click.option("--running", default=12, help="VMs that run.")
@click.option("--vms", default=91, help="VMs of the fleet.")
def main(running: int, vms: int) -> None:
    """Print the processor time of a VM that gets no requests."""
    logging.disable()
    used = uvloop.run(measure(running, vms))
    click.echo(f"{used * MILLISECONDS:.1f} ms a VM and second at rest")


if __name__ == "__main__":
    main()
