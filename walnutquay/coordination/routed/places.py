# Licensed under the Apache License 2.0: see LICENSE for details.

"""Keeps the requests of all VMs within the slots of brittle endpoints."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import Protocol

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.routed.issuers import IssuerRanking
from walnutquay.coordination.routed.linkqueries import QueriedPeers
from walnutquay.exceptions import PeerError
from walnutquay.protocol.messages import Envelope, Message
from walnutquay.protocol.placemessages import (
    AskPlace,
    BrittleNews,
    PlaceIs,
    PlacesUsed,
)
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, HallName, VmName
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.routed.places import (
    BrittleEndpoint,
    PlaceLedger,
    PlaceRequest,
    own_share,
)
from walnutquay.state.store.instances import Instance, InstanceRegistry
from walnutquay.transport.timers import monotonic

# An issuer answers within some milliseconds.
ANSWER_SECONDS = 0.15
# After a rejection, this VM and the others ask for no place for this long; seconds.
REJECTED_SECONDS = 0.5
# The interval at which a VM tells the issuer of requests that are still there.
TELL_SECONDS = 2.0


class Peers(QueriedPeers, Protocol):
    """The other entry VMs."""

    def send_to(self, vms: list[VmName], body: Message) -> None:
        """Send a message to some VMs; it may be lost.

        :param vms: the VMs.
        :param body: the message.
        """

    def hall_of(self, vm: VmName) -> HallName | None:
        """Return the data hall of a VM, or None if the VM is not known.

        :param vm: the VM.
        """

    def broadcast_by_relays(self, body: Message) -> None:
        """Send a message to all VMs, in larger fleets through relays; it may be lost.

        :param body: the message.
        """

    def relay(self, hall: HallName, body: Message) -> None:
        """Forward a message from another data hall in this one, if this VM is a relay.

        :param hall: the data hall of the sender.
        :param body: the message.
        """


class Places:
    """The places of this VM at brittle endpoints, and those that it grants.

    :param context: the state shared within this process.
    :param registry: the listed endpoints.
    :param table: the requests of this VM at endpoints.
    :param ranking: which VM counts the requests at an endpoint.
    :param peers: the other VMs.
    """

    def __init__(
        self,
        context: Context,
        registry: InstanceRegistry,
        table: EndpointTable,
        ranking: IssuerRanking,
        peers: Peers,
    ) -> None:
        self.context = context
        self.registry = registry
        self.table = table
        self.ranking = ranking
        self.peers = peers
        self.brittle: dict[EndpointName, BrittleEndpoint] = {}
        # Requests that wait for the issuer's answer, by endpoint.
        self.asking: Counter[EndpointName] = Counter()
        # The requests of all VMs at the endpoints that this VM counts them for.
        self.ledgers: dict[EndpointName, PlaceLedger] = {}
        self.numbers = itertools.count(1)

    def listen(self, dispatcher: Dispatcher) -> None:
        """Register for the other VMs' messages.

        :param dispatcher: dispatches received messages.
        """
        dispatcher.on(AskPlace, self.answer)
        dispatcher.on(PlacesUsed, self.count)
        dispatcher.on(BrittleNews, self.receive)

    def start(self) -> None:
        """Start telling the issuers of the requests that go on."""
        self.context.timers.every("places", TELL_SECONDS, self._tell_all)

    # What endpoints announce.

    def on_answer(self, instance: Instance, borne: int | None, sent_at: float) -> None:
        """Learn whether an endpoint is brittle.

        :param instance: the endpoint that answered.
        :param borne: the rejections a second that it survives; None if it says nothing.
        :param sent_at: when its request was sent; monotonic seconds.
        """
        name = instance.name
        known = self.brittle.get(name)
        if borne is not None:
            self._learn(name, instance.born, borne, "its answer")
            if known is None:
                news = BrittleNews(name, instance.born, borne, rejected=False)
                self.peers.broadcast_by_relays(news)
        elif known is not None and sent_at > known.announced_at:
            del self.brittle[name]
            self.ledgers.pop(name, None)
            self.context.timeline.emit(EventKind.ENDPOINT_STURDY, endpoint=name)

    def on_rejected(self, instance: Instance) -> None:
        """Record that an endpoint had no room for a request of this VM.

        :param instance: the endpoint.
        """
        known = self.brittle.get(instance.name)
        if known is None:
            return
        self._record_rejection(instance.name, known)
        self.context.metrics.count("brittle_rejections")
        news = BrittleNews(instance.name, known.born, known.rejections_borne, True)
        self.peers.broadcast_by_relays(news)

    def receive(self, envelope: Envelope) -> None:
        """Learn from another VM.

        :param envelope: its message.
        """
        body = envelope.body
        assert isinstance(body, BrittleNews)
        if self._is_known(body.endpoint, body.born):
            known = self._learn(body.endpoint, body.born, body.borne, envelope.vm)
            if body.rejected:
                self._record_rejection(body.endpoint, known)
        hall = self.peers.hall_of(VmName(envelope.vm))
        if hall is not None:
            self.peers.relay(hall, body)

    def _is_known(self, name: EndpointName, born: int | None) -> bool:
        known = self.registry.known.get(name)
        return known is not None and (None in (known.born, born) or known.born == born)

    def _learn(
        self, name: EndpointName, born: int | None, borne: int, source: str
    ) -> BrittleEndpoint:
        known = self.brittle.get(name)
        now = monotonic()
        if known is None:
            known = self.brittle[name] = BrittleEndpoint(born, borne, now)
            self.context.timeline.emit(
                EventKind.ENDPOINT_BRITTLE, endpoint=name, detail=source, borne=borne
            )
        known.announced_at = now
        known.rejections_borne = borne
        return known

    def _record_rejection(self, name: EndpointName, known: BrittleEndpoint) -> None:
        now = monotonic()
        if name in self.ledgers:
            self.ledgers[name].on_rejected(now)
        known.rejections.append(now)
        known.denied_until = max(known.denied_until, now + REJECTED_SECONDS)

    def has_overflowed(self, name: EndpointName) -> bool:
        """Return whether a crash of an endpoint now follows from its rejections.

        :param name: the endpoint.
        """
        known = self.brittle.get(name)
        return known is not None and known.has_overflowed(monotonic())

    def on_instance(self, name: EndpointName, instance: Instance | None) -> None:
        """Forget an endpoint that is gone, or its earlier start.

        :param name: the endpoint.
        :param instance: its entry; None if it has none, or if the entry of a later
            start is about to follow.
        """
        if instance is None:
            self.brittle.pop(name, None)
            self.ledgers.pop(name, None)
            self.asking.pop(name, None)

    # Requests of this VM.

    def needs_place(self, name: EndpointName) -> bool:
        """Return whether a request to an endpoint needs a place.

        :param name: the endpoint.
        """
        return name in self.brittle

    def seconds_left(self, name: EndpointName, now: float) -> float:
        """Return the time until this VM may ask for a place again.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        known = self.brittle.get(name)
        return 0.0 if known is None else max(0.0, known.denied_until - now)

    async def acquire(self, instance: Instance) -> bool:
        """Ask whether one more request may be sent to a brittle endpoint.

        :param instance: the endpoint.
        :returns: whether it may; the request has to be sent at once.
        """
        name = instance.name
        self.asking[name] += 1
        try:
            wait = await self._ask(instance)
        finally:
            self.asking[name] -= 1
        known = self.brittle.get(name)
        if wait <= 0.0 or known is None:
            return True
        wait *= self.context.rng.uniform(1.0, 1.5)
        known.denied_until = max(known.denied_until, monotonic() + wait)
        self.context.metrics.count("places_denied")
        return False

    async def _ask(self, instance: Instance) -> float:
        """Ask the issuer for a place.

        :returns: 0 if it is granted; otherwise seconds after which to ask again.
        """
        name = instance.name
        vm = self.ranking.primary(instance)
        running, number = self._requests(name), next(self.numbers)
        wanted = running + self.asking[name]
        if vm == self.context.vm:
            return self._grant(instance, PlaceRequest(vm, wanted, running, number))
        answer: Message | None = None
        if vm is not None:
            message = AskPlace(name, instance.born, wanted, running, number)
            try:
                answer = await self.peers.call(vm, message, ANSWER_SECONDS)
            except PeerError:
                self.context.metrics.count("place_issuers_silent")
        if isinstance(answer, PlaceIs) and answer.issuer:
            return 0.0 if answer.granted else answer.wait
        share = own_share(name, self.context.vm, list(self.peers.known), instance.slots)
        wanted = self._requests(name) + self.asking[name]
        return 0.0 if wanted <= share else REJECTED_SECONDS

    def _requests(self, name: EndpointName) -> int:
        return self.table.state_of(name).in_flight

    def on_released(self, instance: Instance) -> None:
        """Tell the issuer that a request is over.

        :param instance: the endpoint.
        """
        if instance.name in self.brittle:
            self._tell(instance)

    def _tell_all(self) -> None:
        for name in self.brittle:
            instance = self.registry.known.get(name)
            if instance is not None and self._requests(name):
                self._tell(instance)

    def _tell(self, instance: Instance) -> None:
        name = instance.name
        vm = self.ranking.primary(instance)
        running, number = self._requests(name), next(self.numbers)
        used = running + self.asking[name]
        if vm == self.context.vm:
            self._ledger(name).record(vm, used, running, number, monotonic())
        elif vm is not None:
            self.peers.send_to([vm], PlacesUsed(name, used, running, number))

    # Places that this VM grants.

    def _ledger(self, name: EndpointName) -> PlaceLedger:
        return self.ledgers.setdefault(name, PlaceLedger())

    def _grant(self, instance: Instance, asked: PlaceRequest) -> float:
        known = self.brittle.get(instance.name)
        borne = 0 if known is None else known.rejections_borne
        ledger = self._ledger(instance.name)
        return ledger.request(asked, instance.slots, borne, monotonic())

    def answer(self, envelope: Envelope) -> PlaceIs:
        """Answer another VM that asks for a place.

        :param envelope: its message.
        """
        body = envelope.body
        assert isinstance(body, AskPlace)
        instance = self.registry.known.get(body.endpoint)
        known = instance is not None and self._is_known(body.endpoint, body.born)
        if not known or self.ranking.primary(instance) != self.context.vm:
            return PlaceIs(granted=False, issuer=False, wait=0.0)
        asked = PlaceRequest(
            VmName(envelope.vm), body.wanted, body.running, body.number
        )
        wait = self._grant(instance, asked)
        return PlaceIs(wait <= 0.0, issuer=True, wait=wait)

    def count(self, envelope: Envelope) -> None:
        """Record how many requests another VM has at an endpoint.

        :param envelope: its message.
        """
        body = envelope.body
        assert isinstance(body, PlacesUsed)
        if body.endpoint in self.registry.known:
            ledger = self._ledger(body.endpoint)
            ledger.record(
                VmName(envelope.vm),
                body.requests,
                body.running,
                body.number,
                monotonic(),
            )
