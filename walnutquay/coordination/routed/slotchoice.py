# Licensed under the Apache License 2.0: see LICENSE for details.

"""Chooses an endpoint that may be sent a request now, by all limits and shares."""

from __future__ import annotations

from dataclasses import dataclass

from expression import Error, Ok, Result

from walnutquay.coordination.requests.slots import SlotRequest, SlotTicket
from walnutquay.coordination.routed.endpointchoice import EndpointChoice
from walnutquay.coordination.routed.ports import ScarceSlots
from walnutquay.coordination.routed.reachability import Reachability
from walnutquay.coordination.routed.sendlimits import SendLimits
from walnutquay.state.process.ids import ServiceName
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.store.instances import Instance
from walnutquay.transport.timers import monotonic

# Retry-After when all endpoints are full.
FULL_RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class ChosenSlot:
    """What was chosen for a request.

    :param endpoint: the endpoint.
    :param ticket: the request's place among those of all VMs; None if it needs none.
    """

    endpoint: Instance
    ticket: SlotTicket | None = None


class SlotChoice:
    """Chooses the endpoint of each request.

    :param limits: all limits on what endpoints may be sent.
    :param choice: chooses by load, or by the reading work of engines.
    :param reachability: which endpoints accept connections.
    :param sharing: shares scarce slots out among all VMs; None to share out none.
    """

    def __init__(
        self,
        limits: SendLimits,
        choice: EndpointChoice,
        reachability: Reachability,
        sharing: ScarceSlots | None,
    ) -> None:
        self.limits = limits
        self.choice = choice
        self.reachability = reachability
        self.sharing = sharing

    async def choose(self, need: SlotRequest) -> Result[ChosenSlot, Refusal]:
        """Choose an endpoint that may be sent a request now, waiting if needed.

        :param need: the request.
        :returns: the endpoint, whose ticket has to be given back; or a refusal.
        """
        while True:
            open_ones = await self.limits.wait_for(need)
            if not open_ones:
                return Error(self.limits.refusal(need))
            ticket = None
            if self.is_shared(need):
                acquired = await self._ticket(need, open_ones)
                if acquired.is_error():
                    return acquired
                ticket = acquired.ok
            chosen = None
            try:
                chosen = await self._permitted(need, open_ones, ticket)
            finally:
                if ticket is not None and (chosen is None or chosen.is_error()):
                    self._give_back(ticket)
            if chosen is not None:
                return chosen

    def is_shared(self, need: SlotRequest) -> bool:
        """Return whether a request has to ask for a slot at present.

        Engines have more slots than VMs, and are limited by their reading instead.

        :param need: the request.
        """
        if self.sharing is None or need.work is not None:
            return False
        return self.sharing.are_scarce(ServiceName(need.target))

    async def _ticket(
        self, need: SlotRequest, open_ones: list[Instance]
    ) -> Result[SlotTicket, Refusal]:
        """Wait for a slot at one of the endpoints that a request may be sent to."""
        assert self.sharing is not None
        found = self.reachability.exclude_unreachable(open_ones)
        found = self.choice.table.accepting(found, monotonic(), need.tried) or found
        if need.suspect:
            # The endpoint of a request that may crash it is not left to chance.
            chosen = self.choice.choose(found, need)
            found = found if chosen is None else [chosen]
        return await self.sharing.acquire(need, found)

    async def _permitted(
        self, need: SlotRequest, open_ones: list[Instance], ticket: SlotTicket | None
    ) -> Result[ChosenSlot, Refusal] | None:
        """Choose an endpoint and obtain its permit.

        :returns: the endpoint, or a refusal; None to choose again.
        """
        if ticket is not None:
            # Time has passed since the endpoints were found.
            open_ones = self._open_ones(need)
            if not open_ones:
                return None
        chosen = self._choose(open_ones, need, ticket)
        if ticket is not None and chosen is None and ticket.endpoint is not None:
            return None
        if chosen is None:
            reason = f"the endpoints of {need.target} are full"
            return Error(Refusal(RefusalCode.QUEUE_FULL, reason, FULL_RETRY_SECONDS))
        if not self.limits.needs_permit(chosen):
            return Ok(ChosenSlot(chosen, ticket))
        if not await self.limits.permit(chosen, open_ones, need):
            return None
        # Meanwhile it may be gone, or another limit may hold.
        return (
            Ok(ChosenSlot(chosen, ticket))
            if self.limits.may_send(chosen, need)
            else None
        )

    def _open_ones(self, need: SlotRequest) -> list[Instance]:
        found = self.limits.candidates.of_request(need)
        open_ones = self.limits.available(found, need.priority, monotonic())
        return open_ones or self.limits.draining(need)

    def _choose(
        self, open_ones: list[Instance], need: SlotRequest, ticket: SlotTicket | None
    ) -> Instance | None:
        """Choose one of some endpoints, or a draining one if these are full.

        With a slot at an endpoint it is that one, or none.
        """
        remaining = self.reachability.exclude_unreachable(open_ones)
        if ticket is not None and ticket.endpoint is not None:
            slot = ticket.endpoint
            # Meanwhile it may have failed or refused others of this VM's requests.
            table, now = self.choice.table, monotonic()
            remaining = table.accepting(remaining, now, need.tried) or remaining
            return next((i for i in remaining if i.name == slot.name), None)
        chosen = self.choice.choose(remaining, need)
        if chosen is None:
            chosen = self.choice.choose(self.limits.draining(need), need)
        return chosen

    def _give_back(self, ticket: SlotTicket) -> None:
        assert self.sharing is not None
        if ticket.endpoint is not None:
            self.limits.context.metrics.count("slots_given_back")
        self.sharing.release(ticket, 0.0)
