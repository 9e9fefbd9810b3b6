# Licensed under the Apache License 2.0: see LICENSE for details.

"""Shares the scarce slots of services out to all VMs that ask this one."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

import xxhash

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.routed.slotsigns import SlotsOf
from walnutquay.protocol.messages import Message
from walnutquay.protocol.slotmessages import (
    AskSlot,
    SlotIs,
    SlotLoad,
    SlotNews,
    SlotReleased,
    SlotsScarce,
    SlotState,
)
from walnutquay.state.fleet.membership import VmLocation
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, ServiceName, VmName
from walnutquay.state.routed.questionlimit import QuestionLimit
from walnutquay.state.routed.slotqueue import SlotQueue
from walnutquay.state.routed.slottypes import (
    Denied,
    EndpointLoad,
    Granted,
    SlotDecision,
    SlotKey,
    SlotNumber,
    WaitingRequest,
)
from walnutquay.transport.timers import monotonic

# How often all VMs are told that slots are scarce, at least and for each VM, so that it
# costs a tenth of what a VM may spend on others in any fleet; seconds.
TELL_SECONDS = 0.5
TELL_SECONDS_A_VM = 0.02
# What they are told holds for so many of these periods: a message may be lost.
TOLD_PERIODS = 3
# How often the endpoints of a service are looked up; seconds.
REFRESH_SECONDS = 0.1
# A queue that nobody has used for this long is dropped; seconds.
IDLE_SECONDS = 30.0
# A new queue has not heard of all loads, and counts all who ask for this long; seconds.
NEW_SECONDS = 1.0
# The shortest time until a queue decides by itself again; seconds.
MIN_PAUSE_SECONDS = 0.005


def tell_seconds(vms: int) -> float:
    """Return how often the VMs of a fleet are told that slots are scarce; seconds.

    :param vms: the number of entry VMs.
    """
    return max(TELL_SECONDS, TELL_SECONDS_A_VM * vms)


# Told of decisions on this VM's own requests.
Listener = Callable[[SlotNumber, SlotIs], None]
# Told that the slots of a service are scarce, and for how long; seconds.
ScarceListener = Callable[[ServiceName, float], None]


class KeeperPeers(Protocol):
    """The other entry VMs."""

    @property
    def known(self) -> Mapping[VmName, VmLocation]:
        """The location of each VM; a new object whenever the list changes."""

    def send_to(self, vms: list[VmName], body: Message) -> None:
        """Send a message to some VMs; it may be lost.

        :param vms: the VMs.
        :param body: the message.
        """

    def broadcast_by_relays(self, body: Message) -> None:
        """Send a message to all VMs, in larger fleets through relays; it may be lost.

        :param body: the message.
        """


@dataclass(slots=True)
class KeptQueue:
    """The queue of one service.

    :param service: the service.
    :param queue: decides who gets which slot.
    :param slots: the slots of the service's endpoints.
    :param created_at: when the queue was created; monotonic seconds.
    :param refreshed_at: when the slots were looked up last; monotonic seconds.
    :param told_at: when all VMs were told that slots are scarce; monotonic seconds.
    :param used_at: when a VM asked or told something last; monotonic seconds.
    :param timer: calls when the queue has to decide by itself.
    """

    service: ServiceName
    queue: SlotQueue
    slots: Mapping[EndpointName, int]
    created_at: float
    refreshed_at: float = -math.inf
    told_at: float = -math.inf
    used_at: float = -math.inf
    timer: asyncio.TimerHandle | None = None


def answer_of(decision: SlotDecision | None, start: int) -> SlotIs:
    """Return the message that tells a decision.

    :param decision: the decision; None if the request waits.
    :param start: the number of this VM's start.
    """
    if isinstance(decision, Granted):
        return SlotIs(SlotState.GRANTED, decision.endpoint, start=start)
    if isinstance(decision, Denied):
        reason = decision.reason.value
        return SlotIs(SlotState.DENIED, None, decision.retry_after, reason, start)
    return SlotIs(SlotState.WAITING, start=start)


class SlotKeeper:
    """The queues of the services whose slots this VM shares out.

    :param context: the state shared within this process.
    :param slots_of: returns the slots of a service's endpoints; none are shared out
        where it is empty.
    :param peers: the other VMs.
    """

    def __init__(self, context: Context, slots_of: SlotsOf, peers: KeeperPeers) -> None:
        self.context = context
        self.slots_of = slots_of
        self.peers = peers
        self.kept: dict[ServiceName, KeptQueue] = {}
        self.questions = QuestionLimit()
        # Tells other VMs whether this process still knows what it knew.
        self.start = xxhash.xxh3_64_intdigest(context.incarnation.encode())
        self.listener: Listener = lambda number, answer: None
        self.scarce_listener: ScarceListener = lambda service, seconds: None
        self.known_vms: Mapping[VmName, VmLocation] | None = None
        self.closed = False

    def stop(self) -> None:
        """Share out no more slots."""
        self.closed = True
        for kept in self.kept.values():
            if kept.timer is not None:
                kept.timer.cancel()
        self.kept.clear()

    def ask(self, vm: VmName, body: AskSlot) -> SlotIs:
        """Answer a request for a slot.

        :param vm: the VM that has the caller.
        :param body: its question.
        """
        now = monotonic()
        key = SlotKey(vm, body.number)
        kept = self._kept(body.service, now)
        if kept is None:
            return SlotIs(SlotState.NOT_HERE, start=self.start)
        kept.used_at = now
        queue = kept.queue
        for load in body.loads:
            self._learn(kept, load, now)
        for held in body.held:
            other = SlotKey(vm, held.number)
            queue.adopt(other, held.endpoint, now + held.time_left)
        self._decide(kept, now)
        if not queue.knows(key):
            is_new = now - kept.created_at < NEW_SECONDS
            if not is_new and not queue.is_scarce(now):
                return SlotIs(SlotState.FREE, start=self.start)
            if not self.questions.take(now):
                self.context.metrics.count("slot_questions_undecided")
                return SlotIs(SlotState.FREE, start=self.start)
            queue.ask(self._waiting(key, body, now), now)
            if not queue.knows(key):
                # It is over already: its withdrawal came before the question.
                return SlotIs(SlotState.NOT_HERE, start=self.start)
            self._decide(kept, now, key)
        return answer_of(queue.state_of(key), self.start)

    def _waiting(self, key: SlotKey, body: AskSlot, now: float) -> WaitingRequest:
        return WaitingRequest(
            key,
            body.service,
            body.route,
            body.organisation,
            body.weight,
            body.priority,
            body.work,
            now - body.waited,
            now + body.in_time,
            now + body.time_left,
            frozenset(body.tried),
        )

    def release(self, vm: VmName, body: SlotReleased) -> None:
        """Take a slot back, or a request from the queue.

        :param vm: the VM that has the caller.
        :param body: its message.
        """
        now = monotonic()
        key = SlotKey(vm, body.number)
        kept = self.kept.get(body.service)
        if kept is None:
            return
        kept.used_at = now
        if body.load is not None:
            self._learn(kept, body.load, now)
        # What the endpoint told counts the request that it answered.
        kept.queue.release(key, body.seconds, now)
        if body.rejected and body.endpoint is not None:
            kept.queue.on_rejected(body.endpoint, now)
        self._decide(kept, now)

    def learn(self, service: ServiceName, load: EndpointLoad) -> None:
        """Learn an endpoint's load from an answer to this VM.

        :param service: the service.
        :param load: the load.
        """
        kept = self.kept.get(service)
        if kept is not None and load.name in kept.slots:
            kept.queue.on_load(load)
            self._decide(kept, monotonic())

    def on_rejected(self, service: ServiceName, name: EndpointName) -> None:
        """Learn that an endpoint had no room for a request of this VM.

        :param service: the service.
        :param name: the endpoint.
        """
        kept = self.kept.get(service)
        if kept is not None and name in kept.slots:
            kept.queue.on_rejected(name, monotonic())

    def _learn(self, kept: KeptQueue, load: SlotLoad, now: float) -> None:
        slots = kept.slots.get(load.endpoint)
        if slots is None:
            return
        pace = 1.0 if load.pace is None else load.pace
        told_at = now - load.age
        kept.queue.on_load(
            EndpointLoad(
                load.endpoint, slots, load.running, load.waiting, pace, told_at
            )
        )

    def _kept(self, service: ServiceName, now: float) -> KeptQueue | None:
        """Return the queue of a service, created if needed; None if it has no slots."""
        if self.closed:
            return None
        kept = self.kept.get(service)
        if kept is None:
            slots = self.slots_of(service)
            if not slots:
                return None
            queue = SlotQueue(service, self.context.rng)
            kept = self.kept[service] = KeptQueue(service, queue, {}, now)
        self._refresh(kept, now)
        return kept

    def _refresh(self, kept: KeptQueue, now: float) -> None:
        """Take in which endpoints and VMs there are."""
        if now - kept.refreshed_at >= REFRESH_SECONDS:
            kept.refreshed_at = now
            slots = self.slots_of(kept.service)
            if slots != kept.slots:
                kept.slots = dict(slots)
                kept.queue.set_endpoints(kept.slots)
                kept.queue.allow(kept.slots)
        if self.known_vms is not self.peers.known:
            before, self.known_vms = self.known_vms, self.peers.known
            for vm in set(before or ()) - set(self.known_vms) - {self.context.vm}:
                for other in self.kept.values():
                    other.queue.forget_vm(vm)

    def _decide(
        self, kept: KeptQueue, now: float, asked: SlotKey | None = None
    ) -> None:
        """Let a queue decide, and tell the VMs.

        :param kept: the queue.
        :param now: monotonic seconds.
        :param asked: the request that is being answered, which needs no news.
        """
        for decision in kept.queue.decide(now):
            if decision.key == asked:
                continue
            answer = answer_of(decision, self.start)
            vm, number = decision.key.vm, decision.key.number
            if vm == self.context.vm:
                self.listener(number, answer)
            else:
                self.peers.send_to([vm], SlotNews(kept.service, number, answer))
        self._tell(kept, now)
        self._arm(kept, now)

    def _tell(self, kept: KeptQueue, now: float) -> None:
        """Tell all VMs from time to time that slots are scarce."""
        period = tell_seconds(self.peers.size)
        if now - kept.told_at < period or not kept.queue.is_scarce(now):
            return
        told_for = TOLD_PERIODS * period
        if now - kept.told_at > told_for:
            self.context.timeline.emit(
                EventKind.SLOTS_SCARCE,
                version=kept.service,
                slots=sum(kept.slots.values()),
            )
        kept.told_at = now
        self.scarce_listener(kept.service, told_for)
        self.peers.broadcast_by_relays(SlotsScarce(kept.service, told_for))

    def _arm(self, kept: KeptQueue, now: float) -> None:
        """Call again when the queue has something to decide by itself."""
        if kept.timer is not None:
            kept.timer.cancel()
        at = kept.queue.next_at(now)
        pause = IDLE_SECONDS if at is None else at - now
        pause = min(max(pause, MIN_PAUSE_SECONDS), IDLE_SECONDS)
        loop = asyncio.get_running_loop()
        kept.timer = loop.call_later(pause, self._wake, kept)

    def _wake(self, kept: KeptQueue) -> None:
        now = monotonic()
        kept.timer = None
        if self.kept.get(kept.service) is not kept:
            return
        self._refresh(kept, now)
        idle = now - kept.used_at >= IDLE_SECONDS
        if not kept.slots or (idle and not kept.queue.is_scarce(now)):
            del self.kept[kept.service]
            return
        self._decide(kept, now)
