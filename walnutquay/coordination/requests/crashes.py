# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that end the endpoints that run them: found by all VMs together.

Each VM sees only its own requests at an endpoint that ends, and the caller comes again
to any VM.  So they tell each other at once which requests were there, and each comes
to the same verdict.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import logbook

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
from walnutquay.state.store.instances import Instance
from walnutquay.state.store.parts import Endpoint
from walnutquay.transport.client import is_refused
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# News of one end have come from all VMs by then: they try its port and tell within some
# 10 ms of the break.
SETTLE_SECONDS = 0.03
# VMs compare what they know so often: one that was cut off has it before it is to keep
# to it, 3 s after its return at the soonest.
COMPARE_SECONDS = 1.0


class CrashWatch:
    """Finds requests that end endpoints, and keeps the others' endpoints from them.

    :param context: what this process shares.
    :param peers: the other VMs.
    """

    def __init__(self, context: Context, peers: Peers) -> None:
        self.context = context
        self.peers = peers
        self.book = CrashHistory()
        # What broke where nobody could tell whether the endpoint has ended.
        self.broken = InterruptedRequests()
        self.tasks = Tasks()
        # Tries that are under way, shared by all requests that broke there.
        self.tries: dict[EndpointName, asyncio.Task[bool]] = {}
        self.news = CrashExchange(peers, self.book, self.take)
        # Blocked requests that another version is tried with, and until when.
        self.trying: dict[Fingerprint, float] = {}
        # The requests that were blocked when it was last looked.
        self.blocked: dict[CrashTarget, frozenset[Fingerprint]] = {}
        # Called when a request is blocked by what this VM has seen.
        self.on_blocked: Callable[[], None] = _nothing
        # Told of requests that have stayed blocked, whichever VM found them.
        self.stoppers: list[Callable[[frozenset[Fingerprint]], None]] = []

    def listen(self, dispatcher: Dispatcher) -> None:
        """:param dispatcher: where the other VMs' messages come from."""
        dispatcher.on(CrashNews, self.news.hear)
        dispatcher.on(CrashDigest, self.news.compare)
        dispatcher.on(AskCrashes, self.news.answer)

    def start(self) -> None:
        """Begin to compare with the other VMs, and to forget."""
        self.context.timers.every("crashes", COMPARE_SECONDS, self._compare)

    def close(self) -> None:
        """End all tries, and tell no more."""
        self.tasks.stop()
        self.news.stop()

    # Requests.

    def suspected(self, arrival: Arrival) -> Fingerprint | None:
        """:param arrival: a request that looks for a place.

        :returns: its fingerprint, if an endpoint has ended under it.
        """
        if not self.book.crashes_by_request:
            return None
        fingerprint = arrival.fingerprint()
        return fingerprint if self.book.is_suspect(fingerprint) else None

    def refusal(self, arrival: Arrival, target: CrashTarget) -> Refusal | None:
        """:param arrival: a request that is about to be sent.

        :param target: what would run it.
        :returns: why it must not be sent there, or None.
        """
        if not self.book.blocked:
            return None
        fingerprint = arrival.fingerprint()
        if not self._is_kept_from(fingerprint, target, arrival.deadline):
            return None
        ends = self.book.evidence(fingerprint, target.service)
        last = monotonic() - ends[-1].at
        names = ", ".join(end.endpoint for end in ends)
        return Refusal(
            RefusalCode.ENDS_ENDPOINTS,
            f"{len(ends)} endpoints ended as they ran this request, the last one "
            f"{last:.1f} s ago; it will not be tried again ({names})",
        )

    def _is_kept_from(
        self, fingerprint: Fingerprint, target: CrashTarget, deadline: float
    ) -> bool:
        """Tell whether a request is kept from a version; note it if it is not.

        A version that came after the one which it ended may be better: one VM tries,
        one request at a time.
        """
        if self.book.is_blocked(fingerprint, target):
            return True
        if not self.book.is_blocked_elsewhere(fingerprint, target):
            return False
        if not self.peers.is_responsible_for(fingerprint):
            return True
        now = monotonic()
        if now < self.trying.get(fingerprint, float("-inf")):
            return True
        self.trying = {name: end for name, end in self.trying.items() if now < end}
        self.trying[fingerprint] = deadline
        return False

    async def has_ended(self, endpoint: Endpoint | Instance) -> bool:
        """Try whether nothing listens any more where an endpoint was.

        A connection alone may break on its way, or by the endpoint's choice.

        :param endpoint: an endpoint whose connection broke.
        """
        name = EndpointName(endpoint.name)
        trying = self.tries.get(name)
        if trying is None:
            trying = self.tries[name] = self.tasks.spawn(self._try(endpoint))
            trying.add_done_callback(lambda _: self.tries.pop(name, None))
        return await asyncio.shield(trying)

    async def _try(self, endpoint: Endpoint | Instance) -> bool:
        ended = await is_refused(endpoint.address)
        if ended:
            self._tell_ended(endpoint.name, "its port is closed")
        return ended

    def _tell_ended(self, name: str, shown_by: str) -> None:
        self.context.metrics.count("endpoints_ended")
        self.context.timeline.emit(
            EventKind.ENDPOINT_ENDED,
            endpoint=name,
            detail=f"connections to it broke, and {shown_by}",
        )

    def broke(
        self,
        arrival: Arrival,
        target: CrashTarget,
        endpoint: EndpointName,
        ran: float | None,
        held: float,
    ) -> None:
        """Note that a connection broke, and that something listens at its port.

        That may be a forwarder's port, or the endpoint was back at once.

        :param arrival: the request.
        :param target: what the endpoint ran.
        :param endpoint: the endpoint.
        :param ran: seconds for which its answer had begun; None where none had.
        :param held: seconds for which the endpoint had it.
        """
        trace = CrashTrace(arrival.fingerprint(), target, endpoint, 0.0, ran, held=held)
        self.broken.note(InterruptedRequest(monotonic(), trace))

    def started_again(self, endpoint: EndpointName) -> None:
        """Take what broke there lately for broken by the endpoint's end.

        :param endpoint: an endpoint of which another start has become known.
        """
        traces = self.broken.pop_crashed(endpoint, monotonic())
        if traces:
            self._tell_ended(endpoint, "it has started again")
        for trace in traces:
            self._note(trace)

    def ended(
        self,
        arrival: Arrival,
        target: CrashTarget,
        endpoint: EndpointName,
        ran: float | None,
        held: float,
    ) -> None:
        """Note that an endpoint has ended that had a request.

        :param arrival: the request.
        :param target: what the endpoint ran.
        :param endpoint: the endpoint.
        :param ran: seconds for which its answer had begun; None where none had.
        :param held: seconds for which the endpoint had it.
        """
        fingerprint = arrival.fingerprint()
        self._note(CrashTrace(fingerprint, target, endpoint, 0.0, ran, held=held))

    async def settle(self, arrival: Arrival, target: CrashTarget) -> None:
        """Wait for the other VMs' news of an end that makes a request seem guilty.

        What was beside the guilty one at another VM looks guilty until they have come.

        :param arrival: a request that was at an endpoint that has just ended.
        :param target: what the endpoint ran.
        """
        if self.book.is_blocked(arrival.fingerprint(), target):
            await asyncio.sleep(SETTLE_SECONDS)

    def answered(
        self, arrival: Arrival, target: CrashTarget, endpoint: EndpointName
    ) -> None:
        """Note that an endpoint has answered a request whole, and lives.

        :param arrival: the request.
        :param target: what the endpoint runs.
        :param endpoint: the endpoint.
        """
        fingerprint = self.suspected(arrival)
        if fingerprint is not None:
            self._note(CrashTrace(fingerprint, target, endpoint, 0.0, answered=True))

    def _note(self, trace: CrashTrace) -> None:
        if not self.book.record(trace, monotonic()):
            return
        self._tell_blocked("")
        self.news.tell(trace)

    # The other VMs.

    def take(self, traces: Sequence[CrashTrace], vm: str) -> None:
        """Take in what another VM has noted.

        :param traces: it.
        :param vm: who tells.
        """
        now = monotonic()
        for trace in traces:
            self.book.record(trace, now)
        self._tell_blocked(vm)

    def blocked_traces(self) -> list[CrashTrace]:
        """:returns: what is known of blocked requests."""
        return list(self.book.blocked_traces(monotonic()))

    def _tell_blocked(self, told_by: str) -> None:
        """Tell in the log which requests are blocked now, or free again.

        :param told_by: the VM whose news it follows from; empty for this one.
        """
        before, self.blocked = self.blocked, dict(self.book.blocked)
        for target in {**before, **self.blocked}:
            old = before.get(target, frozenset())
            new = self.blocked.get(target, frozenset())
            for fingerprint in sorted(old ^ new):
                self._emit(fingerprint, target, fingerprint in new, told_by)
            if new - old and not told_by:
                self.on_blocked()
            if new - old:
                self.tasks.spawn(self._stop(target, new - old))

    async def _stop(self, target: CrashTarget, found: frozenset[Fingerprint]) -> None:
        """End the tries of blocked requests that endpoints have yet, here.

        Each of them would end one more endpoint.
        """
        await asyncio.sleep(SETTLE_SECONDS)
        still = found & self.book.blocked.get(target, frozenset())
        for stopper in self.stoppers:
            stopper(still)

    def _emit(
        self, fingerprint: Fingerprint, target: CrashTarget, blocked: bool, told_by: str
    ) -> None:
        now = monotonic()
        ends = self.book.evidence(fingerprint, target.service)
        kind = EventKind.REQUEST_BLOCKED if blocked else EventKind.REQUEST_FREED
        self.context.timeline.emit(
            kind,
            version=target.service,
            detail=", ".join(end.endpoint for end in ends),
            fingerprint=fingerprint,
            runs=target.version,
            ends=len(ends),
            ends_age_ms=round((now - ends[-1].at) * 1000.0) if ends else None,
            told_by=told_by,
        )

    def _compare(self) -> None:
        """Forget what is too old, and let other VMs see whether they know the same."""
        if not self.book.crashes and not self.book.answered:
            return
        self.book.expire(monotonic())
        self._tell_blocked("")
        self.news.tell_digest()


def _nothing() -> None:
    """Keep nothing: what is blocked is known to the VMs alone."""
