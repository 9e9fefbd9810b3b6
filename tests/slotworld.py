# Licensed under the Apache License 2.0: see LICENSE for details.

"""VMs that share a service's slots over a network that a test cuts and loses on."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from walnutquay.coordination.process.context import Context, Timeline
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.requests.slots import SlotRequest, SlotTicket
from walnutquay.coordination.routed.keeperranking import KeeperRanking
from walnutquay.coordination.routed.slotkeeper import SlotKeeper
from walnutquay.coordination.routed.slotsharing import SlotSharing
from walnutquay.coordination.routed.slotsigns import SlotSigns
from walnutquay.exceptions import PeerError
from walnutquay.protocol.calls import AnswerHead
from walnutquay.protocol.messages import Envelope, Failure, Message
from walnutquay.state.fleet.membership import Address, VmLocation
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    Incarnation,
    OrganisationName,
    RequestId,
    RouteName,
    ServiceName,
    VersionName,
    VmName,
)
from walnutquay.state.requests.refusals import Refusal
from walnutquay.state.routed.overloadscope import Coverage, OverloadScope
from walnutquay.state.routed.slotforecast import REJECTED_SECONDS
from walnutquay.state.store.instances import Instance
from walnutquay.transport.timers import monotonic

SERVICE = ServiceName("plain")
HALL = HallName("hall-a")
LATENCY = 0.001
WORK = 0.1
RING = 20_000


@dataclass
class FakeEndpoint:
    """An endpoint with slots, and a queue behind them."""

    instance: Instance
    paced: bool = True
    running: int = 0
    queue: list[asyncio.Future[None]] = field(default_factory=list)
    # The most requests that were there at once.
    peak: int = 0
    served: int = 0

    def head(self) -> AnswerHead:
        """Return the head of an answer now."""
        pace = 1.0 if self.paced else None
        waiting, slots = len(self.queue), self.instance.slots
        return AnswerHead(
            200,
            RequestId(""),
            False,
            self.running,
            waiting,
            slots,
            None,
            "",
            (),
            pace=pace,
        )

    async def run(self, seconds: float) -> AnswerHead:
        """Run a request, once a slot is free."""
        if self.running >= self.instance.slots:
            turn = asyncio.get_running_loop().create_future()
            self.queue.append(turn)
            self._note_peak()
            try:
                await turn
            except asyncio.CancelledError:
                if turn in self.queue:
                    self.queue.remove(turn)
                else:
                    self._free()
                raise
        else:
            self.running += 1
            self._note_peak()
        try:
            await asyncio.sleep(seconds)
            self.served += 1
            return self.head()
        finally:
            self._free()

    def _note_peak(self) -> None:
        self.peak = max(self.peak, self.running + len(self.queue))

    def _free(self) -> None:
        """Let the next request run in a slot that is free."""
        if self.queue:
            self.queue.pop(0).set_result(None)
        else:
            self.running -= 1


@dataclass
class Result:
    """How a request ended."""

    vm: VmName
    began: float
    deadline: float
    granted: bool = False
    served: bool = False
    refusal: Refusal | None = None
    decided: float = 0.0
    ended: float = 0.0
    endpoint: str = ""


class FakePeers:
    """One VM's way to the others."""

    def __init__(self, world: SlotWorld, vm: VmName) -> None:
        self.world = world
        self.vm = vm
        self.calls = 0
        self.sent = 0

    @property
    def known(self) -> dict[VmName, VmLocation]:
        return self.world.known

    @property
    def size(self) -> int:
        return len(self.world.known)

    def hall_of(self, vm: VmName) -> HallName:
        return HALL

    def relay(self, hall: HallName, body: Message) -> None:
        """Forward nothing: all are in one hall."""

    def broadcast_by_relays(self, body: Message) -> None:
        self.send_to([vm for vm in self.known if vm != self.vm], body)

    def send_to(self, vms: list[VmName], body: Message) -> None:
        for vm in vms:
            self.sent += 1
            if vm in self.known and not self.world.loses(self.vm, vm, body):
                self.world.spawn(self.world.deliver(self.vm, vm, body))

    async def call(self, name: str, body: Message, timeout: float) -> Message:
        self.calls += 1
        other = VmName(name)
        answer = self.world.spawn(self.world.exchange(self.vm, other, body))
        done, _ = await asyncio.wait({answer}, timeout=timeout)
        if not done:
            raise PeerError("silent", peer=name)
        if isinstance(answer.result(), Failure):
            raise PeerError("refused", peer=name)
        return answer.result()


