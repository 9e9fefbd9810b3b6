# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a claim adds to a call, and how soon a leaving endpoint is left alone.

``python -m lab.claims.cost`` prints both, measured over a fleet of three VMs.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from statistics import quantiles

from lab.capacity.overhead import KEY
from standins.fleet import Fleet
from walnutquay.state.process.keys import key_hash

CALLS = 600
LEAVING_RUNS = 5
VMS = {"vm-a1": "hall-a", "vm-a2": "hall-a", "vm-b1": "hall-b"}


def configuration(services: dict[str, str]) -> dict:
    """:param services: address of each service endpoint by name."""
    return {
        "organisations": [
            {"name": "lab", "keys": [key_hash(KEY)], "services": ["booking"]}
        ],
        "pools": [{"name": "apps", "work": "quick"}],
        "services": [{"name": "booking", "pool": "apps"}],
        "endpoints": [
            {
                "name": name,
                "pool": "apps",
                "hall": "hall-a",
                "address": url,
                "service": "booking",
            }
            for name, url in services.items()
        ],
    }


async def call(fleet: Fleet, vm: str, key: str = "") -> float:
    """Make one booking.

    :param fleet: the fleet.
    :param vm: through which VM.
    :param key: its idempotency key, if any.
    :returns: seconds.
    """
    headers = {"authorization": f"Bearer {KEY}"}
    if key:
        headers["idempotency-key"] = key
    url = fleet.vms[vm].url("callers") + "/services/booking/orders"
    start = time.perf_counter()
    async with fleet.session.post(url, data=b"{}", headers=headers) as answer:
        await answer.read()
        if answer.status != 200:
            raise RuntimeError(f"a booking failed: {answer.status}")
    return time.perf_counter() - start


async def claim_cost(fleet: Fleet) -> None:
    """Print the latency and the platform writes with and without a key."""
    vms = itertools.cycle(VMS)
    for keyed in (False, True):
        before = await fleet.control(fleet.platform, "calls")
        found = [
            await call(fleet, next(vms), f"key-{number}" if keyed else "")
            for number in range(CALLS)
        ]
        after = await fleet.control(fleet.platform, "calls")
        percent = quantiles(found, n=100)
        writes = after["write"] - before["write"]
        print(
            f"{'with' if keyed else 'without'} a key: p50 {percent[49] * 1e3:.2f} ms, "
            f"p99 {percent[98] * 1e3:.2f} ms, {writes / CALLS:.2f} platform writes a "
            f"call (bills' batches among them)"
        )


async def leaving_time(fleet: Fleet, url: str) -> float:
    """Tell an endpoint to leave, and see when the last new call reaches it.

    :param fleet: the fleet.
    :param url: the endpoint.
    :returns: seconds from its word to the last call that it was offered.
    """
    done = asyncio.Event()

    async def calls(vm: str) -> None:
        while not done.is_set():
            await call(fleet, vm)

    tasks = [asyncio.ensure_future(calls(vm)) for vm in VMS]
    await asyncio.sleep(1.0)
    await fleet.control(url, "leave", {})
    started = time.monotonic()
    last = 0.0
    refused = await offered(fleet, url)
    while time.monotonic() - started < 4.0:
        await asyncio.sleep(0.02)
        now = await offered(fleet, url)
        if now > refused:
            refused = now
            last = time.monotonic() - started
    done.set()
    await asyncio.gather(*tasks)
    return last


async def offered(fleet: Fleet, url: str) -> int:
    """:returns: the calls that an endpoint has refused since it is leaving."""
    return (await fleet.control(url, "effects"))["refused"]


async def main() -> None:
    """Measure both."""
    for run in range(LEAVING_RUNS):
        async with Fleet() as fleet:
            await fleet.start_platform()
            services = {
                name: await fleet.stand_in("service", name, name=name)
                for name in ("booking-1", "booking-2")
            }
            await asyncio.gather(*(fleet.start_vm(n, h) for n, h in VMS.items()))
            await fleet.wait_for_members()
            await fleet.apply(configuration(services))
            if not run:
                await claim_cost(fleet)
            seconds = await leaving_time(fleet, services["booking-1"])
            print(f"last call offered {seconds:.2f} s after the endpoint's own word")


if __name__ == "__main__":
    asyncio.run(main())
