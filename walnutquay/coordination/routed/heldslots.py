# Licensed under the Apache License 2.0: see LICENSE for details.

"""The scarce slots that this VM's requests have, and who knows of them."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.protocol.slotmessages import AskSlot, HeldSlot
from walnutquay.state.process.ids import EndpointName, ServiceName, VmName
from walnutquay.state.routed.slottypes import SlotNumber

# The slots that one question tells of.
MAX_HELD = 64
# How much a request's time changes the usual one, and the usual time before any is
# known; seconds.
LEARNED_SHARE = 0.1
UNKNOWN_SECONDS = 1.0


@dataclass(slots=True)
class OneHeld:
    """A slot that a request has.

    :param service: the service.
    :param keeper: the VM that counts it.
    :param endpoint: the endpoint.
    :param until: when its caller gives up; monotonic seconds.
    :param rejected: whether the endpoint had no room for it all the same.
    """

    service: ServiceName
    keeper: VmName
    endpoint: EndpointName
    until: float
    rejected: bool = False


class HeldSlots:
    """The slots of this VM's requests, for their keepers."""

    def __init__(self) -> None:
        self.slots: dict[SlotNumber, OneHeld] = {}
        # The keeper that was told of all slots of a service, and the number of its
        # start.
        self.informed: dict[ServiceName, tuple[VmName, int]] = {}
        self.usual_seconds: dict[ServiceName, float] = {}

    def holds(self, number: SlotNumber) -> bool:
        """Return whether a request has a slot.

        :param number: its number.
        """
        return number in self.slots

    def add(
        self,
        number: SlotNumber,
        service: ServiceName,
        keeper: VmName,
        endpoint: EndpointName,
        until: float,
    ) -> None:
        """Record a slot.

        :param number: the request's number.
        :param service: the service.
        :param keeper: the VM that granted it.
        :param endpoint: the endpoint.
        :param until: when its caller gives up; monotonic seconds.
        """
        self.slots[number] = OneHeld(service, keeper, endpoint, until)

    def reject(self, number: SlotNumber) -> None:
        """Record that an endpoint had no room for a request, though it has a slot.

        :param number: the request's number; one without a slot tells nothing.
        """
        held = self.slots.get(number)
        if held is not None:
            held.rejected = True

    def remove(self, number: SlotNumber) -> OneHeld | None:
        """Remove a slot.

        :param number: the request's number.
        :returns: the slot; None if it has none.
        """
        return self.slots.pop(number, None)

    def is_informed(self, service: ServiceName, keeper: VmName) -> bool:
        """Return whether a keeper was told of all slots of a service.

        :param service: the service.
        :param keeper: the keeper.
        """
        informed = self.informed.get(service)
        return informed is not None and informed[0] == keeper

    def to_tell(
        self, service: ServiceName, keeper: VmName, now: float
    ) -> tuple[HeldSlot, ...]:
        """Return the slots of which a keeper may not know.

        :param service: the service.
        :param keeper: the keeper.
        :param now: monotonic seconds.
        """
        if self.is_informed(service, keeper):
            return ()
        found = [
            HeldSlot(number, held.endpoint, max(0.0, held.until - now))
            for number, held in self.slots.items()
            if held.service == service
        ]
        return tuple(found[-MAX_HELD:])

    def told(self, body: AskSlot, informs: bool, keeper: VmName, start: int) -> None:
        """Record that a keeper answered a question.

        :param body: the question.
        :param informs: whether it told of all slots of the service.
        :param keeper: the keeper.
        :param start: the number of its start.
        """
        service = body.service
        if not informs:
            if self.informed.get(service) != (keeper, start):
                # It has started again, and knows none of them.
                self.informed.pop(service, None)
            return
        self.informed[service] = (keeper, start)
        for row in body.held:
            held = self.slots.get(row.number)
            if held is not None:
                held.keeper = keeper

    def learn(self, service: ServiceName, seconds: float) -> None:
        """Learn how long a request was at its endpoint.

        :param service: the service.
        :param seconds: the time; 0 if it was not answered.
        """
        if seconds > 0.0:
            usual = self.usual_seconds.get(service, seconds)
            self.usual_seconds[service] = usual + LEARNED_SHARE * (seconds - usual)

    def work_seconds(self, service: ServiceName) -> float:
        """Return how long requests usually are at a service's endpoints; seconds.

        :param service: the service.
        """
        return self.usual_seconds.get(service, UNKNOWN_SECONDS)
