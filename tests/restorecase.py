# Licensed under the Apache License 2.0: see LICENSE for details.

"""Gateways of one data hall whose store is restored from a backup."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any
from unittest import mock

from standins.store import Backup
from tests.gatewaycase import KEY, GatewayCase, catalogue, route
from walnutquay.coordination.fleet import watchers
from walnutquay.coordination.store import relaying
from walnutquay.coordination.store.following import Follower
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.state.fleet.membership import VmLocation

REVOKED_KEY = "key-that-is-revoked"
ADDED_ROUTE = "added"


def changed_catalogue(version: int, *, revoked: bool, added: bool) -> dict[str, Any]:
    """Return a configuration of a version.

    :param version: the version.
    :param revoked: whether :data:`REVOKED_KEY` is revoked.
    :param added: whether it has :data:`ADDED_ROUTE`.
    """
    made = catalogue(version)
    keys = [KEY] if revoked else [KEY, REVOKED_KEY]
    made["tenants"][0]["apiKeys"] = keys
    if added:
        made["routes"].append(route(ADDED_ROUTE, "safe", "plain"))
    return made


class RestoreCase(GatewayCase):
    """Starts gateways of one data hall, one of which watches the store for all."""

    vms = 3

    async def asyncSetUp(self) -> None:
        for module, name, value in (
            (watchers, "SMALL_FLEET", 1),
            (relaying, "POLL_SECONDS", 0.3),
        ):
            self.enterContext(mock.patch.object(module, name, value))
        await super().asyncSetUp()
        for number in range(2, self.vms + 1):
            await self.add_gateway(f"vm-{number}")
        self.share_list()
        for gateway in self.gateways:
            for follower in gateway.knowledge.followers():
                follower.query_now()
        for gateway in self.relayed():
            feeds = [f.feed for f in gateway.knowledge.followers()]
            await self.until(lambda feeds=feeds: not any(f.watching for f in feeds))

    def share_list(self) -> None:
        """Let all gateways know each other."""
        known = {
            gateway.context.vm: VmLocation(gateway.peers.own, gateway.context.hall)
            for gateway in self.gateways
        }
        for gateway in self.gateways:
            gateway.peers.known = dict(known)

    def watcher(self) -> GatewayDaemon:
        """Return the VM that watches the store."""
        return next(g for g in self.gateways if g.watchers.includes_this())

    def relayed(self) -> list[GatewayDaemon]:
        """Return the VMs that receive changes from the watcher."""
        return [g for g in self.gateways if not g.watchers.includes_this()]

    async def put_catalogue(self, version: int, **changes: bool) -> None:
        """Write a configuration as the operator does."""
        made = changed_catalogue(version, **changes)
        await self.store.put("config", "main", made)

    async def until_version(self, version: int) -> None:
        """Wait until a configuration is in force on all VMs."""

        def in_force() -> bool:
            return all(
                g.knowledge.catalogue.current.version == version for g in self.gateways
            )

        await self.until(in_force)

    async def restore(self, backup: Backup, away: float = 0.1) -> None:
        """Take the store away for a moment, and restore it from a backup.

        :param backup: what it is restored from.
        :param away: the time for which it does not answer, in seconds.
        """
        self.store.refuse = 503
        for gateway in self.gateways:
            for follower in gateway.knowledge.followers():
                # Otherwise, watches that the store holds would be answered meanwhile.
                follower.query_now()
        await asyncio.sleep(away)
        await self.store.restore(backup)
        self.store.refuse = None

    async def until_era(self, followers: Iterable[Follower], era: int = 2) -> None:
        """Wait until followers have a list of an era of the store."""
        followers = list(followers)
        await self.until(
            lambda: all(f.revision and f.revision.era == era for f in followers)
        )

    async def statuses(self, path: str, key: str = KEY) -> list[int]:
        """Return what each VM answers to a call."""
        headers = {"Authorization": f"Bearer {key}"}
        return [
            (await self.call(path, gateway=gateway, **headers)).status
            for gateway in self.gateways
        ]
