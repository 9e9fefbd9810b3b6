# Licensed under the Apache License 2.0: see LICENSE for details.

"""Connections to endpoints through other VMs: opened for requests, and forwarded."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.routed.reachability import Reachability
from walnutquay.exceptions import PeerError
from walnutquay.protocol.linkmessages import AskReach, OpenTunnel, ReachIs
from walnutquay.protocol.messages import Envelope, Message
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, RequestId, VmName
from walnutquay.state.routed.links import Helper, LostLink, Reach
from walnutquay.state.store.instances import Instance
from walnutquay.transport.client import CONNECT_SECONDS
from walnutquay.transport.connectors import Forwarded
from walnutquay.transport.timers import monotonic
from walnutquay.transport.tunnels import (
    TunnelEnd,
    connect_end,
    request_tunnel,
    take_over,
)

# VMs that are tried for one connection.
TRIED_HELPERS = 2
# The time within which a VM opens a tunnel; seconds.
OPEN_SECONDS = 0.25
# The most connections that a VM forwards at a time.  Each takes two descriptors, and
# up to 0.1 MB where either side reads slowly.
MAX_TUNNELS = 384
# The interval at which a stop looks whether connections are still forwarded.
POLL_SECONDS = 0.02


class EndpointDialer:
    """Makes the connection of one request: itself, or through another VM.

    :param tunnels: opens tunnels.
    :param grant: the slot of the request.
    :param request: its id.
    """

    def __init__(self, tunnels: Tunnels, grant: Grant, request: RequestId) -> None:
        assert isinstance(grant.endpoint, Instance)
        self.tunnels = tunnels
        self.grant = grant
        self.request = request
        self.endpoint: Instance = grant.endpoint

    def is_direct(self) -> bool:
        """Return whether the connection is to be made by this VM itself."""
        return self.tunnels.reachability.is_direct(self.endpoint)

    async def forward(self, silent: bool) -> Forwarded | None:
        """Open a connection through another VM.

        :param silent: whether the endpoint has not responded to this VM at all.
        :returns: the connection; None if no other VM makes one.
        """
        reachability = self.tunnels.reachability
        lost = await reachability.find_helpers(self.endpoint, silent)
        for helper in lost.ranked(self.tunnels.context.hall)[:TRIED_HELPERS]:
            forwarded = await self.tunnels.open(lost, helper, self.request)
            if forwarded is not None:
                self.grant.via = helper.vm
                return forwarded
        return None


class Tunnels:
    """Opens connections through other VMs, and forwards those of other VMs.

    Each connection carries one request, so a VM that stops knows which have ended.

    :param context: the state shared within this process.
    :param peers: the other VMs.
    :param reachability: which endpoints are reached, and by whom.
    """

    def __init__(
        self, context: Context, peers: FleetPeers, reachability: Reachability
    ) -> None:
        self.context = context
        self.peers = peers
        self.reachability = reachability
        # The ends towards other VMs of the connections that are forwarded.
        self.forwarded: set[TunnelEnd] = set()
        # Connections that are being made for other VMs.
        self.opening = 0
        # Whether this VM is stopping, and forwards no more connections.
        self.closed = False

    def listen(self, dispatcher: Dispatcher) -> None:
        """Register for the other VMs' messages.

        :param dispatcher: dispatches received messages.
        """
        dispatcher.on(AskReach, self.answer)
        self.peers.node.tunnel_handler = self.serve

    def dialer(self, grant: Grant, request: RequestId) -> EndpointDialer:
        """Return what makes the connection of a request.

        :param grant: the slot of the request.
        :param request: its id.
        """
        return EndpointDialer(self, grant, request)

    # Connections of this VM.

    async def open(
        self, lost: LostLink, helper: Helper, request: RequestId
    ) -> Forwarded | None:
        """Open a connection to an endpoint through another VM.

        :param lost: the endpoint.
        :param helper: the VM; it is not tried again if it makes no connection.
        :param request: the request that the connection is for.
        :returns: the connection; None if there is none.
        """
        message = OpenTunnel(lost.endpoint.name, lost.endpoint.born, request, True)
        answer, bound = await self._request(helper.vm, message)
        reached = isinstance(answer, ReachIs) and answer.reach is Reach.REACHED
        if bound is None or not reached:
            lost.helpers.pop(helper.vm, None)
            self.context.metrics.count("tunnels_failed")
            if bound is not None:
                bound.close()
            return None
        lost.helpers[helper.vm] = replace(helper, tunnels=answer.tunnels)
        lost.asked_at = monotonic()
        self.context.metrics.count("tunnels_used")
        self.context.timeline.emit(
            EventKind.FORWARDED,
            request=request,
            endpoint=lost.endpoint.name,
            detail=f"by {helper.vm}",
            via=helper.vm,
        )
        return Forwarded(bound, answer.framed)

    async def _request(
        self, vm: VmName, message: OpenTunnel
    ) -> tuple[Message | None, socket.socket | None]:
        """Ask a VM for a tunnel.

        :returns: its answer and the stream; None for both if there is no answer.
        """
        location = self.peers.known.get(vm)
        if location is None:
            return None, None
        node = self.peers.node
        try:
            return await request_tunnel(node, location.address, message, OPEN_SECONDS)
        except PeerError:
            self.context.metrics.count("tunnels_unanswered")
            return None, None

    # Connections of other VMs.

    async def answer(self, envelope: Envelope) -> ReachIs:
        """Answer whether this VM reaches an endpoint.

        :param envelope: the other VM's query.
        """
        body = envelope.body
        assert isinstance(body, AskReach)
        endpoint = self._known(body.endpoint, body.born)
        reach = Reach.UNKNOWN
        if self._is_full():
            reach = Reach.BUSY
        elif endpoint is not None:
            reach = await self.reachability.reach(endpoint)
        return ReachIs(reach, len(self.forwarded))

    async def serve(self, envelope: Envelope, writer: asyncio.StreamWriter) -> bool:
        """Connect another VM's stream to an endpoint.

        The connection is made by this VM itself, never through a third one.

        :param envelope: the message that asks for it.
        :param writer: the stream.
        :returns: whether the stream is forwarded from now on.
        """
        body = envelope.body
        assert isinstance(body, OpenTunnel)
        self.opening += 1
        try:
            reach, end = await self._connect(body)
        finally:
            self.opening -= 1
        node = self.peers.node
        if end is None or writer.is_closing():
            if end is not None:
                end.reset()
            self.context.metrics.count(f"tunnels_{reach.value}")
            node.write(writer, ReachIs(reach, len(self.forwarded)), envelope.call)
            return False
        answer = ReachIs(reach, len(self.forwarded) + 1, body.framed)
        node.write(writer, answer, envelope.call)
        self._join(writer, end)
        self.context.metrics.count("tunnels_forwarded")
        self.context.timeline.emit(
            EventKind.TUNNEL_OPENED,
            request=body.request,
            endpoint=body.endpoint,
            detail=f"for {envelope.vm}",
        )
        return True

    async def _connect(self, body: OpenTunnel) -> tuple[Reach, TunnelEnd | None]:
        endpoint = self._known(body.endpoint, body.born)
        if endpoint is None:
            return Reach.UNKNOWN, None
        if self._is_full():
            return Reach.BUSY, None
        if endpoint.name in self.reachability.unreachable:
            return Reach.SILENT, None
        try:
            end = await connect_end(endpoint.address, CONNECT_SECONDS, body.framed)
        except TimeoutError:
            return Reach.SILENT, None
        except OSError:
            return Reach.REFUSED, None
        return Reach.REACHED, end

    def _join(self, writer: asyncio.StreamWriter, end: TunnelEnd) -> None:
        near = take_over(writer)
        self.forwarded.add(near)
        near.on_lost = lambda: self.forwarded.discard(near)
        near.join(end)
        end.join(near)

    def _known(self, name: EndpointName, born: int | None) -> Instance | None:
        """Return an endpoint that is listed here too, if it is the same start."""
        known = self.reachability.registry.known.get(name)
        if known is None or (None not in (known.born, born) and known.born != born):
            return None
        return known

    def _is_full(self) -> bool:
        return self.closed or len(self.forwarded) + self.opening >= MAX_TUNNELS

    # Stopping.

    def stop(self) -> None:
        """Forward no more connections; those that are forwarded go on."""
        self.closed = True

    async def idle(self, seconds: float) -> bool:
        """Wait until no connection is forwarded.

        :param seconds: how long to wait at most.
        :returns: whether that is so.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while self._is_used() and loop.time() < end:  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)
        return not self._is_used()

    def _is_used(self) -> bool:
        return bool(self.forwarded or self.opening)
