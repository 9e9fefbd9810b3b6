# Licensed under the Apache License 2.0: see LICENSE for details.

"""Obtains slots for this VM's requests while the slots of their service are scarce."""

from __future__ import annotations

import asyncio

from expression import Error, Ok, Result

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.requests.slots import SlotRequest, SlotTicket
from walnutquay.coordination.routed.heldslots import HeldSlots
from walnutquay.coordination.routed.keeperranking import KeeperRanking
from walnutquay.coordination.routed.slotasks import (
    MAX_ASK_SECONDS,
    MAX_SILENT,
    MAX_TRIED,
    Asking,
    SharingPeers,
    SlotAsks,
)
from walnutquay.coordination.routed.slotkeeper import SlotKeeper
from walnutquay.coordination.routed.slotsigns import SlotSigns
from walnutquay.protocol.calls import AnswerHead
from walnutquay.protocol.messages import Envelope
from walnutquay.protocol.slotmessages import (
    AskSlot,
    SlotIs,
    SlotNews,
    SlotReleased,
    SlotsScarce,
    SlotState,
)
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, ServiceName, VmName
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.routed.ownslots import OwnSlots
from walnutquay.state.routed.slottypes import DenialReason, SlotNumber, WorkHash
from walnutquay.state.store.instances import Instance
from walnutquay.transport.timers import monotonic

MILLISECONDS = 1000.0
# The digits of a fingerprint that make a hash of 64 bits, and its bits.
HASH_DIGITS = 16
HASH_BITS = 64
# The shortest wait for this VM's own share; seconds.
MIN_PAUSE_SECONDS = 0.001
REASONS = {
    DenialReason.NO_ROOM.value: "its slots are in use until it is too late",
    DenialReason.OVER_SHARE.value: "the organisation has used its share, and others"
    " wait",
    DenialReason.TOO_LATE.value: "its time passed while the request waited",
}


