# Licensed under the Apache License 2.0: see LICENSE for details.

"""Assembly of the components of one daemon."""

from __future__ import annotations

import asyncio

from walnutquay.coordination.own.acceptance import Acceptance
from walnutquay.coordination.own.admission import Admission
from walnutquay.coordination.own.billing import Billing
from walnutquay.coordination.own.chats import ChatPath
from walnutquay.coordination.own.claims import Claims
from walnutquay.coordination.own.configurations import Configurations
from walnutquay.coordination.own.endpoints import EndpointMonitor
from walnutquay.coordination.own.engines import Engines
from walnutquay.coordination.own.health import VersionHealth
from walnutquay.coordination.own.keyed import KeyedParts
from walnutquay.coordination.own.leases import Lease
from walnutquay.coordination.own.members import Members
from walnutquay.coordination.own.outcomecounts import OutcomeCounts
from walnutquay.coordination.own.pins import SessionPins
from walnutquay.coordination.own.planning import ChatPlanner
from walnutquay.coordination.own.platform import Platform
from walnutquay.coordination.own.quality import AnswerQuality
from walnutquay.coordination.own.rater import Rater
from walnutquay.coordination.own.restores import Restores
from walnutquay.coordination.own.rollouts import DUTY, ORDER_SECONDS, RolloutDuty
from walnutquay.coordination.own.services import ServicePath
from walnutquay.coordination.process.context import Context, Timeline, new_incarnation
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.eventlog import EventLog
from walnutquay.coordination.process.strays import stray_reporter
from walnutquay.coordination.requests.crashes import CrashWatch
from walnutquay.coordination.requests.crashrecord import CrashRecord
from walnutquay.coordination.requests.recorder import TraceRecorder
from walnutquay.protocol.ownpeer import OwnPeerCodec
from walnutquay.protocol.services import HEADER_REQUEST_ID
from walnutquay.settings import Settings
from walnutquay.state.fleet.membership import Address, MemberUpdate
from walnutquay.state.own.admission import RetryBudget
from walnutquay.state.own.sessions import PinSealer
from walnutquay.state.process.ids import HallName, VmName
from walnutquay.state.process.metrics import Metrics
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.transport.client import HttpClient
from walnutquay.transport.peers import PeerNode
from walnutquay.transport.traffic import Traffic

SECONDS_PER_DAY = 86400.0
# Interval at which a planned stop checks whether all requests have ended.
STOP_POLL_SECONDS = 0.02
FLUSH_TRIES = 20
FLUSH_PAUSE = 0.5


