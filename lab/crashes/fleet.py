# Licensed under the Apache License 2.0: see LICENSE for details.

"""A fleet in simulated time, with requests that end the engines that run them.

The VMs' own code finds them (``coordination/requests/crashes.py``);
what is simulated is time, the network, callers, and engines that run and crash.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from enum import Enum
from types import SimpleNamespace
from unittest import mock

from lab.crashes.engines import TARGET, Engine, FleetCalls, Request, Run
from lab.crashes.virtualtime import VirtualLoop, run_virtually
from lab.crashes.ways import WAYS, Findings, Way
from walnutquay.coordination.process.context import Context, Timeline, new_incarnation
from walnutquay.coordination.requests import crashblocks, crashes, crashlog, crashnews
from walnutquay.coordination.requests.crashes import CrashWatch
from walnutquay.exceptions import PeerError
from walnutquay.protocol.messages import Envelope, Message
from walnutquay.protocol.peer import PeerCodec
from walnutquay.state.fleet.membership import rendezvous
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    VmName,
)
from walnutquay.state.requests.preference import endpoints_apart, preferred_endpoint

# Datagrams and connections between machines: seconds one way, and the share lost.
WAY_SECONDS = (0.0005, 0.002)
LOST_SHARE = 0.005
# From a run's beginning to its engine's end, where it ends the engine soon, and where
# it ends it after some events.
CRASH_SECONDS = (0.02, 0.12)
LATE_CRASH_SECONDS = (0.4, 1.2)
# How long an engine is away, and how long a request waits for its turn there.
AWAY_SECONDS = (1.5, 4.0)
QUEUE_SECONDS = 0.15
# The mean time of a run.
RUN_SECONDS = 1.5
ATTEMPTS = 3
# Tries of one caller's request in all, and the time between them.
TRIES = 10
TRY_GAP_SECONDS = 2.0
# A refused innocent request comes again so often.
INNOCENT_TRIES = 2
# Before the first crashing request, and after the last one's first try.
LEAD_SECONDS = 5.0
TAIL_SECONDS = 25.0
# After so long each VM that is in touch has the news of an end.
CONTACT_SECONDS = 3.0
KEY = b"lab"


class Moment(Enum):
    """When a crashing request ends its engine."""

    FIRST = "on its first event"
    BEFORE = "before its first event"
    LATER = "after some events"


class Peers:
    """The other VMs of one VM."""

    def __init__(self, fleet: CrashFleet, vm: VmName) -> None:
        self.fleet = fleet
        self.vm = vm

    def broadcast(self, body: Message) -> None:
        """:param body: a message to all of them."""
        self.fleet.send(self.vm, self.fleet.vms, body)

    def send_to_some(self, body: Message) -> None:
        """:param body: a message to some of them."""
        others = self.fleet.rng.sample(self.fleet.vms, min(12, len(self.fleet.vms)))
        self.fleet.send(self.vm, others, body)

    def is_responsible_for(self, key: str) -> bool:
        """:returns: whether this VM does what is done once for a name."""
        names = [watch.context.vm for watch in self.fleet.vms]
        return rendezvous(key, names)[0] == self.vm

    async def call(self, name: str, body: Message, timeout: float) -> Message:
        """:returns: the answer of another VM."""
        await self.fleet.way()
        for watch in self.fleet.vms:
            if watch.context.vm == name and self.fleet.way_of.told:
                return watch.exchange.answer(self.fleet.envelope(self.vm, body))
        raise PeerError("there is no such VM")


class CrashFleet:
    """A fleet, its engines and its callers.

    :param seed: of all chance.
    :param size: entry VMs.
    :param engines: engines.
    :param slots: requests that each runs at once.
    :param rate: other requests a second.
    :param crashing: requests that end engines.
    :param copies: how often each is sent at a time, through any VMs.
    :param way: how it is dealt with.
    :param moment: when it ends its engines.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        engines: int,
        slots: int,
        rate: float,
        crashing: int = 1,
        copies: int = 1,
        way: Way = WAYS[0],
        moment: Moment = Moment.FIRST,
    ) -> None:
        self.rng = random.Random(seed)
        self.size, self.slots, self.rate = size, slots, rate
        self.crashing, self.copies, self.way_of = crashing, copies, way
        self.moment = moment
        self.attempts = ATTEMPTS
        self.loop = VirtualLoop()
        self.numbers = itertools.count()
        self.engines = [self._engine() for _ in range(engines)]
        self.vms: list[CrashWatch] = []
        self.codec = PeerCodec([KEY])
        self.found = Findings()
        self.third_at: dict[str, float] = {}
        self.tasks: set[asyncio.Task] = set()

    def _engine(self) -> Engine:
        return Engine(EndpointName(f"i-{next(self.numbers)}"))

    def run(self) -> Findings:
        """:returns: what the run has shown."""
        with (
            mock.patch.object(crashes, "monotonic", self.loop.time),
            mock.patch.object(crashblocks, "monotonic", self.loop.time),
            mock.patch.object(crashlog, "monotonic", self.loop.time),
            mock.patch.object(crashnews, "monotonic", self.loop.time),
        ):
            return run_virtually(self.loop, self._run())

    async def _run(self) -> Findings:
        for _ in range(self.size):
            self.add_vm()
        await self.bring_requests()
        await asyncio.sleep(3.0 * RUN_SECONDS)
        for watch in self.vms:
            watch.context.timers.stop()
            watch.close()
        for task in list(self.tasks):
            task.cancel()
        return self.found

    def add_vm(self) -> None:
        """Start a VM, which knows of no crash yet."""
        vm = VmName(f"vm-{len(self.vms)}")
        context = Context(vm, HallName("hall"), new_incarnation(), Timeline(vm, 1))
        watch = CrashWatch(context, Peers(self, vm))
        self.vms.append(watch)
        watch.start()
        if self.way_of.stops:
            watch.watch_calls(FleetCalls(self.engines, watch))

    async def bring_requests(self) -> None:
        """Have all callers bring their requests."""
        end = LEAD_SECONDS + TAIL_SECONDS
        for number in range(self.crashing):
            self._spawn(self._crashing_caller(f"crashing-{number}"))
        while self.loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            self._spawn(self._innocent_caller(f"innocent-{next(self.numbers)}"))

    def _spawn(self, coroutine) -> None:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # The network.

    async def way(self) -> None:
        """Let a message take its time."""
        await asyncio.sleep(self.rng.uniform(*WAY_SECONDS))

    def envelope(self, vm: VmName, body: Message) -> Envelope:
        """:returns: a message as it comes, after it was written and read."""
        sealed = self.codec.encode(Envelope(vm, "lab", Stamp(1, 0), body))
        self.found.bytes += len(sealed)
        return self.codec.decode(sealed)

    def send(self, vm: VmName, others: list[CrashWatch], body: Message) -> None:
        """Send a message that may be lost, and that takes its time."""
        if not self.way_of.told:
            return
        for other in others:
            if other.context.vm == vm:
                continue
            self.found.datagrams += 1
            if self.rng.random() >= LOST_SHARE:
                self._spawn(self._deliver(other, self.envelope(vm, body)))

    async def _deliver(self, watch: CrashWatch, envelope: Envelope) -> None:
        await self.way()
        handlers = SimpleNamespace(
            CrashNews=watch.exchange.receive, CrashDigest=watch.exchange.compare
        )
        getattr(handlers, type(envelope.body).__name__)(envelope)

    # Callers.

    async def _crashing_caller(self, name: str) -> None:
        await asyncio.sleep(LEAD_SECONDS * self.rng.uniform(0.9, 1.1))
        for _ in range(TRIES):
            request = Request(name, True, self.loop.time() + 5.0)
            vms = self.rng.sample(self.vms, min(self.copies, self.size))
            await asyncio.gather(*(self._serve(vm, request) for vm in vms))
            await asyncio.sleep(TRY_GAP_SECONDS * self.rng.uniform(0.0, 1.0))

    async def _innocent_caller(self, name: str) -> None:
        request = Request(name, False, self.loop.time() + 20.0)
        for _ in range(INNOCENT_TRIES):
            outcome = await self._serve(self.rng.choice(self.vms), request)
            if outcome == "served":
                self.found.served += 1
                return
        if outcome == "refused":
            self.found.refused += 1
        else:
            self.found.lost += 1

    # A VM.

    async def _serve(self, watch: CrashWatch, request: Request) -> str:
        """Serve a request at a VM, as the path of requests does."""
        tried: set[Engine] = set()
        sends = 0
        while sends < self.attempts:
            engine = self._choose(watch, request, tried)
            if engine is None:
                return "lost"
            if watch.refusal(request, TARGET) is not None:
                return "refused"
            sends += 1
            sent = self.loop.time()
            began = await self._try(watch, engine, request)
            if began is True:
                watch.record_answer(request, TARGET, engine.name)
                return "served"
            if not request.crashes:
                self.found.hit += 1
            tried.add(engine)
            await self.way()
            if self.way_of.known and not engine.up:
                sends -= 1
                ran = None if began is None else self.loop.time() - began
                held = self.loop.time() - sent
                name = engine.name
                watch.record_crash(request, TARGET, name, ran, held, ran or 0.0)
                await watch.await_peer_traces(request, TARGET)
        return "lost"

    def _choose(
        self, watch: CrashWatch, request: Request, tried: set[Engine]
    ) -> Engine | None:
        left = [e for e in self.engines if e.up and e not in tried]
        if not left:
            return None
        suspect = watch.suspect_key(request)
        if suspect and self.way_of.apart:
            others = watch.companions(suspect)
            apart = endpoints_apart([e.name for e in left], suspect, others)
            name = preferred_endpoint(apart, suspect)
            return next(engine for engine in left if engine.name == name)
        pair = [self.rng.choice(left) for _ in range(2)]
        return min(pair, key=lambda engine: len(engine.runs))

    # An engine.

    async def _try(
        self, watch: CrashWatch, engine: Engine, request: Request
    ) -> float | bool | None:
        """Have an engine run a request.

        :returns: True where it answered; else when its answer began, None where none
            did.
        """
        await self.way()
        if not engine.up:
            return None
        if request.crashes and self._late(request):
            sent = self.found.sent_after
            sent[request.name] = sent.get(request.name, 0) + 1
        broke: asyncio.Future[None] = self.loop.create_future()
        run = engine.runs[broke] = Run(watch, request, self.loop.time)
        waits = QUEUE_SECONDS * self.rng.random() * len(engine.runs) / self.slots
        await asyncio.wait([broke], timeout=QUEUE_SECONDS / 3 + waits)
        if broke.done():
            return None
        began = run.began = self.loop.time()
        if request.crashes:
            late = self.moment is Moment.LATER
            after = self.rng.uniform(*(LATE_CRASH_SECONDS if late else CRASH_SECONDS))
            await asyncio.wait([broke], timeout=after)
            if not broke.done():
                self._crash(engine, request)
            return None if self.moment is Moment.BEFORE else began
        await asyncio.wait([broke], timeout=self.rng.expovariate(1 / RUN_SECONDS))
        if broke.done():
            return began
        del engine.runs[broke]
        return True

    def _late(self, request: Request) -> bool:
        third = self.third_at.get(request.name, float("inf"))
        return self.loop.time() > third + CONTACT_SECONDS

    def _crash(self, engine: Engine, request: Request) -> None:
        ended = self.found.ended
        ended[request.name] = ended.get(request.name, 0) + 1
        if ended[request.name] == 3:
            self.third_at[request.name] = self.loop.time()
        self._end(engine)

    def _end(self, engine: Engine) -> None:
        engine.up = False
        self.engines.remove(engine)
        for broke in engine.runs:
            broke.set_result(None)
        self._spawn(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(self.rng.uniform(*AWAY_SECONDS))
        self.engines.append(self._engine())
