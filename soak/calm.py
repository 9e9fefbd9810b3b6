# Licensed under the Apache License 2.0: see LICENSE for details.

"""What must hold when all faults of a soak are over: each promise tried once more."""

from __future__ import annotations

import asyncio
import time

from soak.callers import Callers, Kind, Sent
from soak.fleet import CONTACT_SECONDS, HANG_SECONDS, PROMISES, Endpoint, SoakFleet
from soak.judge import CRASHES_OF_PART
from soak.overload import Overload, unheard
from standins.worker import WorkerStandIn
from walnutquay.state.requests.attribution import CRASHES_TO_BLOCK

# Requests that every VM must serve of each kind.
LAST_REQUESTS = 5
# What a busy machine may take over the times that VMs keep to.
SLACK_SECONDS = 2.0
UNAUTHORIZED = 401
# Urgent calls go the way of safe ones.
EACH_KIND = (Kind.SAFE, Kind.UNSAFE, Kind.STREAM)


class Calm:
    """Tries what must hold, with nothing wrong but what each try brings about.

    :param fleet: what was played on.
    :param callers: who send requests.
    """

    def __init__(self, fleet: SoakFleet, callers: Callers) -> None:
        self.fleet = fleet
        self.callers = callers

    async def broken(self) -> list[str]:
        """:returns: what does not hold."""
        self.callers.leave_share = 0.0
        await asyncio.sleep(CONTACT_SECONDS)
        for vm in self.fleet.vms:
            await self.fleet.until_ready(vm)
        found = await self._served()
        found += await self._crashing_found()
        found += await self._crashing_part_found()
        found += await self._served()
        found += await self._runs_once()
        found += await self._taken_key()
        found += await self._left_alone()
        return found

    async def unheard(self, overload: Overload, bursts: int) -> list[str]:
        """Play bursts of callers, and tell what they may complain of.

        :param overload: plays them.
        :param bursts: how many.
        """
        found = []
        for _ in range(bursts):
            found += unheard(await overload.play())
        return found

    async def _served(self) -> list[str]:
        """Wait until each VM serves each kind of request again."""
        missing = []
        for vm in self.fleet.vms:
            for kind in EACH_KIND:
                end = time.monotonic() + HANG_SECONDS
                served = 0
                while served < LAST_REQUESTS and time.monotonic() < end:
                    sent = await self.callers.send(kind, vm)
                    served += sent.status == 200 and sent.whole
                if served < LAST_REQUESTS:
                    missing.append(f"{vm.name} does not serve {kind.value} calls again")
        return missing

    async def _each(self, kind: Kind) -> list[Sent]:
        """Send some requests to each VM, all at once."""
        sends = [
            self.callers.send(kind, vm)
            for vm in self.fleet.vms
            for _ in range(LAST_REQUESTS)
        ]
        return list(await asyncio.gather(*sends))

    async def _crashing_found(self) -> list[str]:
        """Have a request that ends engines brought."""
        workers = self.fleet.workers()
        before = sum(worker.crashes for worker in workers)
        await self.callers.bring_crashing("last")
        ended = sum(worker.crashes for worker in workers) - before
        if ended <= CRASHES_TO_BLOCK:
            return []
        return [f"{ended} engines ended under a request when nothing else was wrong"]

    async def _crashing_part_found(self) -> list[str]:
        """Have requests brought that share a part which ends engines."""
        workers = self.fleet.workers()
        before = sum(worker.crashes for worker in workers)
        bringing = asyncio.ensure_future(self.callers.bring_crashing_part("last"))
        while not bringing.done():
            await self.callers.send(
                Kind.STREAM, self.callers.rng.choice(self.fleet.vms)
            )
        await bringing
        ended = sum(worker.crashes for worker in workers) - before
        if ended <= CRASHES_OF_PART:
            return []
        return [f"{ended} engines ended by a part when nothing else was wrong"]

    async def _runs_once(self) -> list[str]:
        """Have an endpoint end while it works on calls that may run once."""
        sending = asyncio.ensure_future(self._each(Kind.UNSAFE))
        endpoint = await self._busy_one()
        endpoint.worker.crash()
        runs: dict[str, int] = {}
        sent = {one.request for one in await sending}
        for worker in self.fleet.workers():
            for seen in worker.runs:
                request = seen.headers["request-id"]
                runs[request] = runs.get(request, 0) + (request in sent)
        return [f"{name} ran {n} times" for name, n in runs.items() if n > 1]

    async def _busy_one(self) -> Endpoint:
        """Wait until an endpoint of the plain service has something to do."""
        plain = [e for e in self.fleet.endpoints.values() if e.service == "plain"]
        before = {id(e): len(e.worker.runs) for e in plain}
        async with asyncio.timeout(HANG_SECONDS):
            while True:
                for endpoint in plain:
                    if len(endpoint.worker.runs) > before[id(endpoint)]:
                        return endpoint
                await asyncio.sleep(0)

    async def _taken_key(self) -> list[str]:
        """Take a key away, and send requests that carry it."""
        taken = await self.fleet.replace_key()
        await asyncio.sleep(PROMISES["config_seconds"] + SLACK_SECONDS)
        sent = [
            await self.callers.send(Kind.SAFE, vm, key=taken) for vm in self.fleet.vms
        ]
        return [
            f"{one.vm.name} answered {one.status} to a key that was taken away"
            for one in sent
            if one.status != UNAUTHORIZED
        ]

    async def _left_alone(self) -> list[str]:
        """Have an endpoint announce its end, and see whether it gets requests later."""
        endpoint = next(
            e for e in self.fleet.endpoints.values() if e.service == "plain"
        )
        worker = endpoint.worker
        spec = {**endpoint.entry, "state": "draining"}
        await self.fleet.store.put("servers", worker.name, spec)
        await asyncio.sleep(PROMISES["drain_seconds"] + SLACK_SECONDS)
        return await self._asked_again(worker)

    async def _asked_again(self, worker: WorkerStandIn) -> list[str]:
        before = len(worker.runs)
        await self._each(Kind.SAFE)
        late = len(worker.runs) - before
        return [f"{worker.name} got {late} requests after its end"] if late else []
