# Licensed under the Apache License 2.0: see LICENSE for details.

"""Assembles the parts that decide where requests on the operators' routes go."""

from __future__ import annotations

from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.requests.crashes import CrashWatch
from walnutquay.coordination.requests.crashrecord import CrashRecord
from walnutquay.coordination.requests.pathparts import PathParts
from walnutquay.coordination.requests.recorder import TraceRecorder
from walnutquay.coordination.routed.admission import RoutedAdmission
from walnutquay.coordination.routed.announcements import EndpointAnnouncements
from walnutquay.coordination.routed.answermemory import AnswerMemory
from walnutquay.coordination.routed.backoffs import EndpointBackoffs
from walnutquay.coordination.routed.budgets import RetryBudgets
from walnutquay.coordination.routed.candidates import Candidates
from walnutquay.coordination.routed.cascading import Cascading
from walnutquay.coordination.routed.cold import ColdLimiter
from walnutquay.coordination.routed.draining import DrainingEndpoints
from walnutquay.coordination.routed.issuers import IssuerRanking
from walnutquay.coordination.routed.keeperranking import KeeperRanking
from walnutquay.coordination.routed.linkqueries import LinkQueries
from walnutquay.coordination.routed.path import RoutedPath
from walnutquay.coordination.routed.places import Places
from walnutquay.coordination.routed.promptupdates import PromptUpdates
from walnutquay.coordination.routed.ratelimiter import RateLimiter
from walnutquay.coordination.routed.ratelimits import RateLimits
from walnutquay.coordination.routed.reachability import Reachability
from walnutquay.coordination.routed.slotkeeper import SlotKeeper
from walnutquay.coordination.routed.slotsharing import SlotSharing
from walnutquay.coordination.routed.slotsigns import SlotSigns
from walnutquay.coordination.routed.tunnels import Tunnels
from walnutquay.coordination.store.knowledge import Knowledge
from walnutquay.coordination.trials.versions import VersionTrials
from walnutquay.platform.calls import PlatformDialect
from walnutquay.platform.rules import coverage_by_rules
from walnutquay.platform.store import StoreClient
from walnutquay.platform.values import ValueStore
from walnutquay.protocol.messages import OpinionNews
from walnutquay.settings import GatewayOptions
from walnutquay.state.own.admission import RetryBudget
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    RegionName,
    ServiceName,
)
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.routed.modelchoice import ModelChoice
from walnutquay.state.routed.overloadscope import Coverage, OverloadScope
from walnutquay.state.store.catalogue import RoutedService
from walnutquay.transport.client import HttpClient

# Repeated requests are kept to this part of what the platform allows, as its
# spans and ours do not begin together.
BUDGET_MARGIN = 0.92
# Until the list of VMs has been read, so many are taken to share the retries: a
# small fleet, of which some are always being replaced.
ASSUMED_VMS = 7


