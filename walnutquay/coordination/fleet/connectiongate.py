# Licensed under the Apache License 2.0: see LICENSE for details.

"""Refuses or closes new connections that this VM cannot serve while others are idle."""

from __future__ import annotations

import asyncio
from typing import Protocol

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.exceptions import PeerError
from walnutquay.protocol.messages import ArrivalsNews, Envelope, Message
from walnutquay.state.fleet.connectiongate import ConnectionGate
from walnutquay.state.fleet.intake import TICK_SECONDS, Intake
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import VmName
from walnutquay.transport.acceptwait import AcceptWait
from walnutquay.transport.timers import monotonic

# The shortest time between two measurements, and between two questions to other VMs.
MEASURE_SECONDS = 0.25
ASK_SECONDS = 0.1
# VMs that are asked at a time.
ASKED = 3
# How long an answer is waited for; seconds.
ANSWER_SECONDS = 3.0
SHARE_DIGITS = 2


class Peers(Protocol):
    """The other entry VMs."""

    def choose_near(self, count: int) -> list[VmName]:
        """Choose some of them, near ones if there are any.

        :param count: how many at the most.
        """

    async def call(self, name: str, body: Message, timeout: float) -> Message:
        """Ask one VM over the stream to it.

        :param name: the VM.
        :param body: the question.
        :param timeout: seconds to wait for the answer.
        :raises PeerError: if it does not answer in time.
        """


class Listener(Protocol):
    """Where callers connect."""

    def is_refusing(self) -> bool:
        """Return whether new connections are refused for now."""

    def refuse(self) -> None:
        """Refuse new connections; those that are open go on."""

    async def listen_again(self) -> None:
        """Accept new connections again, if the system allows it."""


class CallerGate:
    """Decides about callers' new connections, by what the other VMs tell.

    :param context: the state shared within this process.
    :param peers: the other VMs.
    :param dispatcher: delivers the messages of other VMs.
    :param listener: where callers connect; None if it cannot refuse connections, which
        are then closed unread.
    """

    def __init__(
        self,
        context: Context,
        peers: Peers,
        dispatcher: Dispatcher,
        listener: Listener | None = None,
    ) -> None:
        self.context = context
        self.peers = peers
        self.listener = listener
        self.gate = ConnectionGate()
        self.intake = Intake()
        self.wait = AcceptWait()
        self.tasks = Tasks()
        # Runs while many connections come.
        self.watch: asyncio.Task | None = None
        self.measured_at = self.asked_at = float("-inf")
        # Whether the log says that connections are turned away, and refused.
        self.logged = False
        self.link_logged = False
        dispatcher.on(ArrivalsNews, self.receive)

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
        taken = self.intake.take(now) and taken
        self._measure(now)
        if not taken:
            self.context.metrics.count("connections_turned_away")
        self._log_change(wait, now)
        if self.watch is None and self.gate.needs_wait(now):
            self.watch = self.tasks.spawn(self._watch())
        return taken

    def _measure(self, now: float) -> None:
        if now - self.measured_at < MEASURE_SECONDS:
            return
        if self.gate.needs_wait(now) or self.gate.share < 1.0:
            self.measured_at = now
            self.tasks.spawn(self.wait.measure())

    async def _watch(self) -> None:
        """Decide when to listen, for as long as many connections come."""
        try:
            while self._is_needed(monotonic()):
                self._ask(monotonic())
                await asyncio.sleep(TICK_SECONDS)
                await self._tick(monotonic())
        finally:
            self.watch = None

    def _is_needed(self, now: float) -> bool:
        refusing = self.listener is not None and self.listener.is_refusing()
        return refusing or self.intake.is_limited or self.gate.needs_wait(now)

    def _ask(self, now: float) -> None:
        if now - self.asked_at < ASK_SECONDS:
            return
        self.asked_at = now
        number = self.context.link.trips.begin(now)
        body = ArrivalsNews(self.gate.own(self._own_wait(now), now), True)
        for vm in self.peers.choose_near(ASKED):
            self.tasks.spawn(self._ask_one(vm, body, number))

    async def _ask_one(self, vm: VmName, body: ArrivalsNews, number: int) -> None:
        """Ask by the stream: what waits for the link on it waits as callers' bytes do.

        Datagrams are dropped by a full link, and those that pass tell nothing of it.
        """
        try:
            answer = await self.peers.call(vm, body, ANSWER_SECONDS)
        except PeerError:
            return
        if isinstance(answer, ArrivalsNews):
            now = monotonic()
            self.gate.hear(vm, answer.arrivals, now)
            self.context.link.trips.end(number, now)

    def _own_wait(self, now: float) -> float:
        return max(self.wait.seconds(now), self.context.link.wait(now))

    async def _tick(self, now: float) -> None:
        """Decide about the listener."""
        # Once connections are refused, how many come is not known.
        limited = self.intake.is_limited
        skewed = self.gate.others_are_idle(now) if limited else self.gate.is_skewed(now)
        taken = self.gate.own(0.0, now).per_second
        self.intake.tick(self.context.link.wait(now), taken, skewed, now)
        self._log_link(taken, now)
        if self.listener is None:
            return
        if not self.intake.listens:
            self.listener.refuse()
        elif self.listener.is_refusing():
            await self.listener.listen_again()

    def receive(self, envelope: Envelope) -> Message | None:
        """Record what another VM tells of its connections, and answer it.

        :param envelope: its message.
        :returns: what this VM tells, if it is asked.
        """
        body = envelope.body
        assert isinstance(body, ArrivalsNews)
        now = monotonic()
        self.gate.hear(VmName(envelope.vm), body.arrivals, now)
        if not body.asks:
            return None
        return ArrivalsNews(self.gate.own(self._own_wait(now), now), False)

    def _log_link(self, taken: float, now: float) -> None:
        limited = self.intake.is_limited
        if limited == self.link_logged:
            return
        self.link_logged = limited
        link = self.context.link
        self.context.timeline.emit(
            EventKind.LINK_FULL if limited else EventKind.LINK_FREE,
            wait_ms=round(link.wait(now) * 1000.0),
            per_second=taken,
            sent_per_second=round(link.sent.per_second(now)),
            received_per_second=round(link.received.per_second(now)),
            asked=len(self.gate.others),
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
