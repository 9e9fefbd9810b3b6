# Licensed under the Apache License 2.0: see LICENSE for details.

"""Membership, from heartbeats of entry VMs and the platform's VM list, which lags."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import aiohttp
import logbook

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.strays import stray_reporter
from walnutquay.exceptions import EndpointError, PeerError
from walnutquay.protocol.messages import Envelope, Message
from walnutquay.protocol.ownmessages import Heartbeat
from walnutquay.state.fleet.membership import Address, MemberTable, MemberUpdate
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import MemberState, VmName
from walnutquay.transport.connectors import KeptConnector
from walnutquay.transport.jsoncalls import get_json
from walnutquay.transport.peers import PeerNode
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

LIST_TIMEOUT = 2.0
# Maximum number of list reads of a large fleet per second.
FLEET_LIST_READS = 50


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint's entry in the platform's VM list.

    :param name: the endpoint's name.
    :param leaving: whether its VM is being removed.
    :param incarnation: identifies the endpoint's start; empty if the list does not
        state it.
    """

    name: str
    leaving: bool
    incarnation: str


class Members:
    """Maintains this VM's view of the other VMs and sends them updates on this VM.

    :param context: the state shared by this process.
    :param node: the sockets for messages to peers.
    :param dispatcher: delivers heartbeats.
    :param vm_list_url: URL of the platform's VM list.
    :param make_own_update: makes the update on this VM, except for the counter.
    """

    def __init__(
        self,
        context: Context,
        node: PeerNode,
        dispatcher: Dispatcher,
        vm_list_url: str,
        make_own_update: Callable[[], MemberUpdate],
    ) -> None:
        self.context = context
        self.node = node
        self.vm_list_url = vm_list_url
        self.make_own_update = make_own_update
        self.counter = 0
        self.table = MemberTable(context.vm, context.rng)
        self.session = aiohttp.ClientSession(
            connector=KeptConnector(stray_reporter(context)),
            headers={"User-Agent": context.vm},
        )
        self.list_read_at = float("-inf")
        # Called with each newer update on a VM and whether that VM sent it itself.
        self.update_listeners: list[Callable[[MemberUpdate, bool], None]] = []
        # Called with the endpoints on the list.
        self.endpoint_listeners: list[Callable[[list[ListedEndpoint]], None]] = []
        # The last observed state of each member, for reporting changes.
        self.states: dict[str, MemberState] = {}
        dispatcher.on(Heartbeat, self.on_heartbeat)

    def start(self, heartbeat_seconds: float, list_seconds: float) -> None:
        """Start sending heartbeats and reading the list.

        :param heartbeat_seconds: seconds between heartbeats.
        :param list_seconds: minimum seconds between two reads of the list.
        """
        self.table.period = heartbeat_seconds
        timers = self.context.timers
        timers.every("heartbeat", heartbeat_seconds, self.send_heartbeats)
        timers.every("vm-list", list_seconds, self.read_list)

    async def close(self) -> None:
        """Close the connection to the platform's list."""
        await self.session.close()

    def send_heartbeats(self) -> None:
        """Send the heartbeats of one round."""
        self.counter += 1
        now = monotonic()
        own = replace(self.make_own_update(), counter=self.counter)
        message = Heartbeat(
            own, tuple(self.table.rumours(now)), tuple(self.table.digests(now))
        )
        for name in self.table.targets():
            self.send(name, message)
        self._emit_state_changes(now)

    def broadcast_heartbeat(self) -> None:
        """Send a heartbeat to every known member at once, as a planned stop begins."""
        self.counter += 1
        message = Heartbeat(replace(self.make_own_update(), counter=self.counter))
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
        """Send a request to a member and wait for the response.

        :param name: the member.
        :param body: the request.
        :param timeout: seconds to wait.
        :returns: the response.
        :raises PeerError: if there is no response.
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
        """Send a datagram to the targets of one round of heartbeats.

        :param body: the message.
        """
        for name in self.table.targets():
            self.send(name, body)

    def choose_near(self, count: int) -> list[VmName]:
        """Choose some of the targets of one round of heartbeats.

        :param count: how many at the most.
        """
        return list(self.table.targets())[:count]

    def is_responsible_for(self, key: str) -> bool:
        """Check whether this VM does the work that only one VM does for a key.

        :param key: a name.
        :returns: whether this VM ranks first for the key among all live VMs.
        """
        return self.table.ranked(key, monotonic())[:1] == [self.context.vm]

    def on_heartbeat(self, envelope: Envelope) -> None:
        """Apply a heartbeat.

        :param envelope: the received message.
        """
        heartbeat = envelope.body
        assert isinstance(heartbeat, Heartbeat)
        now = monotonic()
        self.table.receive_digests(heartbeat.digests, now)
        for update in (heartbeat.own, *heartbeat.rumours):
            if self.table.receive(update, now):
                for listener in self.update_listeners:
                    listener(update, update is heartbeat.own)

    async def read_list(self) -> None:
        """Apply the platform's list; if it cannot be read, the previous one is kept.

        The larger the fleet, the less often each VM reads the list: updates on VMs
        arrive by heartbeat, and updates on endpoints from the VM that is the first
        to read the list.
        """
        due = max(0.0, len(self.table.members) / FLEET_LIST_READS)
        if monotonic() - self.list_read_at < due:
            return
        self.list_read_at = monotonic()
        try:
            rows = await get_json(self.session, self.vm_list_url, LIST_TIMEOUT)
        except EndpointError as error:
            self.context.metrics.count("vm_list_failures")
            log.debug("the VM list cannot be read; the previous one is kept: {}", error)
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

    def _emit_state_changes(self, now: float) -> None:
        for name, member in self.table.members.items():
            state = self.table.state_of(member, now)
            if self.states.get(name) is state:
                continue
            self.states[name] = state
            self.context.timeline.emit(
                EventKind.MEMBER, endpoint=name, detail=state.value
            )
