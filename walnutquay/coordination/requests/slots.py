# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a request needs a place for, and the place that it gets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from expression import Result

from walnutquay.state.process.ids import (
    EndpointName,
    OrganisationName,
    RegionName,
    RequestId,
    ServiceName,
    VersionName,
    WorkKind,
)
from walnutquay.state.requests.ends import CrashTarget
from walnutquay.state.requests.refusals import Refusal
from walnutquay.state.routed.work import PromptWork
from walnutquay.state.store.instances import Instance
from walnutquay.state.store.parts import Endpoint


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """What a request needs a place for.

    :param request: its id.
    :param organisation: whose it is.
    :param weight: the organisation's weight.
    :param target: the version or service that is to run.
    :param deadline: when the answer is due; monotonic seconds.
    :param since: since when it has been looking for a place.
    :param hint: the endpoint that is likely to have the prompt cached.
    :param tried: endpoints that have failed this request.
    :param prefix: what stands for the prompt's beginning; empty for none.
    :param version: the version of a service's software; empty for any.
    :param work: the reading of its prompt; None where it has none.
    :param aim: the time in which its answer should begin; seconds.
    :param priority: its rank, 0 the most urgent.
    :param suspect: its fingerprint, where an endpoint has ended under it; empty else.
    :param regions: the regions in which it may run; None for all.
    """

    request: RequestId
    organisation: OrganisationName
    weight: float
    target: str
    deadline: float
    since: float
    hint: str = ""
    tried: frozenset[str] = frozenset()
    prefix: str = ""
    version: str = ""
    work: PromptWork | None = None
    aim: float = 0.0
    priority: int = 0
    suspect: str = ""
    regions: frozenset[RegionName] | None = None


@dataclass(slots=True)
class Grant:
    """A place at an endpoint, to be given back with :meth:`Admission.release`.

    :param endpoint: where.
    :param started: since when; monotonic seconds.
    :param work: the kind of work of the pool at that time.
    :param began: when the head of an answer came from there; monotonic seconds.
    """

    endpoint: Endpoint | Instance
    started: float
    work: WorkKind
    began: float | None = None

    @property
    def name(self) -> EndpointName:
        """The endpoint's name."""
        return EndpointName(self.endpoint.name)

    def target_of(self, target: str) -> CrashTarget:
        """:param target: the version or service that was asked for.

        :returns: what the endpoint runs for it.
        """
        instance = isinstance(self.endpoint, Instance)
        version = self.endpoint.version if instance else ""
        return CrashTarget(ServiceName(target), VersionName(version))


class SlotAllocator(Protocol):
    """Gives out places at endpoints."""

    async def acquire(self, need: SlotRequest) -> Result[Grant, Refusal]:
        """:param need: what for.

        :returns: a place, or why there is none.
        """

    def release(self, grant: Grant) -> None:
        """:param grant: a place to give back."""

    def full(self, grant: Grant) -> None:
        """:param grant: a place that its endpoint did not have after all."""
