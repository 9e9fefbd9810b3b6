# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests for a slot at an endpoint, and the slots granted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from expression import Result

from walnutquay.state.process.ids import (
    EndpointName,
    Fingerprint,
    OrganisationName,
    RegionName,
    RequestId,
    RouteName,
    ServiceName,
    VersionName,
    VmName,
    WorkKind,
)
from walnutquay.state.requests.crashtypes import CrashTarget
from walnutquay.state.requests.refusals import Refusal
from walnutquay.state.routed.slottypes import SlotNumber
from walnutquay.state.routed.work import PromptWork
from walnutquay.state.store.instances import Instance
from walnutquay.state.store.parts import Endpoint


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """The properties of a request that needs a slot.

    :param request: the request id.
    :param organisation: the organisation of the caller.
    :param weight: the organisation's weight.
    :param target: the version or service that should run it.
    :param deadline: when the answer is due; monotonic seconds.
    :param since: when it started waiting for a slot; monotonic seconds.
    :param hint: the endpoint that is likely to have the prompt cached.
    :param tried: endpoints that have failed this request.
    :param prefix: the key of the prompt's prefix; empty if none.
    :param version: the version of a service's software; empty for any.
    :param work: the work of processing its prompt; None if it has no prompt.
    :param aim: the objective for the time until its answer begins; seconds.
    :param pause: the longest acceptable pause of its stream; seconds; 0 if none.
    :param priority: its rank, where 0 is the most urgent.
    :param suspect: its fingerprint if an endpoint crashed while running it, else empty.
    :param companions: the fingerprints of the requests that were at each crash of it.
    :param regions: the regions in which it may run; None for all.
    :param route: its route; None if it came by none.
    :param content: identifies what it asks for, alike for all tries of its caller;
        None if nothing needs it.
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
    pause: float = 0.0
    priority: int = 0
    suspect: str = ""
    companions: frozenset[str] = frozenset()
    regions: frozenset[RegionName] | None = None
    route: RouteName | None = None
    content: Fingerprint | None = None


@dataclass(frozen=True, slots=True)
class SlotTicket:
    """A request's place among those of all VMs while a service's slots are scarce.

    :param service: the service.
    :param number: this VM's number for the request.
    :param endpoint: the endpoint that it may be sent to; None for any.
    """

    service: ServiceName
    number: SlotNumber
    endpoint: Instance | None = None


@dataclass(slots=True)
class Grant:
    """A slot at an endpoint, to be released with :meth:`SlotAllocator.release`.

    :param endpoint: the endpoint.
    :param started: when it was granted; monotonic seconds.
    :param work: the kind of work of the pool at that time.
    :param began: when the headers of an answer arrived; monotonic seconds.
    :param took: how long its whole answer took; seconds, None if it failed or was not
        waited for.
    :param via: the VM that forwards the connection; None if this one made it itself.
    :param ticket: its place among the requests of all VMs; None if it needs none.
    """

    endpoint: Endpoint | Instance
    started: float
    work: WorkKind
    began: float | None = None
    took: float | None = None
    via: VmName | None = None
    ticket: SlotTicket | None = None

    @property
    def name(self) -> EndpointName:
        """The endpoint's name."""
        return EndpointName(self.endpoint.name)

    def target_of(self, target: str) -> CrashTarget:
        """Return what the endpoint runs for a target.

        :param target: the version or service that was requested.
        """
        instance = isinstance(self.endpoint, Instance)
        version = self.endpoint.version if instance else ""
        return CrashTarget(ServiceName(target), VersionName(version))


class SlotAllocator(Protocol):
    """Allocates slots at endpoints."""

    async def acquire(self, need: SlotRequest) -> Result[Grant, Refusal]:
        """Wait for a slot.

        :param need: the properties of the request.
        :returns: a slot, or why there is none.
        """

    def release(self, grant: Grant) -> None:
        """Release a slot.

        :param grant: the slot.
        """

    def full(self, grant: Grant) -> None:
        """Record that an endpoint had no capacity for a slot after all.

        :param grant: the slot.
        """
