# Licensed under the Apache License 2.0: see LICENSE for details.

"""The other entry VMs: their locations, and messages and queries to them."""

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

# Peers answer within a few milliseconds; one that has not answered after this time is
# treated as cut off too.
QUERY_SECONDS = 0.4
# The number of peers that are queried, one after the other or concurrently.
QUERIED_PEERS = 3
# The number of VMs that a message is sent to.  A larger fleet is sampled for each
# message, with this many recipients in other data halls.
MAX_RECIPIENTS = 12
FAR_RECIPIENTS = 2
# The number of VMs of each data hall that relay updates between data halls.  There are
# two because one may be lost or frozen; a duplicate update does no harm.  All VMs rank
# the relays by the same key, so they agree on the choice.
RELAYS = 2
RELAY_DUTY = "pass news on"
# The number of VMs of one data hall that are sent a message for all of them.  A larger
# data hall is sampled for each message, so that a VM does not receive more messages in
# a larger fleet; reading one takes 0.02 ms.
MAX_HALL_RECIPIENTS = 48


class FleetPeers:
    """The locations of the other entry VMs, and the messages and queries to them.

    :param context: the state shared by this process.
    :param node: the sockets for messages to other VMs.
    :param own: the address of this VM for its peers.
    :param seeds: the addresses of some VMs, used until there is a list of VMs.
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
        # Whether other VMs can find this one before they have a list.
        self.is_seed = len(self.seeds) < len(all_seeds)
        # The locations of all VMs, including this one; updated by VmList.
        self.known: dict[VmName, VmLocation] = {}
        # Set once there is a list of VMs.
        self.listed = asyncio.Event()
        # The known locations that were packed last, and the packed list.
        self.packed_cache: tuple[dict[VmName, VmLocation], bytes] = ({}, b"")

    def addresses(self) -> list[Address]:
        """Return the addresses of the other VMs; the seeds until there is a list."""
        others = [
            location.address
            for vm, location in self.known.items()
            if vm != self.context.vm
        ]
        return others or list(self.seeds)

    @property
    def size(self) -> int:
        """The number of entry VMs, including this one."""
        # This is read several times for each request, so it builds no list.
        others = len(self.known) - (self.context.vm in self.known)
        return (others or len(self.seeds)) + 1

    def packed(self) -> bytes:
        """Return the list of VMs, packed for another VM; empty if there is none."""
        source, data = self.packed_cache
        if source is not self.known:
            data = pack_places(self.known) if self.known else b""
            self.packed_cache = (self.known, data)
        return data

    @property
    def digest(self) -> int:
        """The hash of the list of VMs; 0 if there is none."""
        data = self.packed()
        return xxhash.xxh3_64_intdigest(data) if data else 0

    def send_to_some(self, body: Message) -> None:
        """Send a message, in larger fleets to a sample of the VMs; it may be lost.

        Most of the sample is in this data hall, because traffic between data halls is
        charged for.

        :param body: the message.
        """
        addresses = self.addresses()
        if len(addresses) > MAX_RECIPIENTS:
            near, far = self._by_hall(self.context.hall)
            addresses = self._sample(
                near, MAX_RECIPIENTS - FAR_RECIPIENTS
            ) + self._sample(far, FAR_RECIPIENTS)
        self.node.send_all(addresses, body)

    def choose_near(self, count: int) -> list[VmName]:
        """Choose some other VMs, of this data hall if it has others.

        :param count: how many at the most.
        """
        others = [
            (vm, place) for vm, place in self.known.items() if vm != self.context.vm
        ]
        near = [vm for vm, place in others if place.hall == self.context.hall]
        found = near or [vm for vm, _ in others]
        return self.context.rng.sample(found, min(count, len(found)))

    def send_to(self, vms: Iterable[VmName], body: Message) -> None:
        """Send a message to some VMs; it may be lost.

        :param vms: the VMs; those that are not known, and this one, are left out.
        :param body: the message.
        """
        known = [self.known[vm] for vm in vms if vm in self.known]
        others = [place.address for place in known if place.address != self.own]
        self.node.send_all(others, body)

    def send_to_hall(self, hall: HallName, body: Message) -> None:
        """Send a message to all other VMs of a data hall; it may be lost.

        :param hall: the data hall.
        :param body: the message.
        """
        self.node.send_all(self._by_hall(hall)[0], body)

    def send_to_users(self, hall: HallName, body: Message) -> None:
        """Send a message to the VMs that use the endpoints of a data hall.

        In small fleets, all VMs use them; in larger ones, mostly those of the hall.  In
        another hall, the message goes to one VM, which relays it there; see
        :meth:`relay_in_hall`.  The message may be lost.

        :param hall: the data hall.
        :param body: the message.
        """
        addresses = self.addresses()
        if len(addresses) > MAX_RECIPIENTS:
            limit = MAX_HALL_RECIPIENTS if hall == self.context.hall else 1
            addresses = self._sample(self._by_hall(hall)[0], limit)
        self.node.send_all(addresses, body)

    def relay_in_hall(self, vm: VmName, body: Message) -> None:
        """Relay a message in this hall that a VM of another hall sent to this VM only.

        If that VM sent it to each of 30 VMs here, it would cross between data halls 30
        times.

        :param vm: the VM that sent it.
        :param body: the message, sent by :meth:`send_to_users`.
        """
        far = self.hall_of(vm) not in (None, self.context.hall)
        if far and len(self.addresses()) > MAX_RECIPIENTS:
            near = self._by_hall(self.context.hall)[0]
            self.node.send_all(self._sample(near, MAX_HALL_RECIPIENTS - 1), body)

    def broadcast_by_relays(self, body: Message) -> None:
        """Send a message to all VMs, in larger fleets through relays; it may be lost.

        The relays of the other data halls forward it there; see :meth:`relay`.

        :param body: the message.
        """
        if self.size <= MAX_RECIPIENTS + 1:
            self.broadcast(body)
            return
        self.send_to_hall(self.context.hall, body)
        self.send_to_relays(body)

    def relay(self, hall: HallName, body: Message) -> None:
        """Forward a message from another data hall in this one, if this VM is a relay.

        :param hall: the data hall of the sender.
        :param body: the message, sent by :meth:`broadcast_by_relays`.
        """
        if (
            hall != self.context.hall
            and self.size > MAX_RECIPIENTS + 1
            and self.is_relay()
        ):
            self.send_to_hall(self.context.hall, body)

    def send_to_other_halls(self, body: Message) -> None:
        """Send a message to all VMs of the other data halls; it may be lost.

        :param body: the message.
        """
        self.node.send_all(self._by_hall(self.context.hall)[1], body)

    def send_to_relays(self, body: Message) -> None:
        """Send a message to the relays of the other data halls; it may be lost.

        :param body: the message.
        """
        halls = {location.hall for location in self.known.values()} - {
            self.context.hall
        }
        relays = [self.known[vm] for hall in halls for vm in self._relays_of(hall)]
        self.node.send_all([location.address for location in relays], body)

    def is_relay(self) -> bool:
        """Return whether this VM relays updates between data halls."""
        return self.context.vm in self._relays_of(self.context.hall)

    def is_responsible_for(self, key: str) -> bool:
        """Return whether this VM is the one that does the work for a key.

        All VMs with the same list choose the same one.  Without a list, each VM is
        responsible itself.

        :param key: the key.
        """
        first = rendezvous(key, self.known)[:1]
        return first in ([], [self.context.vm])

    def rank_for(self, key: str) -> int:
        """Return the number of VMs that come before this one to do the work for a key.

        :param key: the key.
        """
        ranked = rendezvous(key, self.known)
        return ranked.index(self.context.vm) if self.context.vm in ranked else 0

    def names_near(self, hall: HallName) -> Collection[VmName]:
        """Return the known VMs of a data hall, or all known VMs if it has none.

        :param hall: the data hall.
        :returns: the names; before there is a list, none, or this VM in a fleet of one.
        """
        if not self.known:
            return [] if self.seeds else [self.context.vm]
        names = [vm for vm, location in self.known.items() if location.hall == hall]
        if hall == self.context.hall and self.context.vm not in names:
            names.append(self.context.vm)
        return names or list(self.known)

    def hall_of(self, vm: VmName) -> HallName | None:
        """Return the data hall of a VM, or None if the VM is not known.

        :param vm: the VM.
        """
        location = self.known.get(vm)
        return location.hall if location is not None else None

    def _relays_of(self, hall: HallName) -> list[VmName]:
        names = [vm for vm, location in self.known.items() if location.hall == hall]
        return [VmName(name) for name in rendezvous(RELAY_DUTY, names)[:RELAYS]]

    def _by_hall(self, hall: HallName) -> tuple[list[Address], list[Address]]:
        """Return the addresses of the other VMs in a data hall and outside of it."""
        inside, outside = [], []
        for vm, location in self.known.items():
            if vm != self.context.vm:
                (inside if location.hall == hall else outside).append(location.address)
        return inside, outside

    def _sample(self, addresses: list[Address], count: int) -> list[Address]:
        if len(addresses) <= count:
            return addresses
        return self.context.rng.sample(addresses, count)

    def broadcast(self, body: Message) -> None:
        """Send a message to all other VMs; it may be lost.

        :param body: the message.
        """
        self.node.send_all(self.addresses(), body)

    async def call(self, name: str, body: Message, timeout: float) -> Message:
        """Query one VM.

        :param name: the VM.
        :param body: the query.
        :param timeout: the seconds to wait for the answer.
        :raises PeerError: if the VM does not answer in time, or is not known.
        """
        location = self.known.get(VmName(name))
        if location is None:
            raise PeerError(
                "its address is not known", step=type(body).__name__, peer=name
            )
        return await self.node.call(location.address, body, timeout, name)

    async def query(self, body: Message) -> Message | None:
        """Query some peers, one after the other, until one answers.

        :param body: the query.
        :returns: the answer, or None if no peer answered.
        """
        return await self.query_each(body, QUERY_SECONDS)

    async def query_each(self, body: Message, seconds: float) -> Message | None:
        """Query some peers, one after the other, with a time limit for each.

        This is for large answers: with concurrent queries, all peers would send them.

        :param body: the query.
        :param seconds: the time limit for each peer.
        :returns: the first answer, or None if no peer answered.
        """
        for address in self._choose_peers():
            answer = await self._query_one(address, body, seconds)
            if answer is not None:
                return answer
        return None

    async def query_any(self, body: Message) -> Message | None:
        """Query some peers concurrently, for a short wait even if some are unreachable.

        :param body: the query.
        :returns: the first answer, or None if no peer answered.
        """
        return await self._first_of(self._choose_peers(), body)

    async def _first_of(
        self, addresses: list[Address], body: Message
    ) -> Message | None:
        calls = [
            asyncio.ensure_future(self._query_one(address, body))
            for address in addresses
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

    def _choose_peers(self) -> list[Address]:
        """Choose random peers to query."""
        addresses = self.addresses()
        return self.context.rng.sample(addresses, min(QUERIED_PEERS, len(addresses)))

    async def _query_one(
        self, address: Address, body: Message, seconds: float = QUERY_SECONDS
    ) -> Message | None:
        try:
            return await self.node.call(address, body, seconds, str(address))
        except PeerError as error:
            self.context.metrics.count("peer_calls_failed")
            log.debug("a peer did not answer a query: {}", error)
            return None
