# Licensed under the Apache License 2.0: see LICENSE for details.

"""Three ways to claim an idempotency key, tried beside each other.

``python -m lab.claims.ways`` prints, for each way and rate, how many claims were
granted, how long they took, and what the platform had to do; and the share that
is granted while the platform is down.  One create per key is what the product
does; the other two are trials, without the recovery that a product would need.
The claims go over real sockets to the platform stand-in and between VMs that
this one process simulates.
"""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass
from statistics import quantiles

import orjson

from standins.fleet import FLEET_KEY, HOST, Fleet
from walnutquay.coordination.own.platform import Platform
from walnutquay.coordination.process.context import Context, Timeline, new_incarnation
from walnutquay.exceptions import PeerError, PlatformError
from walnutquay.platform.values import ABSENT
from walnutquay.protocol.messages import Envelope
from walnutquay.protocol.ownmessages import AskRun, RunIs
from walnutquay.protocol.ownpeer import OwnPeerCodec
from walnutquay.sections import PlatformSection
from walnutquay.state.fleet.membership import Address, rendezvous
from walnutquay.state.own.claims import RunState
from walnutquay.state.process.ids import HallName, RequestId, VmName
from walnutquay.transport.peers import PeerNode

VMS = 6
SHARDS = 6
RATES = (50, 200, 800)
SECONDS = 4.0
# What the platform takes of writes, spread over the VMs.
PLATFORM_WRITES = 300
PEER_SECONDS = 1.0
# A group commit's batch waits for the batch before it, and at least so long.
BATCH_SECONDS = 0.05
# Granted ahead, claims are written to the platform so often.
BEHIND_SECONDS = 0.2
# What a claim's object holds; the store takes JSON.
CLAIMED = b"true"


class SimulatedVm:
    """One VM: its sockets, its connection to the platform, its part of a way.

    :param name: its name.
    :param platform_url: where the platform listens.
    """

    def __init__(self, name: str, platform_url: str) -> None:
        self.name = name
        vm = VmName(name)
        context = Context(vm, HallName("hall"), new_incarnation(), Timeline(vm, 10))
        section = PlatformSection(
            url=platform_url,
            vm_list_url=f"{platform_url}/vms",
            calls_per_second=PLATFORM_WRITES / VMS,
        )
        self.platform = Platform(context, section)
        codec = OwnPeerCodec([FLEET_KEY.encode()])
        self.node = PeerNode(
            vm,
            context.incarnation,
            codec,
            context.timeline.clock,
            context.metrics,
            self.asked,
        )
        self.way: Way | None = None

    async def start(self) -> None:
        """Listen."""
        await self.node.start(HOST, 0)

    async def stop(self) -> None:
        """Close all sockets."""
        await self.node.stop()
        await self.platform.close()

    async def asked(self, envelope: Envelope) -> RunIs:
        """:param envelope: another VM's question for a claim, or for a copy."""
        assert isinstance(envelope.body, AskRun)
        assert self.way is not None
        granted = await self.way.serve(self, envelope.body.request)
        return RunIs(RunState.PENDING if granted else None)

    async def ask(self, other: SimulatedVm, key: str) -> bool:
        """:param other: whom to ask.

        :param key: the key, as this way writes it.
        :returns: whether it is granted.
        """
        address = Address(HOST, other.node.port)
        try:
            answer = await self.node.call(
                address, AskRun(RequestId(key)), PEER_SECONDS, other.name
            )
        except PeerError:
            return False
        assert isinstance(answer, RunIs)
        return answer.state is not None


class Way(ABC):
    """A way to claim keys.

    :param vms: the VMs.
    """

    name: str

    def __init__(self, vms: list[SimulatedVm]) -> None:
        self.vms = vms
        self.by_name = {vm.name: vm for vm in vms}
        for vm in vms:
            vm.way = self
        self.tasks: list[asyncio.Task] = []

    @abstractmethod
    async def claim(self, vm: SimulatedVm, key: str) -> bool:
        """:param vm: the VM that a caller has come to.

        :param key: the key.
        :returns: whether it is granted.
        """

    @abstractmethod
    async def serve(self, vm: SimulatedVm, key: str) -> bool:
        """:param vm: the VM that another one asks.

        :param key: the key.
        :returns: whether it is granted.
        """

    def stop(self) -> None:
        """End all tasks."""
        for task in self.tasks:
            task.cancel()

    def ranked(self, shard: int) -> list[SimulatedVm]:
        """:param shard: a shard of the keys.

        :returns: the VMs in its rank.
        """
        return [self.by_name[n] for n in rendezvous(f"shard-{shard}", self.by_name)]


def shard_of(key: str) -> int:
    """:param key: a key, with its number at the end."""
    return int(key.rsplit("-", 1)[1]) % SHARDS


class OneCreate(Way):
    """One object of the platform for each key, made only where there is none."""

    name = "one create per key"

    async def claim(self, vm: SimulatedVm, key: str) -> bool:
        """Make the object."""
        try:
            await vm.platform.write(f"claims/{key}", CLAIMED, ABSENT)
        except PlatformError:
            return False
        return True

    async def serve(self, vm: SimulatedVm, key: str) -> bool:
        """Grant nothing: in this way no VM asks another."""
        return False


