# Licensed under the Apache License 2.0: see LICENSE for details.

"""The messages by which entry VMs share the scarce slots of a service."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from walnutquay.protocol.messages import Message
from walnutquay.state.process.ids import (
    EndpointName,
    OrganisationName,
    RouteName,
    ServiceName,
)
from walnutquay.state.routed.slottypes import SlotNumber, WorkHash


class SlotState(Enum):
    """What has become of a request for a slot."""

    # It may be sent to the endpoint that the answer names.
    GRANTED = "granted"
    # It waits; :class:`SlotNews` follows.
    WAITING = "waiting"
    # It cannot be served.
    DENIED = "denied"
    # The slots are not scarce: it may be sent to any endpoint.
    FREE = "free"
    # The VM that was asked does not share out this service's slots.
    NOT_HERE = "not_here"


@dataclass(frozen=True, slots=True)
class SlotLoad:
    """What an endpoint told of its load in an answer.

    :param endpoint: the endpoint.
    :param running: the requests that it ran.
    :param waiting: the requests that waited there.
    :param pace: how long work took there, relative to its usual time; None if unknown.
    :param age: seconds since its answer.
    """

    endpoint: EndpointName
    running: int
    waiting: int
    pace: float | None = None
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class HeldSlot:
    """A request of the sender that is at an endpoint.

    :param number: the sender's number for it.
    :param endpoint: the endpoint.
    :param time_left: seconds until its caller gives up.
    """

    number: SlotNumber
    endpoint: EndpointName
    time_left: float


@dataclass(frozen=True, slots=True)
class AskSlot(Message):
    """Asks for a slot; answered by :class:`SlotIs`.

    Asking again with the same number changes nothing, and gives the present state.

    :param service: the service.
    :param number: the sender's number for the request.
    :param route: the request's route.
    :param organisation: the organisation of its caller.
    :param weight: the organisation's share of scarce slots, relative to others.
    :param priority: its rank, where 0 is the most urgent.
    :param work: the hash by which a returning caller is known.
    :param in_time: seconds in which an answer is in time; negative if it is late.
    :param time_left: seconds until its caller gives up.
    :param tried: endpoints that must not get it.
    :param waited: seconds since it asked for the first time, whatever VM.
    :param loads: what the sender has learnt of endpoints' loads since it last asked.
    :param held: the sender's requests that have slots, where the receiver may not know
        of them.
    """

    service: ServiceName
    number: SlotNumber
    route: RouteName
    organisation: OrganisationName
    weight: float
    priority: int
    work: WorkHash
    in_time: float
    time_left: float
    tried: tuple[EndpointName, ...] = ()
    waited: float = 0.0
    loads: tuple[SlotLoad, ...] = ()
    held: tuple[HeldSlot, ...] = ()


@dataclass(frozen=True, slots=True)
class SlotIs(Message):
    """Answers a request for a slot.

    :param state: what has become of it.
    :param endpoint: the endpoint, if it was granted; else None.
    :param retry_after: seconds after which there is room, if it was denied; None
        where none is forecast.
    :param reason: why, if it was denied; else empty.
    :param start: a number that changes with each start of the sender, which then knows
        of no slots.
    """

    state: SlotState
    endpoint: EndpointName | None = None
    retry_after: float | None = None
    reason: str = ""
    start: int = 0


@dataclass(frozen=True, slots=True)
class SlotNews(Message):
    """Tells a VM what has become of its request that waited; may be lost.

    :param service: the service.
    :param number: the receiver's number for the request.
    :param answer: what has become of it.
    """

    service: ServiceName
    number: SlotNumber
    answer: SlotIs


@dataclass(frozen=True, slots=True)
class SlotReleased(Message):
    """Tells that a request no longer needs its slot, or its place in the queue.

    :param service: the service.
    :param number: the sender's number for the request.
    :param endpoint: the endpoint that had it; None if it was not sent.
    :param seconds: how long it was there; 0 if it was not answered.
    :param rejected: whether the endpoint had no room for it.
    :param load: what the endpoint told of its load as it answered; None if nothing.
    """

    service: ServiceName
    number: SlotNumber
    endpoint: EndpointName | None = None
    seconds: float = 0.0
    rejected: bool = False
    load: SlotLoad | None = None


@dataclass(frozen=True, slots=True)
class SlotsScarce(Message):
    """Tells that a service's slots are scarce: VMs ask before they send.

    :param service: the service.
    :param seconds: for how long, unless this is told again.
    """

    service: ServiceName
    seconds: float
