# Licensed under the Apache License 2.0: see LICENSE for details.

"""The components shared by all request paths."""

from __future__ import annotations

from dataclasses import dataclass, field

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.requests.crashes import CrashWatch
from walnutquay.coordination.requests.recorder import TraceRecorder
from walnutquay.coordination.requests.slots import SlotAllocator
from walnutquay.state.own.admission import RetryBudget
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.requests.failures import FailedRequests


@dataclass
class PathParts:
    """The components shared by all request paths.

    :param context: the state shared within this process.
    :param admission: allocates slots at endpoints.
    :param table: the known state of endpoints.
    :param retries: the budget for retries.
    :param recorder: records traces while a recording is active.
    :param crashes: detects requests that crash endpoints.
    :param failures: tracks requests that endpoints answer with an error.
    """

    context: Context
    admission: SlotAllocator
    table: EndpointTable
    retries: RetryBudget
    recorder: TraceRecorder
    crashes: CrashWatch
    failures: FailedRequests = field(default_factory=FailedRequests, kw_only=True)
