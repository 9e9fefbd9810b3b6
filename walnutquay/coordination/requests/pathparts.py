# Licensed under the Apache License 2.0: see LICENSE for details.

"""The parts that the path of every request works with."""

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
    """The parts that the path of every request works with.

    :param context: what this process shares.
    :param admission: places at endpoints.
    :param table: what is known of endpoints.
    :param retries: the budget that retries draw on.
    :param recorder: records traces, while asked to.
    :param crashes: endpoints that end while they run requests.
    :param failures: requests that endpoints answer with a failure.
    """

    context: Context
    admission: SlotAllocator
    table: EndpointTable
    retries: RetryBudget
    recorder: TraceRecorder
    crashes: CrashWatch
    failures: FailedRequests = field(default_factory=FailedRequests, kw_only=True)
