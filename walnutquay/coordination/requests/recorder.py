# Licensed under the Apache License 2.0: see LICENSE for details.

"""On-demand recording of requests and their outcomes as a trace."""

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

# The maximum number of requests in a recording, which stops when it is reached.
MAX_RECORDED = 100_000
# Prompts that are equal up to this many bytes count as sharing a prefix.
PREFIX_BYTES = 256
# Digits of the hashes that stand for sessions, keys and prefixes: no text of callers is
# recorded.
NAME_DIGITS = 12
MAX_SECONDS = 3600.0


def _hash_name(text: bytes) -> str:
    return hashlib.sha256(text).hexdigest()[:NAME_DIGITS]


class TraceRecorder:
    """Records a trace of this VM's requests while a recording is active.

    It records the shape of prompts but not their text; see
    :mod:`walnutquay.replay.traces` for the format.
    """

    def __init__(self) -> None:
        self.rows: deque[dict[str, Any]] = deque()
        self.began = 0.0
        self.until = float("-inf")

    def start(self, seconds: float) -> None:
        """Start a recording and discard the previous one.

        :param seconds: its duration.
        """
        self.rows.clear()
        self.began = monotonic()
        self.until = self.began + min(seconds, MAX_SECONDS)

    def stop(self) -> None:
        """Stop the recording; its rows remain available."""
        self.until = float("-inf")

    def record(self, arrival: Arrival, began: float, outcome: Outcome | None) -> None:
        """Record a finished request.

        :param arrival: the request.
        :param began: when it was received; monotonic seconds.
        :param outcome: its outcome; None if its caller disconnected.
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
            "expect": [_expected_outcome(outcome)],
            "deadline": round(arrival.deadline - began, 3),
        }
        if isinstance(arrival, ChatArrival):
            row |= _chat_shape(arrival)
        elif isinstance(arrival, ServiceArrival):
            row |= _call_shape(arrival)
        if arrival.key:
            row["key"] = _hash_name(arrival.key.encode())
        self.rows.append(row)


def _expected_outcome(outcome: Outcome | None) -> str:
    """Return the name of an outcome in traces."""
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
        "prefix": _hash_name(prompt.encode()[:PREFIX_BYTES]),
        "prefix_chars": min(len(prompt), PREFIX_BYTES),
        "prompt_chars": len(prompt),
    }
    if isinstance(call.body.get("max_tokens"), int):
        shape["max_tokens"] = call.body["max_tokens"]
    session = arrival.token or arrival.session
    if arrival.session or session:
        shape["session"] = _hash_name((arrival.session or session).encode())
    return shape


def _call_shape(arrival: ServiceArrival) -> dict[str, Any]:
    """Return the shape of a call: its body's length, and its path without query."""
    path = arrival.path.partition("?")[0].lstrip("/")
    return {
        "kind": "service",
        "method": arrival.method,
        "path": f"/services/{arrival.service.name}/{path}",
        "body_chars": len(arrival.body),
    }