class SlotVm:
    """One VM's part in sharing."""

    def __init__(self, world: SlotWorld, name: VmName, start: int = 0) -> None:
        self.world = world
        self.name = name
        rng = random.Random(f"{world.seed} {name} {start}")
        incarnation = Incarnation(f"{name}-{start}")
        timeline = Timeline(name, RING)
        self.context = Context(name, HALL, incarnation, timeline, rng=rng)
        self.peers = FakePeers(world, name)
        # Endpoints that this VM must not send to.
        self.barred: set[str] = set()

        def slots_of(service: ServiceName) -> dict[EndpointName, int]:
            if service != SERVICE or world.mode is Coverage.NEVER:
                return {}
            return {
                EndpointName(name): one.instance.slots
                for name, one in world.endpoints.items()
            }

        self.sharing = SlotSharing(
            self.context,
            SlotSigns(OverloadScope(world.mode), slots_of),
            SlotKeeper(self.context, slots_of, self.peers),
            KeeperRanking(name, self.peers, rng),
            self.peers,
        )
        self.dispatcher = Dispatcher()
        self.sharing.listen(self.dispatcher)

    @property
    def counters(self) -> dict[str, int]:
        """What the VM has counted."""
        return self.context.metrics.counters

    def found(self) -> list[Instance]:
        """Return the endpoints that this VM may send to."""
        return [
            one.instance
            for name, one in self.world.endpoints.items()
            if name not in self.barred
        ]

    async def request(
        self, work: float = WORK, left: float = 2.0, **more: object
    ) -> Result:
        """Play a request from its arrival to its end."""
        now = monotonic()
        result = Result(self.name, now, now + left)
        self.world.results.append(result)
        need = SlotRequest(
            **{
                "request": RequestId(f"r{len(self.world.results)}"),
                "organisation": OrganisationName("org-a"),
                "weight": 1.0,
                "target": SERVICE,
                "deadline": now + left,
                "since": now,
                "aim": 1.0,
                "priority": 1,
                "route": RouteName("safe"),
                **more,
            }
        )
        ticket: SlotTicket | None = None
        instance = self.context.rng.choice(self.found())
        if self.sharing.are_scarce(SERVICE):
            acquired = await self.sharing.acquire(need, self.found())
            result.decided = monotonic()
            if acquired.is_error():
                result.refusal = acquired.error
                return result
            ticket = acquired.ok
            instance = ticket.endpoint or instance
        result.granted, result.endpoint = True, instance.name
        began = monotonic()
        try:
            head = await self.world.endpoints[instance.name].run(work)
            self.sharing.on_answer(instance, head)
            result.served, result.ended = True, monotonic()
        finally:
            if ticket is not None:
                self.sharing.release(ticket, monotonic() - began)
        return result


