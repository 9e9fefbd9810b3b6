# Licensed under the Apache License 2.0: see LICENSE for details.

"""Asks other VMs whether they reach endpoints that this VM does not."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Protocol

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.exceptions import PeerError
from walnutquay.protocol.linkmessages import AskReach, ReachIs
from walnutquay.protocol.messages import Message
from walnutquay.state.fleet.membership import VmLocation
from walnutquay.state.process.ids import VmName
from walnutquay.state.routed.links import Helper, LostLink, Reach, asked_vms
from walnutquay.transport.timers import monotonic

# VMs that are asked at once.
ASKED_VMS = 6
# How long their answers are waited for; one that does not reach the endpoint either may
# have to find that out.
ANSWER_SECONDS = 0.7


class QueriedPeers(Protocol):
    """The other entry VMs, as those that query them know them."""

    # The locations of all VMs, including this one.
    known: Mapping[VmName, VmLocation]

    async def call(self, name: str, body: Message, timeout: float) -> Message:
        """Query one VM.

        :param name: the VM.
        :param body: the query.
        :param timeout: the seconds to wait for the answer.
        :raises PeerError: if the VM does not answer in time, or is not known.
        """


class LinkQueries:
    """Finds the VMs that reach an endpoint.

    :param context: the state shared within this process.
    :param peers: the other VMs.
    """

    def __init__(self, context: Context, peers: QueriedPeers) -> None:
        self.context = context
        self.peers = peers
        self.tasks = Tasks()

    def stop(self) -> None:
        """Stop waiting for answers."""
        self.tasks.stop()

    async def ask(self, lost: LostLink) -> None:
        """Ask some VMs, and record which of them reach an endpoint.

        Returns with the first answer that it is reached; later ones are recorded too.
        Denials hold only where all have answered: the one that is missing may reach it.

        :param lost: the endpoint; updated.
        """
        found: dict[VmName, Helper] = {}
        asked = self._asked(lost)
        pending = {self.tasks.spawn(self._ask(vm, lost, found)) for vm in asked}
        answers = 0
        while pending and not found:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            answers += sum(task.result() for task in done)
        lost.helpers = found
        if found or (asked and answers == len(asked)):
            lost.asked_at = monotonic()

    def _asked(self, lost: LostLink) -> list[VmName]:
        halls = {
            vm: location.hall
            for vm, location in self.peers.known.items()
            if vm != self.context.vm
        }
        shuffled = self.context.rng.sample(list(halls), len(halls))
        hall = lost.endpoint.hall
        return asked_vms(halls, self.context.hall, hall, shuffled, ASKED_VMS)

    async def _ask(
        self, vm: VmName, lost: LostLink, found: dict[VmName, Helper]
    ) -> bool:
        """Ask one VM, and add it to those that reach the endpoint if it does.

        :returns: whether it has answered.
        """
        endpoint = lost.endpoint
        query = AskReach(endpoint.name, endpoint.born)
        try:
            answer = await self.peers.call(vm, query, ANSWER_SECONDS)
        except PeerError:
            return False
        if isinstance(answer, ReachIs) and answer.reach is Reach.REACHED:
            location = self.peers.known.get(vm)
            hall = location.hall if location is not None else None
            found[vm] = Helper(vm, hall, answer.tunnels)
        return True
