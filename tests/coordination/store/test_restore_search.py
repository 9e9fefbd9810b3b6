# Licensed under the Apache License 2.0: see LICENSE for details.

"""Searches orders of changes, backups, restores, restarts, cuts and late answers.

``WALNUTQUAY_SEEDS`` runs more seeds than CI does, from ``WALNUTQUAY_SEED`` on.
"""

from __future__ import annotations

import asyncio
import os
import random
from typing import ClassVar

from standins.store import Backup
from tests.restorecase import REVOKED_KEY, RestoreCase, changed_catalogue
from walnutquay.daemon.gateway import GatewayDaemon

SEEDS = int(os.environ.get("WALNUTQUAY_SEEDS", "3"))
FIRST_SEED = int(os.environ.get("WALNUTQUAY_SEED", "1"))
STEPS = 14
STEP_SECONDS = (0.0, 0.3)
# The time by which answers of the store are late, for some of the steps.
LATE_SECONDS = 0.25


class RestoreSearchTest(RestoreCase):
    """After any order of steps, all VMs know what was written last."""

    workers: ClassVar = {"p1": "plain", "p2": "plain", "p3": "plain", "e1": "engine"}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.version = 1
        self.revoked = False
        self.leaving: set[str] = set()
        self.emptied = False
        self.started = 0
        self.backups: list[Backup] = [self.store.copy()]
        self.trace: list[str] = []

    async def test_seeds(self):
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            with self.subTest(seed=seed):
                self.rng = random.Random(seed)
                self.trace.clear()
                for _ in range(STEPS):
                    await self.step()
                await self.settle()
                await self.check()

    async def step(self) -> None:
        """Take one step of those that a seed draws."""
        step = self.rng.choice(
            (
                self.configure,
                self.configure,
                self.leave,
                self.empty,
                self.back_up,
                self.restore_now,
                self.restore_now,
                self.restart,
                self.turn_away,
                self.answer_late,
            )
        )
        self.trace.append(step.__name__)
        await step()
        await asyncio.sleep(self.rng.uniform(*STEP_SECONDS))

    # Steps.

    async def configure(self) -> None:
        """Have a newer configuration accepted, and a key revoked or given back."""
        self.version += 1
        self.revoked = self.rng.random() < 0.5
        await self.write_configuration()

    async def write_configuration(self) -> None:
        """Write the configuration as it was accepted last."""
        made = changed_catalogue(self.version, revoked=self.revoked, added=True)
        await self.store.put("config", "main", made)

    async def leave(self) -> None:
        """Have an endpoint announce that it leaves."""
        name = self.rng.choice(("p1", "p2"))
        self.leaving.add(name)
        await self.write_endpoint(name)

    async def write_endpoint(self, name: str) -> None:
        """Write the entry of an endpoint as it is."""
        state = "draining" if name in self.leaving else "ready"
        spec = {**self.endpoints[name].spec(self.workers[name]), "state": state}
        await self.store.put("servers", name, spec)

    async def empty(self) -> None:
        """Empty a data hall, or take that back."""
        self.emptied = not self.emptied
        await self.write_evacuation()

    async def write_evacuation(self) -> None:
        """Write whether a data hall is emptied."""
        stored = "hall-z" in self.store.kinds.get("evacuations", {})
        if self.emptied:
            await self.store.put("evacuations", "hall-z", {})
        elif stored:
            await self.store.remove("evacuations", "hall-z")

    async def back_up(self) -> None:
        """Take a backup."""
        self.backups.append(self.store.copy())

    async def restore_now(self) -> None:
        """Restore the store from a backup, with or without an outage."""
        backup = self.rng.choice(self.backups)
        if self.rng.random() < 0.5:
            await self.restore(backup, away=self.rng.uniform(*STEP_SECONDS))
        else:
            await self.store.restore(backup)
        if self.rng.random() < 0.5:
            await self.write_again()

    async def write_again(self) -> None:
        """Write what the store may have lost, as operators and endpoints do."""
        await self.write_configuration()
        await self.write_evacuation()
        for name in self.workers:
            await self.write_endpoint(name)

    async def restart(self) -> None:
        """Start a VM anew, which hears of the state from another one."""
        gateway = self.rng.choice(self.gateways)
        others = [one for one in self.gateways if one is not gateway]
        await self.close_gateway(gateway)
        self.started += 1
        await self.add_gateway(f"vm-next-{self.started}", others)
        self.share_list()

    async def turn_away(self) -> None:
        """Have the store turn one VM away for a while."""
        gateway: GatewayDaemon = self.rng.choice(self.gateways)
        base = gateway.store.base
        gateway.store.base = "http://127.0.0.1:9/v1/objects"
        await asyncio.sleep(self.rng.uniform(*STEP_SECONDS))
        gateway.store.base = base

    async def answer_late(self) -> None:
        """Have answers come late, some of them after a restore."""
        self.store.late_seconds = LATE_SECONDS
        await asyncio.sleep(self.rng.uniform(*STEP_SECONDS))
        if self.rng.random() < 0.5:
            await self.store.restore(self.rng.choice(self.backups))
        self.store.late_seconds = 0.0

    # What must hold.

    async def settle(self) -> None:
        """Let operators and endpoints write all again, and all VMs hear of it."""
        await self.write_again()
        followers = [g.knowledge.hall_follower for g in self.gateways]
        await self.until(
            lambda: all(
                f.revision and f.revision.era == self.store.era for f in followers
            )
        )
        # Orders that are missing after a restore stay in force for a while.
        for gateway in self.gateways:
            gateway.knowledge.halls.kept_until = 0.0
            gateway.knowledge.halls.drop_overdue()
        try:
            await self.until(lambda: all(map(self.is_current, self.gateways)))
        except TimeoutError:
            self.fail(f"{list(map(self.state, self.gateways))} after {self.trace}")

    def state(self, gateway: GatewayDaemon) -> tuple:
        """Return what a VM knows."""
        knowledge = gateway.knowledge
        known = knowledge.instances.registry.known
        return (
            knowledge.catalogue.current.version,
            {name for name, item in known.items() if item.leaving},
            set(known),
            "hall-z" in knowledge.halls.emptied,
            knowledge.eras.current,
        )

    def is_current(self, gateway: GatewayDaemon) -> bool:
        """Return whether a VM knows what was written last."""
        expected = (
            self.version,
            self.leaving,
            set(self.workers),
            self.emptied,
            self.store.era,
        )
        return self.state(gateway) == expected

    async def check(self) -> None:
        """Callers see the same at all VMs."""
        status = 401 if self.revoked else 200
        wanted = [status] * len(self.gateways)
        self.assertEqual(await self.statuses("/safe/x", REVOKED_KEY), wanted)
        before = self.runs(*self.leaving) if self.leaving else 0
        for number in range(3):
            served = await self.statuses(f"/safe/{number}")
            self.assertEqual(served, [200] * len(self.gateways), self.trace)
        if self.leaving:
            self.assertEqual(self.runs(*self.leaving), before, self.trace)
