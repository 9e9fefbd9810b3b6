# Licensed under the Apache License 2.0: see LICENSE for details.

"""What VMs tell each other of endpoints that ended, and of the requests there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Protocol

import logbook

from walnutquay.coordination.process.tasks import Tasks
from walnutquay.exceptions import PeerError
from walnutquay.protocol.messages import (
    AskCrashes,
    CrashDigest,
    CrashNews,
    Envelope,
    Message,
)
from walnutquay.state.requests.crashes import CrashHistory
from walnutquay.state.requests.crashtypes import CrashTrace
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# What breaks together is told together: the requests of one end break within some ms.
GATHER_SECONDS = 0.004
# News are told once more, for a datagram may be lost.
AGAIN_SECONDS = 0.2
# Traces in one datagram: some 100 bytes each, so that it fits one packet.
TRACES_TOLD = 12
ASK_SECONDS = 0.4

# Takes in what another VM has noted: the traces, and its name.
Taker = Callable[[Sequence[CrashTrace], str], None]


class Peers(Protocol):
    """The other entry VMs."""

    def broadcast(self, body: Message) -> None:
        """:param body: a message to all of them; it may be lost."""

    def send_to_some(self, body: Message) -> None:
        """:param body: a message to some of them; it may be lost."""

    def is_responsible_for(self, key: str) -> bool:
        """:param key: a name.

        :returns: whether this VM, of all, does what is done once for it.
        """

    async def call(self, name: str, body: Message, timeout: float) -> Message:
        """:param name: one of them.

        :param body: a question.
        :param timeout: seconds to wait.
        :returns: its answer.
        :raises PeerError: if none comes.
        """


class CrashExchange:
    """Tells the other VMs what was noted here, and takes in what they have noted.

    :param peers: the other VMs.
    :param book: what is known here.
    :param take: takes in what another VM has noted.
    """

    def __init__(self, peers: Peers, book: CrashHistory, take: Taker) -> None:
        self.peers = peers
        self.book = book
        self.take = take
        self.tasks = Tasks()
        # What is to be told with the next news, and when it was noted.
        self.untold: list[tuple[float, CrashTrace]] = []
        # The VM that is asked what it knows, if one is.
        self.asking: asyncio.Task | None = None

    def stop(self) -> None:
        """Tell and ask no more."""
        self.tasks.stop()

    def tell(self, trace: CrashTrace) -> None:
        """Tell all VMs what has been noted, with what is noted at the same time.

        :param trace: it.
        """
        if not self.untold:
            self.tasks.spawn(self._tell())
        self.untold.append((monotonic(), trace))

    def tell_digest(self) -> None:
        """Let some other VMs see whether they know the same."""
        self.peers.send_to_some(CrashDigest(self.book.digest()))

    async def _tell(self) -> None:
        """Tell all VMs what has been noted, twice."""
        await asyncio.sleep(GATHER_SECONDS)
        told, self.untold = self.untold, []
        self._send(told)
        await asyncio.sleep(AGAIN_SECONDS)
        self._send(told)

    def _send(self, told: Sequence[tuple[float, CrashTrace]]) -> None:
        now = monotonic()
        traces = [replace(trace, age=trace.age + now - noted) for noted, trace in told]
        for first in range(0, len(traces), TRACES_TOLD):
            self.peers.broadcast(CrashNews(tuple(traces[first : first + TRACES_TOLD])))

    def hear(self, envelope: Envelope) -> None:
        """Take in what another VM has noted.

        :param envelope: its message.
        """
        assert isinstance(envelope.body, CrashNews)
        self.take(envelope.body.traces, envelope.vm)

    def compare(self, envelope: Envelope) -> None:
        """Ask a VM what it knows, if that is not what this one knows.

        :param envelope: what stands for its knowledge.
        """
        body = envelope.body
        assert isinstance(body, CrashDigest)
        if body.digest == self.book.digest():
            return
        if self.asking is None or self.asking.done():
            self.asking = self.tasks.spawn(self._ask(envelope.vm))

    async def _ask(self, vm: str) -> None:
        try:
            answer = await self.peers.call(vm, AskCrashes(), ASK_SECONDS)
        except PeerError as error:
            log.debug("{} does not tell of crashes: {}", vm, error)
            return
        if isinstance(answer, CrashNews):
            self.take(answer.traces, vm)

    def answer(self, envelope: Envelope) -> CrashNews:
        """:param envelope: another VM's question.

        :returns: all that is known here.
        """
        return CrashNews(tuple(self.book.traces(monotonic())))
