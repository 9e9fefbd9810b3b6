# Licensed under the Apache License 2.0: see LICENSE for details.

"""Learns which endpoints announce their shutdown in answers, and tells other VMs.

Each VM marks an endpoint by itself; the others are told so that their requests are not
cut off there either, although the store may be unavailable.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Protocol

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.coordination.store.sinks import InstanceSink
from walnutquay.protocol.messages import (
    AskDraining,
    DrainingNews,
    DrainingRow,
    Envelope,
    Message,
)
from walnutquay.state.process.ids import EndpointName, HallName, VmName
from walnutquay.state.store.draining import DrainingStart
from walnutquay.state.store.instances import Instance
from walnutquay.transport.timers import monotonic

# A datagram may be lost, so each announcement is sent once more after this time.
REPEAT_SECONDS = 1.0
# Other VMs may be busy as one starts; they are queried again after a pause.
QUERY_TRIES = 10
QUERY_PAUSE_SECONDS = 0.5


class Peers(Protocol):
    """The other entry VMs."""

    # Set once there is a list of VMs.
    listed: asyncio.Event

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

    async def query_any(self, body: Message) -> Message | None:
        """Send a query to several VMs at once.

        :param body: the query.
        :returns: the first answer; None if there is none.
        """


class DrainingEndpoints:
    """Marks draining endpoints, by answers to this VM and what other VMs tell.

    :param context: the state shared within this process.
    :param instances: the listed endpoints.
    :param peers: the other VMs.
    """

    def __init__(self, context: Context, instances: InstanceSink, peers: Peers) -> None:
        self.context = context
        self.instances = instances
        self.peers = peers
        self.tasks = Tasks()

    def listen(self, dispatcher: Dispatcher) -> None:
        """Register for the other VMs' messages.

        :param dispatcher: dispatches received messages.
        """
        dispatcher.on(DrainingNews, self.receive)
        dispatcher.on(AskDraining, self.answer)

    def start(self) -> None:
        """Query the other VMs for the draining endpoints that they know."""
        self.tasks.spawn(self._query_peers())
        self.context.timers.on_wake(self._on_wake)

    def stop(self) -> None:
        """Stop querying and repeating."""
        self.tasks.stop()

    def _on_wake(self, away: float) -> None:
        """Query the other VMs for what was announced meanwhile.

        :param away: for how many seconds this VM was suspended.
        """
        self.tasks.spawn(self._query_peers())

    async def _query_peers(self) -> None:
        await self.peers.listed.wait()
        for _ in range(QUERY_TRIES):
            answer = await self.peers.query_any(AskDraining())
            if isinstance(answer, DrainingNews):
                self._apply(answer.rows, "another VM, when queried")
                return
            await asyncio.sleep(QUERY_PAUSE_SECONDS)

    def on_answer(self, instance: Instance, status: int) -> None:
        """Mark an endpoint whose answer says that it is draining.

        :param instance: the endpoint that answered.
        :param status: the status of the answer.
        """
        start = DrainingStart(instance.born, monotonic(), announced=True)
        name = instance.name
        if self.instances.mark_draining(name, start, "its answer", status):
            self.context.metrics.count("draining_announced")
            self._tell(name, start)
            self.tasks.spawn(self._repeat(name, start))

    async def _repeat(self, name: EndpointName, start: DrainingStart) -> None:
        await asyncio.sleep(REPEAT_SECONDS)
        self._tell(name, start)

    def _tell(self, name: EndpointName, start: DrainingStart) -> None:
        row = _row(name, start)
        self.peers.broadcast_by_relays(DrainingNews((row,), for_all=True))

    def receive(self, envelope: Envelope) -> None:
        """Apply what another VM announces.

        :param envelope: its message.
        """
        body = envelope.body
        assert isinstance(body, DrainingNews)
        self._apply(body.rows, envelope.vm)
        hall = self.peers.hall_of(VmName(envelope.vm))
        if body.for_all and hall is not None:
            self.peers.relay(hall, body)

    def answer(self, envelope: Envelope) -> DrainingNews:
        """Answer another VM's query with all endpoints that have announced it.

        :param envelope: the query.
        """
        starts = self.instances.registry.draining.starts
        known = self.instances.registry.known
        rows = [
            _row(name, start)
            for name, start in starts.items()
            if start.announced and name in known
        ]
        return DrainingNews(tuple(rows))

    def _apply(self, rows: Iterable[DrainingRow], source: str) -> None:
        now = monotonic()
        for row in rows:
            start = DrainingStart(row.born, now - row.age, announced=True)
            self.instances.mark_draining(row.endpoint, start, source)


def _row(name: EndpointName, start: DrainingStart) -> DrainingRow:
    return DrainingRow(name, start.born, max(0.0, monotonic() - start.since))
