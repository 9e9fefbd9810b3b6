# Licensed under the Apache License 2.0: see LICENSE for details.

"""The parts of prompts that were running at endpoint crashes.

A part that crashes each endpoint which begins an answer to it is never answered, while
parts that sound prompts share with it are.  A crash therefore counts against a part
only until an answer to a prompt with that part is known to be later.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping

from walnutquay.state.process.ids import Feature, Fingerprint, PartName
from walnutquay.state.requests.attribution import (
    CRASHES_TO_BLOCK,
    CRASHES_TO_EXPLAIN,
    Suspect,
)
from walnutquay.state.requests.crashtypes import CrashTarget, EndpointCrash
from walnutquay.state.requests.features import part_feature, request_feature

# Crashes within this time of each other count once, unless the requests in question
# were sent after the first: endpoints that are lost together were all running whatever
# most prompts share.
SAME_MOMENT_SECONDS = 0.05
# A crash follows at about the same time after each answer begins.  These are the factor
# and the seconds by which the times may differ, as endpoints are not equally fast.
DELAY_FACTOR = 3.0
RUN_MARGIN_SECONDS = 0.2
# Requests with a part under suspicion share one endpoint, unless one of them has been
# answered for this long: most prompts may have the part then.
MAX_SUSPECT_RUN_SECONDS = 0.5
# A single request does not show which of its parts is the cause.
MIN_REQUESTS = 2
# Memory limits, with the oldest entries evicted first.
MAX_ANSWERED_PARTS = 20_000
MAX_CRASHES_OF_PART = 20

PartTarget = tuple[PartName, CrashTarget]


class PartEvidence:
    """The crashes that count against parts of prompts, and answers in their favour."""

    def __init__(self) -> None:
        self.crashes_by_part: dict[PartName, list[EndpointCrash]] = {}
        # When a version last answered a prompt with the part; monotonic seconds.
        self.answered: dict[PartTarget, float] = {}
        # When a version last answered any prompt; monotonic seconds.
        self.served: dict[CrashTarget, float] = {}
        # The latest crash of each version during a prompt with parts.
        self.last_crash: dict[CrashTarget, float] = {}

    # Evidence against parts.

    def add(
        self, crash: EndpointCrash, fingerprint: Fingerprint, parts: Iterable[PartName]
    ) -> bool:
        """Record the parts of a request that was running at a crash.

        :param crash: the crash.
        :param fingerprint: the request.
        :param parts: the parts of its prompt.
        :returns: whether anything is new.
        """
        known = crash.parts.setdefault(fingerprint, set())
        new = [
            part
            for part in parts
            if part not in known
            and crash.at > self.answered.get((part, crash.target), -math.inf)
        ]
        for part in new:
            known.add(part)
            requests = crash.requests.setdefault(part, set())
            if not requests:
                self._count(part, crash)
            requests.add(fingerprint)
        if new:
            latest = self.last_crash.get(crash.target, -math.inf)
            self.last_crash[crash.target] = max(crash.at, latest)
        return bool(new)

    def forget(self, crash: EndpointCrash, fingerprint: Fingerprint) -> None:
        """Forget the parts of a request at a crash.

        :param crash: the crash.
        :param fingerprint: the request.
        """
        for part in crash.parts.pop(fingerprint, ()):
            requests = crash.requests[part]
            requests.discard(fingerprint)
            if not requests:
                self._discount(part, crash)

    def moved_earlier(self, crash: EndpointCrash) -> None:
        """Discount a crash for parts that were answered after its corrected time.

        :param crash: a crash that turned out to be earlier than known before.
        """
        for part in list(crash.requests):
            if self.answered.get((part, crash.target), -math.inf) >= crash.at:
                self._clear(part, crash)

    # Evidence in favour of parts.

    def record_answer(
        self, parts: Iterable[PartName], target: CrashTarget, at: float
    ) -> bool:
        """Record that a version has answered a prompt.

        :param parts: the parts of the prompt.
        :param target: the version.
        :param at: when; monotonic seconds.
        :returns: whether this changes what is known of any crash.
        """
        news = self.needs_answer(target) and at > self.served.get(target, -math.inf)
        self.served[target] = max(at, self.served.get(target, at))
        for part in parts:
            key = (part, target)
            before = self.answered.pop(key, -math.inf)
            news = news or before == -math.inf
            self.answered[key] = max(at, before)
            for crash in list(self.crashes_by_part.get(part, ())):
                if crash.target == target and crash.at <= at:
                    self._clear(part, crash)
                    news = True
        while len(self.answered) > MAX_ANSWERED_PARTS:
            del self.answered[next(iter(self.answered))]
        return news

    def needs_answer(self, target: CrashTarget) -> bool:
        """Return whether no answer of a version is known since its last crash.

        :param target: the version.
        """
        last = self.last_crash.get(target)
        return last is not None and last > self.served.get(target, -math.inf)

    def suspected(
        self, parts: Iterable[PartName], target: CrashTarget
    ) -> tuple[PartName, ...]:
        """Return the parts against which a crash of a version counts.

        :param parts: the parts of a prompt.
        :param target: the version.
        """
        return tuple(
            part
            for part in parts
            if any(
                crash.target == target for crash in self.crashes_by_part.get(part, ())
            )
        )

    def _count(self, part: PartName, crash: EndpointCrash) -> None:
        crashes = self.crashes_by_part.setdefault(part, [])
        crashes.append(crash)
        if len(crashes) > MAX_CRASHES_OF_PART:
            self._clear(part, min(crashes, key=lambda one: one.at))

    def _clear(self, part: PartName, crash: EndpointCrash) -> None:
        for fingerprint in crash.requests.get(part, ()):
            crash.parts[fingerprint].discard(part)
        self._discount(part, crash)

    def _discount(self, part: PartName, crash: EndpointCrash) -> None:
        crash.requests.pop(part, None)
        crashes = self.crashes_by_part.get(part, [])
        if crash in crashes:
            crashes.remove(crash)
        if not crashes:
            self.crashes_by_part.pop(part, None)

    # Attribution.

    def suspects(self, target: CrashTarget) -> dict[Feature, Suspect]:
        """Return the parts to which crashes of a version may be attributed.

        A version that has answered nothing since the first of the crashes may crash
        under any prompt, so none is attributed to a part.

        :param target: the version.
        """
        served = self.served.get(target, -math.inf)
        return {
            feature: suspect
            for feature, suspect in self._present_at_several(target)
            if suspect.moments >= CRASHES_TO_BLOCK
            and served > min(crash.at for crash in suspect.crashes)
        }

    def early_suspects(self, target: CrashTarget) -> dict[Feature, Suspect]:
        """Return the parts that may be found to crash a version by the next crash.

        :param target: the version.
        """
        return {
            feature: suspect
            for feature, suspect in self._present_at_several(target)
            if suspect.moments >= CRASHES_TO_EXPLAIN
            and max(suspect.runtimes) < MAX_SUSPECT_RUN_SECONDS
        }

    def _present_at_several(
        self, target: CrashTarget
    ) -> Iterator[tuple[Feature, Suspect]]:
        """Yield the parts of several requests that were at several crashes."""
        for part, known in self.crashes_by_part.items():
            if len(known) < CRASHES_TO_EXPLAIN:
                continue
            carriers = {
                crash: requests
                for crash in known
                if crash.target == target and (requests := _carriers(part, crash))
            }
            crashes = _alike(carriers)
            if len(set().union(*(carriers[one] for one in crashes))) < MIN_REQUESTS:
                continue
            runtimes = tuple(_runtime(carriers[crash], crash) for crash in crashes)
            suspect = Suspect(frozenset(crashes), _moments(part, crashes), runtimes)
            yield part_feature(part), suspect

    def inseparable(
        self, part: PartName, crashes: Iterable[EndpointCrash]
    ) -> frozenset[Feature]:
        """Return the features that the crashes do not tell apart from a part.

        :param part: the part.
        :param crashes: the crashes that are attributed to it.
        :returns: the part, and what a request with it had as well at each crash.
        """
        found: frozenset[Feature] | None = None
        for crash in crashes:
            together = _features_beside(part, crash)
            found = together if found is None else found & together
        return (found or frozenset()) | {part_feature(part)}


def _carriers(part: PartName, crash: EndpointCrash) -> set[Fingerprint]:
    """Return the requests with a part that an endpoint may have run as it crashed."""
    return {
        fingerprint
        for fingerprint in crash.requests.get(part, ())
        if crash.received_before_crash(fingerprint)
    }


def _runtime(carriers: Iterable[Fingerprint], crash: EndpointCrash) -> float:
    """Return the longest time for which an endpoint has answered one of some requests.

    If no answer had begun, the endpoint may just have begun to run the last request.

    :returns: seconds.
    """
    begun = [ran for name in carriers if (ran := crash.ran[name]) is not None]
    if begun:
        return max(begun)
    return min(crash.at - crash.sent[name] for name in carriers)


def _alike(
    carriers: Mapping[EndpointCrash, Iterable[Fingerprint]],
) -> list[EndpointCrash]:
    """Return the most crashes that follow the beginning of an answer alike.

    A sound part that many prompts share has been answered for any length of time when
    an endpoint crashes from another cause.

    :param carriers: the requests with a part at each crash.
    """
    delays = {crash: _delay(names, crash) for crash, names in carriers.items()}
    best: list[EndpointCrash] = []
    for first in sorted({shortest for shortest, _ in delays.values()}):
        limit = DELAY_FACTOR * first + RUN_MARGIN_SECONDS
        alike = [
            crash
            for crash, (shortest, longest) in delays.items()
            if first <= longest and shortest <= limit
        ]
        if len(alike) > len(best):
            best = alike
    return best


def _delay(
    carriers: Iterable[Fingerprint], crash: EndpointCrash
) -> tuple[float, float]:
    """Return the bounds of the time from the first answer's beginning to the crash."""
    begun = [ran for name in carriers if (ran := crash.ran[name]) is not None]
    if begun:
        return max(begun), max(begun)
    return 0.0, max(crash.at - crash.sent[name] for name in carriers)


def _answer_time(carriers: Iterable[Fingerprint], crash: EndpointCrash) -> float:
    """Return for how long an endpoint surely was answering one of some requests."""
    return max((crash.ran[name] or 0.0 for name in carriers), default=0.0)


def _features_beside(part: PartName, crash: EndpointCrash) -> frozenset[Feature]:
    """Return what requests with a part had at a crash, without what ran too long."""
    carriers = _carriers(part, crash)
    limit = _answer_time(carriers, crash) + RUN_MARGIN_SECONDS
    beside: set[PartName] = set().union(*(crash.parts[name] for name in carriers))
    parts = (
        part_feature(other)
        for other in beside
        if _answer_time(_carriers(other, crash), crash) <= limit
    )
    return frozenset((*parts, *(request_feature(name) for name in carriers)))


def _moments(part: PartName, crashes: Iterable[EndpointCrash]) -> int:
    """Count the crashes during a part, those of endpoints lost together as one."""
    count, last = 0, -math.inf
    for crash in sorted(crashes, key=lambda one: one.at):
        sent = min(crash.sent[name] for name in _carriers(part, crash))
        if crash.at - last >= SAME_MOMENT_SECONDS or sent > last:
            count, last = count + 1, crash.at
    return count