class SlotSharing:
    """Shares scarce slots: asks for this VM's requests, and decides where it is asked.

    :param context: the state shared within this process.
    :param signs: the signs by which this VM sees that slots are scarce.
    :param keeper: decides for the services for which this VM is asked.
    :param ranking: which VM to ask.
    :param peers: the other VMs.
    """

    def __init__(
        self,
        context: Context,
        signs: SlotSigns,
        keeper: SlotKeeper,
        ranking: KeeperRanking,
        peers: SharingPeers,
    ) -> None:
        self.context = context
        self.signs = signs
        self.keeper = keeper
        self.ranking = ranking
        self.peers = peers
        self.held = HeldSlots()
        self.asks = SlotAsks(context, signs, self.held, keeper, ranking, peers)
        self.own: dict[ServiceName, OwnSlots] = {}
        # The requests that have no slot yet, by a number of this process.
        self.under_way: dict[int, Asking] = {}
        keeper.scarce_listener = lambda service, seconds: signs.on_told(
            service, seconds, monotonic()
        )

    def listen(self, dispatcher: Dispatcher) -> None:
        """Register for the other VMs' messages.

        :param dispatcher: dispatches received messages.
        """
        dispatcher.on(AskSlot, self.answer)
        dispatcher.on(SlotReleased, self.receive_released)
        dispatcher.on(SlotNews, self.asks.receive_news)
        dispatcher.on(SlotsScarce, self.receive_scarce)

    def stop(self) -> None:
        """Share out no more slots; requests of this VM go on."""
        self.ranking.closed = True
        self.keeper.stop()

    # What other VMs tell.

    def answer(self, envelope: Envelope) -> SlotIs:
        """Answer another VM's request for a slot.

        :param envelope: its message.
        """
        body = envelope.body
        assert isinstance(body, AskSlot)
        self.ranking.asked_at = monotonic()
        return self.keeper.ask(VmName(envelope.vm), body)

    def receive_released(self, envelope: Envelope) -> None:
        """Take back a slot of another VM.

        :param envelope: its message.
        """
        body = envelope.body
        assert isinstance(body, SlotReleased)
        self.keeper.release(VmName(envelope.vm), body)

    def receive_scarce(self, envelope: Envelope) -> None:
        """Learn that the slots of a service are scarce.

        :param envelope: the keeper's message.
        """
        body = envelope.body
        assert isinstance(body, SlotsScarce)
        self.signs.on_told(body.service, body.seconds, monotonic())
        hall = self.peers.hall_of(VmName(envelope.vm))
        if hall is not None:
            self.peers.relay(hall, body)

    # What endpoints tell.

    def are_scarce(self, service: ServiceName) -> bool:
        """Return whether requests to a service have to ask for a slot at present.

        :param service: the service.
        """
        return self.signs.are_scarce(service, monotonic())

    def on_answer(self, instance: Instance, head: AnswerHead) -> None:
        """Learn an endpoint's load from the head of an answer.

        :param instance: the endpoint that answered.
        :param head: the head.
        """
        load = self.signs.on_answer(instance, head, monotonic())
        if load is not None:
            self.keeper.learn(instance.service, load)

    def on_rejected(self, instance: Instance, ticket: SlotTicket | None) -> None:
        """Record that an endpoint had no room for a request of this VM.

        :param instance: the endpoint.
        :param ticket: the request's place; None if it has none.
        """
        self.signs.on_rejected(instance.service, monotonic())
        if ticket is not None:
            self.held.reject(ticket.number)
        self.keeper.on_rejected(instance.service, instance.name)

    def on_instance(self, name: EndpointName, instance: Instance | None) -> None:
        """Forget an endpoint that is gone, or its earlier start.

        :param name: the endpoint.
        :param instance: its entry; None if it has none, or if the entry of a later
            start is about to follow.
        """
        if instance is None:
            self.signs.forget(name)

    # Requests of this VM.

    async def acquire(
        self, need: SlotRequest, found: list[Instance]
    ) -> Result[SlotTicket, Refusal]:
        """Wait for one of a service's slots, in the order of all VMs' requests.

        A request that is cancelled meanwhile leaves the queue, or frees its slot.

        :param need: the slot that is requested.
        :param found: the endpoints that the request may be sent to.
        :returns: its place, to be given back by :meth:`release`; or a refusal.
        """
        asking = self._asking(need, found)
        self.context.metrics.count("slots_asked")
        self.under_way[id(asking)] = asking
        try:
            acquired = await self._acquire(asking)
        except BaseException:
            self.asks.leave(asking)
            raise
        finally:
            del self.under_way[id(asking)]
        waited = monotonic() - asking.since
        if asking.queued:
            self.context.metrics.record("slot_wait", waited)
        self._log(asking, acquired, waited)
        return acquired

    def _asking(self, need: SlotRequest, found: list[Instance]) -> Asking:
        service = ServiceName(need.target)
        allowed = {item.name: item for item in found}
        others = [n for n in self.signs.slots_of(service) if n not in allowed]
        if need.content is None:
            work = self.context.rng.getrandbits(HASH_BITS)
        else:
            work = int(need.content[:HASH_DIGITS], HASH_DIGITS)
        tried = tuple(others)
        return Asking(need, service, allowed, tried, WorkHash(work), monotonic())

    async def _acquire(self, asking: Asking) -> Result[SlotTicket, Refusal]:
        while (now := monotonic()) < asking.end:
            if not self._is_known(asking):
                self.asks.leave(asking)
                return Ok(self._unshared(asking.service))
            keeper = self.ranking.keeper(asking.service, now)
            if keeper is None or asking.silent >= MAX_SILENT:
                self.asks.leave(asking)
                ticket = await self._own_share(asking)
                if ticket is not None:
                    return ticket
                continue
            answer = await self.asks.ask(asking, keeper)
            if answer is not None and answer.state is SlotState.WAITING:
                answer = await self.asks.wait(asking)
            result = None if answer is None else self._result(asking, answer)
            if result is not None:
                return result
        self.asks.leave(asking)
        return Error(self._refusal(asking, DenialReason.TOO_LATE.value, None))

    def _result(
        self, asking: Asking, answer: SlotIs
    ) -> Result[SlotTicket, Refusal] | None:
        """Return what a keeper's answer means; None if the request has to ask again."""
        asking.decided_by = asking.keeper
        if answer.state is SlotState.FREE:
            self.asks.forget(asking)
            return Ok(SlotTicket(asking.service, asking.number))
        if answer.state is SlotState.DENIED:
            self.asks.forget(asking)
            return Error(self._refusal(asking, answer.reason, answer.retry_after))
        if answer.state is not SlotState.GRANTED:
            return None
        instance = asking.found.get(answer.endpoint) if answer.endpoint else None
        if instance is None:
            self.asks.leave(asking)
            asking.exclude(answer.endpoint)
            return None
        assert asking.keeper is not None
        self.held.add(
            asking.number,
            asking.service,
            asking.keeper,
            instance.name,
            asking.need.deadline,
        )
        self.asks.forget(asking)
        return Ok(SlotTicket(asking.service, asking.number, instance))

    def _refusal(
        self, asking: Asking, reason: str, retry_after: float | None
    ) -> Refusal:
        self.context.metrics.count(f"slots_denied_{_known_reason(reason)}")
        why = REASONS[_known_reason(reason)]
        text = f"{asking.service} has no slot for the request: {why}"
        return Refusal(RefusalCode.QUEUE_FULL, text, retry_after)

    async def _own_share(self, asking: Asking) -> Result[SlotTicket, Refusal] | None:
        """Wait for this VM's own share of the slots, which no keeper shares out.

        :returns: the place, or a refusal; None if the keepers are to be asked again.
        """
        asking.silent = 0
        # To ask silent keepers before each turn would take longer than turns last.
        until = monotonic() + MAX_ASK_SECONDS
        while (wait := self._own_wait(asking.service)) > 0.0:
            now = monotonic()
            if now + wait >= asking.end:
                return Error(self._refusal(asking, DenialReason.NO_ROOM.value, wait))
            if now >= until:
                return None
            asking.queued = True
            await asyncio.sleep(max(MIN_PAUSE_SECONDS, min(wait, until - now)))
        self.own[asking.service].record_send(monotonic())
        self.context.metrics.count("slots_own_share")
        return Ok(self._unshared(asking.service))

    def _is_known(self, asking: Asking) -> bool:
        """Return whether a keeper can grant a request one of its endpoints.

        It knows of none that are draining, and too few are named as excluded.
        """
        shared = self.signs.slots_of(asking.service)
        can_be_granted = any(name in shared for name in asking.found)
        return can_be_granted and len(asking.tried) <= MAX_TRIED

    def _unshared(self, service: ServiceName) -> SlotTicket:
        """Return the place of a request of which no keeper knows."""
        return SlotTicket(service, SlotNumber(next(self.asks.numbers)))

    def _own_wait(self, service: ServiceName) -> float:
        """Return the time until this VM may send by its own share; seconds."""
        own = self.own.setdefault(service, OwnSlots(self.context.rng))
        slots = sum(self.signs.slots_of(service).values())
        seconds = self.held.work_seconds(service)
        return own.next_send(slots, self.peers.size, seconds, monotonic())

    def release(self, ticket: SlotTicket, seconds: float) -> None:
        """Give a slot back.

        :param ticket: the request's place.
        :param seconds: how long its whole answer took; 0 if it got none.
        """
        self.held.learn(ticket.service, seconds)
        held = self.held.remove(ticket.number)
        if held is None:
            return
        load = self.signs.load_to_tell(held.endpoint, monotonic())
        number = ticket.number
        body = SlotReleased(
            ticket.service, number, held.endpoint, seconds, held.rejected, load
        )
        self.asks.tell(held.keeper, body)

    def _log(
        self, asking: Asking, acquired: Result[SlotTicket, Refusal], waited: float
    ) -> None:
        """Log a decision, unless a slot was free at once."""
        if acquired.is_ok() and not asking.queued:
            return
        granted = acquired.is_ok()
        endpoint = acquired.ok.endpoint if granted else None
        retry = None if granted else acquired.error.retry_after
        self.context.metrics.count(
            "slots_granted_waited" if granted else "slots_denied"
        )
        self.context.timeline.emit(
            EventKind.SLOT_GRANTED if granted else EventKind.SLOT_DENIED,
            request=asking.need.request,
            version=asking.service,
            endpoint="" if endpoint is None else endpoint.name,
            detail="" if granted else acquired.error.reason,
            keeper=asking.decided_by,
            waited_ms=round(waited * MILLISECONDS),
            priority=asking.need.priority,
            organisation=asking.need.organisation,
            retry_after_ms=None if retry is None else round(retry * MILLISECONDS),
        )


def _known_reason(reason: str) -> str:
    """Return the reason of a denial; one that is not known is one for want of room."""
    return reason if reason in REASONS else DenialReason.NO_ROOM.value