class Routing:
    """The request path of the operators' routes, and what it uses.

    :param context: the state shared within this process.
    :param options: the daemon's settings.
    :param peers: the other VMs.
    :param dispatcher: dispatches the messages of other VMs.
    :param knowledge: the state read from the store.
    :param versions: chooses among versions during a roll-out.
    :param store: the platform's store.
    :param client: the HTTP client for endpoints.
    """

    def __init__(
        self,
        context: Context,
        options: GatewayOptions,
        peers: FleetPeers,
        dispatcher: Dispatcher,
        knowledge: Knowledge,
        versions: VersionTrials,
        store: StoreClient,
        client: HttpClient,
    ) -> None:
        self.context = context
        self.options = options
        self.peers = peers
        self.dispatcher = dispatcher
        self.knowledge = knowledge
        self.versions = versions
        self.store = store
        self.client = client
        registry = knowledge.instances.registry
        queries = LinkQueries(context, peers)
        self.reachability = Reachability(context, registry, queries)
        self.tunnels = Tunnels(context, peers, self.reachability)
        self.tunnels.listen(dispatcher)
        self.table = EndpointTable(context.hall, context.rng)
        overload = options.overload
        coverage = overload.services or coverage_by_rules(overload.rules)
        self.scope = OverloadScope(coverage)
        self.crash_record = self._make_crash_record()
        self.path = self._make_path()

    def _service(self, name: ServiceName) -> RoutedService | None:
        catalogue = self.knowledge.catalogue.current
        return catalogue.services.get(name) if catalogue is not None else None

    def _memory_of(self, name: ServiceName) -> int:
        known = self._service(name)
        return known.memory_tokens if known is not None else 0

    def _make_path(self) -> RoutedPath:
        table = self.table
        rates = self._make_rate_limiter()
        candidates = self._make_candidates()
        self.sharing = self._make_sharing(candidates)
        admission = RoutedAdmission(
            self.context,
            self.knowledge.instances.registry,
            table,
            self._memory_of,
            lambda: self.peers.size,
            self._make_cold(),
            rates,
            self._make_announcements(rates),
            candidates,
            self.reachability,
            self.scope,
            self.sharing,
        )
        self.knowledge.instances.listeners.append(admission.on_instance)
        self.knowledge.instances.listeners.append(self.sharing.on_instance)
        self.knowledge.halls.back_listeners.append(admission.cold.on_hall_back)
        PromptUpdates(admission, self.peers).listen(self.dispatcher)
        crashes = self.crash_record.watch
        self.knowledge.instances.restart_listeners.append(crashes.on_endpoint_restarted)
        parts = PathParts(
            self.context, admission, table, RetryBudget(), TraceRecorder(), crashes
        )
        return RoutedPath(
            parts,
            admission,
            self.knowledge,
            self.client,
            PlatformDialect(),
            self._make_cascading(admission),
            self.versions,
            self._make_budgets(),
            self.tunnels,
            AnswerMemory(self.options.memory.unsent_bytes),
        )

    def _make_announcements(self, rates: RateLimiter) -> EndpointAnnouncements:
        instances = self.knowledge.instances
        draining = DrainingEndpoints(self.context, instances, self.peers)
        draining.listen(self.dispatcher)
        backoffs = EndpointBackoffs(self.context, instances.registry)
        ranking = IssuerRanking(self.context.vm, self.context.hall, self.peers)
        registry = instances.registry
        places = Places(self.context, registry, self.table, ranking, self.peers)
        places.listen(self.dispatcher)
        return EndpointAnnouncements(
            self.context, draining, backoffs, rates.limits, places
        )

    def _make_sharing(self, candidates: Candidates) -> SlotSharing:
        def slots_of(service: ServiceName) -> dict[EndpointName, int]:
            if self.scope.coverage is Coverage.NEVER:
                return {}
            return {item.name: item.slots for item in candidates.of_service(service)}

        context, peers = self.context, self.peers
        sharing = SlotSharing(
            context,
            SlotSigns(self.scope, slots_of),
            SlotKeeper(context, slots_of, peers),
            KeeperRanking(context.vm, peers, context.rng),
            peers,
        )
        sharing.listen(self.dispatcher)
        return sharing

    def _make_candidates(self) -> Candidates:
        regions = self.options.vm.regions
        return Candidates(
            self.knowledge.instances.registry,
            self.versions.allowed,
            {HallName(hall): RegionName(regions[hall]) for hall in regions},
            self.options.promises.drain_seconds,
        )

    def _make_cold(self) -> ColdLimiter:
        promises = self.options.promises
        return ColdLimiter(
            self.context,
            self.knowledge.instances.registry,
            self._service,
            self.peers,
            promises.cold_over,
            promises.cold_extra,
        )

    def _make_rate_limiter(self) -> RateLimiter:
        ranking = IssuerRanking(self.context.vm, self.context.hall, self.peers)
        registry = self.knowledge.instances.registry
        limits = RateLimits(self.context, registry, self.peers, ranking)
        limiter = RateLimiter(self.context, limits, ranking, self.peers)
        limiter.listen(self.dispatcher)
        return limiter

    def _make_crash_record(self) -> CrashRecord:
        crashes = CrashWatch(self.context, self.peers)
        crashes.listen(self.dispatcher)
        return CrashRecord(crashes, ValueStore(self.store))

    def _make_cascading(self, admission: RoutedAdmission) -> Cascading:
        cascading = Cascading(
            self.context, self.knowledge, admission, ModelChoice(), self.peers
        )
        self.dispatcher.on(OpinionNews, cascading.receive)
        return cascading

    def _make_budgets(self) -> RetryBudgets:
        promises = self.options.promises
        return RetryBudgets(
            promises.retry_share * BUDGET_MARGIN,
            promises.retry_extra * BUDGET_MARGIN,
            promises.retry_seconds,
            lambda: max(ASSUMED_VMS, self.peers.size),
        )
