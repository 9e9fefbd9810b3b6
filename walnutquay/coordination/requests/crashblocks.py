# Licensed under the Apache License 2.0: see LICENSE for details.

"""Keeps requests that would crash endpoints from being sent to them."""

from __future__ import annotations

from walnutquay.coordination.requests.crashnews import Peers
from walnutquay.coordination.requests.limits import LimitedCall
from walnutquay.coordination.requests.outcomes import Arrival
from walnutquay.state.requests.crashes import CrashHistory
from walnutquay.state.requests.crashtypes import CrashTarget
from walnutquay.state.requests.features import RequestFeatures
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.requests.retests import Retests
from walnutquay.state.requests.verdicts import Verdict
from walnutquay.transport.timers import monotonic

# An endpoint that has been sending an answer for so long does not crash because of the
# prompt.
SOUND_SECONDS = 2.0


class CrashBlocks:
    """Decides which requests are blocked, and which one may retest a block.

    :param book: the known crashes.
    :param peers: the other VMs.
    """

    def __init__(self, book: CrashHistory, peers: Peers) -> None:
        self.book = book
        self.peers = peers
        self.retests = Retests()

    def refusal(self, arrival: Arrival, target: CrashTarget) -> Refusal | None:
        """Check whether a request is blocked from a version.

        :param arrival: a request that is about to be sent.
        :param target: the version that would run it.
        :returns: why it must not be sent there, or None.
        """
        if not self.book.verdicts:
            return None
        verdict = self._blocking(arrival, target)
        if verdict is None:
            return None
        crashes = verdict.crashes
        last = monotonic() - crashes[-1].at
        names = ", ".join(crash.endpoint for crash in crashes)
        request = "this request"
        if verdict.part is not None:
            request = f"requests with the prompt part {verdict.part}"
        return Refusal(
            RefusalCode.ENDS_ENDPOINTS,
            f"{len(crashes)} endpoints ended as they ran {request}, the last one "
            f"{last:.1f} s ago; it will not be tried again ({names})",
        )

    def _blocking(self, arrival: Arrival, target: CrashTarget) -> Verdict | None:
        """Return the verdict that keeps a request from a version; record a retest.

        A version released after the one that crashed may be fixed, and a part may be
        blocked by chance: a single VM retests it, with one request at a time.
        """
        features = features_of(arrival).all()
        verdict = self.book.verdict_on(features, target)
        now = monotonic()
        if verdict is not None:
            if not self.retests.is_due(verdict, now):
                return verdict
        else:
            verdict = self.book.verdict_elsewhere(features, target)
            if verdict is None:
                return None
        if not self.peers.is_responsible_for(verdict.feature):
            return verdict
        request, deadline = arrival.request, arrival.deadline
        if self.retests.start(verdict, target, request, deadline, now):
            return None
        return verdict

    def would_crash(self, call: LimitedCall) -> bool:
        """Return whether a call in progress is expected to crash its endpoint.

        :param call: the call.
        """
        features = features_of(call.arrival).all()
        verdict = self.book.verdict_on(features, call.target)
        if verdict is None or self.retests.is_testing(call.arrival.request):
            return False
        return verdict.part is None or call.answered_seconds() < SOUND_SECONDS


def features_of(arrival: Arrival) -> RequestFeatures:
    """Return what a request has in common with others.

    :param arrival: the request.
    """
    return RequestFeatures(arrival.fingerprint(), arrival.shared_parts())
