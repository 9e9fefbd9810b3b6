# Licensed under the Apache License 2.0: see LICENSE for details.

"""Records what callers send and how it ends, as a trace, while asked to."""

from __future__ import annotations

import hashlib
from collections import deque
from typing import Any

from walnutquay.coordination.requests.outcomes import (
    Arrival,
    ChatArrival,
    Outcome,
    Refused,
    ServiceArrival,
    Streamed,
    Unknown,
)
from walnutquay.transport.timers import monotonic

# Requests that a recording holds at the most; it ends itself then.
MAX_RECORDED = 100_000
# A prompt's beginning up to here tells which prompts share one.
PREFIX_BYTES = 256
# Names of sessions and prefixes are hashes: what callers wrote is not recorded.
NAME_DIGITS = 12
MAX_SECONDS = 3600.0


def _name(text: bytes) -> str:
    return hashlib.sha256(text).hexdigest()[:NAME_DIGITS]


class TraceRecorder:
    """Keeps a trace of this VM's requests while a recording runs.

    It records the shape of prompts and not their words; see
    :mod:`walnutquay.replay.traces` for the format.
    """

    def __init__(self) -> None:
        self.rows: deque[dict[str, Any]] = deque()
        self.began = 0.0
        self.until = float("-inf")

    def start(self, seconds: float) -> None:
        """Begin a recording; what was recorded before is dropped.

        :param seconds: for how long.
        """
        self.rows.clear()
        self.began = monotonic()
        self.until = self.began + min(seconds, MAX_SECONDS)

    def stop(self) -> None:
        """End the recording; what it has stays to be fetched."""
        self.until = float("-inf")

    def record(self, arrival: Arrival, began: float, outcome: Outcome | None) -> None:
        """Record a request that has ended.

        :param arrival: the request.
        :param began: when it came; monotonic seconds.
        :param outcome: how it ended; None where its caller has gone.
        """
        if began > self.until or began < self.began:
            return
        if len(self.rows) >= MAX_RECORDED:
            self.stop()
            return
        row = {
            "at": round(began - self.began, 4),
            "organisation": arrival.organisation.name,
            "class": arrival.request_class,
            "expect": [_expected(outcome)],
            "deadline": round(arrival.deadline - began, 3),
        }
        if isinstance(arrival, ChatArrival):
            row |= _chat_shape(arrival)
        elif isinstance(arrival, ServiceArrival):
            row |= _call_shape(arrival)
        if arrival.key:
            row["key"] = _name(arrival.key.encode())
        self.rows.append(row)


def _expected(outcome: Outcome | None) -> str:
    """Name an outcome as traces state it."""
    if isinstance(outcome, Refused):
        return "not_run"
    if outcome is None or isinstance(outcome, Unknown):
        return "unknown"
    if isinstance(outcome, Streamed) and not outcome.whole:
        return "unknown"
    return "answered"


def _chat_shape(arrival: ChatArrival) -> dict[str, Any]:
    call = arrival.call
    prompt = "\n".join(str(m.get("content", "")) for m in call.body["messages"])
    shape = {
        "kind": "chat",
        "model": call.model,
        "stream": call.stream,
        "prefix": _name(prompt.encode()[:PREFIX_BYTES]),
        "prefix_chars": min(len(prompt), PREFIX_BYTES),
        "prompt_chars": len(prompt),
    }
    if isinstance(call.body.get("max_tokens"), int):
        shape["max_tokens"] = call.body["max_tokens"]
    session = arrival.token or arrival.session
    if arrival.session or session:
        shape["session"] = _name((arrival.session or session).encode())
    return shape


def _call_shape(arrival: ServiceArrival) -> dict[str, Any]:
    """Give a call's shape: its body is as long as it was, its query is left out."""
    path = arrival.path.partition("?")[0].lstrip("/")
    return {
        "kind": "service",
        "method": arrival.method,
        "path": f"/services/{arrival.service.name}/{path}",
        "body_chars": len(arrival.body),
    }
