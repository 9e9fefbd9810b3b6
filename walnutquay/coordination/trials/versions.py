# Licensed under the Apache License 2.0: see LICENSE for details.

"""Chooses the version that serves a request, and decides trials of new versions."""

from __future__ import annotations

import math

import logbook

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.coordination.store.knowledge import Knowledge
from walnutquay.coordination.trials.answers import (
    LostOutcomes,
    OrderStatusWriter,
    OrderStore,
    unix_seconds,
)
from walnutquay.coordination.trials.evaluation import AnswerEvaluator
from walnutquay.coordination.trials.exchange import Peers, TrialExchange, outcome_fields
from walnutquay.coordination.trials.sessions import SessionTracker
from walnutquay.coordination.trials.task import FIRST_WRITE_SPREAD, TrialTask
from walnutquay.exceptions import PlatformConflictError, PlatformError
from walnutquay.sections import PromisesSection
from walnutquay.state.process.counts import LruTable
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import ServiceName, VersionName
from walnutquay.state.store.orders import OrderState, RolloutOrder
from walnutquay.state.trials.choice import ChoiceReason, VersionChoice
from walnutquay.state.trials.hashing import is_assigned_to_new
from walnutquay.state.trials.reports import TrialReport
from walnutquay.state.trials.sessionrecords import SessionRecord
from walnutquay.state.trials.settled import SettledVersions
from walnutquay.state.trials.trial import Trial
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# How often each trial is evaluated.
DECIDE_SECONDS = 0.25
# The time from when a VM learns of an order until it assigns the first sessions to the
# new version.  By then all VMs know of the order, and of the sessions that the others
# keep on the old version.  VMs learn of an order within 0.04 s of each other (in a
# fleet of 61 VMs); one whose watcher of the store falls silent tries another after
# 0.9 s.
SETTLE_SECONDS = 1.0
# The time from when a VM learns of the version's first endpoint until it assigns the
# first sessions.  VMs learn of an endpoint within 0.2 s of each other, and a VM that
# does not know of it would use the old version.
ENDPOINT_SPREAD_SECONDS = 0.3
# The reason logged for withdrawing a version without a fault.
DOUBTFUL = "it is in doubt late in its trial"
# The most orders announced by other VMs that are remembered.  There has to be a limit,
# as operators choose the names; they give a few orders a day.
MAX_ANNOUNCED_ORDERS = 100


