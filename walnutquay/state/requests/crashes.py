# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that were running at endpoint crashes, and what in them causes the crashes.

A request that crashes every endpoint that starts to run it is never alone there: all
requests that ran next to it were interrupted as well and retried elsewhere along with
it.  Evidence is therefore kept for every request that was present, and the crashes are
attributed to as few features of requests as possible: whole requests, and the parts
that prompts share.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import replace

from walnutquay.state.process.ids import (
    Feature,
    Fingerprint,
    PartName,
    ServiceName,
)
from walnutquay.state.requests.attribution import (
    Suspect,
    crashing_features,
    fewest_explaining,
)
from walnutquay.state.requests.crashevidence import CrashEvidence
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace, EndpointCrash
from walnutquay.state.requests.features import (
    RequestFeatures,
    part_of,
    request_feature,
)
from walnutquay.state.requests.verdicts import Verdict

# This many crashes block a request for a version if another version of the service
# blocks it already.
CRASHES_TO_BLOCK_ELSEWHERE = 1
# Endpoints that crash within this time of each other crash from one cause: VMs notice a
# crash about 10 ms after it, and an endpoint starts to run a request that it is sent
# later than that.
SIMULTANEOUS_SECONDS = 0.05


class CrashHistory(CrashEvidence):
    """The known endpoint crashes, and the verdicts on what causes them."""

    def __init__(self) -> None:
        super().__init__()
        # The verdicts by version, as last evaluated, and the parts that are likely to
        # become one.
        self.last_verdicts: dict[CrashTarget, tuple[Verdict, ...]] = {}
        self.last_early: dict[CrashTarget, tuple[Verdict, ...]] = {}

    @property
    def verdicts(self) -> dict[CrashTarget, tuple[Verdict, ...]]:
        """What is blocked for each version."""
        for target in self.stale_targets:
            self._evaluate(target)
        self.stale_targets.clear()
        return self.last_verdicts

    @property
    def blocked(self) -> dict[CrashTarget, frozenset[Fingerprint]]:
        """The whole requests that are blocked for each version."""
        found = {
            target: frozenset(
                Fingerprint(one.feature) for one in verdicts if one.part is None
            )
            for target, verdicts in self.verdicts.items()
        }
        return {target: requests for target, requests in found.items() if requests}

    @property
    def blocked_parts(self) -> dict[CrashTarget, tuple[Verdict, ...]]:
        """The verdicts on parts of prompts for each version."""
        found = {
            target: tuple(one for one in verdicts if one.part is not None)
            for target, verdicts in self.verdicts.items()
        }
        return {target: verdicts for target, verdicts in found.items() if verdicts}

    def _evaluate(self, target: CrashTarget) -> None:
        whole = self._suspects(target)
        found = crashing_features({**whole, **self.parts.suspects(target)})
        self.last_verdicts[target] = tuple(
            self._verdict(target, feature, suspect)
            for feature, suspect in found.items()
        )
        if not found:
            del self.last_verdicts[target]
        early = fewest_explaining(self.parts.early_suspects(target))
        self.last_early[target] = tuple(
            self._verdict(target, feature, suspect)
            for feature, suspect in early.items()
        )

    def _verdict(
        self, target: CrashTarget, feature: Feature, suspect: Suspect
    ) -> Verdict:
        part = part_of(feature)
        features = (
            frozenset((feature,))
            if part is None
            else self.parts.inseparable(part, suspect.crashes)
        )
        crashes = tuple(sorted(suspect.crashes, key=lambda crash: crash.at))
        return Verdict(target, feature, features, crashes, suspect.moments)

    def _suspects(self, target: CrashTarget) -> dict[Feature, Suspect]:
        """Return the requests at several crashes, with the crashes to attribute.

        :param target: the version whose crashes are considered.
        """
        found = {}
        for fingerprint, known in self.crashes_by_request.items():
            if len(known) < 2:
                continue
            crashes = self._attributable_crashes(fingerprint, target)
            runtimes = tuple(_max_runtime(fingerprint, crash) for crash in crashes)
            suspect = Suspect(frozenset(crashes), len(crashes), runtimes)
            found[request_feature(fingerprint)] = suspect
        return found

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

    # Suspects.

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Check whether an endpoint crashed during a request not answered since then.

        :param fingerprint: the request.
        """
        return fingerprint in self.crashes_by_request

    def early_suspect(self, features: frozenset[Feature]) -> Verdict | None:
        """Return the likely cause of crashes that a request has, if any.

        :param features: all features of the request.
        """
        for early in self.last_early.values():
            for verdict in early:
                if verdict.applies_to(features):
                    return verdict
        return None

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

    # Blocks.

    def verdict_on(
        self, features: frozenset[Feature], target: CrashTarget
    ) -> Verdict | None:
        """Return why a request must not be sent to endpoints of a version.

        :param features: all features of the request.
        :param target: the version that would run it.
        :returns: the verdict; None if there is none.
        """
        for verdict in self.verdicts.get(target, ()):
            if verdict.applies_to(features):
                return verdict
        verdict = self.verdict_elsewhere(features, target)
        if verdict is None:
            return None
        crashes = self._crashes_with(verdict, target)
        return verdict if len(crashes) >= CRASHES_TO_BLOCK_ELSEWHERE else None

    def verdict_elsewhere(
        self, features: frozenset[Feature], target: CrashTarget
    ) -> Verdict | None:
        """Return why another version of the service blocks a request.

        :param features: all features of the request.
        :param target: the version that would run it.
        :returns: the verdict for another version of the same service, if this version
            has not answered such a request yet.
        """
        for other, verdicts in self.verdicts.items():
            if other.service != target.service or other == target:
                continue
            for verdict in verdicts:
                if verdict.applies_to(features) and not self._answered(verdict, target):
                    return verdict
        return None

    def parts_in_doubt(
        self, parts: Iterable[PartName], target: CrashTarget
    ) -> tuple[PartName, ...]:
        """Return the parts of a prompt whose answer by a version tells something.

        :param parts: the parts.
        :param target: the version that answered.
        :returns: those against which crashes of it count, or that are blocked for
            another version of its service.
        """
        listed = tuple(parts)
        elsewhere = {
            part
            for other, verdicts in self.verdicts.items()
            if other.service == target.service and other != target
            for verdict in verdicts
            for part in verdict.parts
        }
        suspected = set(self.parts.suspected(listed, target))
        known = self.parts.answered
        return tuple(
            part
            for part in listed
            if part in suspected or (part in elsewhere and (part, target) not in known)
        )

    def _answered(self, verdict: Verdict, target: CrashTarget) -> bool:
        """Return whether a version has answered what another version blocks."""
        if verdict.part is None:
            return (Fingerprint(verdict.feature), target) in self.answered
        return all((part, target) in self.parts.answered for part in verdict.parts)

    def _crashes_with(
        self, verdict: Verdict, target: CrashTarget
    ) -> list[EndpointCrash]:
        """Return a version's crashes during what another version blocks."""
        if verdict.part is None:
            return self._crashes_of(Fingerprint(verdict.feature), target)
        known = self.parts.crashes_by_part.get(verdict.part, ())
        return [crash for crash in known if crash.target == target]

    def is_blocked(self, fingerprint: Fingerprint, target: CrashTarget) -> bool:
        """Check whether a request must not be sent to endpoints of a version.

        :param fingerprint: the request; its parts are not considered.
        :param target: the version that would run it.
        """
        features = RequestFeatures(fingerprint).all()
        return self.verdict_on(features, target) is not None

    def is_blocked_elsewhere(
        self, fingerprint: Fingerprint, target: CrashTarget
    ) -> bool:
        """Check whether another version of the service blocks a request.

        :param fingerprint: the request; its parts are not considered.
        :param target: the version that would run it.
        """
        features = RequestFeatures(fingerprint).all()
        return self.verdict_elsewhere(features, target) is not None

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

    def protected(self, crash: EndpointCrash) -> frozenset[Fingerprint]:
        """Return the requests at a crash that are blocked, or have a blocked part.

        :param crash: the crash.
        """
        verdicts = self.verdicts.get(crash.target, ())
        parts = {one.part for one in verdicts if crash in one.crashes}
        whole = {one.feature for one in verdicts if one.part is None}
        return frozenset(
            name
            for name in crash.ran
            if name in whole or parts & crash.parts.get(name, set())
        )

    # Export to the store.

    def blocked_traces(self, now: float) -> Iterator[CrashTrace]:
        """Yield the traces of blocked requests, to be stored permanently.

        :param now: monotonic seconds.
        """
        for trace in self.traces(now):
            blocked = self.blocked.get(trace.target, frozenset())
            if trace.fingerprint in blocked and not trace.answered:
                yield replace(trace, parts=())

    def blocked_part_traces(self, now: float) -> Iterator[CrashTrace]:
        """Yield the evidence against blocked parts, to be stored permanently.

        :param now: monotonic seconds.
        """
        for target, verdicts in self.blocked_parts.items():
            attributed = set().union(*(one.parts for one in verdicts))
            for trace in self.traces(now):
                parts = tuple(part for part in trace.parts if part in attributed)
                if trace.target == target and parts and not trace.answered:
                    yield replace(trace, parts=parts)
            yield from self.served_trace(target, now)


def _max_runtime(request: Fingerprint, crash: EndpointCrash) -> float:
    """Return the longest time that an endpoint may have run a request before crashing.

    A request whose answer had not started may have been waiting at the endpoint, or may
    just have started to run.

    :returns: seconds.
    """
    ran = crash.ran[request]
    return crash.at - crash.sent[request] if ran is None else ran
