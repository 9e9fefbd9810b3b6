# Licensed under the Apache License 2.0: see LICENSE for details.

"""Why a request failed or was late, as far as log lines tell."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from walnutquay.history.beliefs import Beliefs
from walnutquay.history.lines import LogLine
from walnutquay.history.requests import RequestHistory
from walnutquay.state.process.events import EventKind
from walnutquay.state.requests.refusals import RefusalCode

# An engine that had so much to read before a prompt explains a late answer by itself.
BUSY_READING_MS = 300.0
# So does one with this part of its slots in use.
BUSY_LOAD = 0.75
# The step of a failure by which a call's time was over.
TIMED_OUT = "exchange"


class Cause(Enum):
    """Why a request was not answered well."""

    CALLER = "the caller's request was wrong"
    NOT_ALLOWED = "no route or key in force allows it"
    OLD_KNOWLEDGE = "the VM had older knowledge than others"
    VM_STARTING = "the VM had just started"
    VM_STOPPING = "the VM was stopping"
    VM_LOST = "the VM was lost"
    LINK_FULL = "the VM's own network link was full"
    ENDPOINTS_UNREACHED = "the endpoints could not be reached"
    ENDPOINTS_FULL = "the endpoints were full"
    ENDPOINTS_LIMITED = "the endpoints were at the rate limits that they name"
    ENDPOINTS_OVERLOADED = "the endpoints were overloaded and backed off"
    NO_ENDPOINT = "no endpoint was left to ask"
    ENDPOINT_ERROR = "the endpoint answered that it failed"
    ENDPOINT_LOST = "the endpoint's connection was lost"
    ENDS_ENDPOINTS = "it ends the endpoints that run it"
    NEW_VERSION = "a version on trial failed"
    NO_TIME = "no answer came in time"
    CALLER_LEFT = "the caller left before the answer"
    LATE_AFTER_FAILURE = "late: another endpoint had failed first"
    LATE_BUSY = "late: the endpoint was busy"
    LATE_LARGER = "late: the larger model was asked after the smaller"
    LATE_ENDPOINT = "late: the endpoint was slow"
    LATE_PAUSE = "late: a pause within the stream"
    UNTOLD = "the lines do not tell"


@dataclass(frozen=True, slots=True)
class Finding:
    """Why a request failed or was late.

    :param cause: why.
    :param line: the line that tells it.
    :param why: more, in words.
    """

    cause: Cause
    line: LogLine
    why: str = ""


REFUSALS = {
    RefusalCode.NOT_READY.value: Cause.VM_STARTING,
    RefusalCode.STOPPING.value: Cause.VM_STOPPING,
    RefusalCode.DEADLINE.value: Cause.NO_TIME,
    RefusalCode.RATE_LIMITED.value: Cause.ENDPOINTS_LIMITED,
    RefusalCode.OVERLOADED.value: Cause.ENDPOINTS_OVERLOADED,
    RefusalCode.ENDS_ENDPOINTS.value: Cause.ENDS_ENDPOINTS,
}
DENIALS = frozenset({RefusalCode.UNKNOWN_SERVICE.value, RefusalCode.NO_KEY.value})
PLACES = frozenset({RefusalCode.NO_ENDPOINT.value, RefusalCode.QUEUE_FULL.value})


# What a full link of the VM brings about, and its endpoints seem to.
BY_FULL_LINKS = frozenset(
    {
        Cause.ENDPOINTS_UNREACHED,
        Cause.ENDPOINT_LOST,
        Cause.NO_TIME,
        Cause.CALLER_LEFT,
        Cause.LATE_AFTER_FAILURE,
        Cause.LATE_ENDPOINT,
    }
)


class CauseFinder:
    """Finds causes.

    :param beliefs: what the VMs believed.
    """

    def __init__(self, beliefs: Beliefs) -> None:
        self.beliefs = beliefs

    def find(self, history: RequestHistory) -> Finding | None:
        """:param history: a request.

        :returns: why it failed or was late; None where it was answered in time.
        """
        finding = self._find(history)
        if finding is None or finding.cause not in BY_FULL_LINKS:
            return finding
        link = self.beliefs.at(history.vm, history.lines[-1].at).link
        if link is None:
            return finding
        waited = f"other VMs' answers took {link.number('wait_ms'):.0f} ms"
        return Finding(Cause.LINK_FULL, link, f"{waited}; {finding.cause.value}")

    def _find(self, history: RequestHistory) -> Finding | None:
        end = history.end
        if end is None:
            return self._without_end(history)
        if end.kind is EventKind.REFUSED:
            return self._refused(history, end)
        if end.kind is EventKind.CALLER_GONE:
            return Finding(Cause.CALLER_LEFT, end, self._waited_for(history))
        if history.late:
            return self._late(history, end)
        if history.answered:
            return None
        return self._failed(history, end)

    def _without_end(self, history: RequestHistory) -> Finding:
        last = history.lines[-1]
        started = self.beliefs.restarted_after(history.vm, last.at)
        if started is not None:
            return Finding(Cause.VM_LOST, started, f"{history.vm} started anew")
        return Finding(Cause.UNTOLD, last, "its lines end here")

    def _refused(self, history: RequestHistory, end: LogLine) -> Finding:
        code = end.detail
        if code in REFUSALS:
            return Finding(REFUSALS[code], end, str(end.facts.get("reason", "")))
        if code in DENIALS:
            return self._denied(end)
        if code in PLACES:
            return self._no_place(history, end)
        return Finding(Cause.CALLER, end, str(end.facts.get("reason", "")))

    def _denied(self, end: LogLine) -> Finding:
        newest = self.beliefs.newest_configuration(end.at)
        known = end.number("configuration")
        if newest is not None and int(newest.version) > known:
            why = f"it knew configuration {known:.0f}, {newest.vm} {newest.version}"
            return Finding(Cause.OLD_KNOWLEDGE, newest, why)
        return Finding(Cause.NOT_ALLOWED, end, str(end.facts.get("reason", "")))

    def _no_place(self, history: RequestHistory, end: LogLine) -> Finding:
        tried = history.of(EventKind.NOT_STARTED)
        steps = Counter(line.detail for line in tried)
        if not tried:
            full = end.detail == RefusalCode.QUEUE_FULL.value
            cause = Cause.ENDPOINTS_FULL if full else Cause.NO_ENDPOINT
            return Finding(cause, end, str(end.facts.get("reason", "")))
        told = ", ".join(f"{count} x {step}" for step, count in steps.items())
        refused = steps.most_common(1)[0][0] == "refused"
        cause = Cause.ENDPOINTS_FULL if refused else Cause.ENDPOINTS_UNREACHED
        return Finding(cause, tried[-1], told)

    def _failed(self, history: RequestHistory, end: LogLine) -> Finding:
        if end.detail == RefusalCode.ENDS_ENDPOINTS.value:
            reason = str(end.facts.get("reason", ""))
            return Finding(Cause.ENDS_ENDPOINTS, end, reason)
        failed = history.of(EventKind.FAILED)
        if not failed:
            return Finding(Cause.NO_TIME, end, str(end.facts.get("reason", "")))
        last = failed[-1]
        if self._was_on_trial(history, last):
            return Finding(Cause.NEW_VERSION, last, last.detail)
        cause = Cause.ENDPOINT_LOST
        if last.facts.get("status") is not None:
            cause = Cause.ENDPOINT_ERROR
        elif last.facts.get("step") == TIMED_OUT:
            cause = Cause.NO_TIME
        return Finding(cause, last, f"{last.endpoint}: {last.detail}")

    def _was_on_trial(self, history: RequestHistory, failed: LogLine) -> bool:
        sent = [
            line
            for line in history.of(EventKind.DISPATCHED)
            if line.endpoint == failed.endpoint
        ]
        if not sent:
            return False
        trials = self.beliefs.at(failed.vm, failed.at).trials
        return sent[-1].facts.get("runs") == trials.get(failed.version, "")

    def _waited_for(self, history: RequestHistory) -> str:
        sent = history.of(EventKind.DISPATCHED)
        if not sent:
            return "no endpoint had been asked"
        begun = history.of(EventKind.BEGUN)
        told = "while its stream ran" if begun else "before an answer began"
        return f"{told}, sent to {sent[-1].endpoint}"

    def _late(self, history: RequestHistory, end: LogLine) -> Finding:
        received = history.received
        aim = received.number("aim_ms") if received is not None else 0.0
        if history.first_ms <= aim:
            pause = f"{end.number('longest_pause_ms'):.0f} ms"
            return Finding(Cause.LATE_PAUSE, end, f"longest pause {pause}")
        failed = history.of(EventKind.FAILED, EventKind.NOT_STARTED)
        if failed:
            return Finding(Cause.LATE_AFTER_FAILURE, failed[0], failed[0].detail)
        sent = history.of(EventKind.DISPATCHED)
        busy = [line for line in sent if _was_busy(line)]
        if busy:
            line = busy[-1]
            why = (
                f"{line.number('reading_ms'):.0f} ms of reading before it, "
                f"{line.number('load'):.0f} of {line.number('slots'):.0f} slots in use"
            )
            return Finding(Cause.LATE_BUSY, line, why)
        larger = history.of(EventKind.ESCALATED)
        if larger:
            after = (larger[-1].seconds - history.came) * 1000.0
            return Finding(Cause.LATE_LARGER, larger[-1], f"asked after {after:.0f} ms")
        last = sent[-1] if sent else end
        return Finding(Cause.LATE_ENDPOINT, last, last.endpoint)


def _was_busy(line: LogLine) -> bool:
    slots = line.number("slots")
    loaded = slots > 0 and line.number("load") >= BUSY_LOAD * slots
    return loaded or line.number("reading_ms") >= BUSY_READING_MS


def count_causes(findings: Iterable[Finding]) -> Counter[Cause]:
    """:param findings: findings.

    :returns: how many of each cause there are.
    """
    return Counter(finding.cause for finding in findings)