class Parts:
    """Creates, starts and stops the components of one entry VM.

    It must be created inside the running event loop, since the components open
    connections.

    :param settings: the daemon's settings.
    """

    def __init__(self, settings: Settings) -> None:
        options = settings.options
        self.settings = settings
        self.leaving = False
        vm = VmName(options.vm.name)
        metrics = Metrics()
        event_log = EventLog(metrics).log_event if options.log.events else None
        timeline = Timeline(vm, options.memory.events, event_log)
        hall = HallName(options.vm.hall)
        self.context = Context(
            vm,
            hall,
            new_incarnation(),
            timeline,
            metrics,
            region=options.vm.region,
        )
        self.traffic = Traffic(self.context.link)
        # Set by the daemon once the administration API listens.
        self.administration_port = 0
        keys = [key.get_secret_value() for key in options.fleet.keys]
        self._make_fleet_components(keys)
        self._make_request_components(keys)

    def _make_fleet_components(self, keys: list[str]) -> None:
        """Create the components for the platform and the other VMs."""
        options = self.settings.options
        context = self.context
        self.dispatcher = Dispatcher()
        self.node = PeerNode(
            context.vm,
            context.incarnation,
            OwnPeerCodec([key.encode() for key in keys]),
            context.timeline.clock,
            context.metrics,
            self.dispatcher.deliver,
        )
        self.platform = Platform(context, options.platform)
        self.members = Members(
            context,
            self.node,
            self.dispatcher,
            options.platform.vm_list_url,
            self.own_update,
        )
        self.restores = Restores(self.platform)
        self.members.update_listeners.append(self.restores.on_update)
        self.configurations = Configurations(
            context, self.platform, self.members, self.dispatcher
        )
        self.acceptance = Acceptance(context, self.platform, self.configurations)

    def _make_request_components(self, keys: list[str]) -> None:
        """Create the components that handle requests."""
        options = self.settings.options
        context = self.context
        self.client = HttpClient(
            HEADER_REQUEST_ID, stray_reporter(context), self.traffic
        )
        self.table = EndpointTable(context.hall, context.rng)
        self.endpoint_monitor = EndpointMonitor(
            context, self.table, self.configurations, self.members, self.dispatcher
        )
        self.admission = Admission(context, self.configurations, self.table)
        self.endpoint_monitor.endpoints_in_use = self.admission.endpoints_in_use
        self.claims = Claims(
            context,
            self.platform,
            self.members,
            self.dispatcher,
            options.fleet.claim_hours,
            options.memory.answer_bytes,
            self.restores,
        )
        self.billing = Billing(context, self.platform, self.members, self.dispatcher)
        self.outcome_counts = OutcomeCounts(context, self.members, self.dispatcher)
        self.health = VersionHealth(
            context,
            self.configurations,
            self.members,
            self.dispatcher,
            self.outcome_counts,
        )
        self.quality = AnswerQuality(
            context, Rater(self.client, options.rater), self.outcome_counts, self.health
        )
        lease = Lease(
            context,
            self.platform,
            self.members,
            DUTY,
            options.platform.lease_seconds,
            ORDER_SECONDS,
        )
        self.rollouts = RolloutDuty(
            context,
            self.configurations,
            self.acceptance,
            self.endpoint_monitor,
            self.health,
            lease,
        )
        sealer = PinSealer(keys, options.fleet.token_days * SECONDS_PER_DAY)
        self.pins = SessionPins(
            context, self.members, self.dispatcher, sealer, options.memory.pins
        )
        self.recorder = TraceRecorder()
        self.crashes = CrashWatch(context, self.members)
        self.crashes.listen(self.dispatcher)
        self.crash_record = CrashRecord(self.crashes, self.platform)
        self.platform.eras.restore_listeners.append(
            lambda era: self.crash_record.write_again()
        )
        path_parts = KeyedParts(
            context,
            self.admission,
            self.table,
            RetryBudget(),
            self.recorder,
            self.crashes,
            self.configurations,
            self.claims,
            self.billing,
            self.health,
        )
        self.chats = ChatPath(
            path_parts,
            Engines(self.client),
            self.quality,
            ChatPlanner(path_parts, self.quality, sealer, self.pins),
            options.callers.idle_seconds,
        )
        self.services = ServicePath(path_parts, self.client)

    def own_update(self) -> MemberUpdate:
        """:returns: the update on this VM that is sent to the others."""
        return MemberUpdate(
            vm=self.context.vm,
            incarnation=self.context.incarnation,
            hall=self.context.hall,
            counter=0,
            revision=self.configurations.head.revision,
            leaving=self.leaving,
            address=Address(self.settings.options.peers.host, self.node.port),
            administration=self.administration_port,
            confirmed_age=self.configurations.confirmed_age(),
            region=self.context.region,
            era=self.platform.eras.current,
            restored_age=self.restores.age(),
        )

    async def start(self) -> None:
        """Open the sockets for peers and start all components."""
        options = self.settings.options
        await self.node.start(options.peers.host, options.peers.port)
        await self.members.read_list()
        self.members.start(
            options.peers.heartbeat_seconds, options.platform.list_seconds
        )
        self.members.send_heartbeats()
        self.configurations.start(options.platform.anti_entropy_seconds)
        self.endpoint_monitor.start()
        self.claims.start()
        self.billing.start()
        self.outcome_counts.start()
        self.crashes.start()
        for path in (self.chats, self.services):
            self.context.timers.on_wake(path.limits.woke)
        self.crash_record.start(_always)
        self.rollouts.start()

    def close_requests(self) -> None:
        """Refuse new requests from now on."""
        self.chats.closed = True
        self.services.closed = True

    def in_flight(self) -> int:
        """:returns: number of requests that have arrived and have no outcome yet."""
        paths = (self.chats, self.services)
        return sum(path.in_flight + len(path.background.running) for path in paths)

    async def finish_requests(self, seconds: float) -> bool:
        """Wait until no request is in flight.

        :param seconds: maximum time to wait.
        :returns: whether all have ended.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while self.in_flight() and loop.time() < end:  # noqa: ASYNC110
            await asyncio.sleep(STOP_POLL_SECONDS)
        return not self.in_flight()

    async def flush_bills(self) -> bool:
        """Store all bills, including those of crashed VMs, or copy them to a peer.

        :returns: whether this VM's bills are stored and those kept for others are safe.
        """
        for _ in range(FLUSH_TRIES):
            await self.billing.flush()
            await self.billing.flush_for_dead()
            if await self.billing.leave_to_peer():
                return not self.billing.log.records
            await asyncio.sleep(FLUSH_PAUSE)
        return False

    async def stop(self) -> None:
        """Stop all components and close all sockets."""
        self.context.timers.stop()
        self.configurations.stop()
        self.claims.lost.stop()
        self.billing.stop()
        self.quality.sampling.stop()
        await self.node.stop()
        self.crash_record.stop()
        self.crashes.close()
        await self.rollouts.close()
        await self.endpoint_monitor.close()
        await self.members.close()
        await self.client.close()
        await self.platform.close()


async def _always() -> bool:
    """Allow reading the crash record, the only source of crashes for a starting VM."""
    return True
