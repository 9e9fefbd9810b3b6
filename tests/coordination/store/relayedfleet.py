# Licensed under the Apache License 2.0: see LICENSE for details.

"""A fleet that follows one kind of the store's objects, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Iterable
from enum import Enum
from types import SimpleNamespace

from tests.revisions import revision_at
from walnutquay.coordination.fleet.watchers import Watchers
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.store.following import WATCH_GAP_SECONDS, Follower
from walnutquay.coordination.store.relaying import Relay, RelayedFeed
from walnutquay.exceptions import (
    PeerError,
    PlatformBusyError,
    PlatformUnavailableError,
    PlatformUnclearError,
)
from walnutquay.platform.store import CALL_SECONDS, WATCH_SLACK_SECONDS
from walnutquay.protocol.messages import AskChanges, ChangesAre, Envelope
from walnutquay.state.fleet.membership import Address, VmLocation
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import HallName, VmName
from walnutquay.state.process.metrics import Metrics
from walnutquay.state.process.revisions import EraTracker, StoreRevision
from walnutquay.state.store.feeds import Change, Changes, Listing
from walnutquay.transport.timers import monotonic

KIND = "config"
HALLS = ("h1", "h2", "h3")
STORE_SECONDS = 0.004
PEER_SECONDS = 0.002


class Way(Enum):
    """How the store treats a VM."""

    SERVED = "served"
    REFUSED = "503"
    BUSY = "429"
    RESET = "reset"
    SILENT = "silence"
    SLOW = "slow"
    # Reads are answered, watches never.
    DEAF_WATCHES = "watches silent"


class FakeStore:
    """One kind of objects, whose only property is its revision."""

    def __init__(self) -> None:
        self.revision = 1
        self.changed = asyncio.Event()
        self.ways: dict[VmName, Way] = {}
        # The time and the VM of each call.
        self.calls: list[tuple[float, VmName]] = []

    def change(self) -> None:
        """Acknowledge a change."""
        self.revision += 1
        self._tell()

    def treat(self, vms: Iterable[VmName], way: Way) -> None:
        """Treat some VMs in another way from now on; watches that wait end too."""
        for vm in vms:
            self.ways[vm] = way
        self._tell()

    def _tell(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def admit(self, vm: VmName, limit: float, watches: bool) -> None:
        """Take a call, or fail as the VM is treated."""
        self.calls.append((monotonic(), vm))
        await asyncio.sleep(STORE_SECONDS)
        way = self.ways.get(vm, Way.SERVED)
        if way is Way.REFUSED:
            raise PlatformUnavailableError("503", step="get", peer=KIND)
        if way is Way.BUSY:
            raise PlatformBusyError("429", step="get", peer=KIND)
        if way is Way.RESET:
            raise PlatformUnclearError("reset", step="get", peer=KIND)
        if way is Way.SILENT or (way is Way.DEAF_WATCHES and watches):
            await asyncio.sleep(limit)
            raise PlatformUnclearError("no answer", step="get", peer=KIND)
        if way is Way.SLOW:
            await asyncio.sleep(0.4)

    async def wait(self, vm: VmName, revision: int, seconds: float) -> int:
        """Wait for a change, and return the revision."""
        limit = seconds + WATCH_SLACK_SECONDS
        await self.admit(vm, limit, True)
        end = monotonic() + seconds
        while self.revision <= revision and monotonic() < end:
            try:
                async with asyncio.timeout(end - monotonic()):
                    await self.changed.wait()
            except TimeoutError:
                break
            if self.ways.get(vm, Way.SERVED) not in (Way.SERVED, Way.SLOW):
                await self.admit(vm, limit, True)
        return self.revision


class DirectFeed:
    """The store as one VM sees it."""

    kind = KIND
    watching = True
    unreadable = {}

    def __init__(self, store: FakeStore, vm: VmName) -> None:
        self.store = store
        self.vm = vm
        self.known = 0

    async def list(self) -> Listing:
        await self.store.admit(self.vm, CALL_SECONDS, False)
        self.known = max(self.known, self.store.revision)
        return Listing({}, revision_at(self.store.revision))

    async def watch(self, revision: StoreRevision, seconds: float) -> Changes:
        now = await self.store.wait(self.vm, revision.number, seconds)
        return self._changes(revision.number, now)

    def _changes(self, before: int, now: int) -> Changes:
        self.known = max(self.known, now)
        changes = (Change("main", now),) if now > before else ()
        return Changes(changes, revision_at(max(before, now)))

    def export_changes(self, revision: StoreRevision) -> bytes:
        return f"{revision.number} {self.known}".encode()

    def read_changes(self, data: bytes) -> Changes:
        before, now = map(int, data.split())
        return self._changes(before, now)

    def export(self, revision: StoreRevision) -> bytes:
        return str(self.known).encode() if self.known > revision.number else b""

    def read_export(self, data: bytes) -> Listing:
        self.known = max(self.known, int(data))
        return Listing({}, revision_at(self.known))


class Sink:
    """Takes note of when each revision was in force."""

    def __init__(self) -> None:
        self.in_force: dict[int, float] = {}

    def apply_listing(self, listing: Listing) -> None:
        self.in_force.setdefault(listing.revision.number, monotonic())

    def apply_changes(self, changes: Changes) -> None:
        self.in_force.setdefault(changes.revision.number, monotonic())


class Fleet:
    """Entry VMs of three data halls that follow a store.

    :param count: the number of VMs.
    :param seed: draws what is left to chance.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = FakeStore()
        names = [VmName(f"{HALLS[n % 3]}-{n // 3}") for n in range(count)]
        self.known = {vm: VmLocation(Address(vm, 1), HallName(vm[:2])) for vm in names}
        # VMs that answer nobody.
        self.dead: set[VmName] = set()
        self.followers: dict[VmName, Follower] = {}
        self.relays: dict[VmName, Relay] = {}
        self.watchers: dict[VmName, Watchers] = {}
        self.messages: Counter[VmName] = Counter()
        for vm in names:
            self._add(vm)

    def _add(self, vm: VmName) -> None:
        timeline = SimpleNamespace(emit=lambda *_, **__: None)
        context: Context = SimpleNamespace(
            vm=vm,
            hall=HallName(vm[:2]),
            rng=random.Random(self.rng.random()),
            metrics=Metrics(),
            timeline=timeline,
        )
        listed = asyncio.Event()
        listed.set()
        peers = SimpleNamespace(
            known=self.known,
            size=len(self.known),
            seeds=[],
            listed=listed,
            node=SimpleNamespace(call=self._caller(vm)),
        )
        watchers = self.watchers[vm] = Watchers(context, peers)
        feed = RelayedFeed(DirectFeed(self.store, vm), watchers, poll=0.75)

        async def query_peers(kind: str, revision: StoreRevision) -> bytes:
            others = [one for one in self.known if one != vm]
            other = context.rng.choice(others)
            await asyncio.sleep(PEER_SECONDS)
            if other in self.dead:
                return b""
            return self.followers[other].feed.export(revision)

        follower = Follower(
            context, feed, Sink(), 1.5, lambda: None, query_peers, WATCH_GAP_SECONDS
        )
        self.followers[vm] = follower
        knowledge = SimpleNamespace(
            followers=lambda: (follower,), eras=EraTracker(), returned_at=float("-inf")
        )
        self.relays[vm] = Relay(knowledge)

    def _caller(self, vm: VmName):
        async def call(
            address: Address, query: AskChanges, limit: float, peer: str
        ) -> ChangesAre:
            self.messages[vm] += 1
            await asyncio.sleep(PEER_SECONDS)
            if address.host in self.dead:
                await asyncio.sleep(limit)
                raise PeerError("no answer", peer=peer)
            envelope = Envelope(vm, "start", Stamp(1, 1), query, 1)
            try:
                async with asyncio.timeout(limit):
                    return await self.relays[VmName(address.host)].answer(envelope)
            except TimeoutError as error:
                raise PeerError("no answer", peer=peer) from error

        return call

    async def start(self, seconds: float) -> list[asyncio.Task]:
        """Follow the store, and let some time pass."""
        tasks = [asyncio.ensure_future(one.run()) for one in self.followers.values()]
        await asyncio.sleep(seconds)
        return tasks

    def watching(self) -> list[VmName]:
        """Return the VMs that watch the store."""
        return [vm for vm, one in self.watchers.items() if one.includes_this()]

    def ranked(self) -> list[VmName]:
        """Return all VMs, those first that watch the store sooner than others."""
        ranks = next(iter(self.watchers.values()))._ranks()
        order = [vm for row in zip(*ranks.values(), strict=False) for vm in row]
        return order + [vm for vm in self.known if vm not in order]

    def late(self, vms: Iterable[VmName]) -> dict[VmName, float]:
        """Return how long ago the present revision came into force at each VM."""
        return {
            vm: self.followers[vm].sink.in_force.get(self.store.revision, float("inf"))
            for vm in vms
        }

    def calls_between(self, start: float, end: float) -> int:
        """Return the calls to the store in a time."""
        return sum(start <= at < end for at, _ in self.store.calls)

    def peak(self, start: float, end: float) -> int:
        """Return the most calls to the store within a second of a time."""
        times = [at for at, _ in self.store.calls if start <= at < end]
        return max(
            (sum(at <= other < at + 1.0 for other in times) for at in times), default=0
        )
