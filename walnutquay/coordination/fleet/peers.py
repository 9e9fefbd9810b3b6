# Licensed under the Apache License 2.0: see LICENSE for details.

"""The other entry VMs: where they are, and what is asked of and told to them."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable

import logbook
import xxhash

from walnutquay.coordination.process.context import Context
from walnutquay.exceptions import PeerError
from walnutquay.protocol.lists import pack_places
from walnutquay.protocol.messages import Message
from walnutquay.state.fleet.membership import Address, VmLocation, rendezvous
from walnutquay.state.process.ids import HallName, VmName
from walnutquay.transport.peers import PeerNode

log = logbook.Logger(__name__)

# A peer answers within some milliseconds; one that has not by now is cut off too.
ASK_SECONDS = 0.4
# Peers that are asked, one after the other or at once.
ASKED = 3
# Peers that a message is sent to; in larger fleets, some drawn anew each time, and so
# many of them in other data halls.
TOLD = 12
TOLD_FAR = 2
# VMs of each data hall that pass news on between halls: one may be lost or frozen, and
# what comes twice does no harm.  Every VM ranks alike by the duty.
RELAYS = 2
RELAY_DUTY = "pass news on"
# VMs of one data hall that are told what concerns all of them: in a hall of more, some
# drawn anew each time, so that a VM reads no more of them in a larger fleet; one is
# read in 0.02 ms.
TOLD_IN_HALL = 48


class FleetPeers:
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
        self.known: dict[VmName, VmLocation] = {}
        # Set when there is a list for the first time.
        self.listed = asyncio.Event()
        # The list as it was last written for another VM, and what it was made of.
        self.written: tuple[dict[VmName, VmLocation], bytes] = ({}, b"")

    def addresses(self) -> list[Address]:
        """:returns: where the other VMs are reached."""
        others = [
            place.address for vm, place in self.known.items() if vm != self.context.vm
        ]
        return others or list(self.seeds)

    @property
    def size(self) -> int:
        """How many entry VMs there are, this one among them."""
        # Asked several times for each request, so nothing is listed for it.
        others = len(self.known) - (self.context.vm in self.known)
        return (others or len(self.seeds)) + 1

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

    def send_to_some(self, body: Message) -> None:
        """Send a message that may be lost, in larger fleets to some VMs only.

        Most are of this data hall: bytes between halls have a price.

        :param body: the message.
        """
        addresses = self.addresses()
        if len(addresses) > TOLD:
            near, far = self._by_hall(self.context.hall)
            addresses = self._some(near, TOLD - TOLD_FAR) + self._some(far, TOLD_FAR)
        self.node.send_all(addresses, body)

    def send_to_hall(self, hall: HallName, body: Message) -> None:
        """Send a message that may be lost to every VM of a data hall.

        :param hall: the data hall.
        :param body: the message.
        """
        self.node.send_all(self._by_hall(hall)[0], body)

    def send_to_users(self, hall: HallName, body: Message) -> None:
        """Send a message that may be lost to VMs that use what stands in a data hall.

        In small fleets all do; in larger ones mostly those of the hall.  In another
        hall one VM is told, which passes it on there; see :meth:`relay_in_hall`.

        :param hall: the data hall.
        :param body: the message.
        """
        addresses = self.addresses()
        if len(addresses) > TOLD:
            most = TOLD_IN_HALL if hall == self.context.hall else 1
            addresses = self._some(self._by_hall(hall)[0], most)
        self.node.send_all(addresses, body)

    def relay_in_hall(self, vm: VmName, body: Message) -> None:
        """Pass a message on in this hall, which a VM of another one told this VM alone.

        Told each of 30 VMs from there it would cross between halls 30 times.

        :param vm: the VM that told it.
        :param body: the message, as it was told for those who use what stands here.
        """
        far = self.hall_of(vm) not in (None, self.context.hall)
        if far and len(self.addresses()) > TOLD:
            near = self._by_hall(self.context.hall)[0]
            self.node.send_all(self._some(near, TOLD_IN_HALL - 1), body)

    def broadcast_by_relays(self, body: Message) -> None:
        """Send a message that may be lost to all, in larger fleets by relays.

        Those of the other data halls pass it on there; see :meth:`relay`.

        :param body: the message.
        """
        if self.size <= TOLD + 1:
            self.broadcast(body)
            return
        self.send_to_hall(self.context.hall, body)
        self.send_to_relays(body)

    def relay(self, hall: HallName, body: Message) -> None:
        """Pass a message of another data hall on, where this VM is a relay.

        :param hall: the hall that it comes from.
        :param body: the message, as its sender spreads it.
        """
        if hall != self.context.hall and self.size > TOLD + 1 and self.is_relay():
            self.send_to_hall(self.context.hall, body)

    def send_to_other_halls(self, body: Message) -> None:
        """Send a message that may be lost to every VM of the other data halls.

        :param body: the message.
        """
        self.node.send_all(self._by_hall(self.context.hall)[1], body)

    def send_to_relays(self, body: Message) -> None:
        """Send a message that may be lost to the relays of the other data halls.

        :param body: the message.
        """
        halls = {place.hall for place in self.known.values()} - {self.context.hall}
        relays = [self.known[vm] for hall in halls for vm in self._relays_of(hall)]
        self.node.send_all([place.address for place in relays], body)

    def is_relay(self) -> bool:
        """:returns: whether this VM passes news on between data halls."""
        return self.context.vm in self._relays_of(self.context.hall)

    def is_responsible_for(self, key: str) -> bool:
        """:param key: a name.

        :returns: whether this VM, of all, does what is done once for it.
        """
        first = rendezvous(key, self.known)[:1]
        return first in ([], [self.context.vm])

    def names_near(self, hall: HallName) -> Collection[VmName]:
        """:param hall: a data hall.

        :returns: the VMs of it that are known, or of all halls where it has none; none
            before there is a list, but in a fleet of one.
        """
        if not self.known:
            return [] if self.seeds else [self.context.vm]
        names = [vm for vm, place in self.known.items() if place.hall == hall]
        if hall == self.context.hall and self.context.vm not in names:
            names.append(self.context.vm)
        return names or list(self.known)

    def hall_of(self, vm: VmName) -> HallName | None:
        """:param vm: a VM.

        :returns: the data hall that it stands in; None where the VM is not known.
        """
        place = self.known.get(vm)
        return place.hall if place is not None else None

    def _relays_of(self, hall: HallName) -> list[VmName]:
        names = [vm for vm, place in self.known.items() if place.hall == hall]
        return [VmName(name) for name in rendezvous(RELAY_DUTY, names)[:RELAYS]]

    def _by_hall(self, hall: HallName) -> tuple[list[Address], list[Address]]:
        """Give the other VMs of a data hall, and those of all other halls."""
        inside, outside = [], []
        for vm, place in self.known.items():
            if vm != self.context.vm:
                (inside if place.hall == hall else outside).append(place.address)
        return inside, outside

    def _some(self, addresses: list[Address], most: int) -> list[Address]:
        if len(addresses) <= most:
            return addresses
        return self.context.rng.sample(addresses, most)

    def broadcast(self, body: Message) -> None:
        """Send a message that may be lost to every other VM.

        :param body: the message.
        """
        self.node.send_all(self.addresses(), body)

    async def call(self, name: str, body: Message, timeout: float) -> Message:
        """Ask one VM.

        :param name: the VM.
        :param body: the question.
        :param timeout: seconds to wait.
        :raises PeerError: if no answer comes.
        """
        place = self.known.get(VmName(name))
        if place is None:
            raise PeerError(
                "its address is not known", step=type(body).__name__, peer=name
            )
        return await self.node.call(place.address, body, timeout, name)

    async def query(self, body: Message) -> Message | None:
        """Ask some peers, one after the other, until one answers.

        :param body: the question.
        :returns: the answer, or None.
        """
        return await self.query_each(body, ASK_SECONDS)

    async def query_each(self, body: Message, seconds: float) -> Message | None:
        """Ask some peers, one after the other, each for a short time.

        For long answers: of several that are asked at once all would send them.

        :param body: the question.
        :param seconds: how long each may take.
        :returns: the first answer, or None.
        """
        for address in self._drawn():
            answer = await self._ask_one(address, body, seconds)
            if answer is not None:
                return answer
        return None

    async def query_any(self, body: Message) -> Message | None:
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

    async def _ask_one(
        self, address: Address, body: Message, seconds: float = ASK_SECONDS
    ) -> Message | None:
        try:
            return await self.node.call(address, body, seconds, str(address))
        except PeerError as error:
            self.context.metrics.count("peer_calls_failed")
            log.debug("a peer did not answer: {}", error)
            return None
