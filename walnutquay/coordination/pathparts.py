# Licensed under the Apache License 2.0: see LICENSE for details.

"""The parts that a request's path works with."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from expression import Result

from walnutquay.coordination.admission import Grant, Need
from walnutquay.coordination.billing import Billing
from walnutquay.coordination.claims import Claims
from walnutquay.coordination.configurations import Configurations
from walnutquay.coordination.context import Context
from walnutquay.coordination.health import VersionHealth
from walnutquay.coordination.recorder import TraceRecorder
from walnutquay.state.admission import RetryBudget
from walnutquay.state.endpoints import EndpointTable
from walnutquay.state.refusals import Refusal


class Places(Protocol):
    """Gives out places at endpoints."""

    async def acquire(self, need: Need) -> Result[Grant, Refusal]:
        """:param need: what for.

        :returns: a place, or why there is none.
        """

    def release(self, grant: Grant) -> None:
        """:param grant: a place to give back."""

    def full(self, grant: Grant) -> None:
        """:param grant: a place that its endpoint did not have after all."""


@dataclass
class PathParts:
    """The parts that the path of every request works with.

    :param context: what this process shares.
    :param admission: places at endpoints.
    :param table: what is known of endpoints.
    :param retries: the budget that retries draw on.
    :param recorder: records traces, while asked to.
    """

    context: Context
    admission: Places
    table: EndpointTable
    retries: RetryBudget
    recorder: TraceRecorder


@dataclass
class KeyedParts(PathParts):
    """The parts that requests to our own interface need besides.

    :param configurations: what is in force.
    :param claims: claims of idempotency keys.
    :param billing: bill records.
    :param health: brakes on versions.
    """

    configurations: Configurations
    claims: Claims
    billing: Billing
    health: VersionHealth
