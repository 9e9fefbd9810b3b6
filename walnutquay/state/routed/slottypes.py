# Licensed under the Apache License 2.0: see LICENSE for details.

"""What VMs tell each other of scarce slots, and what is decided about them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from walnutquay.state.process.ids import (
    EndpointName,
    OrganisationName,
    RouteName,
    ServiceName,
    VmName,
)

# The number that a VM gives each of its requests for a slot; it never repeats one.
SlotNumber = NewType("SlotNumber", int)
# A hash of what a request asks for: alike for all attempts of a caller, at any VM.
WorkHash = NewType("WorkHash", int)


@dataclass(frozen=True, slots=True)
class SlotKey:
    """Identifies a request for a slot in the fleet.

    :param vm: the VM that has the caller.
    :param number: the VM's number for the request.
    """

    vm: VmName
    number: SlotNumber


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that needs one of a service's scarce slots.

    :param key: identifies it.
    :param service: the service.
    :param route: its route; requests of one route take alike long.
    :param organisation: the organisation of its caller.
    :param weight: the organisation's share of scarce slots, relative to others.
    :param priority: its rank, where 0 is the most urgent.
    :param work: the hash by which a returning caller is known.
    :param asked_at: when it asked for the first time; monotonic seconds.
    :param in_time_until: until when an answer is in time; monotonic seconds.
    :param deadline: when its caller gives up; monotonic seconds.
    :param tried: endpoints that must not get it.
    """

    key: SlotKey
    service: ServiceName
    route: RouteName
    organisation: OrganisationName
    weight: float
    priority: int
    work: WorkHash
    asked_at: float
    in_time_until: float
    deadline: float
    tried: frozenset[EndpointName] = frozenset()


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """What is known of one endpoint's load.

    :param name: the endpoint.
    :param slots: the requests that it runs concurrently.
    :param running: the requests that it ran as it said so.
    :param waiting: the requests that waited there.
    :param pace: how long work takes there, relative to its usual time; 1 if unknown.
    :param reported_at: when it said so; monotonic seconds, -inf if never.
    """

    name: EndpointName
    slots: int
    running: int = 0
    waiting: int = 0
    pace: float = 1.0
    reported_at: float = float("-inf")


class DenialReason(Enum):
    """Why a request gets no slot."""

    # All slots are in use by requests that go first, until it is too late for it.
    NO_ROOM = "no_room"
    # Its organisation has used its share, and others wait.
    OVER_SHARE = "over_share"
    # Its time passed while it waited: work took longer than forecast.
    TOO_LATE = "too_late"


@dataclass(frozen=True, slots=True)
class Granted:
    """A request may be sent to an endpoint now.

    :param key: identifies the request.
    :param endpoint: the endpoint.
    """

    key: SlotKey
    endpoint: EndpointName


@dataclass(frozen=True, slots=True)
class Denied:
    """A request cannot be served.

    :param key: identifies the request.
    :param reason: why.
    :param retry_after: seconds after which there is room for it; None where none is
        forecast within the time in which its caller returns.
    """

    key: SlotKey
    reason: DenialReason
    retry_after: float | None


SlotDecision = Granted | Denied


@dataclass(frozen=True, slots=True)
class WaitingSummary:
    """Requests of one organisation and priority that wait.

    :param priority: their priority.
    :param organisation: their organisation.
    :param count: how many wait.
    :param oldest_seconds: how long the oldest has waited.
    """

    priority: int
    organisation: OrganisationName
    count: int
    oldest_seconds: float


@dataclass(frozen=True, slots=True)
class GrantedSummary:
    """The slots of one endpoint.

    :param endpoint: the endpoint.
    :param slots: the requests that it runs concurrently.
    :param granted: the requests that were granted it and have not ended.
    :param oldest_seconds: the age of the oldest grant; 0 without any.
    :param pace: how long work takes there, relative to its usual time.
    :param load_age: seconds since it told its load; None if it never did.
    """

    endpoint: EndpointName
    slots: int
    granted: int
    oldest_seconds: float
    pace: float
    load_age: float | None


@dataclass(frozen=True, slots=True)
class SlotSummary:
    """The requests and slots of one service, for operators.

    :param waiting: those that wait the longest first; a bounded number of rows.
    :param granted: by endpoint; a bounded number of rows.
    :param waiting_count: how many requests wait in all.
    :param granted_count: how many have a slot.
    :param grants: how many were granted since the beginning.
    :param denials: how many were denied since the beginning, by reason.
    """

    waiting: tuple[WaitingSummary, ...]
    granted: tuple[GrantedSummary, ...]
    waiting_count: int
    granted_count: int
    grants: int
    denials: tuple[tuple[DenialReason, int], ...]
