# Licensed under the Apache License 2.0: see LICENSE for details.

"""Endpoint crashes with the requests that were running at them, within bounds."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator

import xxhash

from walnutquay.state.process.ids import EndpointName, Fingerprint
from walnutquay.state.requests.crashparts import PartEvidence
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace, EndpointCrash

# Connections that broke at one endpoint within this time broke in the same crash.  An
# endpoint takes seconds at least to restart, and may then have the same name.
SAME_CRASH_SECONDS = 1.0
# A request that was interrupted once and never sent again is forgotten after this time.
FORGOTTEN_SECONDS = 600.0
# A blocked request is unblocked after a day, because an engine may have been fixed
# without a new version.
BLOCKED_SECONDS = 86_400.0
# Memory limits, with the oldest entries evicted first: about 150 bytes for each request
# at a crash, and for so many parts of its prompt.
MAX_CRASHES = 500
MAX_TRACES = 10_000
MAX_ANSWERED = 1_000
PARTS_PER_TRACE = 8
# The part of a limit that is kept when it is exceeded.
KEPT_SHARE = 0.9


class CrashEvidence(ABC):
    """The known endpoint crashes, with the requests that were running at them."""

    def __init__(self) -> None:
        # In the order in which this VM learned of them.
        self.crashes: list[EndpointCrash] = []
        # The same crashes, by request.
        self.crashes_by_request: dict[Fingerprint, list[EndpointCrash]] = {}
        # When a version last answered a request completely; monotonic seconds.
        self.answered: dict[tuple[Fingerprint, CrashTarget], float] = {}
        self.parts = PartEvidence()
        # The versions that have new evidence since the last evaluation.
        self.stale_targets: set[CrashTarget] = set()
        # The most memory that all crashes may take, in units of one request.
        self.weight_bound = 0
        # The digest, until something changes.
        self.known_digest: int | None = None

    @abstractmethod
    def protected(self, crash: EndpointCrash) -> frozenset[Fingerprint]:
        """Return the requests at a crash whose evidence is kept the longest.

        :param crash: the crash.
        """

    # Recording traces.

    def record(self, trace: CrashTrace, now: float) -> bool:
        """Record a trace that was observed here or received from another VM.

        :param trace: the trace.
        :param now: monotonic seconds.
        :returns: whether the trace is new.
        """
        at = now - max(0.0, trace.age)
        self.known_digest = None
        if trace.answered:
            return self._record_answer(trace, at)
        key = (trace.fingerprint, trace.target)
        if trace.age > BLOCKED_SECONDS or at <= self.answered.get(key, float("-inf")):
            return False
        crash = self._find_or_add_crash(trace, at)
        if at < crash.at:
            # Requests that seemed present may have been sent after this earlier time.
            crash.at = at
            self.parts.moved_earlier(crash)
            self.stale_targets.add(trace.target)
        sent = at - trace.held
        if trace.fingerprint in crash.ran:
            self._correct_sent_time(crash, trace, sent)
            return self._add_parts(crash, trace)
        crash.ran[trace.fingerprint] = trace.ran
        crash.sent[trace.fingerprint] = sent
        self.crashes_by_request.setdefault(trace.fingerprint, []).append(crash)
        self._add_parts(crash, trace)
        self.weight_bound += 1 + len(trace.parts) // PARTS_PER_TRACE + 1
        self._enforce_limits()
        if len(self.crashes_by_request.get(trace.fingerprint, ())) > 1:
            self.stale_targets.add(trace.target)
        return True

    def _add_parts(self, crash: EndpointCrash, trace: CrashTrace) -> bool:
        if not self.parts.add(crash, trace.fingerprint, trace.parts):
            return False
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
        if trace.age > FORGOTTEN_SECONDS:
            return False
        parts_news = self.parts.record_answer(trace.parts, trace.target, at)
        if parts_news:
            self.stale_targets.add(trace.target)
        # An answer may be evidence for its parts only.
        known = bool(trace.fingerprint) and self._record_whole_answer(trace, at)
        return known or parts_news

    def _record_whole_answer(self, trace: CrashTrace, at: float) -> bool:
        key = (trace.fingerprint, trace.target)
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
        self.parts.forget(crash, fingerprint)
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
        if len(self.crashes) <= MAX_CRASHES and self.weight_bound <= MAX_TRACES:
            return
        weight = self.weight_bound = sum(_weight(crash) for crash in self.crashes)
        if len(self.crashes) <= MAX_CRASHES and weight <= MAX_TRACES:
            return
        older = [
            (crash, self.protected(crash))
            for crash in self.crashes[: len(self.crashes) // 2]
        ]
        every = [(crash, frozenset()) for crash in self.crashes]
        enough, light = KEPT_SHARE * MAX_CRASHES, KEPT_SHARE * MAX_TRACES
        for crash, protected in (*older, *every):
            if len(self.crashes) <= enough and weight <= light:
                break
            before = _weight(crash)
            self._forget_requests(crash, protected)
            weight -= before - _weight(crash)
        self.weight_bound = weight

    def _forget_requests(
        self, crash: EndpointCrash, protected: frozenset[Fingerprint]
    ) -> None:
        """Forget the requests of a crash, except for the protected ones."""
        for fingerprint in set(crash.ran) - protected:
            self._forget(fingerprint, crash)
        if not crash.ran and crash in self.crashes:
            self.crashes.remove(crash)
        self.stale_targets.add(crash.target)

    def expire(self, now: float) -> None:
        """Forget crashes and answers that are too old.

        :param now: monotonic seconds.
        """
        for key, at in list(self.answered.items()):
            if now - at > FORGOTTEN_SECONDS:
                del self.answered[key]
        self.known_digest = None
        known = [(crash, self.protected(crash)) for crash in self.crashes]
        for crash, protected in known:
            for fingerprint in list(crash.ran):
                kept = (
                    BLOCKED_SECONDS if fingerprint in protected else FORGOTTEN_SECONDS
                )
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
                    parts=tuple(sorted(crash.parts.get(fingerprint, ()))),
                )
        nobody, nowhere = Fingerprint(""), EndpointName("")
        for (fingerprint, target), at in self.answered.items():
            yield CrashTrace(fingerprint, target, nowhere, now - at, answered=True)
        for (part, target), at in self.parts.answered.items():
            age = now - at
            yield CrashTrace(nobody, target, nowhere, age, answered=True, parts=(part,))
        for target in self.parts.last_crash:
            yield from self.served_trace(target, now)

    def served_trace(self, target: CrashTarget, now: float) -> Iterator[CrashTrace]:
        """Yield when a version last answered a prompt, if that is known.

        :param target: the version.
        :param now: monotonic seconds.
        """
        at = self.parts.served.get(target)
        if at is not None:
            yield CrashTrace(
                Fingerprint(""), target, EndpointName(""), now - at, answered=True
            )

    def digest(self) -> int:
        """Hash the known traces; VMs with the same traces get the same digest."""
        if self.known_digest is None:
            self.known_digest = self._digest()
        return self.known_digest

    def _digest(self) -> int:
        rows = [
            f"{fingerprint} {crash.endpoint} {crash.target}"
            for crash in self.crashes
            for fingerprint in crash.ran
        ]
        rows += [f"{fingerprint} {target}" for fingerprint, target in self.answered]
        rows += [
            f"part {part} {crash.endpoint} {crash.target}"
            for part, crashes in self.parts.crashes_by_part.items()
            for crash in crashes
        ]
        return xxhash.xxh3_64_intdigest("\n".join(sorted(rows)).encode())


def _weight(crash: EndpointCrash) -> int:
    """Return the memory that a crash takes, in units of one request."""
    parts = sum(len(parts) for parts in crash.parts.values())
    return len(crash.ran) + parts // PARTS_PER_TRACE
