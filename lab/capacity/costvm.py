# Licensed under the Apache License 2.0: see LICENSE for details.

"""The parts of one VM of a large fleet, without sockets."""

from __future__ import annotations

import itertools
import random
from types import SimpleNamespace
from unittest import mock

from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.coordination.process.context import Context, Timeline, new_incarnation
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.eventlog import EventLog
from walnutquay.coordination.routed.admission import RoutedAdmission
from walnutquay.coordination.routed.announcements import EndpointAnnouncements
from walnutquay.coordination.routed.backoffs import EndpointBackoffs
from walnutquay.coordination.routed.candidates import Candidates
from walnutquay.coordination.routed.cascading import Cascading
from walnutquay.coordination.routed.cold import ColdLimiter
from walnutquay.coordination.routed.draining import DrainingEndpoints
from walnutquay.coordination.routed.issuers import IssuerRanking
from walnutquay.coordination.routed.linkqueries import LinkQueries
from walnutquay.coordination.routed.places import Places
from walnutquay.coordination.routed.promptupdates import PromptUpdates
from walnutquay.coordination.routed.ratelimiter import RateLimiter
from walnutquay.coordination.routed.ratelimits import RateLimits
from walnutquay.coordination.routed.reachability import Reachability
from walnutquay.coordination.routed.turn import RoutedArrival, RoutedTurn
from walnutquay.coordination.store.sinks import InstanceSink
from walnutquay.coordination.trials.versions import VersionTrials
from walnutquay.protocol import messages as m
from walnutquay.protocol.calls import CallHead
from walnutquay.protocol.peer import PeerCodec
from walnutquay.protocol.streams import StreamProgress
from walnutquay.sections import PromisesSection
from walnutquay.state.fleet.membership import Address, VmLocation
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    Incarnation,
    ModelName,
    RequestId,
    RouteName,
    ServiceName,
    SessionId,
    VersionName,
    VmName,
)
from walnutquay.state.process.metrics import Metrics
from walnutquay.state.process.revisions import UNKNOWN_ERA, StoreRevision
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.routed.modelchoice import ModelChoice
from walnutquay.state.routed.prompts import Prompt, PromptPart
from walnutquay.state.store.catalogue import (
    ANONYMOUS,
    Destination,
    EngineModel,
    Route,
    RoutedService,
    RouteKind,
)
from walnutquay.state.store.instances import Instance
from walnutquay.state.store.orders import OrderState, RolloutOrder
from walnutquay.transport.peers import PeerNode
from walnutquay.transport.timers import monotonic, unix_microseconds

FIRST_REVISION = StoreRevision(UNKNOWN_ERA, 1)

HALLS = 4
SERVICE = ServiceName("engine")
PLAIN = ServiceName("plain")
# Endpoints of a plain service beside the engines.
PLAIN_ENDPOINTS = 7
OLD, NEW = VersionName("v1"), VersionName("v2")
MODELS = tuple(ModelName(name) for name in ("small", "middle", "large"))
MEMORY_TOKENS = 440_000
TRIAL_SECONDS = 600.0
SLOTS = 16
KEY = b"lab"
ROUTE = Route(
    RouteName("draft"),
    "app.example",
    "/draft/",
    RouteKind.STREAM,
    (Destination(SERVICE, 1.0),),
    20.0,
    2.0,
    1.2,
    attempts=3,
    resumable=True,
    models=MODELS,
)


class NoSocket:
    """Takes datagrams and drops them."""

    def is_closing(self) -> bool:
        """:returns: that it is open."""
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """:param data: a datagram.

        :param address: where to.
        """


def hall_of(number: int) -> HallName:
    """:param number: a VM's or an endpoint's.

    :returns: the data hall that it stands in.
    """
    return HallName(f"hall-{number % HALLS}")


def vm_name(number: int) -> VmName:
    """:param number: a VM's.

    :returns: its name.
    """
    return VmName(f"front-{hall_of(number)}-{number}")


