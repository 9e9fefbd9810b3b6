# Licensed under the Apache License 2.0: see LICENSE for details.

"""The daemon that serves the platform's callers: it assembles, serves and stops."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Mapping
from types import MappingProxyType

import logbook
import uvloop

from walnutquay.coordination.fleet.bootstrap import Bootstrap
from walnutquay.coordination.fleet.connectiongate import CallerGate
from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.coordination.fleet.vmlist import VmList
from walnutquay.coordination.fleet.watchers import Watchers
from walnutquay.coordination.process.context import Context, Timeline, new_incarnation
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.eventlog import EventLog
from walnutquay.coordination.process.strays import stray_reporter
from walnutquay.coordination.store.relaying import Relay
from walnutquay.coordination.trials.record import TrialRecord
from walnutquay.coordination.trials.versions import VersionTrials
from walnutquay.daemon.callerbodies import CallerBodies
from walnutquay.daemon.collector import tune_collector
from walnutquay.daemon.gatewayapi import GatewayApi
from walnutquay.daemon.metricsapi import MetricsApi
from walnutquay.daemon.routing import Routing
from walnutquay.daemon.storefeeds import StoreLinks
from walnutquay.logs import open_line_log
from walnutquay.platform import names
from walnutquay.platform.registers import StoredOrders, VmRegister
from walnutquay.platform.store import StoreClient
from walnutquay.platform.values import ValueStore
from walnutquay.protocol.messages import (
    AskChanges,
    AskKnown,
    AskStart,
    AskTrial,
    AskVms,
    SessionsSeen,
    TrialNews,
    VmNews,
)
from walnutquay.protocol.peer import PeerCodec
from walnutquay.settings import GatewayOptions, Settings, host_and_port
from walnutquay.state.fleet.membership import Address
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import HallName, VmName
from walnutquay.state.process.metrics import Metrics
from walnutquay.state.process.revisions import Era
from walnutquay.transport.client import HttpClient
from walnutquay.transport.lines import LineWriter
from walnutquay.transport.listeners import listen
from walnutquay.transport.loops import new_loop
from walnutquay.transport.peers import PeerNode
from walnutquay.transport.traffic import Traffic

log = logbook.Logger(__name__)

# What is left of the time to stop once requests must have ended.
EXIT_SECONDS = 0.4
# Of it, what may go on telling the store and the other VMs that this one leaves: the
# store may be silent, and a process that is killed takes its log lines with it.
LEAVING_SECONDS = 0.2


class GatewayDaemon:
    """Runs one entry VM of the platform until it is told to stop.

    :param settings: the daemon's settings.
    :param listeners: sockets that listen already, by address.
    """

    def __init__(
        self,
        settings: Settings[GatewayOptions],
        listeners: Mapping[str, socket.socket] = MappingProxyType({}),
    ) -> None:
        self.listeners = dict(listeners)
        options = settings.options
        self.options = options
        vm = VmName(options.vm.name)
        hall = HallName(options.vm.hall)
        metrics = Metrics()
        event_log = EventLog(metrics).log_event if options.log.events else None
        timeline = Timeline(vm, options.memory.events, event_log)
        self.context = Context(
            vm,
            hall,
            new_incarnation(),
            timeline,
            metrics,
            region=options.vm.region,
        )
        traffic = Traffic(self.context.link)
        on_stray = stray_reporter(self.context)
        self.store = StoreClient(
            options.store.address, count=metrics.count, on_stray=on_stray
        )
        self.dispatcher = Dispatcher()
        self.node = self._make_node()
        self.peers = self._make_peers()
        first_start = options.peers.first_start
        self.watchers = Watchers(self.context, self.peers)
        self.starting = Bootstrap(
            self.context, self.peers, lambda: self.knowledge.export_lists(), first_start
        )
        self.dispatcher.on(AskStart, self.starting.answer)
        self.vm_list = VmList(
            self.context,
            self.peers,
            VmRegister(self.store),
            self.watchers,
            self.starting,
            first_start,
        )
        self.store.eras.restore_listeners.append(self.vm_list.on_restored)
        self.dispatcher.on(AskVms, self.vm_list.answer)
        self.dispatcher.on(VmNews, self.vm_list.receive)
        self.dispatcher.listeners.append(self.vm_list.detect_restart)
        links = StoreLinks(
            self.context, self.store, self.peers, self.watchers, self.starting
        )
        self.knowledge = links.knowledge(options.promises, first_start)
        self.dispatcher.on(AskKnown, self.knowledge.answer)
        self.dispatcher.on(AskChanges, Relay(self.knowledge).answer)
        self.client = HttpClient(names.REQUEST_ID, on_stray, traffic)
        self.versions = VersionTrials(
            self.context,
            self.knowledge,
            StoredOrders(self.store),
            self.peers,
            options.promises,
        )
        self.versions.exchange.record = TrialRecord(
            self.peers,
            ValueStore(self.store),
            self.versions.evaluator.baseline,
            self._reads_store,
        )
        self.store.eras.restore_listeners.append(
            self.versions.exchange.record.on_restored
        )
        self.dispatcher.on(TrialNews, self.versions.exchange.receive)
        self.dispatcher.on(AskTrial, self.versions.exchange.answer)
        self.dispatcher.on(SessionsSeen, self.versions.sessions.take_over)
        routing = Routing(
            self.context,
            options,
            self.peers,
            self.dispatcher,
            self.knowledge,
            self.versions,
            self.store,
            self.client,
        )
        self.path = routing.path
        self.tunnels = routing.tunnels
        self.sharing = routing.sharing
        self.crash_record = routing.crash_record
        self.store.eras.restore_listeners.append(self._on_restored)
        bodies = CallerBodies(
            options.memory.body_bytes, self.knowledge, self.context.metrics
        )
        self.api = GatewayApi(self.context, self.knowledge, self.path, bodies)
        self.caller_gate = CallerGate(
            self.context, self.peers, self.dispatcher, self.api.server
        )
        self.api.server.web.takes = self.caller_gate.takes
        self.api.server.web.heads.limit = options.memory.head_bytes
        self.api.server.web.traffic = traffic
        self.metrics_api = MetricsApi(
            self.context, self.knowledge, self.path, self.versions, self.peers
        )
        self.stopping = asyncio.Event()

    def _on_restored(self, era: Era) -> None:
        """Write the crash record again, on one VM."""
        if self.peers.is_responsible_for("crash record"):
            self.crash_record.write_again()

    def _make_node(self) -> PeerNode:
        # This only keeps the packets of other fleets out: the platform gives its
        # routers no secret, and its network is theirs alone.
        fleet = self.options.peers.fleet or self.options.store.address
        key = f"walnutquay fleet of {fleet}"
        return PeerNode(
            self.context.vm,
            self.context.incarnation,
            PeerCodec([key.encode()]),
            self.context.timeline.clock,
            self.context.metrics,
            self.dispatcher.deliver,
        )

    def _make_peers(self) -> FleetPeers:
        section = self.options.peers
        own = Address(*host_and_port(section.address))
        hosts = [seed.partition(":")[0] for seed in section.seeds.split(",") if seed]
        seeds = [Address(host, own.port) for host in hosts]
        return FleetPeers(self.context, self.node, own, seeds)

    async def _reads_store(self) -> bool:
        """Tell whether only the store can tell this VM what lost ones have known."""
        if self.options.peers.first_start:
            return False
        return await self.starting.get() is None

    async def run(self) -> None:
        """Serve until :attr:`stopping` is set, then stop as planned."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        tune_collector()
        await self.stopping.wait()
        await self.drain()
        await self.close()

    async def start(self) -> None:
        """Open all sockets and begin all duties."""
        options = self.options
        await self.node.start(*host_and_port(options.peers.address))
        self.peers.own = Address(self.peers.own.host, self.node.port)
        self.vm_list.start()
        self.knowledge.start()
        self.versions.start()
        self.path.cascading.start()
        self.path.admission.rates.start()
        self.path.admission.announcements.start()
        self.context.timers.on_wake(self.path.limits.woke)
        self.path.parts.crashes.start()
        self.crash_record.start(self._reads_store)
        self.api.start()
        self.metrics_api.start()
        await self.api.ready_server.start(self.listener(options.ready.address))
        await self.metrics_api.server.start(self.listener(options.metrics.address))
        listener = self.listener(options.callers.address)
        self.caller_gate.wait.listens_at(listener)
        await self.api.server.start(listener)
        self.context.timeline.emit(EventKind.STARTED)

    def listener(self, address: str) -> socket.socket:
        """:param address: where to listen, as `IP:port`.

        :returns: the socket that is open there already, or a new one.
        """
        return self.listeners.pop(address, None) or listen(*host_and_port(address))

    def _reload(self) -> None:
        """Take SIGHUP: what the settings say is fixed for a process's life."""
        self.context.timeline.emit(EventKind.RELOADED, detail="nothing changes here")

    async def drain(self) -> None:
        """Stop serving without cutting a request."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self.options.promises.stop_seconds - EXIT_SECONDS
        self.context.timeline.emit(EventKind.STOPPING)
        self.tunnels.stop()
        self.sharing.stop()
        self.api.open = False
        self.api.server.draining = True
        self.api.server.close_idle()
        await asyncio.sleep(self.options.promises.balancer_seconds)
        self.api.server.close_listener()
        self.api.server.close_idle()
        # Requests that start now could take longer than the time until the exit.
        self.api.bodies.close()
        self.path.stop_sending()
        if not await self.api.server.idle(end - loop.time()):
            log.error("{} requests did not end in time", self.api.server.in_flight)
        if not await self.tunnels.idle(end - loop.time()):
            count = len(self.tunnels.forwarded)
            log.error("{} forwarded connections did not end in time", count)

    async def close(self) -> None:
        """End all duties and close all sockets."""
        self.context.timeline.emit(EventKind.STOPPED)
        self.knowledge.stop()
        self.versions.stop()
        self.path.admission.close()
        self.sharing.stop()
        self.caller_gate.close()
        self.crash_record.stop()
        self.path.parts.crashes.close()
        # Both at once: little time is left where requests took long to end.
        leaving = (self.versions.sessions.hand_over(), self.vm_list.stop())
        try:
            async with asyncio.timeout(LEAVING_SECONDS):
                await asyncio.gather(*leaving)
        except TimeoutError:
            log.warning("nobody has answered that this VM leaves")
        await self.node.stop()
        self.context.timers.stop()
        await self.api.server.stop()
        await self.api.ready_server.stop()
        await self.metrics_api.server.stop()
        await self.client.close()
        await self.store.close()


async def _serve(
    settings: Settings[GatewayOptions],
    writer: LineWriter,
    listeners: Mapping[str, socket.socket],
) -> None:
    daemon = GatewayDaemon(settings, listeners)
    daemon.metrics_api.writer = writer
    await daemon.run()


def run_gateway(
    settings: Settings[GatewayOptions], listeners: Mapping[str, socket.socket]
) -> None:
    """Run the daemon in this process until it is told to stop.

    :param settings: the daemon's settings.
    :param listeners: sockets that listen already, by address.
    """
    writer = open_line_log(settings.options.log, settings.options.vm.name)
    uvloop.run(_serve(settings, writer, listeners), loop_factory=new_loop)
