# Licensed under the Apache License 2.0: see LICENSE for details.

"""The other entry VMs: where they are, and what is asked of and told to them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import logbook
import xxhash

from walnutquay.coordination.context import Context
from walnutquay.exceptions import PeerError
from walnutquay.protocol.messages import Message
from walnutquay.protocol.vmrows import pack_places
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


class PeerCircle:
    """Knows where the other entry VMs are.

    :param context: what this process shares.
    :param node: the sockets to them.
    :param own: where this VM is reached.
    :param seeds: where some VMs may be reached before the list is known.
    """

    def __init__(
        self,
        context: Context,
        node: PeerNode,
        own: Address,
        seeds: Iterable[Address],
    ) -> None:
        self.context = context
        self.node = node
        self.own = own
        all_seeds = list(seeds)
        self.seeds = [address for address in all_seeds if address != own]
        # Whether others may find this VM before the list is known.
        self.is_seed = len(self.seeds) < len(all_seeds)
        # Where each VM is, this one among them; see the list of VMs.
        self.known: dict[VmName, VmPlace] = {}
        # Set when there is a list for the first time.
        self.listed = asyncio.Event()
        # The list as it was last written for another VM, and what it was made of.
        self.written: tuple[dict[VmName, VmPlace], bytes] = ({}, b"")

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

    def packed(self) -> bytes:
        """:returns: the list of VMs for another VM; empty where there is none."""
        made_of, data = self.written
        if made_of is not self.known:
            data = pack_places(self.known) if self.known else b""
            self.written = (self.known, data)
        return data

    @property
    def digest(self) -> int:
        """What stands for the list of VMs that is known here; 0 for none."""
        data = self.packed()
        return xxhash.xxh3_64_intdigest(data) if data else 0

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
        return await self._first_of(self._drawn(), body)

    async def _first_of(self, asked: list[Address], body: Message) -> Message | None:
        calls = [
            asyncio.ensure_future(self._ask_one(address, body)) for address in asked
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
