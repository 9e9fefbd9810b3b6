# Licensed under the Apache License 2.0: see LICENSE for details.

"""Closes new connections that this VM cannot serve while others are idle."""

from __future__ import annotations

import asyncio
from typing import Protocol

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.protocol.messages import ArrivalsNews, Envelope, Message
from walnutquay.state.fleet.connectiongate import ConnectionGate
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import VmName
from walnutquay.transport.acceptwait import AcceptWait
from walnutquay.transport.timers import monotonic

# The shortest time between two measurements, and between two questions to other VMs.
MEASURE_SECONDS = 0.25
ASK_SECONDS = 0.5
# How often the log is told whether the VM's link is full.
LINK_LOOK_SECONDS = 0.25
SHARE_DIGITS = 2


class Peers(Protocol):
    """The other entry VMs."""

    def send_to_some(self, body: Message) -> None:
        """Send a message to some of the VMs; it may be lost.

        :param body: the message.
        """

    def answer(self, vm: VmName, body: Message) -> None:
        """Send a message to one VM; it may be lost.

        :param vm: the VM.
        :param body: the message.
        """


class CallerGate:
    """Decides about callers' new connections, by what the other VMs tell.

    :param context: the state shared within this process.
    :param peers: the other VMs.
    :param dispatcher: delivers the messages of other VMs.
    """

    def __init__(self, context: Context, peers: Peers, dispatcher: Dispatcher) -> None:
        self.context = context
        self.peers = peers
        self.gate = ConnectionGate()
        self.wait = AcceptWait()
        self.tasks = Tasks()
        self.measured_at = self.asked_at = float("-inf")
        # Whether the log says that connections are turned away.
        self.logged = False
        self.link_logged = False
        dispatcher.on(ArrivalsNews, self.receive)

    def start(self) -> None:
        """Start looking whether the VM's link is full."""
        self.context.timers.every("link", LINK_LOOK_SECONDS, self._log_link)

    def close(self) -> None:
        """Stop measuring."""
        self.tasks.stop()
        self.wait.close()

    def takes(self, transport: asyncio.Transport) -> bool:
        """Decide whether a connection that has just been accepted is taken.

        :param transport: the connection.
        """
        if self.wait.is_probe(transport):
            return False
        now = monotonic()
        wait = self.wait.seconds(now)
        taken = self.gate.takes(wait, self.context.rng.random(), now)
        self._measure(now)
        self._ask(wait, now)
        if not taken:
            self.context.metrics.count("connections_turned_away")
        self._log_change(wait, now)
        return taken

    def _measure(self, now: float) -> None:
        if now - self.measured_at < MEASURE_SECONDS:
            return
        if self.gate.needs_wait(now) or self.gate.share < 1.0:
            self.measured_at = now
            self.tasks.spawn(self.wait.measure())

    def _ask(self, wait: float, now: float) -> None:
        if self.gate.is_busy(wait) and now - self.asked_at >= ASK_SECONDS:
            self.asked_at = now
            self.peers.send_to_some(ArrivalsNews(self.gate.own(wait, now), True))

    def receive(self, envelope: Envelope) -> None:
        """Record what another VM tells of its connections, and answer it.

        :param envelope: its message.
        """
        body = envelope.body
        assert isinstance(body, ArrivalsNews)
        now = monotonic()
        vm = VmName(envelope.vm)
        self.gate.hear(vm, body.arrivals, now)
        if body.asks:
            own = self.gate.own(self.wait.seconds(now), now)
            self.peers.answer(vm, ArrivalsNews(own, False))

    def _log_link(self) -> None:
        now = monotonic()
        link = self.context.link
        wait = link.wait(now)
        full = self.gate.is_busy(wait)
        if full == self.link_logged:
            return
        self.link_logged = full
        self.context.timeline.emit(
            EventKind.LINK_FULL if full else EventKind.LINK_FREE,
            wait_ms=round(wait * 1000.0),
            sent_per_second=round(link.sent.per_second(now)),
            received_per_second=round(link.received.per_second(now)),
        )

    def _log_change(self, wait: float, now: float) -> None:
        shed = self.gate.share < 1.0
        if shed == self.logged:
            return
        self.logged = shed
        kind = EventKind.CONNECTIONS_SHED if shed else EventKind.CONNECTIONS_TAKEN
        self.context.timeline.emit(
            kind,
            share=round(self.gate.share, SHARE_DIGITS),
            per_second=self.gate.own(wait, now).per_second,
            wait_ms=round(wait * 1000.0),
            link_ms=round(self.context.link.wait(now) * 1000.0),
            asked=len(self.gate.others),
        )
