# Licensed under the Apache License 2.0: see LICENSE for details.

"""Membership: heartbeats among entry VMs and the platform's lagging list."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import aiohttp
import logbook

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.strays import stray_teller
from walnutquay.exceptions import EndpointError, PeerError
from walnutquay.protocol.messages import Envelope, Message
from walnutquay.protocol.ownmessages import Heartbeat
from walnutquay.state.fleet.membership import Address, MemberTable, MemberUpdate
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import MemberState
from walnutquay.transport.client import get_json
from walnutquay.transport.connectors import KeptConnector
from walnutquay.transport.peers import PeerNode
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

LIST_TIMEOUT = 2.0
# Reads of the list that the whole fleet makes in a second, once it is large.
FLEET_LIST_READS = 50


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint VM as the platform's list has it.

    :param name: the endpoint's name.
    :param leaving: whether its VM is being taken away.
    :param incarnation: which start of it; empty where the list does not say.
    """

    name: str
    leaving: bool
    incarnation: str


class Members:
    """Keeps this VM's view of the others, and tells them of this VM.

    :param context: what this process shares.
    :param node: the sockets to peers.
    :param dispatcher: where heartbeats come from.
    :param vm_list_url: the platform's list of VMs.
    :param own: gives what is to be said of this VM, but for the counter.
    """

    def __init__(
        self,
        context: Context,
        node: PeerNode,
        dispatcher: Dispatcher,
        vm_list_url: str,
        own: Callable[[], MemberUpdate],
    ) -> None:
        self.context = context
        self.node = node
        self.vm_list_url = vm_list_url
        self.own = own
        self.counter = 0
        self.table = MemberTable(context.vm, context.rng)
        self.session = aiohttp.ClientSession(
            connector=KeptConnector(stray_teller(context)),
            headers={"User-Agent": context.vm},
        )
        self.list_read_at = float("-inf")
        # Whom to tell of newer news of a VM, and whether it came from that VM
        # itself; and whom to tell of the endpoints on the list.
        self.update_listeners: list[Callable[[MemberUpdate, bool], None]] = []
        self.endpoint_listeners: list[Callable[[list[ListedEndpoint]], None]] = []
        # The state that each member was last seen in, to tell of changes.
        self.states: dict[str, MemberState] = {}
        dispatcher.on(Heartbeat, self.heard)

    def start(self, heartbeat_seconds: float, list_seconds: float) -> None:
        """Begin to send heartbeats and to read the list.

        :param heartbeat_seconds: seconds between heartbeats.
        :param list_seconds: seconds between two looks at the list.
        """
        self.table.period = heartbeat_seconds
        timers = self.context.timers
        timers.every("heartbeat", heartbeat_seconds, self.send_heartbeats)
        timers.every("vm-list", list_seconds, self.read_list)

    async def close(self) -> None:
        """Close the connection to the list."""
        await self.session.close()

    def send_heartbeats(self) -> None:
        """Send this round's heartbeats."""
        self.counter += 1
        now = monotonic()
        own = replace(self.own(), counter=self.counter)
        message = Heartbeat(
            own, tuple(self.table.rumours(now)), tuple(self.table.digests(now))
        )
        for name in self.table.targets():
            self.send(name, message)
        self._tell_changes(now)

    def broadcast_heartbeat(self) -> None:
        """Tell every known member at once, as at the begin of a stop."""
        self.counter += 1
        message = Heartbeat(replace(self.own(), counter=self.counter))
        for name in {*self.table.members, *self.table.listed_addresses}:
            self.send(name, message)

    def send(self, name: str, body: Message) -> None:
        """Send a datagram to a member, if its address is known.

        :param name: the member.
        :param body: the message.
        """
        address = self.table.address(name)
        if address is not None:
            self.node.send(address, body)

    async def call(self, name: str, body: Message, timeout: float) -> Message:
        """Ask a member.

        :param name: the member.
        :param body: the question.
        :param timeout: seconds to wait.
        :raises PeerError: if no answer comes.
        """
        address = self.table.address(name)
        if address is None:
            raise PeerError(
                "its address is not known", step=type(body).__name__, peer=name
            )
        return await self.node.call(address, body, timeout, name)

    def broadcast(self, body: Message) -> None:
        """Send a datagram to every live member.

        :param body: the message.
        """
        for member in self.table.alive(monotonic()):
            self.send(member.latest.vm, body)

    def send_to_some(self, body: Message) -> None:
        """Send a datagram to some members, those of the next round of heartbeats.

        :param body: the message.
        """
        for name in self.table.targets():
            self.send(name, body)

    def is_responsible_for(self, key: str) -> bool:
        """:param key: a name.

        :returns: whether this VM, of all that are alive, does what is done once for it.
        """
        return self.table.ranked(key, monotonic())[:1] == [self.context.vm]

    def heard(self, envelope: Envelope) -> None:
        """Take in a heartbeat.

        :param envelope: the message that came.
        """
        heartbeat = envelope.body
        assert isinstance(heartbeat, Heartbeat)
        now = monotonic()
        self.table.receive_digests(heartbeat.digests, now)
        for news in (heartbeat.own, *heartbeat.rumours):
            if self.table.receive(news, now):
                for listener in self.update_listeners:
                    listener(news, news is heartbeat.own)

    async def read_list(self) -> None:
        """Take in the platform's list; without an answer the old one stands.

        The more VMs there are, the less often each reads it: news of a VM comes
        by heartbeat, of an endpoint from whichever VM read the list first.
        """
        due = max(0.0, len(self.table.members) / FLEET_LIST_READS)
        if monotonic() - self.list_read_at < due:
            return
        self.list_read_at = monotonic()
        try:
            rows = await get_json(self.session, self.vm_list_url, LIST_TIMEOUT)
        except EndpointError as error:
            self.context.metrics.count("vm_list_failures")
            log.debug("the VM list cannot be read: {}", error)
            return
        assert isinstance(rows, list)
        entries = [row for row in rows if row["kind"] == "entry"]
        addresses = {row["name"]: Address(row["host"], row["port"]) for row in entries}
        self.table.apply_list(addresses, monotonic())
        endpoints = [
            ListedEndpoint(row["name"], row["leaving"], row.get("incarnation", ""))
            for row in rows
            if row["kind"] == "endpoint"
        ]
        for listener in self.endpoint_listeners:
            listener(endpoints)

    def _tell_changes(self, now: float) -> None:
        for name, member in self.table.members.items():
            state = self.table.state_of(member, now)
            if self.states.get(name) is state:
                continue
            self.states[name] = state
            self.context.timeline.emit(
                EventKind.MEMBER, endpoint=name, detail=state.value
            )