class CostVm:
    """The parts of one VM.

    :param vms: VMs of the fleet, this one among them.
    :param engines: engines of the one service that streams.
    :param log: takes each event; None logs none.
    """

    def __init__(self, vms: int, engines: int, log: EventLog | None = None) -> None:
        self.rng = random.Random(1)
        take = None if log is None else log.log_event
        timeline = Timeline(vm_name(0), 1000, take)
        self.context = Context(
            vm_name(0), hall_of(0), new_incarnation(), timeline, rng=self.rng
        )
        self.dispatcher = Dispatcher()
        self.codec = PeerCodec([KEY])
        self.node = PeerNode(
            self.context.vm,
            self.context.incarnation,
            self.codec,
            timeline.clock,
            Metrics(),
            self.dispatcher.deliver,
        )
        self.node.datagrams = NoSocket()
        self.peers = self._make_peers(vms)
        self.names = list(self.peers.known)
        self.sink = InstanceSink(self.context)
        self.table = EndpointTable(self.context.hall, self.rng)
        self.service = RoutedService(
            SERVICE,
            100,
            True,
            MEMORY_TOKENS,
            tuple(EngineModel(name, 0.01) for name in MODELS),
        )
        self.versions = self._make_versions()
        self.places = self._make_places()
        self.sink.listeners.append(self.places.on_instance)
        PromptUpdates(self.places, self.peers).listen(self.dispatcher)
        self.cascading = Cascading(
            self.context, self.knowledge, self.places, ModelChoice(), self.peers
        )
        self.dispatcher.on(m.OpinionNews, self.cascading.receive)
        self._add_endpoints(engines)
        self.numbers = itertools.count()

    def _make_peers(self, vms: int) -> FleetPeers:
        own = Address("10.1.0.1", 7340)
        peers = FleetPeers(self.context, self.node, own, [])
        peers.known = {
            vm_name(number): VmLocation(
                Address(f"10.1.0.{number + 1}", 7340), hall_of(number)
            )
            for number in range(vms)
        }
        return peers

    def _make_versions(self) -> VersionTrials:
        orders = SimpleNamespace(listeners=[], orders={}, listed=True)
        catalogue = SimpleNamespace(
            current=SimpleNamespace(services={SERVICE: self.service})
        )
        self.knowledge = SimpleNamespace(
            orders=orders, conditions=[], instances=self.sink, catalogue=catalogue
        )
        return VersionTrials(
            self.context,
            self.knowledge,
            mock.AsyncMock(),
            self.peers,
            PromisesSection(),
        )

    def _make_places(self) -> RoutedAdmission:
        cold = ColdLimiter(
            self.context,
            self.sink.registry,
            {SERVICE: self.service}.get,
            self.peers,
            1.0,
            0.0,
        )
        ranking = IssuerRanking(self.context.vm, self.context.hall, self.peers)
        limits = RateLimits(self.context, self.sink.registry, self.peers, ranking)
        draining = DrainingEndpoints(self.context, self.sink, self.peers)
        backoffs = EndpointBackoffs(self.context, self.sink.registry)
        queries = LinkQueries(self.context, self.peers)
        places = Places(
            self.context, self.sink.registry, self.table, ranking, self.peers
        )
        return RoutedAdmission(
            self.context,
            self.sink.registry,
            self.table,
            lambda name: MEMORY_TOKENS,
            lambda: self.peers.size,
            cold,
            RateLimiter(self.context, limits, ranking, self.peers),
            EndpointAnnouncements(self.context, draining, backoffs, limits, places),
            Candidates(self.sink.registry, self.versions.allowed, {}, 0.0),
            Reachability(self.context, self.sink.registry, queries),
        )

    def _add_endpoints(self, engines: int) -> None:
        for number in range(engines + PLAIN_ENDPOINTS):
            engine = number < engines
            instance = Instance(
                EndpointName(f"srv-{number}"),
                SERVICE if engine else PLAIN,
                f"http://10.2.0.{number}:8000",
                hall_of(number),
                OLD,
                SLOTS,
                born=number,
            )
            self.sink._put(instance, monotonic())
            self.table.report(instance.name, number % SLOTS, "", monotonic())

    # What the other VMs tell.

    def sealed(self, number: int, body: m.Message) -> bytes:
        """:param number: a VM's.

        :param body: what it tells.
        :returns: its datagram.
        """
        stamp = Stamp(unix_microseconds(), 0)
        incarnation = Incarnation("0005f0c0ffee00-0badcafe")
        envelope = m.Envelope(vm_name(number), incarnation, stamp, body)
        return self.codec.encode(envelope)

    async def receive(self, number: int, body: m.Message) -> None:
        """Take in a message as if it had come.

        :param number: the VM that sends it.
        :param body: the message.
        """
        envelope = self.codec.decode(self.sealed(number, body))
        await self.dispatcher.deliver(envelope)

    # A trial.

    def begin_trial(self) -> None:
        """Bring a version in, and give it a quarter of the engines."""
        order = RolloutOrder(
            "o", FIRST_REVISION, SERVICE, NEW, TRIAL_SECONDS, OrderState.NEW
        )
        self.versions.on_order(order)
        for instance in list(self.sink.registry.usable_instances(SERVICE))[::4]:
            moved = Instance(
                EndpointName(f"{instance.name}-new"),
                SERVICE,
                instance.address,
                instance.hall,
                NEW,
                SLOTS,
                born=instance.born,
            )
            self.sink._put(moved, monotonic())
        self.dispatcher.on(m.TrialNews, self.versions.exchange.receive)

    # Requests.

    def turn(self) -> RoutedTurn:
        """:returns: a request of a session, with a prompt."""
        number = next(self.numbers)
        parts = (
            PromptPart("shared", 500),
            PromptPart(f"subject-{number % 1000}", 4000),
            PromptPart(f"own-{number}", 1500),
        )
        head = CallHead(
            RequestId(f"req-{number}"),
            ROUTE.host,
            "key",
            20.0,
            ModelName(""),
            True,
            Prompt(6000, parts=parts),
            SessionId(f"ses-{number // 3}"),
            None,
            (),
        )
        arrival = RoutedArrival(
            head.request,
            ANONYMOUS,
            b"",
            monotonic() + 20.0,
            head=head,
            method="POST",
            target="/draft/x",
            route=ROUTE,
            catalogue_version=1,
        )
        return RoutedTurn(arrival, SERVICE, 0, StreamProgress(None))
