# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which requests were running where endpoints ended, and which of them ends them.

A request that ends each endpoint that begins to run it is never alone there: all that
ran beside it broke too, and was sent on with it.  So evidence is kept for each request
that was there, and the ends are explained by as few requests as possible.
"""

from __future__ import annotations

from collections.abc import Iterator

import xxhash

from walnutquay.state.process.ids import EndpointName, Fingerprint, ServiceName
from walnutquay.state.requests.attribution import crashing_requests
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace, EndpointCrash

# So many ends are enough where another version of the service is kept from a request.
CRASHES_TO_BLOCK_ELSEWHERE = 1
# What broke at one endpoint within so long broke by the same end; it is back seconds
# later at the soonest, and may have the same name then.
SAME_CRASH_SECONDS = 1.0
# Endpoints that end within so long of each other end by one cause: VMs notice an end
# some 10 ms after it, and one that is sent a request begins to run it later than that.
SAME_MOMENT_SECONDS = 0.05
# A request that broke once and never came back is forgotten after so long.
FORGOTTEN_SECONDS = 600.0
# One that is blocked comes free after a day, for an engine may have been mended without
# a new version.
BLOCKED_SECONDS = 86_400.0
# Bounds of memory, the oldest out first: some 150 bytes for each request at an end.
MAX_CRASHES = 500
MAX_TRACES = 10_000
MAX_ANSWERED = 1_000


class CrashHistory:
    """What is known of requests that were at endpoints as these ended."""

    def __init__(self) -> None:
        # In the order in which they became known.
        self.crashes: list[EndpointCrash] = []
        # The same by request.
        self.crashes_by_request: dict[Fingerprint, list[EndpointCrash]] = {}
        # When a request was last answered whole by a version; monotonic seconds.
        self.answered: dict[tuple[Fingerprint, CrashTarget], float] = {}
        # The requests that each version is kept from, as last judged; and the versions
        # of which something was taken in since.
        self.judged: dict[CrashTarget, frozenset[Fingerprint]] = {}
        self.unjudged: set[CrashTarget] = set()

    @property
    def blocked(self) -> dict[CrashTarget, frozenset[Fingerprint]]:
        """The requests that each version is kept from."""
        for target in self.unjudged:
            found = crashing_requests(self._ends_by_request(target))
            if found:
                self.judged[target] = found
            else:
                self.judged.pop(target, None)
        self.unjudged.clear()
        return self.judged

    def _ends_by_request(
        self, target: CrashTarget
    ) -> dict[Fingerprint, list[EndpointCrash]]:
        """Give the requests at several ends of a version's endpoints."""
        return {
            fingerprint: self._own_ends(fingerprint, target)
            for fingerprint, known in self.crashes_by_request.items()
            if len(known) > 1
        }

    def _own_ends(
        self, fingerprint: Fingerprint, target: CrashTarget
    ) -> list[EndpointCrash]:
        """Give the ends that a request may have brought about by itself.

        Where another endpoint ended at the same moment without it, both had another
        cause: a request that was sent on from one of several endpoints that are lost
        together to the next of them is at three such ends within 10 ms.  But the other
        may have been ended by a request that comes again and again, too.

        :param fingerprint: the request.
        :param target: the version.
        """
        others = [
            end.at
            for end in self.crashes
            if end.target == target
            and fingerprint not in end.ran
            and not any(self._recurs(other) for other in end.ran)
        ]
        return [
            end
            for end in self._ends_at(fingerprint, target)
            if not any(abs(at - end.at) < SAME_MOMENT_SECONDS for at in others)
        ]

    def _recurs(self, fingerprint: Fingerprint) -> bool:
        """Whether endpoints have ended under a request at different moments."""
        times = [end.at for end in self.crashes_by_request[fingerprint]]
        return max(times) - min(times) >= SAME_MOMENT_SECONDS

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """:param fingerprint: a request.

        :returns: whether an endpoint has ended under it, and it was not answered since.
        """
        return fingerprint in self.crashes_by_request

    def is_blocked(self, fingerprint: Fingerprint, target: CrashTarget) -> bool:
        """:param fingerprint: a request.

        :param target: what would run it.
        :returns: whether it must not be sent there.
        """
        if fingerprint in self.blocked.get(target, ()):
            return True
        if not self.is_blocked_elsewhere(fingerprint, target):
            return False
        return len(self._ends_at(fingerprint, target)) >= CRASHES_TO_BLOCK_ELSEWHERE

    def is_blocked_elsewhere(
        self, fingerprint: Fingerprint, target: CrashTarget
    ) -> bool:
        """:param fingerprint: a request.

        :param target: a version.
        :returns: whether another version of the same service is kept from it, and this
            one has not answered it yet.
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
        """:param fingerprint: a request.

        :param service: a service.
        :returns: the ends of its endpoints at which the request was, in order.
        """
        known = self.crashes_by_request.get(fingerprint, ())
        return [
            end
            for end in known
            if end.target.service == service and end.had(fingerprint)
        ]

    def _ends_at(
        self, fingerprint: Fingerprint, target: CrashTarget
    ) -> list[EndpointCrash]:
        known = self.evidence(fingerprint, target.service)
        return [end for end in known if end.target == target]

    # Taking in.

    def record(self, trace: CrashTrace, now: float) -> bool:
        """Take in a trace, seen here or told by another VM.

        :param trace: the trace.
        :param now: monotonic seconds.
        :returns: whether it was not known.
        """
        at = now - max(0.0, trace.age)
        if trace.answered:
            return self._take_answer(trace, at)
        key = (trace.fingerprint, trace.target)
        if trace.age > BLOCKED_SECONDS or at <= self.answered.get(key, float("-inf")):
            return False
        end = self._end_of(trace, at)
        if at < end.at:
            # What seemed to be there may have been sent later than that.
            end.at = at
            self.unjudged.add(trace.target)
        sent = at - trace.held
        if trace.fingerprint in end.ran:
            self._correct(end, trace, sent)
            return False
        end.ran[trace.fingerprint] = trace.ran
        end.sent[trace.fingerprint] = sent
        self.crashes_by_request.setdefault(trace.fingerprint, []).append(end)
        self._bound()
        if len(self.crashes_by_request.get(trace.fingerprint, ())) > 1:
            self.unjudged.add(trace.target)
        return True

    def _correct(self, end: EndpointCrash, trace: CrashTrace, sent: float) -> None:
        """Take the earlier of two times at which a request was sent to an endpoint.

        News that took long to come make both the end and the sending seem later.
        """
        if sent < end.sent[trace.fingerprint]:
            end.sent[trace.fingerprint] = sent
            self.unjudged.add(trace.target)

    def _end_of(self, trace: CrashTrace, at: float) -> EndpointCrash:
        for end in reversed(self.crashes):
            same = end.endpoint == trace.endpoint and end.target == trace.target
            if same and abs(end.at - at) < SAME_CRASH_SECONDS:
                return end
        end = EndpointCrash(trace.endpoint, trace.target, at)
        self.crashes.append(end)
        return end

    def _take_answer(self, trace: CrashTrace, at: float) -> bool:
        key = (trace.fingerprint, trace.target)
        if trace.age > FORGOTTEN_SECONDS:
            return False
        if at <= self.answered.get(key, float("-inf")):
            return False
        fresh = key not in self.answered
        self.answered[key] = at
        while len(self.answered) > MAX_ANSWERED:
            del self.answered[next(iter(self.answered))]
        known = self.crashes_by_request.get(trace.fingerprint, ())
        before = [e for e in known if e.target == trace.target and e.at <= at]
        for end in before:
            self._forget(trace.fingerprint, end)
        if before:
            self.unjudged.add(trace.target)
        return fresh or bool(before)

    def _forget(self, fingerprint: Fingerprint, end: EndpointCrash) -> None:
        del end.ran[fingerprint]
        del end.sent[fingerprint]
        left = [
            other for other in self.crashes_by_request[fingerprint] if other is not end
        ]
        if left:
            self.crashes_by_request[fingerprint] = left
        else:
            del self.crashes_by_request[fingerprint]

    def _bound(self) -> None:
        """Keep to the bounds of memory.

        The oldest go first: what was beside blocked requests, and then these too, for
        new ones must be found as well.
        """
        traces = sum(len(end.ran) for end in self.crashes)
        if len(self.crashes) <= MAX_CRASHES and traces <= MAX_TRACES:
            return
        older = self.crashes[: len(self.crashes) // 2]
        for ends, spared in ((older, dict(self.blocked)), (list(self.crashes), {})):
            for end in ends:
                if len(self.crashes) <= MAX_CRASHES and traces <= MAX_TRACES:
                    return
                traces -= self._drop(end, spared.get(end.target, frozenset()))

    def _drop(self, end: EndpointCrash, spared: frozenset[Fingerprint]) -> int:
        """Forget the requests of an end, but for some.

        :returns: how many were forgotten.
        """
        dropped = set(end.ran) - spared
        for fingerprint in dropped:
            self._forget(fingerprint, end)
        if not end.ran:
            self.crashes.remove(end)
        self.unjudged.add(end.target)
        return len(dropped)

    def expire(self, now: float) -> None:
        """Forget what is too old.

        :param now: monotonic seconds.
        """
        for key, at in list(self.answered.items()):
            if now - at > FORGOTTEN_SECONDS:
                del self.answered[key]
        known = dict(self.blocked)
        for end in list(self.crashes):
            blocked = known.get(end.target, frozenset())
            for fingerprint in list(end.ran):
                kept = BLOCKED_SECONDS if fingerprint in blocked else FORGOTTEN_SECONDS
                if now - end.at > kept:
                    self._forget(fingerprint, end)
                    self.unjudged.add(end.target)
            if not end.ran:
                self.crashes.remove(end)

    # Telling.

    def traces(self, now: float) -> Iterator[CrashTrace]:
        """Yield all that is known, for another VM.

        :param now: monotonic seconds.
        """
        for end in self.crashes:
            for fingerprint, ran in end.ran.items():
                yield CrashTrace(
                    fingerprint,
                    end.target,
                    end.endpoint,
                    now - end.at,
                    ran,
                    held=end.at - end.sent[fingerprint],
                )
        for (fingerprint, target), at in self.answered.items():
            yield CrashTrace(
                fingerprint, target, EndpointName(""), now - at, answered=True
            )

    def digest(self) -> int:
        """:returns: what stands for all that is known; the same at VMs that know it."""
        rows = [
            f"{fingerprint} {end.endpoint} {end.target}"
            for end in self.crashes
            for fingerprint in end.ran
        ]
        rows += [f"{fingerprint} {target}" for fingerprint, target in self.answered]
        return xxhash.xxh3_64_intdigest("\n".join(sorted(rows)).encode())

    def blocked_traces(self, now: float) -> Iterator[CrashTrace]:
        """Yield what is known of blocked requests, to be kept for good.

        :param now: monotonic seconds.
        """
        for trace in self.traces(now):
            blocked = self.blocked.get(trace.target, frozenset())
            if trace.fingerprint in blocked and not trace.answered:
                yield trace
