# Licensed under the Apache License 2.0: see LICENSE for details.

"""Faults of a soak, drawn from its seed: in series, and overlapping."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

import logbook

from soak.callers import Callers
from soak.fleet import HALLS, SoakFleet, Vm
from soak.overload import Overload
from soak.skew import Skew
from walnutquay.platform import names

log = logbook.Logger(__name__)

Fault = Callable[[], Awaitable[None]]
# How long faults last, and the time between the begins of two: some overlap.
LASTS_SECONDS = (0.5, 3.0)
# A VM that was frozen has read what came meanwhile within so long.
WAKE_SECONDS = 1.0
# How long an endpoint is away that has ended.
AWAY_SECONDS = (1.5, 4.0)
GAP_SECONDS = (0.2, 2.0)
# An endpoint that leaves serves on for so long.
LEAVING_SECONDS = 4.0
# A data hall stays emptied for so long: longer than VMs may take to know.
EMPTIED_SECONDS = (3.5, 7.0)
# Rate limits that endpoints name, requests a second, and for how long: longer than VMs
# may take to know.
LIMITS = (0.3, 3.0)
LIMITED_SECONDS = (5.0, 9.0)
# An endpoint that says in its answers alone that it leaves does so for so long.
ANNOUNCING_SECONDS = (4.0, 9.0)
# Pauses that an endpoint asks for, and how long it refuses requests; seconds.
PAUSES = (0.3, 5.0)
PAUSING_SECONDS = (1.0, 4.0)
# The age of a backup, and for how long the store is away until it is restored.
BACKUP_SECONDS = (0.5, 5.0)
RESTORE_SECONDS = (0.3, 1.5)
JUNK = ("text", None, {"service": "plain"}, {"slots": 1e400}, {"zone": "\udcff"})


class Faults:
    """Brings faults about.

    :param fleet: what they are brought about on.
    :param callers: who bring requests that end engines.
    :param seed: of all chance here.
    """

    def __init__(self, fleet: SoakFleet, callers: Callers, seed: int) -> None:
        self.fleet = fleet
        self.callers = callers
        self.rng = random.Random(seed)
        self.done: list[tuple[float, str]] = []
        self.began = time.monotonic()
        self.tasks: set[asyncio.Task[None]] = set()
        self.crashing = 0
        self.replaced = 0
        # Keys that were taken away, with when the store acknowledged it.
        self.revoked: dict[str, float] = {}
        self.overloading = Overload(fleet, callers, self.rng)
        self.skew = Skew(fleet, callers, self.rng)
        self.kinds: list[Fault] = [
            self.kill_vm,
            self.stop_vm,
            self.freeze_vm,
            self.kill_all_vms,
            self.cut_store,
            self.silence_store,
            self.store_away,
            self.forget_history,
            self.restore_store,
            self.crash_endpoint,
            self.leave_endpoint,
            self.announce_leaving,
            self.ask_for_pauses,
            self.silence_endpoint,
            self.turn_cold,
            self.name_limits,
            self.empty_hall,
            self.write_junk,
            self.change_configuration,
            self.take_key,
            self.bring_crashing,
            self.bring_crashing_part,
            self.change_work,
            self.overload,
            self.skew_callers,
        ]

    async def run(self, seconds: float) -> None:
        """Bring faults about for some time, and wait until all are over.

        The store is restored once at least.

        :param seconds: for how long new ones begin.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            fault = self.rng.choice(self.kinds) if self.done else self.restore_store
            at = time.monotonic() - self.began
            self.done.append((at, fault.__name__))
            task = asyncio.ensure_future(fault())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.rng.uniform(*GAP_SECONDS))
        await asyncio.gather(*self.tasks)

    async def close(self) -> None:
        """End those that last still: they would start VMs after the soak's end."""
        for task in (left := list(self.tasks)):
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)

    def _lasts(self) -> float:
        return self.rng.uniform(*LASTS_SECONDS)

    def _vm(self) -> Vm:
        return self.rng.choice(self.fleet.vms)

    async def _disturb(self, vm: Vm, seconds: float) -> None:
        """Let a fault of a VM last."""
        since = time.monotonic()
        vm.disturbed.append((since, since + seconds))
        await asyncio.sleep(seconds)

    async def _restart(self, vm: Vm, number: signal.Signals, away: float) -> None:
        """End a VM's process, unless another fault has, and start it again."""
        if vm.ordered:
            return
        since = time.monotonic()
        vm.disturbed.append((since, float("inf")))
        vm.interrupted.append((since, float("inf")))
        await vm.end(number)
        await asyncio.sleep(away)
        await vm.start()
        await self.fleet.until_ready(vm)
        vm.disturbed.remove((since, float("inf")))
        vm.disturbed.append((since, time.monotonic()))
        vm.interrupted.remove((since, float("inf")))
        vm.interrupted.append((since, time.monotonic()))

    # VMs.

    async def kill_vm(self) -> None:
        """Kill a VM."""
        await self._restart(self._vm(), signal.SIGKILL, self._lasts())

    async def stop_vm(self) -> None:
        """Stop a VM as planned."""
        await self._restart(self._vm(), signal.SIGTERM, 0.2)

    async def kill_all_vms(self) -> None:
        """Kill all VMs at once."""
        away = self._lasts()
        vms = self.fleet.vms
        await asyncio.gather(*(self._restart(vm, signal.SIGKILL, away) for vm in vms))

    async def freeze_vm(self) -> None:
        """Stop a VM's process for a while, and let it go on."""
        vm = self._vm()
        since, seconds = time.monotonic(), self._lasts()
        vm.interrupted.append((since, since + seconds + WAKE_SECONDS))
        vm.signal(signal.SIGSTOP)
        await self._disturb(vm, seconds)
        vm.signal(signal.SIGCONT)

    async def skew_callers(self) -> None:
        """Hand most new connections to a VM that gets a third of a processor."""
        await self.skew.play()

    # The store.

    async def cut_store(self) -> None:
        """Cut a VM off from the store."""
        vm = self._vm()
        vm.link.set_cut(True)
        await self._disturb(vm, self._lasts())
        vm.link.set_cut(False)

    async def silence_store(self) -> None:
        """Let a VM's connections to the store say nothing any more."""
        vm = self._vm()
        vm.link.silence()
        await self._disturb(vm, 0.0)

    async def store_away(self) -> None:
        """Have the store refuse all calls."""
        self.fleet.store.refuse = 503
        seconds = self._lasts()
        await asyncio.gather(*(self._disturb(vm, seconds) for vm in self.fleet.vms))
        self.fleet.store.refuse = None

    async def forget_history(self) -> None:
        """Have the store forget its history."""
        await self.fleet.store.forget_history()

    async def restore_store(self) -> None:
        """Have the store come back from a backup, and write again what it has lost."""
        store = self.fleet.store
        backup = store.copy()
        await asyncio.sleep(self.rng.uniform(*BACKUP_SECONDS))
        away, rewritten = self.rng.uniform(*RESTORE_SECONDS), self._lasts()
        disturbed = asyncio.gather(
            *(self._disturb(vm, away + rewritten) for vm in self.fleet.vms)
        )
        store.refuse = 503
        await asyncio.sleep(away)
        await store.restore(backup)
        store.refuse = None
        await disturbed
        await self.fleet.write_again()

    # Endpoints.

    async def crash_endpoint(self) -> None:
        """Have an endpoint crash, and start again under its name."""
        name = self.rng.choice(list(self.fleet.endpoints))
        if not self.fleet.endpoints[name].leaves:
            self.fleet.endpoints[name].worker.crash()

    async def revive(self) -> None:
        """Start endpoints again that have ended, each some time after its end."""
        ended: dict[str, float] = {}
        while True:
            for name, endpoint in list(self.fleet.endpoints.items()):
                if not endpoint.worker.ended:
                    continue
                now = time.monotonic()
                away = self.rng.uniform(*AWAY_SECONDS)
                back = ended.setdefault(name, now + away)
                if now >= back:
                    del ended[name]
                    await self.fleet.start_again(name)
            await asyncio.sleep(0.05)

    async def leave_endpoint(self) -> None:
        """Have an endpoint announce its end, serve on, and be replaced."""
        name = self.rng.choice(list(self.fleet.endpoints))
        endpoint = self.fleet.endpoints[name]
        if endpoint.leaves or endpoint.worker.ended:
            return
        self.replaced += 1
        other = f"{endpoint.service[0]}-next-{self.replaced}"
        await self.fleet.add_endpoint(other, endpoint.service)
        spec = {**endpoint.entry, "state": "draining"}
        await self.fleet.write_entry(name, spec)
        endpoint.leaving_since = time.monotonic()
        endpoint.leaving_start = endpoint.worker.crashes
        endpoint.end_cold()
        await asyncio.sleep(LEAVING_SECONDS)
        await self.fleet.remove_endpoint(name)

    async def announce_leaving(self) -> None:
        """Have an endpoint say in its answers alone that it leaves, and be replaced."""
        name = self.rng.choice(list(self.fleet.endpoints))
        endpoint = self.fleet.endpoints[name]
        if endpoint.leaves or endpoint.worker.ended:
            return
        self.replaced += 1
        other = f"{endpoint.service[0]}-next-{self.replaced}"
        await self.fleet.add_endpoint(other, endpoint.service)
        endpoint.announces_leaving = True
        endpoint.worker.headers[names.LEAVING] = "1"
        await asyncio.sleep(self.rng.uniform(*ANNOUNCING_SECONDS))
        await self.fleet.remove_endpoint(name)

    async def ask_for_pauses(self) -> None:
        """Have an endpoint refuse all requests for a while, and ask for a pause."""
        endpoint = self.fleet.endpoints[self.rng.choice(list(self.fleet.endpoints))]
        if endpoint.worker.ended or endpoint.pause is not None:
            return
        endpoint.pause = f"{self.rng.uniform(*PAUSES):.2f}"
        await asyncio.sleep(self.rng.uniform(*PAUSING_SECONDS))
        endpoint.pause = None

    async def silence_endpoint(self) -> None:
        """Let the connections to an endpoint say nothing any more."""
        name = self.rng.choice(list(self.fleet.endpoints))
        self.fleet.endpoints[name].link.silence()
        for vm in self.fleet.vms:
            await self._disturb(vm, 0.0)

    async def turn_cold(self) -> None:
        """Have an endpoint turn cold."""
        name = self.rng.choice(list(self.fleet.endpoints))
        endpoint = self.fleet.endpoints[name]
        cold = any(time.monotonic() < until for _, until in endpoint.cold)
        if not (cold or endpoint.worker.ended or endpoint.leaves):
            await self.fleet.turn_cold(name)

    async def name_limits(self) -> None:
        """Have an endpoint name a rate limit, then another one, then none."""
        endpoint = self.fleet.endpoints[self.rng.choice(list(self.fleet.endpoints))]
        for _ in range(2):
            if endpoint.worker.ended or endpoint.leaves:
                return
            endpoint.name_limit(round(self.rng.uniform(*LIMITS), 1))
            await asyncio.sleep(self.rng.uniform(*LIMITED_SECONDS))
        endpoint.end_limit()

    async def empty_hall(self) -> None:
        """Have operators empty a data hall, and take that back."""
        hall = self.rng.choice(HALLS)
        seconds = self.rng.uniform(*EMPTIED_SECONDS)
        if hall not in self.fleet.store.kinds.get("evacuations", {}):
            await self.fleet.empty_hall(hall, seconds)

    # What others write.

    async def write_junk(self) -> None:
        """Write an entry that names nothing."""
        name = f"junk-{self.rng.randrange(4)}"
        await self.fleet.store.put("servers", name, self.rng.choice(JUNK))

    async def change_configuration(self) -> None:
        """Have a newer configuration come into force."""
        await self.fleet.configure()

    async def take_key(self) -> None:
        """Take a key away, and give another one out."""
        taken = await self.fleet.replace_key()
        self.revoked[taken] = time.monotonic()

    async def bring_crashing(self) -> None:
        """Have a caller bring a request that ends engines."""
        self.crashing += 1
        await self.callers.bring_crashing(f"crash-{self.crashing}")

    async def bring_crashing_part(self) -> None:
        """Have callers bring requests that share a part which ends engines."""
        self.crashing += 1
        await self.callers.bring_crashing_part(str(self.crashing))

    async def change_work(self) -> None:
        """Have callers bring another mix of requests, more or fewer of them."""
        self.callers.change_work(self.rng)

    async def overload(self) -> None:
        """Have callers ask for more than some endpoints bear."""
        await self.overloading.play()
