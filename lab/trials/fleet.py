# Licensed under the Apache License 2.0: see LICENSE for details.

"""A trial of a version in a fleet in simulated time; ``lab.trials.costs`` prints it.

Sessions whose requests come to any VM, an order that VMs learn of one after the other,
datagrams that are delayed and lost, planned restarts.  The VMs' own code decides; what
is simulated is time, the network between them, the store and the endpoints.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from types import SimpleNamespace
from unittest import mock

from lab.trials.ports import SimulatedOrders, SimulatedPeers, hall_of
from lab.trials.records import Findings, Served, Vm
from walnutquay.coordination.process.context import Context, Timeline, new_incarnation
from walnutquay.coordination.trials import answers as orderanswers
from walnutquay.coordination.trials import exchange as trialexchange
from walnutquay.coordination.trials import sessions as sessionkeeping
from walnutquay.coordination.trials import versions
from walnutquay.coordination.trials.versions import VersionTrials
from walnutquay.protocol.messages import Envelope, Failure, Message, SessionsSeen
from walnutquay.protocol.peer import PeerCodec
from walnutquay.sections import PromisesSection
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    Incarnation,
    ServiceName,
    VersionName,
    VmName,
)
from walnutquay.state.process.revisions import UNKNOWN_ERA, StoreRevision
from walnutquay.state.store.instances import Instance, InstanceRegistry
from walnutquay.state.store.orders import OrderState, RolloutOrder

FIRST_REVISION = StoreRevision(UNKNOWN_ERA, 1)

SERVICE = ServiceName("engine")
OLD = VersionName("v1")
NEW = VersionName("v2")
ENDPOINTS = 3
# Sessions belong together for so long after a request; seconds, as the platform has it.
SESSION_SECONDS = 5.0
# Simulated seconds before the order, of its trial, and after it.
LEAD_SECONDS = 8.0
TRIAL_SECONDS = 24.0
# Means of a request's time and of the time between two requests of a session; seconds.
RUN_SECONDS = 0.8
GAP_SECONDS = 2.0
# The chance that a request is its session's last one.
LAST_CHANCE = 0.3
# A datagram between VMs: how long it takes, and how many are lost.
DELAY_SECONDS = (0.0005, 0.004)
LOST_SHARE = 0.005
# How long after an order VMs learn of it, and after a start of an endpoint.
LEARN_SECONDS = (0.005, 0.03)
LISTED_SECONDS = (0.2, 0.4)
# When endpoints of the new version start; seconds after the order.
STARTS_SECONDS = 0.3
# A VM that restarts is away for so long.
AWAY_SECONDS = 4.0
# Of these, until it hands over what it has seen.
DRAIN_SECONDS = 3.0
DECIDE_SECONDS = versions.DECIDE_SECONDS
KEY = b"lab"


@dataclass
class TrialFleet:
    """A fleet in simulated time.

    :param seed: of all chance.
    :param size: entry VMs.
    :param rate: new sessions a second.
    :param restarts: VMs that are restarted, before and during the trial.
    :param late: VMs that learn of the order this much later; seconds.
    :param late_share: the share of such VMs.
    :param starts: when endpoints of the new version start; seconds after the order.
    :param cut_off: whether VMs that learn late do so also where they ask anew: those
        that they hear from do not answer.
    """

    seed: int
    size: int
    rate: float
    restarts: int = 0
    late: float = 0.0
    late_share: float = 0.0
    starts: float = STARTS_SECONDS
    cut_off: bool = False
    now: float = 0.0
    found: Findings = field(default_factory=Findings)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.codec = PeerCodec([KEY])
        self.vms: list[Vm] = []
        # The order as the store has it; None before it is given.
        self.order: RolloutOrder | None = None
        self.started_at = math.inf
        # VMs that learn late of what was written last.
        self.late_vms: set[VmName] = set()

    # Time.

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """:param seconds: simulated time until then.

        :param action: what to do then.
        """
        heapq.heappush(self.events, (self.now + seconds, next(self.numbers), action))

    @contextmanager
    def clock(self) -> Iterator[None]:
        """Have the VMs' code read the simulated time."""
        with (
            mock.patch.object(versions, "monotonic", lambda: self.now),
            mock.patch.object(trialexchange, "monotonic", lambda: self.now),
            mock.patch.object(sessionkeeping, "monotonic", lambda: self.now),
            mock.patch.object(versions, "unix_seconds", lambda: self.now),
            mock.patch.object(orderanswers, "monotonic", lambda: self.now),
            mock.patch.object(orderanswers, "unix_seconds", lambda: self.now),
        ):
            yield

    async def run(self) -> Findings:
        """Simulate the trial.

        :returns: what it showed.
        """
        with self.clock():
            for number in range(self.size):
                self.vms.append(self._start(VmName(f"vm-{number}")))
            self._schedule()
            end = LEAD_SECONDS + TRIAL_SECONDS + SESSION_SECONDS
            while self.events and self.now < end:
                self.now, _, action = heapq.heappop(self.events)
                action()
                # What the VMs' code has put off to the loop is done at once.
                for _ in range(3):
                    await asyncio.sleep(0)
        return self.found

    def _schedule(self) -> None:
        self.after(0.0, self._new_session)
        self.after(LEAD_SECONDS, self._give_order)
        if self.starts < 0:
            self.after(LEAD_SECONDS + self.starts, self._start_endpoints)
        for vm in self.vms:
            self.after(self.rng.random() * DECIDE_SECONDS, lambda vm=vm: self._tick(vm))
        # Some before the order: what these VMs have seen has to outlast them.
        first = LEAD_SECONDS / 2
        part = (LEAD_SECONDS + TRIAL_SECONDS - first) / max(1, self.restarts)
        for number in range(self.restarts):
            at = first + (number + self.rng.random()) * part
            self.after(at, self._restart)

    # VMs.

    def _start(self, name: VmName) -> Vm:
        registry = InstanceRegistry(2.0)
        orders = SimpleNamespace(listeners=[], orders={}, listed=True)
        knowledge = SimpleNamespace(
            orders=orders,
            instances=SimpleNamespace(registry=registry),
            conditions=[],
            order_follower=SimpleNamespace(query_now=lambda: self._learn(vm)),
        )
        timeline = Timeline(name, 1)
        rng = random.Random(self.rng.random())
        hall = hall_of(name)
        context = Context(name, hall, new_incarnation(), timeline, rng=rng)
        peers = SimulatedPeers(self, name)
        order_store = SimulatedOrders(self)
        knowledge.orders.apply = lambda order: self._take(vm, order)
        trials = VersionTrials(
            context, knowledge, order_store, peers, PromisesSection()
        )
        vm = Vm(name, trials, registry, orders, hall)
        self._list(vm, OLD)
        return vm

    def _list(self, vm: Vm, version: VersionName) -> None:
        for number in range(ENDPOINTS):
            endpoint = EndpointName(f"i-{version}-{number}")
            hall = HallName("hall-a")
            vm.registry.put(
                Instance(endpoint, SERVICE, "http://x", hall, version, 8), self.now
            )

    def _tick(self, vm: Vm) -> None:
        if vm not in self.vms:
            return
        self.after(DECIDE_SECONDS, lambda: self._tick(vm))
        task = asyncio.ensure_future(vm.trials.decide())
        task.add_done_callback(lambda done: done.result())
        for trial in vm.trials.tasks.values():
            kept = len(trial.trial.kept.all())
            self.found.kept = max(self.found.kept, kept)

    def _restart(self) -> None:
        """Stop a VM as planned; a new one with its name comes back later."""
        vm = self.rng.choice(self.vms)
        vm.up = False
        self.after(DRAIN_SECONDS, lambda: self._hand_over(vm))
        self.after(AWAY_SECONDS, lambda: self._come_back(vm))

    def _hand_over(self, vm: Vm) -> None:
        if vm in self.vms:
            vm.trials.background.spawn(vm.trials.sessions.hand_over())

    def _come_back(self, old: Vm) -> None:
        if old not in self.vms:
            return
        self.vms.remove(old)
        vm = self._start(old.name)
        if self.order is not None:
            self._list(vm, NEW)
            self._take(vm, self.order)
        self.vms.append(vm)
        self._tick(vm)

    # The store.

    def _give_order(self) -> None:
        self.started_at = self.now
        self.write(
            RolloutOrder(
                "engine", FIRST_REVISION, SERVICE, NEW, TRIAL_SECONDS, OrderState.NEW
            )
        )
        if self.starts >= 0:
            self._start_endpoints()

    def _start_endpoints(self) -> None:
        for vm in list(self.vms):
            delay = max(0.0, self.starts) + self.rng.uniform(*LISTED_SECONDS)
            self.after(delay, lambda vm=vm: self._list(vm, NEW))

    def write(self, order: RolloutOrder) -> None:
        """:param order: the order as it stands from now on."""
        self.order = order
        self.found.done = order.state is OrderState.DONE
        self.late_vms.clear()
        for vm in self.vms:
            delay = self.rng.uniform(*LEARN_SECONDS)
            if self.rng.random() < self.late_share:
                delay += self.late
                self.late_vms.add(vm.name)
            self.after(delay, lambda vm=vm, known=order: self._take(vm, known))

    def _learn(self, vm: Vm) -> None:
        """Have a VM ask for the orders anew."""
        delay = self.rng.uniform(*LEARN_SECONDS)
        if self.cut_off and vm.name in self.late_vms:
            delay += self.late
        self.after(delay, lambda: self.order and self._take(vm, self.order))

    def _take(self, vm: Vm, order: RolloutOrder) -> None:
        known = vm.orders.orders.get(order.name)
        if known is not None and known.revision >= order.revision:
            return
        vm.orders.orders[order.name] = order
        vm.trials.on_order(order)

    # Messages.

    def send(
        self,
        sender: VmName,
        body: Message,
        meant: Callable[[Vm], bool] = lambda vm: True,
    ) -> None:
        """Send a datagram to other VMs.

        :param sender: the VM.
        :param body: the message.
        :param meant: whether it goes to a VM.
        """
        envelope = Envelope(sender, Incarnation("i"), Stamp(1, 0), body)
        size = len(self.codec.encode(envelope))
        for vm in self.vms:
            if vm.name == sender or not meant(vm):
                continue
            self.found.datagrams += 1
            self.found.bytes += size
            if vm.hall != hall_of(sender):
                self.found.bytes_between_halls += size
            if self.rng.random() >= LOST_SHARE:
                delay = self.rng.uniform(*DELAY_SECONDS)
                self.after(delay, lambda vm=vm: vm.trials.exchange.receive(envelope))

    def ask(self, sender: VmName, body: Message) -> Message | None:
        """Ask some other VMs.

        :returns: the first answer.
        """
        others = [vm for vm in self.vms if vm.name != sender]
        envelope = Envelope(sender, Incarnation("i"), Stamp(1, 0), body)
        for vm in self.rng.sample(others, min(3, len(others))):
            if isinstance(body, SessionsSeen):
                answer = vm.trials.sessions.take_over(envelope)
            else:
                answer = vm.trials.exchange.answer(envelope)
            if not isinstance(answer, Failure):
                return answer
        return None

    # Sessions.

    def _new_session(self) -> None:
        self.after(self.rng.expovariate(self.rate), self._new_session)
        self._request(f"session-{next(self.numbers)}", None)

    def _request(self, session: str, last: Served | None) -> None:
        """Send a session's next request to any VM that takes one."""
        ready = [vm for vm in self.vms if vm.up and vm.trials.has_caught_up()]
        vm = self.rng.choice(ready)
        arrival = SimpleNamespace(route=SimpleNamespace(name="r"), request="r")
        turn = SimpleNamespace(
            arrival=arrival, service=SERVICE, session=session, model=0, avoid_new=False
        )
        choice = vm.trials.version_for(turn)
        version = choice.version if choice is not None and choice.version else OLD
        if self.found.done:
            version = NEW
        self._judge(version, vm, last)
        endpoint = EndpointName(f"i-{version}-{self.rng.randrange(ENDPOINTS)}")
        hall = HallName("hall-a")
        instance = Instance(endpoint, SERVICE, "http://x", hall, version, 8)
        grant = SimpleNamespace(endpoint=instance, name=endpoint)
        vm.trials.began(turn, grant)
        seconds = self.rng.expovariate(1.0 / RUN_SECONDS)
        self.after(seconds, lambda: self._end(vm, turn, grant, version))

    def _judge(self, version: VersionName, vm: Vm, last: Served | None) -> None:
        """Check the platform's rule on sessions and versions."""
        found = self.found
        found.requests += 1
        found.on_new += version == NEW
        if last is None or self.now - last.ended >= SESSION_SECONDS:
            return
        found.moved += vm.name != last.vm
        if version == last.version:
            return
        if version == OLD:
            found.back += 1
        elif self.now - self.started_at < TRIAL_SECONDS / 2:
            found.too_early += 1

    def _end(
        self, vm: Vm, turn: SimpleNamespace, grant: SimpleNamespace, version: str
    ) -> None:
        vm.trials.left(turn, grant)
        vm.trials.succeeded(turn, grant, 0.1)
        if self.rng.random() < LAST_CHANCE:
            return
        last = Served(VersionName(version), vm.name, self.now)
        gap = self.rng.expovariate(1.0 / GAP_SECONDS)
        self.after(gap, lambda: self._request(turn.session, last))


def simulate(seed: int, size: int, rate: float, **more: float) -> Findings:
    """:param seed: of all chance.

    :param size: entry VMs.
    :param rate: new sessions a second.
    :returns: what the trial showed.
    """
    return asyncio.run(TrialFleet(seed, size, rate, **more).run())  # type: ignore[arg-type]