class GroupCommit(Way):
    """A sequencer for each shard writes many claims at once, each batch once."""

    name = "group commit per shard"

    def __init__(self, vms: list[SimulatedVm]) -> None:
        super().__init__(vms)
        self.waiting: list[list[tuple[str, asyncio.Future[bool]]]] = [
            [] for _ in range(SHARDS)
        ]
        self.claimed: set[str] = set()
        self.run = str(time.time_ns())
        self.tasks = [asyncio.ensure_future(self._commit(s)) for s in range(SHARDS)]

    async def claim(self, vm: SimulatedVm, key: str) -> bool:
        """Ask the shard's sequencer."""
        sequencer = self.ranked(shard_of(key))[0]
        if sequencer is vm:
            return await self.serve(vm, key)
        return await vm.ask(sequencer, key)

    async def serve(self, vm: SimulatedVm, key: str) -> bool:
        """Put the claim into the next batch."""
        if key in self.claimed:
            return False
        self.claimed.add(key)
        future = asyncio.get_running_loop().create_future()
        self.waiting[shard_of(key)].append((key, future))
        return await future

    async def _commit(self, shard: int) -> None:
        platform = self.ranked(shard)[0].platform
        number = 0
        while True:
            await asyncio.sleep(BATCH_SECONDS)
            batch, self.waiting[shard] = self.waiting[shard], []
            if not batch:
                continue
            number += 1
            value = orjson.dumps([key for key, _ in batch])
            name = f"claims/{self.run}/{shard}/{number:08d}"
            try:
                await platform.write(name, value, ABSENT)
                granted = True
            except PlatformError:
                granted = False
            for _, future in batch:
                if not future.done():
                    future.set_result(granted)


class GrantedAhead(GroupCommit):
    """The holder decides by itself once a peer has a copy, and writes behind."""

    name = "authority granted ahead"

    async def serve(self, vm: SimulatedVm, key: str) -> bool:
        """Decide as the holder, or keep a copy."""
        if key.startswith("copy "):
            return True
        if key in self.claimed:
            return False
        self.claimed.add(key)
        keeper = self.ranked(shard_of(key))[1]
        if not await vm.ask(keeper, f"copy {key}"):
            return False
        self.waiting[shard_of(key)].append((key, asyncio.Future()))
        return True

    async def _commit(self, shard: int) -> None:
        platform = self.ranked(shard)[0].platform
        number = 0
        while True:
            await asyncio.sleep(BEHIND_SECONDS)
            batch = self.waiting[shard]
            if not batch:
                continue
            value = orjson.dumps([key for key, _ in batch])
            name = f"claims/{self.run}/{shard}/{number:08d}"
            try:
                await platform.write(name, value, ABSENT)
            except PlatformError:
                continue
            number += 1
            del self.waiting[shard][: len(batch)]


@dataclass
class Trial:
    """What one run of one way found."""

    way: str
    rate: int
    asked: int
    seconds: list[float]
    writes: int

    def row(self) -> str:
        """:returns: it as a row of a table."""
        granted = len(self.seconds)
        if granted < 2:
            return f"| {self.way} | {self.rate} | {granted / self.asked:.0%} | | | |"
        percent = quantiles(self.seconds, n=100)
        return (
            f"| {self.way} | {self.rate} | {granted / self.asked:.0%} | "
            f"{percent[49] * 1e3:.1f} | {percent[98] * 1e3:.1f} | "
            f"{self.writes / granted:.2f} |"
        )


async def attempt(way: Way, fleet: Fleet, rate: int, label: str) -> Trial:
    """Claim keys at a rate, through all VMs in turn.

    :param way: the way.
    :param fleet: whose platform it is.
    :param rate: claims a second.
    :param label: what the keys begin with.
    """
    seconds: list[float] = []

    async def one(number: int) -> None:
        started = time.perf_counter()
        vm = way.vms[number % len(way.vms)]
        if await way.claim(vm, f"{label}-{number}"):
            seconds.append(time.perf_counter() - started)

    before = await fleet.control(fleet.platform, "calls")
    started = time.perf_counter()
    tasks = []
    count = int(rate * SECONDS)
    for number in range(count):
        await asyncio.sleep(max(0.0, started + number / rate - time.perf_counter()))
        tasks.append(asyncio.ensure_future(one(number)))
    await asyncio.gather(*tasks)
    await asyncio.sleep(2 * BEHIND_SECONDS)
    after = await fleet.control(fleet.platform, "calls")
    writes = after["write"] - before.get("write", 0)
    return Trial(way.name, rate, count, seconds, writes)


async def main() -> None:
    """Try each way at each rate, and while the platform is down."""
    async with Fleet() as fleet:
        await fleet.start_platform(writes=PLATFORM_WRITES)
        for kind in (OneCreate, GroupCommit, GrantedAhead):
            vms = [SimulatedVm(f"vm-{number}", fleet.platform) for number in range(VMS)]
            await asyncio.gather(*(vm.start() for vm in vms))
            way = kind(vms)
            for rate in RATES:
                trial = await attempt(way, fleet, rate, f"{kind.__name__}-{rate}")
                print(trial.row(), flush=True)
                # The call budgets fill up again.
                await asyncio.sleep(2.0)
            await fleet.control(fleet.platform, "faults", {"refuse": 503})
            down = await attempt(way, fleet, RATES[0], f"{kind.__name__}-down")
            print(f"platform down: {down.row()}", flush=True)
            await fleet.control(fleet.platform, "faults", {})
            way.stop()
            await asyncio.gather(*(vm.stop() for vm in vms))


if __name__ == "__main__":
    asyncio.run(main())
