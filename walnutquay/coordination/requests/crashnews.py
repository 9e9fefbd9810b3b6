# Licensed under the Apache License 2.0: see LICENSE for details.

"""Exchange of crash traces between VMs: endpoint crashes and the requests there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Sequence
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

# Traces are collected for this long and sent together: the requests of one crash break
# within a few milliseconds.
BATCH_SECONDS = 0.004
# Each batch is sent a second time after this delay, since a datagram may be lost.
RESEND_SECONDS = 0.2
# A datagram must fit one packet: bytes of its traces, of a trace without parts, and the
# most parts that one trace names.
BATCH_BYTES = 1_200
TRACE_BYTES = 100
PARTS_PER_TRACE = 32
QUERY_SECONDS = 0.4

# Applies traces that another VM recorded; takes the traces and the name of the VM.
TraceHandler = Callable[[Sequence[CrashTrace], str], None]


class Peers(Protocol):
    """The other entry VMs."""

    def broadcast(self, body: Message) -> None:
        """Send a message to all VMs; it may be lost.

        :param body: the message.
        """

    def send_to_some(self, body: Message) -> None:
        """Send a message to some of the VMs; it may be lost.

        :param body: the message.
        """

    def is_responsible_for(self, key: str) -> bool:
        """Return whether this VM is the one responsible for a key.

        :param key: the key of a task that exactly one VM performs.
        """

    async def call(self, name: str, body: Message, timeout: float) -> Message:
        """Send a request to a VM and wait for the response.

        :param name: the VM.
        :param body: the request.
        :param timeout: seconds to wait.
        :returns: the response.
        :raises PeerError: if no response arrives in time.
        """


class CrashExchange:
    """Broadcasts the traces recorded here and applies those of other VMs.

    :param peers: the other VMs.
    :param book: the traces that this VM holds.
    :param apply_traces: applies traces that another VM recorded.
    """

    def __init__(
        self, peers: Peers, book: CrashHistory, apply_traces: TraceHandler
    ) -> None:
        self.peers = peers
        self.book = book
        self.apply_traces = apply_traces
        self.tasks = Tasks()
        # Traces for the next batch, with the time at which each was recorded.
        self.unsent: list[tuple[float, CrashTrace]] = []
        # The query to another VM, if one has been started.
        self.query: asyncio.Task | None = None

    def stop(self) -> None:
        """Stop sending and querying."""
        self.tasks.stop()

    def announce(self, trace: CrashTrace) -> None:
        """Broadcast a trace, batched with those recorded at the same time.

        :param trace: the trace.
        """
        if not self.unsent:
            self.tasks.spawn(self._send_batch())
        self.unsent.append((monotonic(), trace))

    def send_digest(self) -> None:
        """Send a digest of the traces to some other VMs, to be compared with theirs."""
        self.peers.send_to_some(CrashDigest(self.book.digest()))

    async def _send_batch(self) -> None:
        """Broadcast the unsent traces twice."""
        await asyncio.sleep(BATCH_SECONDS)
        batch, self.unsent = self.unsent, []
        self._send(batch)
        await asyncio.sleep(RESEND_SECONDS)
        self._send(batch)

    def _send(self, batch: Sequence[tuple[float, CrashTrace]]) -> None:
        now = monotonic()
        current = [
            replace(trace, age=trace.age + now - recorded_at)
            for recorded_at, trace in batch
        ]
        for traces in packets(current):
            self.peers.broadcast(CrashNews(traces))

    def receive(self, envelope: Envelope) -> None:
        """Apply the traces that another VM broadcast.

        :param envelope: its message.
        """
        assert isinstance(envelope.body, CrashNews)
        self.apply_traces(envelope.body.traces, envelope.vm)

    def compare(self, envelope: Envelope) -> None:
        """Query a VM for its traces if its digest differs from that of this VM.

        :param envelope: the message with the digest.
        """
        body = envelope.body
        assert isinstance(body, CrashDigest)
        if body.digest == self.book.digest():
            return
        if self.query is None or self.query.done():
            self.query = self.tasks.spawn(self._query_peer(envelope.vm))

    async def _query_peer(self, vm: str) -> None:
        try:
            answer = await self.peers.call(vm, AskCrashes(), QUERY_SECONDS)
        except PeerError as error:
            log.debug("{} did not answer the query for crash traces: {}", vm, error)
            return
        if isinstance(answer, CrashNews):
            self.apply_traces(answer.traces, vm)

    def answer(self, envelope: Envelope) -> CrashNews:
        """Answer another VM's query.

        :param envelope: the query.
        :returns: all traces that this VM holds.
        """
        return CrashNews(tuple(self.book.traces(monotonic())))


def packets(traces: Sequence[CrashTrace]) -> Iterator[tuple[CrashTrace, ...]]:
    """Divide traces among datagrams.

    :param traces: the traces; one with many parts is sent as several.
    :returns: the traces of each datagram.
    """
    packet: list[CrashTrace] = []
    size = 0
    for trace in traces:
        for piece in _pieces(trace):
            length = TRACE_BYTES + sum(len(part) + 1 for part in piece.parts)
            if packet and size + length > BATCH_BYTES:
                yield tuple(packet)
                packet, size = [], 0
            packet.append(piece)
            size += length
    if packet:
        yield tuple(packet)


def _pieces(trace: CrashTrace) -> Iterator[CrashTrace]:
    for first in range(0, max(1, len(trace.parts)), PARTS_PER_TRACE):
        yield replace(trace, parts=trace.parts[first : first + PARTS_PER_TRACE])