class VersionTrials:
    """Chooses versions during roll-outs, and decides the roll-out orders.

    :param context: the objects shared by all parts of this process.
    :param knowledge: the orders and the running endpoints.
    :param order_store: the store to which the orders' status is written.
    :param peers: the other entry VMs.
    :param promises: the platform's limits.
    """

    def __init__(
        self,
        context: Context,
        knowledge: Knowledge,
        order_store: OrderStore,
        peers: Peers,
        promises: PromisesSection,
    ) -> None:
        self.context = context
        self.knowledge = knowledge
        self.order_status = OrderStatusWriter(order_store, knowledge.orders)
        self.lost_outcomes = LostOutcomes(self.order_status, peers)
        self.promises = promises
        self.tasks: dict[ServiceName, TrialTask] = {}
        self.settled = SettledVersions()
        # Orders that other VMs announced before this one had read them.
        self.announced_orders: LruTable[tuple[str, str], bool] = LruTable(
            MAX_ANNOUNCED_ORDERS, bool
        )
        self.evaluator = AnswerEvaluator(self.trial_of, self._reject_if_bad)
        self.exchange = TrialExchange(
            context, peers, self.tasks, self.evaluator.baseline, self._on_unknown
        )
        self.sessions = SessionTracker(
            self.tasks, peers, self.exchange.announce, promises.session_seconds
        )
        self.background = Tasks()
        # Set once this VM has learned of all decisions made before it started.
        self.caught_up = False
        knowledge.orders.listeners.append(self.on_order)
        knowledge.conditions.append(self.has_caught_up)

    def start(self) -> None:
        """Start evaluating trials periodically."""
        every = self.context.timers.every
        every("version trials", DECIDE_SECONDS, self.decide)
        every("lost outcomes", DECIDE_SECONDS, self.lost_outcomes.write)

    def stop(self) -> None:
        """Stop sending requests to other VMs and writing to the store."""
        self.background.stop()
        if self.exchange.record is not None:
            self.exchange.record.stop()

    def has_caught_up(self) -> bool:
        """Return whether this VM knows enough of trials to serve callers.

        A VM that has just started first requests the state of running trials from the
        others.  Otherwise it would move back sessions that they have moved, and move
        sessions that they keep.
        """
        if not self.caught_up:
            self.caught_up = self.knowledge.orders.listed and not any(
                task.catching_up for task in self.tasks.values()
            )
        return self.caught_up

    # State.

    def trial_of(self, service: ServiceName) -> Trial | None:
        """Return the trial of a service's new version; None if there is none.

        :param service: the service.
        """
        task = self.tasks.get(service)
        return task.trial if task is not None else None

    def on_order(self, order: RolloutOrder) -> None:
        """Apply a new or changed order.

        :param order: the order in its current state.
        """
        task = self.tasks.get(order.service)
        if order.state.ended:
            self._end_trial(order, task)
            return
        known = task.trial.order.version if task is not None else None
        if task is None or known != order.version:
            self._begin_trial(order)
            return
        if order.state is OrderState.NEW:
            # The store has lost the status.
            task.write_at = monotonic() + self.lost_outcomes.delay(order.name)
        task.trial.order = order

    def _begin_trial(self, order: RolloutOrder) -> None:
        """Begin a trial, and announce the sessions that stay on the old version.

        :param order: the trial's order.
        """
        self.settled.begun(order)
        now = monotonic()
        start_observed = order.state is OrderState.NEW
        elapsed = 0.0
        if order.started is not None:
            # Another VM saw the order first, and its time of day may differ.
            elapsed = min(max(0.0, unix_seconds() - order.started), order.seconds)
        limit = self.promises.trial_share
        trial = Trial(order, now - elapsed, limit, start_observed)
        spread = self.context.rng.random() * FIRST_WRITE_SPREAD
        task = self.tasks[order.service] = TrialTask(trial, now + spread)
        self.sessions.on_trial_begin(trial)
        trial.opens_at = trial.started + SETTLE_SECONDS
        if not start_observed:
            task.catching_up = True
            self.background.spawn(self.exchange.catch_up(task))
        if trial.kept.own:
            task.schedule_announcements()
            self.exchange.announce(task)

    def _on_unknown(self, report: TrialReport) -> None:
        """Read the orders again, as another VM knows one that this VM does not."""
        known = self.knowledge.orders.orders.get(report.order)
        if known is not None and known.version == report.version:
            return
        self.context.metrics.count("trials_heard_before_their_order")
        # Only once for each order.  A call that is abandoned again and again would
        # never show that the store does not respond.
        if self.announced_orders.get((report.order, report.version)) is None:
            self.announced_orders.touch((report.order, report.version))
            self.knowledge.order_follower.query_now()

    def _end_trial(self, order: RolloutOrder, task: TrialTask | None) -> None:
        if task is not None:
            del self.tasks[order.service]
        self.settled.ended(order)

    def allowed(self, service: ServiceName) -> frozenset[VersionName] | None:
        """Return the versions for requests whose version no trial has chosen.

        :param service: the service.
        :returns: the versions that the requests may use; None for all.
        """
        instances = self.knowledge.instances
        running = instances.registry.versions_of(service)
        first = instances.first_versions.get(service, running)
        trial = self.trial_of(service)
        on_trial = trial.order.version if trial is not None else None
        return self.settled.allowed(service, running, first, on_trial)

    # Requests.

    def version_for(self, turn: RoutedTurn) -> VersionChoice | None:
        """Choose the version for a request that needs a slot.

        :param turn: the request.
        :returns: the version and the reason for it; None if no version is on trial.
        """
        task = self.tasks.get(turn.service)
        if task is None:
            return None
        trial = task.trial
        now = monotonic()
        session_record = self.sessions.find_record(turn, now)
        share = trial.share(now)
        new, reason = self._choose(turn, task, session_record, now, share)
        self.context.metrics.count(f"trial_choices_{reason.name.lower()}")
        return VersionChoice(
            trial.order.version if new else VersionName(""),
            reason,
            share,
            now - trial.started,
            math.inf if session_record is None else session_record.age(now),
        )

    def _is_open(self, task: TrialTask, now: float) -> bool:
        """Return whether the new version gets sessions.

        It does once all VMs know of the order and of the version's endpoints.  Before
        that, a VM that does not know them would send the same sessions to the old
        version.
        """
        trial = task.trial
        if not trial.open and not task.catching_up:
            order = trial.order
            registry = self.knowledge.instances.registry
            since = registry.version_first_seen(order.service, order.version)
            known = since is not None and now >= since + ENDPOINT_SPREAD_SECONDS
            trial.open = known and now >= trial.opens_at
        return trial.open

    def _choose(
        self,
        turn: RoutedTurn,
        task: TrialTask,
        session_record: SessionRecord | None,
        now: float,
        share: float,
    ) -> tuple[bool, ChoiceReason]:
        """Return whether a request goes to the version on trial, and the reason."""
        trial = task.trial
        if turn.avoid_new:
            return False, ChoiceReason.FAILED_THERE
        if trial.rejected:
            return False, ChoiceReason.BRAKED
        version = trial.order.version
        if version not in self.knowledge.instances.registry.versions_of(turn.service):
            return False, ChoiceReason.NONE_RUNS
        on_new = session_record is not None and session_record.version == version
        seen_on_new = session_record.at if on_new else -math.inf
        # The session's other requests may have arrived at any VM.  With 6 VMs, four of
        # five consecutive requests arrived at different ones.
        if turn.session and trial.must_stay_on_old(turn.session, seen_on_new, now):
            return False, ChoiceReason.KEPT
        if on_new:
            return True, ChoiceReason.SESSION_ON_NEW
        if session_record is not None and not trial.may_move_sessions(now):
            return False, ChoiceReason.SESSION_ON_OLD
        if not self._is_open(task, now):
            return False, ChoiceReason.NOT_OPEN
        session = turn.session or turn.arrival.request
        return is_assigned_to_new(session, version, share), ChoiceReason.SHARE

    def began(self, turn: RoutedTurn, grant: Grant) -> None:
        """Record that a request is sent.

        :param turn: the request.
        :param grant: the endpoint's slot.
        """
        self.sessions.began(turn, grant)
        self.evaluator.sent(turn, grant)

    def answer_began(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """Evaluate the time until an answer began.

        :param turn: the request.
        :param grant: the slot of the endpoint that answers.
        :param seconds: the time since the request was sent.
        """
        self.evaluator.answer_began(turn, grant, seconds)

    def left(self, turn: RoutedTurn, grant: Grant) -> None:
        """Record that a request has ended at its endpoint, for whatever reason.

        :param turn: the request.
        :param grant: the endpoint's slot.
        """
        self.sessions.left(turn, grant)
        self.evaluator.left(turn)

    def succeeded(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """Count a request that was answered, or a short stream.

        :param turn: the request.
        :param grant: the slot of the endpoint that answered.
        :param seconds: the time until the answer's head.
        """
        self.evaluator.succeeded(turn, grant, seconds)

    def paced(
        self, turn: RoutedTurn, grant: Grant, seconds: float, pause: float
    ) -> None:
        """Evaluate a stream by its first events.

        :param turn: the request.
        :param grant: the slot of the endpoint that answers.
        :param seconds: the time until the answer's head.
        :param pause: the mean time between its first events.
        """
        self.evaluator.paced(turn, grant, seconds, pause)

    def failed(self, turn: RoutedTurn, grant: Grant, broke: bool = False) -> None:
        """Count a failed request; its retry does not go to the version on trial again.

        :param turn: the request.
        :param grant: the endpoint's slot.
        :param broke: whether the answer broke off; else it said that it failed.
        """
        count = self.evaluator.broke if broke else self.evaluator.failed
        count(turn, grant)
        if self.evaluator.is_on_trial(grant):
            turn.avoid_new = True

    # Decisions.

    def _reject_if_bad(self, trial: Trial) -> None:
        """Reject the version of a trial if it is bad."""
        if trial.rejected or not trial.is_bad(monotonic()):
            return
        fault = trial.fault()
        trial.rejected = True
        task = self.tasks.get(trial.order.service)
        if task is not None:
            task.found_bad = True
            task.schedule_announcements()
        self.context.timeline.emit(
            EventKind.BRAKED,
            version=trial.order.version,
            detail=trial.order.service,
            reason=DOUBTFUL if fault is None else fault.value,
            **outcome_fields(trial),
        )

    async def decide(self) -> None:
        """Evaluate each trial, and act on the result."""
        self.evaluator.check_overdue()
        for task in list(self.tasks.values()):
            try:
                await self._decide(task)
            except PlatformConflictError:
                await self.order_status.reread(task.trial.order)
            except PlatformError as error:
                log.warn("could not write the status of a trial yet: {}", error)

    async def _decide(self, task: TrialTask) -> None:
        trial = task.trial
        order = trial.order
        self._reject_if_bad(trial)
        now = monotonic()
        trial.advance(now)
        # Done without requests too, as VMs that start are told the result.
        self._is_open(task, now)
        self.exchange.announce_if_due(task)
        if self.exchange.record is not None:
            self.exchange.record.write_if_due(task)
        if trial.rejected:
            # A VM that has only adopted this from others lets them write it first.
            if task.found_bad or monotonic() >= task.write_at:
                await self.order_status.write(task.trial, OrderState.WITHDRAWN)
        elif trial.ready_to_end(
            now, self.knowledge.instances.registry.versions_of(order.service)
        ):
            if monotonic() >= task.write_at:
                await self.order_status.write(task.trial, OrderState.DONE)
        elif order.state is OrderState.NEW and monotonic() >= task.write_at:
            await self.order_status.write(task.trial, OrderState.RUNNING)
            # Again a random delay, so that another VM may write the next status first.
            spread = self.context.rng.random() * FIRST_WRITE_SPREAD
            done_in = order.seconds * (1.0 - trial.progress(now))
            task.write_at = monotonic() + min(spread, done_in / 10)
