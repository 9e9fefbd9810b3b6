# Licensed under the Apache License 2.0: see LICENSE for details.

"""Detection of requests that crash the endpoints which run them, across all VMs.

A VM sees only its own requests at an endpoint that crashes, and the caller may retry
at any VM.  The VMs therefore broadcast at once which requests were running there, and
each VM reaches the same conclusion from the same evidence.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import replace
from typing import Protocol

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.coordination.requests.crashblocks import (
    SOUND_SECONDS,
    CrashBlocks,
    features_of,
)
from walnutquay.coordination.requests.crashlog import CrashLog
from walnutquay.coordination.requests.crashnews import CrashExchange, Peers
from walnutquay.coordination.requests.limits import LimitedCall
from walnutquay.coordination.requests.outcomes import Arrival
from walnutquay.protocol.messages import (
    AskCrashes,
    CrashDigest,
    CrashNews,
)
from walnutquay.state.process.ids import EndpointName, Fingerprint
from walnutquay.state.requests.crashes import CrashHistory
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace
from walnutquay.state.requests.interrupted import (
    InterruptedRequest,
    InterruptedRequests,
)
from walnutquay.state.requests.refusals import Refusal
from walnutquay.state.routed.links import Reach
from walnutquay.state.store.instances import Instance
from walnutquay.state.store.parts import Endpoint
from walnutquay.transport.client import probe
from walnutquay.transport.timers import monotonic

# The traces of one crash have arrived from all VMs by then: each VM probes the port and
# broadcasts its traces within about 10 ms of the broken connection.
SETTLE_SECONDS = 0.03
# The interval at which VMs compare digests.  A VM that was partitioned has caught up
# before it must enforce the blocks, which is 3 s after it is back at the earliest.
COMPARE_SECONDS = 1.0
# The interval at which answers in progress are checked for sound prompts.
SOUND_CHECK_SECONDS = 0.25


class RunningCalls(Protocol):
    """The calls of this VM that are in progress at endpoints."""

    def running(self) -> Iterable[LimitedCall]:
        """Return the calls."""

    def stop(self, is_blocked: Callable[[LimitedCall], bool]) -> None:
        """Cancel calls that must not go on.

        :param is_blocked: returns whether a call would crash its endpoint.
        """


class CrashWatch:
    """Detects requests that crash endpoints and blocks them from further endpoints.

    :param context: the state shared within this process.
    :param peers: the other VMs.
    """

    def __init__(self, context: Context, peers: Peers) -> None:
        self.context = context
        self.peers = peers
        self.book = CrashHistory()
        # Requests whose connection broke while it was unclear whether the endpoint had
        # crashed.
        self.interrupted = InterruptedRequests()
        self.tasks = Tasks()
        # Port probes in progress, shared by all requests whose connection broke there.
        self.probes: dict[EndpointName, asyncio.Task[bool]] = {}
        self.exchange = CrashExchange(peers, self.book, self.apply_traces)
        self.blocks = CrashBlocks(self.book, peers)
        self.log = CrashLog(context, self.book)
        # Called when this VM's own evidence blocks a request.
        self.on_blocked: Callable[[], None] = _ignore_blocked
        self.calls: list[RunningCalls] = []

    def watch_calls(self, calls: RunningCalls) -> None:
        """Cancel calls that are blocked, and learn from those that are answered.

        :param calls: the calls of a request path.
        """
        self.calls.append(calls)

    def listen(self, dispatcher: Dispatcher) -> None:
        """Register the handlers for messages of other VMs.

        :param dispatcher: delivers the messages of other VMs.
        """
        dispatcher.on(CrashNews, self.exchange.receive)
        dispatcher.on(CrashDigest, self.exchange.compare)
        dispatcher.on(AskCrashes, self.exchange.answer)

    def start(self) -> None:
        """Start comparing with the other VMs and expiring old evidence."""
        self.context.timers.every("crashes", COMPARE_SECONDS, self._compare)
        self.context.timers.every("answers", SOUND_CHECK_SECONDS, self._note_answering)

    def close(self) -> None:
        """Cancel all probes and stop sending."""
        self.tasks.stop()
        self.exchange.stop()

    # Requests.

    def suspect_key(self, arrival: Arrival) -> str | None:
        """Return what identifies the requests that may crash an endpoint like this one.

        :param arrival: a request that needs a slot.
        :returns: the key of its likely cause, or its fingerprint; None if it is no
            suspect.
        """
        if not self.book.crashes_by_request:
            return None
        features = features_of(arrival)
        early = self.book.early_suspect(features.all())
        if early is not None:
            return early.feature
        name = features.fingerprint
        return name if self.book.is_suspect(name) else None

    def companions(self, suspect: str | None) -> frozenset[Fingerprint]:
        """Return the requests that were at each crash of a suspect.

        :param suspect: its key; None for a request that is no suspect.
        """
        if suspect is None:
            return frozenset()
        return self.book.companions(Fingerprint(suspect))

    def refusal(self, arrival: Arrival, target: CrashTarget) -> Refusal | None:
        """Check whether a request is blocked from a version.

        :param arrival: a request that is about to be sent.
        :param target: the version that would run it.
        :returns: why it must not be sent there, or None.
        """
        return self.blocks.refusal(arrival, target)

    def refusal_by_all(
        self, arrival: Arrival, targets: Collection[CrashTarget]
    ) -> Refusal | None:
        """Check whether a request is blocked from each version, before it waits.

        :param arrival: a request that needs a slot.
        :param targets: the versions that may run it.
        :returns: why none of them must be sent it, or None.
        """
        if not self.book.verdicts:
            return None
        refusals = [self.refusal(arrival, target) for target in targets]
        if not refusals or None in refusals:
            return None
        return refusals[0]

    async def has_crashed(self, endpoint: Endpoint | Instance) -> bool:
        """Probe whether the port of an endpoint is closed.

        A broken connection alone proves nothing: the network or the endpoint itself may
        have closed it.

        :param endpoint: an endpoint whose connection broke.
        """
        name = EndpointName(endpoint.name)
        probe = self.probes.get(name)
        if probe is None:
            probe = self.probes[name] = self.tasks.spawn(self._probe(endpoint))
            probe.add_done_callback(lambda _: self.probes.pop(name, None))
        return await asyncio.shield(probe)

    async def _probe(self, endpoint: Endpoint | Instance) -> bool:
        crashed = await probe(endpoint.address) is Reach.REFUSED
        if crashed:
            self.log.crashed(endpoint.name, "its port is closed")
        return crashed

    def record_interruption(
        self,
        arrival: Arrival,
        target: CrashTarget,
        endpoint: EndpointName,
        ran: float | None,
        held: float,
    ) -> None:
        """Record a broken connection to an endpoint whose port still accepts some.

        The port may belong to a forwarder, or the endpoint may have restarted already.

        :param arrival: the request.
        :param target: the version that the endpoint ran.
        :param endpoint: the endpoint.
        :param ran: seconds since its answer began; None if it had not begun.
        :param held: seconds since the request was sent to the endpoint.
        """
        trace = _crash_trace(arrival, target, endpoint, ran, held)
        self.interrupted.note(InterruptedRequest(monotonic(), trace))

    def on_endpoint_restarted(self, endpoint: EndpointName) -> None:
        """Attribute recently broken connections to a crash of the endpoint.

        :param endpoint: an endpoint that is now known to have started again.
        """
        traces = self.interrupted.pop_crashed(endpoint, monotonic())
        if traces:
            self.log.crashed(endpoint, "it has started again")
        for trace in traces:
            self._record(trace)

    def record_crash(
        self,
        arrival: Arrival,
        target: CrashTarget,
        endpoint: EndpointName,
        ran: float | None,
        held: float,
        answered_seconds: float = 0.0,
    ) -> None:
        """Record that an endpoint crashed while it had a request.

        :param arrival: the request.
        :param target: the version that the endpoint ran.
        :param endpoint: the endpoint.
        :param ran: seconds since its answer began; None if it had not begun.
        :param held: seconds since the request was sent to the endpoint.
        :param answered_seconds: for how long it had been sending the answer's events.
        """
        trace = _crash_trace(arrival, target, endpoint, ran, held)
        if answered_seconds < SOUND_SECONDS:
            self._record(trace)
            return
        self._record(replace(trace, parts=()))
        self._record_sound(arrival, target, 0.0)

    async def await_peer_traces(self, arrival: Arrival, target: CrashTarget) -> None:
        """Wait for the traces of other VMs if a crash has blocked a request.

        A request that only ran beside the crashing one of another VM looks like the
        cause until that VM's traces arrive.

        :param arrival: a request that was at an endpoint that has just crashed.
        :param target: the version that the endpoint ran.
        """
        features = features_of(arrival).all()
        if self.book.verdict_on(features, target) is not None:
            await asyncio.sleep(SETTLE_SECONDS)

    def record_answer(
        self,
        arrival: Arrival,
        target: CrashTarget,
        endpoint: EndpointName,
        written: bool = True,
    ) -> None:
        """Record that an endpoint answered a request completely and is still up.

        :param arrival: the request.
        :param target: the version that the endpoint runs.
        :param endpoint: the endpoint.
        :param written: whether it wrote what was asked for, and no error.
        """
        if not self.book.crashes:
            return
        fingerprint = arrival.fingerprint()
        if self.book.is_suspect(fingerprint):
            self._record(CrashTrace(fingerprint, target, endpoint, 0.0, answered=True))
        if written:
            self._record_sound(arrival, target, 0.0)

    def _record_sound(self, arrival: Arrival, target: CrashTarget, age: float) -> None:
        """Record that a version can answer prompts with the parts of a request.

        :param arrival: the request.
        :param target: the version.
        :param age: seconds since it is known.
        """
        parts = self.book.parts_in_doubt(arrival.shared_parts(), target)
        if parts or self.book.parts.needs_answer(target):
            nobody, nowhere = Fingerprint(""), EndpointName("")
            self._record(
                CrashTrace(nobody, target, nowhere, age, answered=True, parts=parts)
            )

    def _note_answering(self) -> None:
        """Learn from the answers that endpoints have been sending for some time."""
        if not self.book.parts.crashes_by_part:
            return
        now = monotonic()
        for calls in self.calls:
            for call in list(calls.running()):
                if call.answered_seconds() >= SOUND_SECONDS:
                    last = call.arrival.last_event_at or now
                    self._record_sound(call.arrival, call.target, now - last)

    def _record(self, trace: CrashTrace) -> None:
        if not self.book.record(trace, monotonic()):
            return
        self._handle_block_changes("")
        self.exchange.announce(trace)

    # Exchange with the other VMs.

    def apply_traces(self, traces: Sequence[CrashTrace], vm: str) -> None:
        """Apply the traces that another VM recorded.

        :param traces: the traces.
        :param vm: the VM that sent them.
        """
        now = monotonic()
        for trace in traces:
            self.book.record(trace, now)
        self._handle_block_changes(vm)

    def blocked_traces(self) -> list[CrashTrace]:
        """:returns: the traces of all blocked requests."""
        return list(self.book.blocked_traces(monotonic()))

    def blocked_part_traces(self) -> list[CrashTrace]:
        """:returns: the evidence against all blocked parts of prompts."""
        return list(self.book.blocked_part_traces(monotonic()))

    def _handle_block_changes(self, source: str) -> None:
        """Log what was blocked or freed since the last call; act on blocks.

        :param source: the VM whose traces caused the changes; empty for this one.
        """
        found = self.log.block_changes(source)
        if not found:
            return
        if not source:
            self.on_blocked()
        self.tasks.spawn(self._stop_blocked())

    async def _stop_blocked(self) -> None:
        """Cancel this VM's attempts of blocked requests that are still at endpoints.

        Each of them would crash another endpoint.
        """
        await asyncio.sleep(SETTLE_SECONDS)
        self._note_answering()
        for calls in self.calls:
            calls.stop(self.blocks.would_crash)

    def _compare(self) -> None:
        """Expire old evidence and send a digest of the rest to other VMs."""
        if not self.book.crashes and not self.book.answered:
            return
        self.book.expire(monotonic())
        self._handle_block_changes("")
        self.exchange.send_digest()


def _ignore_blocked() -> None:
    """Do nothing: without a callback, only the memory of the VMs holds the blocks."""


def _crash_trace(
    arrival: Arrival,
    target: CrashTarget,
    endpoint: EndpointName,
    ran: float | None,
    held: float,
) -> CrashTrace:
    features = features_of(arrival)
    return CrashTrace(
        features.fingerprint,
        target,
        endpoint,
        0.0,
        ran,
        held=held,
        parts=features.parts,
    )