class SlotWorld:
    """VMs, endpoints, and the network between the VMs.

    :param vms: how many VMs there are.
    :param slots: the slots of each endpoint.
    :param seed: of all that is left to chance.
    """

    def __init__(
        self,
        vms: int = 4,
        slots: tuple[int, ...] = (2, 2),
        seed: int = 1,
        mode: Coverage = Coverage.PACED,
        paced: bool = True,
    ) -> None:
        self.seed = seed
        self.mode = mode
        self.rng = random.Random(seed)
        self.endpoints = {
            f"p{number}": FakeEndpoint(
                Instance(
                    EndpointName(f"p{number}"),
                    SERVICE,
                    "",
                    HALL,
                    VersionName("v1"),
                    count,
                ),
                paced,
            )
            for number, count in enumerate(slots, 1)
        }
        names = [VmName(f"vm-{number}") for number in range(1, vms + 1)]
        place = VmLocation(Address("127.0.0.1", 1), HALL)
        self.known = dict.fromkeys(names, place)
        self.results: list[Result] = []
        self.tasks: set[asyncio.Task] = set()
        # Pairs of VMs between which nothing goes, from the first to the second.
        self.cut: set[tuple[VmName, VmName]] = set()
        self.dead: set[VmName] = set()
        # VMs that stand still, and what waits for each.
        self.suspended: dict[VmName, asyncio.Event] = {}
        # Says whether a datagram is lost.
        self.loses: Callable[[VmName, VmName, Message], bool] = lambda *_: False
        # Messages that were delivered, by kind.
        self.delivered: list[Message] = []
        self.vms = {name: SlotVm(self, name) for name in names}
        self.starts = dict.fromkeys(names, 0)

    def spawn(self, job: Callable) -> asyncio.Task:
        """Run something beside the story."""
        task = asyncio.ensure_future(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _pass(self, sender: VmName, receiver: VmName) -> None:
        """Let a message go over the network, if it gets through."""
        await asyncio.sleep(LATENCY)
        if (sender, receiver) in self.cut or {sender, receiver} & self.dead:
            await asyncio.sleep(60.0)
            raise asyncio.CancelledError
        for vm in (sender, receiver):
            if vm in self.suspended:
                await self.suspended[vm].wait()

    async def deliver(
        self, sender: VmName, receiver: VmName, body: Message
    ) -> Message | None:
        """Hand a message over."""
        await self._pass(sender, receiver)
        self.delivered.append(body)
        envelope = Envelope(sender, "", Stamp(0, 0), body)
        return await self.vms[receiver].dispatcher.deliver(envelope)

    async def exchange(
        self, sender: VmName, receiver: VmName, body: Message
    ) -> Message | None:
        """Hand a question over, and its answer back."""
        answer = await self.deliver(sender, receiver, body)
        await self._pass(receiver, sender)
        return answer

    def keeper(self) -> SlotVm:
        """Return the first VM in rank."""
        ranking = next(iter(self.vms.values())).sharing.ranking
        return self.vms[ranking._order(SERVICE)[0]]

    def others(self) -> list[SlotVm]:
        """Return the VMs that are not first in rank."""
        return [vm for vm in self.vms.values() if vm is not self.keeper()]

    def kill(self, vm: SlotVm) -> None:
        """Let a VM end."""
        self.dead.add(vm.name)
        vm.sharing.stop()

    def restart(self, vm: SlotVm) -> None:
        """Let a VM that ended start again, without its memory."""
        self.dead.discard(vm.name)
        self.starts[vm.name] += 1
        self.vms[vm.name] = SlotVm(self, vm.name, self.starts[vm.name])

    def mark_scarce(self) -> None:
        """Let all VMs have seen just now that slots are scarce."""
        for vm in self.vms.values():
            for endpoint in self.endpoints.values():
                vm.sharing.on_answer(endpoint.instance, endpoint.head())
            vm.sharing.signs.on_rejected(SERVICE, monotonic())

    def start_scarce(self) -> None:
        """Let all VMs know, and the first in rank of a rejection that is just over."""
        now = monotonic()
        self.mark_scarce()
        kept = self.keeper().sharing.keeper._kept(SERVICE, now)
        if kept is not None:
            kept.queue.on_rejected(EndpointName("p1"), now - REJECTED_SECONDS)

    async def load(
        self, vms: list[SlotVm], count: int, interval: float, **more: object
    ) -> list[Result]:
        """Play requests at VMs in turn, and wait until all have ended."""
        tasks = []
        for number in range(count):
            vm = vms[number % len(vms)]
            tasks.append(self.spawn(vm.request(**more)))
            await asyncio.sleep(interval)
        return list(await asyncio.gather(*tasks))
