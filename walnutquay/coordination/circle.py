# Licensed under the Apache License 2.0: see LICENSE for details.

"""The other entry VMs: where they are, and what is asked of and told to them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Protocol

import logbook

from walnutquay.coordination.context import Context
from walnutquay.coordination.tasks import Tasks
from walnutquay.exceptions import PeerError, PlatformError
from walnutquay.protocol.messages import Message
from walnutquay.state.events import EventKind
from walnutquay.state.ids import VmName
from walnutquay.state.membership import Address, VmPlace
from walnutquay.transport.peers import PeerNode

log = logbook.Logger(__name__)

# A peer answers within some milliseconds; one that has not by now is cut off too.
ASK_SECONDS = 0.4
# Peers that are asked, one after the other or at once.
ASKED = 3
# Peers that a message is sent to; in larger fleets, some drawn anew each time.
TOLD = 12
# All VMs start within 0.3 s, and the list of them is read when they have.
FIRST_READ_SECONDS = 0.8
READ_SECONDS = 10.0
RETRY_SECONDS = 1.0


class Register(Protocol):
    """The list of entry VMs."""

    async def enter(self, vm: VmName, place: VmPlace) -> None:
        """:param vm: this VM.

        :param place: where its peers reach it.
        """

    async def leave(self, vm: VmName) -> None:
        """:param vm: this VM."""

    async def read(self) -> dict[VmName, VmPlace]:
        """:returns: where each VM is."""


class PeerCircle:
    """Knows where the other entry VMs are.

    :param context: what this process shares.
    :param node: the sockets to them.
    :param register: the list of them.
    :param own: where this VM is reached.
    :param seeds: where some VMs may be reached before the list is known.
    """

    def __init__(
        self,
        context: Context,
        node: PeerNode,
        register: Register,
        own: Address,
        seeds: Iterable[Address],
    ) -> None:
        self.context = context
        self.node = node
        self.register = register
        self.own = own
        self.seeds = [address for address in seeds if address != own]
        self.known: dict[VmName, VmPlace] = {}
        self.tasks = Tasks()

    def start(self) -> None:
        """Enter this VM into the list, and keep reading it."""
        self.tasks.forever("register of VMs", self._keep_up)

    async def stop(self) -> None:
        """Take this VM out of the list."""
        self.tasks.stop()
        try:
            await self.register.leave(self.context.vm)
        except PlatformError as error:
            log.warn("this VM's entry is left behind: {}", error)

    def addresses(self) -> list[Address]:
        """:returns: where the other VMs are reached."""
        others = [
            place.address for vm, place in self.known.items() if vm != self.context.vm
        ]
        return others or list(self.seeds)

    @property
    def size(self) -> int:
        """How many entry VMs there are, this one among them."""
        return len(self.addresses()) + 1

    def tell(self, body: Message) -> None:
        """Send a message that may be lost.

        :param body: the message.
        """
        addresses = self.addresses()
        if len(addresses) > TOLD:
            addresses = self.context.rng.sample(addresses, TOLD)
        self.node.send_all(addresses, body)

    def tell_all(self, body: Message) -> None:
        """Send a message that may be lost to every other VM.

        :param body: the message.
        """
        self.node.send_all(self.addresses(), body)

    async def ask(self, body: Message) -> Message | None:
        """Ask some peers, one after the other, until one answers.

        :param body: the question.
        :returns: the answer, or None.
        """
        for address in self._drawn():
            answer = await self._ask_one(address, body)
            if answer is not None:
                return answer
        return None

    async def ask_any(self, body: Message) -> Message | None:
        """Ask some peers at once: the wait is short also where some are dark.

        :param body: the question.
        :returns: the first answer, or None.
        """
        calls = [
            asyncio.ensure_future(self._ask_one(address, body))
            for address in self._drawn()
        ]
        try:
            for call in asyncio.as_completed(calls):
                answer = await call
                if answer is not None:
                    return answer
        finally:
            for call in calls:
                call.cancel()
        return None

    def _drawn(self) -> list[Address]:
        """Draw the peers to ask."""
        addresses = self.addresses()
        return self.context.rng.sample(addresses, min(ASKED, len(addresses)))

    async def _ask_one(self, address: Address, body: Message) -> Message | None:
        try:
            return await self.node.call(address, body, ASK_SECONDS, str(address))
        except PeerError as error:
            self.context.metrics.count("peer_calls_failed")
            log.debug("a peer did not answer: {}", error)
            return None

    async def _keep_up(self) -> None:
        await self._enter()
        await asyncio.sleep(FIRST_READ_SECONDS)
        while True:
            try:
                self._take(await self.register.read())
            except PlatformError as error:
                log.debug("the list of VMs could not be read: {}", error)
            await asyncio.sleep(READ_SECONDS)

    async def _enter(self) -> None:
        while True:
            try:
                place = VmPlace(self.own, self.context.hall)
                await self.register.enter(self.context.vm, place)
                return
            except PlatformError as error:
                log.debug("this VM is not in the list yet: {}", error)
                await asyncio.sleep(RETRY_SECONDS)

    def _take(self, listed: dict[VmName, VmPlace]) -> None:
        if listed == self.known:
            return
        came = sorted(listed.keys() - self.known.keys())
        went = sorted(self.known.keys() - listed.keys())
        self.known = listed
        self.context.timeline.emit(
            EventKind.MEMBER, detail=f"came: {came}, went: {went}, now {len(listed)}"
        )
