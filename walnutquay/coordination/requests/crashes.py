# Licensed under the Apache License 2.0: see LICENSE for details.

"""Detection of requests that crash the endpoints which run them, across all VMs.

A VM sees only its own requests at an endpoint that crashes, and the caller may retry
at any VM.  The VMs therefore broadcast at once which requests were running there, and
each VM reaches the same conclusion from the same evidence.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.coordination.requests.crashnews import CrashExchange, Peers
from walnutquay.coordination.requests.outcomes import Arrival
from walnutquay.protocol.messages import (
    AskCrashes,
    CrashDigest,
    CrashNews,
)
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, Fingerprint
from walnutquay.state.requests.crashes import CrashHistory
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace
from walnutquay.state.requests.interrupted import (
    InterruptedRequest,
    InterruptedRequests,
)
from walnutquay.state.requests.refusals import Refusal, RefusalCode
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
        # Blocked requests that are being retested on another version, with the
        # deadline of the retest.
        self.retest_until: dict[Fingerprint, float] = {}
        # The blocked requests as of the last check.
        self.blocked: dict[CrashTarget, frozenset[Fingerprint]] = {}
        # Called when this VM's own evidence blocks a request.
        self.on_blocked: Callable[[], None] = _ignore_blocked
        # Called with requests that stay blocked, whichever VM detected them.
        self.stop_callbacks: list[Callable[[frozenset[Fingerprint]], None]] = []

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

    def close(self) -> None:
        """Cancel all probes and stop sending."""
        self.tasks.stop()
        self.exchange.stop()

    # Requests.

    def suspect_fingerprint(self, arrival: Arrival) -> Fingerprint | None:
        """Return the fingerprint of a request under which an endpoint has crashed.

        :param arrival: a request that needs a slot.
        :returns: its fingerprint, or None if it is no suspect.
        """
        if not self.book.crashes_by_request:
            return None
        fingerprint = arrival.fingerprint()
        return fingerprint if self.book.is_suspect(fingerprint) else None

    def companions(self, suspect: Fingerprint | None) -> frozenset[Fingerprint]:
        """Return the requests that were at each crash of a suspect.

        :param suspect: its fingerprint; None for a request that is no suspect.
        """
        return frozenset() if suspect is None else self.book.companions(suspect)

    def refusal(self, arrival: Arrival, target: CrashTarget) -> Refusal | None:
        """Check whether a request is blocked from a version.

        :param arrival: a request that is about to be sent.
        :param target: the version that would run it.
        :returns: why it must not be sent there, or None.
        """
        if not self.book.blocked:
            return None
        fingerprint = arrival.fingerprint()
        if not self._is_blocked_for(fingerprint, target, arrival.deadline):
            return None
        crashes = self.book.evidence(fingerprint, target.service)
        last = monotonic() - crashes[-1].at
        names = ", ".join(crash.endpoint for crash in crashes)
        return Refusal(
            RefusalCode.ENDS_ENDPOINTS,
            f"{len(crashes)} endpoints ended as they ran this request, the last one "
            f"{last:.1f} s ago; it will not be tried again ({names})",
        )

    def _is_blocked_for(
        self, fingerprint: Fingerprint, target: CrashTarget, deadline: float
    ) -> bool:
        """Return whether a request is blocked from a version; record a retest if not.

        A version released after the one that crashed may be fixed: a single VM retests
        it, with one request at a time.
        """
        if self.book.is_blocked(fingerprint, target):
            return True
        if not self.book.is_blocked_elsewhere(fingerprint, target):
            return False
        if not self.peers.is_responsible_for(fingerprint):
            return True
        now = monotonic()
        if now < self.retest_until.get(fingerprint, float("-inf")):
            return True
        self.retest_until = {
            name: until for name, until in self.retest_until.items() if now < until
        }
        self.retest_until[fingerprint] = deadline
        return False

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
            self._log_crash(endpoint.name, "its port is closed")
        return crashed

    def _log_crash(self, name: str, reason: str) -> None:
        self.context.metrics.count("endpoints_ended")
        self.context.timeline.emit(
            EventKind.ENDPOINT_ENDED,
            endpoint=name,
            detail=f"connections to it broke, and {reason}",
        )

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
        trace = CrashTrace(arrival.fingerprint(), target, endpoint, 0.0, ran, held=held)
        self.interrupted.note(InterruptedRequest(monotonic(), trace))

    def on_endpoint_restarted(self, endpoint: EndpointName) -> None:
        """Attribute recently broken connections to a crash of the endpoint.

        :param endpoint: an endpoint that is now known to have started again.
        """
        traces = self.interrupted.pop_crashed(endpoint, monotonic())
        if traces:
            self._log_crash(endpoint, "it has started again")
        for trace in traces:
            self._record(trace)

    def record_crash(
        self,
        arrival: Arrival,
        target: CrashTarget,
        endpoint: EndpointName,
        ran: float | None,
        held: float,
    ) -> None:
        """Record that an endpoint crashed while it had a request.

        :param arrival: the request.
        :param target: the version that the endpoint ran.
        :param endpoint: the endpoint.
        :param ran: seconds since its answer began; None if it had not begun.
        :param held: seconds since the request was sent to the endpoint.
        """
        fingerprint = arrival.fingerprint()
        self._record(CrashTrace(fingerprint, target, endpoint, 0.0, ran, held=held))

    async def await_peer_traces(self, arrival: Arrival, target: CrashTarget) -> None:
        """Wait for the traces of other VMs if a crash has blocked a request.

        A request that only ran beside the crashing one of another VM looks like the
        cause until that VM's traces arrive.

        :param arrival: a request that was at an endpoint that has just crashed.
        :param target: the version that the endpoint ran.
        """
        if self.book.is_blocked(arrival.fingerprint(), target):
            await asyncio.sleep(SETTLE_SECONDS)

    def record_answer(
        self, arrival: Arrival, target: CrashTarget, endpoint: EndpointName
    ) -> None:
        """Record that an endpoint answered a request completely and is still up.

        :param arrival: the request.
        :param target: the version that the endpoint runs.
        :param endpoint: the endpoint.
        """
        fingerprint = self.suspect_fingerprint(arrival)
        if fingerprint is not None:
            self._record(CrashTrace(fingerprint, target, endpoint, 0.0, answered=True))

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

    def _handle_block_changes(self, source: str) -> None:
        """Log requests that were blocked or freed since the last call; act on blocks.

        :param source: the VM whose traces caused the changes; empty for this one.
        """
        before, self.blocked = self.blocked, dict(self.book.blocked)
        for target in {**before, **self.blocked}:
            old = before.get(target, frozenset())
            new = self.blocked.get(target, frozenset())
            for fingerprint in sorted(old ^ new):
                self._emit(fingerprint, target, fingerprint in new, source)
            if new - old and not source:
                self.on_blocked()
            if new - old:
                self.tasks.spawn(self._stop_requests(target, new - old))

    async def _stop_requests(
        self, target: CrashTarget, found: frozenset[Fingerprint]
    ) -> None:
        """Cancel this VM's attempts of blocked requests that are still at endpoints.

        Each of them would crash another endpoint.
        """
        await asyncio.sleep(SETTLE_SECONDS)
        still = found & self.book.blocked.get(target, frozenset())
        for callback in self.stop_callbacks:
            callback(still)

    def _emit(
        self, fingerprint: Fingerprint, target: CrashTarget, blocked: bool, source: str
    ) -> None:
        now = monotonic()
        crashes = self.book.evidence(fingerprint, target.service)
        kind = EventKind.REQUEST_BLOCKED if blocked else EventKind.REQUEST_FREED
        self.context.timeline.emit(
            kind,
            version=target.service,
            detail=", ".join(crash.endpoint for crash in crashes),
            fingerprint=fingerprint,
            runs=target.version,
            ends=len(crashes),
            ends_age_ms=round((now - crashes[-1].at) * 1000.0) if crashes else None,
            told_by=source,
        )

    def _compare(self) -> None:
        """Expire old evidence and send a digest of the rest to other VMs."""
        if not self.book.crashes and not self.book.answered:
            return
        self.book.expire(monotonic())
        self._handle_block_changes("")
        self.exchange.send_digest()


def _ignore_blocked() -> None:
    """Do nothing: without a callback, only the memory of the VMs holds the blocks."""
