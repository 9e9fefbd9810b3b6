# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that were running at endpoint crashes, and the requests that cause them.

A request that crashes every endpoint that starts to run it is never alone there: all
requests that ran next to it were interrupted as well and retried elsewhere along with
it.  Evidence is therefore kept for every request that was present, and the crashes are
attributed to as few requests as possible.
"""

from __future__ import annotations

from collections.abc import Iterator

import xxhash

from walnutquay.state.process.ids import EndpointName, Fingerprint, ServiceName
from walnutquay.state.requests.attribution import crashing_requests
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace, EndpointCrash

# This many crashes block a request for a version if another version of the service
# blocks it already.
CRASHES_TO_BLOCK_ELSEWHERE = 1
# Connections that broke at one endpoint within this time broke in the same crash.  An
# endpoint takes seconds at least to restart, and may then have the same name.
SAME_CRASH_SECONDS = 1.0
# Endpoints that crash within this time of each other crash from one cause: VMs notice a
# crash about 10 ms after it, and an endpoint starts to run a request that it is sent
# later than that.
SIMULTANEOUS_SECONDS = 0.05
# A request that was interrupted once and never sent again is forgotten after this time.
FORGOTTEN_SECONDS = 600.0
# A blocked request is unblocked after a day, because an engine may have been fixed
# without a new version.
BLOCKED_SECONDS = 86_400.0
# Memory limits, with the oldest entries evicted first: about 150 bytes for each request
# at a crash.
MAX_CRASHES = 500
MAX_TRACES = 10_000
MAX_ANSWERED = 1_000


class CrashHistory:
    """The known endpoint crashes, with the requests that were running at them."""

    def __init__(self) -> None:
        # In the order in which this VM learned of them.
        self.crashes: list[EndpointCrash] = []
        # The same crashes, by request.
        self.crashes_by_request: dict[Fingerprint, list[EndpointCrash]] = {}
        # When a version last answered a request completely; monotonic seconds.
        self.answered: dict[tuple[Fingerprint, CrashTarget], float] = {}
        # The requests blocked for each version, as last evaluated, and the versions
        # that have new evidence since then.
        self.last_blocked: dict[CrashTarget, frozenset[Fingerprint]] = {}
        self.stale_targets: set[CrashTarget] = set()

    @property
    def blocked(self) -> dict[CrashTarget, frozenset[Fingerprint]]:
        """The requests that are blocked for each version."""
        for target in self.stale_targets:
            found = crashing_requests(self._suspects(target))
            if found:
                self.last_blocked[target] = found
            else:
                self.last_blocked.pop(target, None)
        self.stale_targets.clear()
        return self.last_blocked

    def _suspects(self, target: CrashTarget) -> dict[Fingerprint, list[EndpointCrash]]:
        """Return the requests at several crashes, with the crashes to attribute.

        :param target: the version whose crashes are considered.
        """
        return {
            fingerprint: self._attributable_crashes(fingerprint, target)
            for fingerprint, known in self.crashes_by_request.items()
            if len(known) > 1
        }

    def _attributable_crashes(
        self, fingerprint: Fingerprint, target: CrashTarget
    ) -> list[EndpointCrash]:
        """Return the crashes that a request may have caused by itself.

        If another endpoint crashed at the same moment without having the request, both
        crashes had another cause: when several endpoints are lost together, a request
        that is retried from one of them to the next is present at three such crashes
        within 10 ms.  The exception is another endpoint that may itself have been
        crashed by a recurring request.

        :param fingerprint: the request.
        :param target: the version.
        """
        others = [
            crash.at
            for crash in self.crashes
            if crash.target == target
            and fingerprint not in crash.ran
            and not any(self._is_recurrent(other) for other in crash.ran)
        ]
        return [
            crash
            for crash in self._crashes_of(fingerprint, target)
            if not any(abs(at - crash.at) < SIMULTANEOUS_SECONDS for at in others)
        ]

    def _is_recurrent(self, fingerprint: Fingerprint) -> bool:
        """Return whether endpoints crashed at different moments during a request."""
        times = [crash.at for crash in self.crashes_by_request[fingerprint]]
        return max(times) - min(times) >= SIMULTANEOUS_SECONDS

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Check whether an endpoint crashed during a request not answered since then.

        :param fingerprint: the request.
        """
        return fingerprint in self.crashes_by_request

    def companions(self, fingerprint: Fingerprint) -> frozenset[Fingerprint]:
        """Return the requests that were at each crash of a request.

        As long as they stay together, the crashes do not tell them apart.

        :param fingerprint: the request.
        """
        known = self.crashes_by_request.get(fingerprint)
        if not known:
            return frozenset()
        present = (set(crash.ran) for crash in known)
        return frozenset(set.intersection(*present) - {fingerprint})

    def is_blocked(self, fingerprint: Fingerprint, target: CrashTarget) -> bool:
        """Check whether a request must not be sent to endpoints of a version.

        :param fingerprint: the request.
        :param target: the version that would run it.
        """
        if fingerprint in self.blocked.get(target, ()):
            return True
        if not self.is_blocked_elsewhere(fingerprint, target):
            return False
        return len(self._crashes_of(fingerprint, target)) >= CRASHES_TO_BLOCK_ELSEWHERE

    def is_blocked_elsewhere(
        self, fingerprint: Fingerprint, target: CrashTarget
    ) -> bool:
        """Check whether another version of the service blocks a request.

        :param fingerprint: the request.
        :param target: the version that would run it.
        :returns: whether the request is blocked for another version of the same service
            and this version has not answered it yet.
        """
        if (fingerprint, target) in self.answered:
            return False
        return any(
            other.service == target.service
            and other != target
            and fingerprint in blocked
            for other, blocked in self.blocked.items()
        )

    def evidence(
        self, fingerprint: Fingerprint, service: ServiceName
    ) -> list[EndpointCrash]:
        """Return the crashes of a service's endpoints at which a request was present.

        :param fingerprint: the request.
        :param service: the service.
        :returns: the crashes, in the order in which this VM learned of them.
        """
        known = self.crashes_by_request.get(fingerprint, ())
        return [
            crash
            for crash in known
            if crash.target.service == service
            and crash.received_before_crash(fingerprint)
        ]

    def _crashes_of(
        self, fingerprint: Fingerprint, target: CrashTarget
    ) -> list[EndpointCrash]:
        known = self.evidence(fingerprint, target.service)
        return [crash for crash in known if crash.target == target]

    # Recording traces.

    def record(self, trace: CrashTrace, now: float) -> bool:
        """Record a trace that was observed here or received from another VM.

        :param trace: the trace.
        :param now: monotonic seconds.
        :returns: whether the trace is new.
        """
        at = now - max(0.0, trace.age)
        if trace.answered:
            return self._record_answer(trace, at)
        key = (trace.fingerprint, trace.target)
        if trace.age > BLOCKED_SECONDS or at <= self.answered.get(key, float("-inf")):
            return False
        crash = self._find_or_add_crash(trace, at)
        if at < crash.at:
            # Requests that seemed present may have been sent after this earlier time.
            crash.at = at
            self.stale_targets.add(trace.target)
        sent = at - trace.held
        if trace.fingerprint in crash.ran:
            self._correct_sent_time(crash, trace, sent)
            return False
        crash.ran[trace.fingerprint] = trace.ran
        crash.sent[trace.fingerprint] = sent
        self.crashes_by_request.setdefault(trace.fingerprint, []).append(crash)
        self._enforce_limits()
        if len(self.crashes_by_request.get(trace.fingerprint, ())) > 1:
            self.stale_targets.add(trace.target)
        return True

    def _correct_sent_time(
        self, crash: EndpointCrash, trace: CrashTrace, sent: float
    ) -> None:
        """Keep the earlier of two times at which a request was sent to an endpoint.

        A delayed trace makes both the crash and the time of sending seem later.
        """
        if sent < crash.sent[trace.fingerprint]:
            crash.sent[trace.fingerprint] = sent
            self.stale_targets.add(trace.target)

    def _find_or_add_crash(self, trace: CrashTrace, at: float) -> EndpointCrash:
        for crash in reversed(self.crashes):
            same = crash.endpoint == trace.endpoint and crash.target == trace.target
            if same and abs(crash.at - at) < SAME_CRASH_SECONDS:
                return crash
        crash = EndpointCrash(trace.endpoint, trace.target, at)
        self.crashes.append(crash)
        return crash

    def _record_answer(self, trace: CrashTrace, at: float) -> bool:
        key = (trace.fingerprint, trace.target)
        if trace.age > FORGOTTEN_SECONDS:
            return False
        if at <= self.answered.get(key, float("-inf")):
            return False
        is_new = key not in self.answered
        self.answered[key] = at
        while len(self.answered) > MAX_ANSWERED:
            del self.answered[next(iter(self.answered))]
        known = self.crashes_by_request.get(trace.fingerprint, ())
        before = [e for e in known if e.target == trace.target and e.at <= at]
        for crash in before:
            self._forget(trace.fingerprint, crash)
        if before:
            self.stale_targets.add(trace.target)
        return is_new or bool(before)

    def _forget(self, fingerprint: Fingerprint, crash: EndpointCrash) -> None:
        del crash.ran[fingerprint]
        del crash.sent[fingerprint]
        remaining = [
            other
            for other in self.crashes_by_request[fingerprint]
            if other is not crash
        ]
        if remaining:
            self.crashes_by_request[fingerprint] = remaining
        else:
            del self.crashes_by_request[fingerprint]

    def _enforce_limits(self) -> None:
        """Evict the oldest crashes when a memory limit is exceeded.

        Requests that are not blocked are evicted first, then blocked ones as well,
        because there must be room to find new crashing requests.
        """
        traces = sum(len(crash.ran) for crash in self.crashes)
        if len(self.crashes) <= MAX_CRASHES and traces <= MAX_TRACES:
            return
        older = self.crashes[: len(self.crashes) // 2]
        for crashes, protected in (
            (older, dict(self.blocked)),
            (list(self.crashes), {}),
        ):
            for crash in crashes:
                if len(self.crashes) <= MAX_CRASHES and traces <= MAX_TRACES:
                    return
                traces -= self._forget_requests(
                    crash, protected.get(crash.target, frozenset())
                )

    def _forget_requests(
        self, crash: EndpointCrash, protected: frozenset[Fingerprint]
    ) -> int:
        """Forget the requests of a crash, except for the protected ones.

        :returns: the number of requests forgotten.
        """
        dropped = set(crash.ran) - protected
        for fingerprint in dropped:
            self._forget(fingerprint, crash)
        if not crash.ran:
            self.crashes.remove(crash)
        self.stale_targets.add(crash.target)
        return len(dropped)

    def expire(self, now: float) -> None:
        """Forget crashes and answers that are too old.

        :param now: monotonic seconds.
        """
        for key, at in list(self.answered.items()):
            if now - at > FORGOTTEN_SECONDS:
                del self.answered[key]
        known = dict(self.blocked)
        for crash in list(self.crashes):
            blocked = known.get(crash.target, frozenset())
            for fingerprint in list(crash.ran):
                kept = BLOCKED_SECONDS if fingerprint in blocked else FORGOTTEN_SECONDS
                if now - crash.at > kept:
                    self._forget(fingerprint, crash)
                    self.stale_targets.add(crash.target)
            if not crash.ran:
                self.crashes.remove(crash)

    # Export to other VMs and to the store.

    def traces(self, now: float) -> Iterator[CrashTrace]:
        """Yield all known traces, to be sent to another VM.

        :param now: monotonic seconds.
        """
        for crash in self.crashes:
            for fingerprint, ran in crash.ran.items():
                yield CrashTrace(
                    fingerprint,
                    crash.target,
                    crash.endpoint,
                    now - crash.at,
                    ran,
                    held=crash.at - crash.sent[fingerprint],
                )
        for (fingerprint, target), at in self.answered.items():
            yield CrashTrace(
                fingerprint, target, EndpointName(""), now - at, answered=True
            )

    def digest(self) -> int:
        """Hash the known traces; VMs with the same traces get the same digest."""
        rows = [
            f"{fingerprint} {crash.endpoint} {crash.target}"
            for crash in self.crashes
            for fingerprint in crash.ran
        ]
        rows += [f"{fingerprint} {target}" for fingerprint, target in self.answered]
        return xxhash.xxh3_64_intdigest("\n".join(sorted(rows)).encode())

    def blocked_traces(self, now: float) -> Iterator[CrashTrace]:
        """Yield the traces of blocked requests, to be stored permanently.

        :param now: monotonic seconds.
        """
        for trace in self.traces(now):
            blocked = self.blocked.get(trace.target, frozenset())
            if trace.fingerprint in blocked and not trace.answered:
                yield trace
