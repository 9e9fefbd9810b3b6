# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which version of a service serves a request, and what comes of new ones."""

from __future__ import annotations

import math

import logbook

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.coordination.store.knowledge import Knowledge
from walnutquay.coordination.trials.answers import (
    OrderAnswers,
    OrderStore,
    unix_seconds,
)
from walnutquay.coordination.trials.judging import AnswerJudge
from walnutquay.coordination.trials.news import Peers, TrialExchange, facts_of
from walnutquay.coordination.trials.sessions import SessionKeeper
from walnutquay.coordination.trials.task import FIRST_WRITE_SPREAD, TrialTask
from walnutquay.exceptions import PlatformConflictError, PlatformError
from walnutquay.settings import PromisesSection
from walnutquay.state.process.counts import LatestTable
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

# How often each trial is looked at.
DECIDE_SECONDS = 0.25
# From when a VM learns of an order until it gives the new version its first sessions:
# by then all VMs know of the order, and which sessions the others keep on the old one.
# VMs learn of an order within 0.04 s of each other (fleet of 61 VMs), and one whose
# watcher of the store falls silent asks another after 0.9 s.
SETTLE_SECONDS = 1.0
# The same from when its first endpoint is known: VMs are told of an endpoint within
# 0.2 s of each other, and one that does not know it would use the old version.
SPREAD_SECONDS = 0.3
# Why a version is taken back that nothing else tells against.
DOUBTED = "it is in doubt late in its trial"
# Names of orders are the operators'; those of a day are few.
MAX_HEARD_OF = 100


class VersionTrials:
    """Chooses versions while one is rolled out, and decides the order.

    :param context: what this process shares.
    :param knowledge: the orders and the running endpoints.
    :param order_store: where orders are answered.
    :param peers: who else sees answers of the versions.
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
        self.answers = OrderAnswers(order_store, knowledge.orders)
        self.promises = promises
        self.tasks: dict[ServiceName, TrialTask] = {}
        self.settled = SettledVersions()
        # Orders that other VMs knew before this one did.
        self.heard_of: LatestTable[tuple[str, str], bool] = LatestTable(
            MAX_HEARD_OF, bool
        )
        self.judge = AnswerJudge(self.trial_of, self._judge)
        self.exchange = TrialExchange(
            context, peers, self.tasks, self.judge.usual, self._on_unknown
        )
        self.sessions = SessionKeeper(
            self.tasks, peers, self.exchange.tell, promises.session_seconds
        )
        self.background = Tasks()
        # Whether this VM has once known all that others decided before it started.
        self.caught_up = False
        knowledge.orders.listeners.append(self.on_order)
        knowledge.conditions.append(self.has_caught_up)

    def start(self) -> None:
        """Begin to decide."""
        self.context.timers.every("version trials", DECIDE_SECONDS, self.decide)

    def stop(self) -> None:
        """Ask the other VMs, and write, no more."""
        self.background.stop()
        if self.exchange.record is not None:
            self.exchange.record.stop()

    def has_caught_up(self) -> bool:
        """:returns: whether callers may be served, as far as trials are concerned.

        A VM that has just started asks the others first about trials that run: it would
        move sessions back that they have moved, and move those that they keep.
        """
        if not self.caught_up:
            self.caught_up = self.knowledge.orders.listed and not any(
                task.asking for task in self.tasks.values()
            )
        return self.caught_up

    # What is known.

    def trial_of(self, service: ServiceName) -> Trial | None:
        """:param service: a service.

        :returns: the trial of its new version, if there is one.
        """
        task = self.tasks.get(service)
        return task.trial if task is not None else None

    def on_order(self, order: RolloutOrder) -> None:
        """Take in an order.

        :param order: the order as it stands now.
        """
        task = self.tasks.get(order.service)
        if order.state.ended:
            self._ended(order, task)
            return
        known = task.trial.order.version if task is not None else None
        if task is None or known != order.version:
            self._begin(order)
            return
        task.trial.order = order

    def _begin(self, order: RolloutOrder) -> None:
        """Begin a trial, and let the other VMs know which sessions it must not move."""
        self.settled.begun(order)
        now = monotonic()
        start_observed = order.state is OrderState.NEW
        elapsed = 0.0
        if order.started is not None:
            # Others have seen it before; their time of day may differ from ours.
            elapsed = min(max(0.0, unix_seconds() - order.started), order.seconds)
        limit = self.promises.trial_share
        trial = Trial(order, now - elapsed, limit, start_observed)
        spread = self.context.rng.random() * FIRST_WRITE_SPREAD
        task = self.tasks[order.service] = TrialTask(trial, now + spread)
        self.sessions.trial_begins(trial)
        trial.opens_at = trial.started + SETTLE_SECONDS
        if not start_observed:
            task.asking = True
            self.background.spawn(self.exchange.catch_up(task))
        if trial.kept.own:
            task.decided()
            self.exchange.tell(task)

    def _on_unknown(self, report: TrialReport) -> None:
        """Read the orders anew, where others know one that this VM does not."""
        known = self.knowledge.orders.orders.get(report.order)
        if known is not None and known.version == report.version:
            return
        self.context.metrics.count("trials_heard_before_their_order")
        # Once for each: a call that is given up again and again would never show that
        # the store does not answer.
        if self.heard_of.get((report.order, report.version)) is None:
            self.heard_of.touch((report.order, report.version))
            self.knowledge.order_follower.query_now()

    def _ended(self, order: RolloutOrder, task: TrialTask | None) -> None:
        if task is not None:
            del self.tasks[order.service]
        self.settled.ended(order)

    def allowed(self, service: ServiceName) -> frozenset[VersionName] | None:
        """:param service: a service.

        :returns: the versions that requests may use which no trial has chosen for;
            None for all.
        """
        instances = self.knowledge.instances
        running = instances.registry.usable_versions(service)
        first = instances.first_versions.get(service, running)
        trial = self.trial_of(service)
        on_trial = trial.order.version if trial is not None else None
        return self.settled.allowed(service, running, first, on_trial)

    # Requests.

    def version_for(self, turn: RoutedTurn) -> VersionChoice | None:
        """:param turn: a request that needs a place.

        :returns: which version serves it, and why; None where none is on trial.
        """
        task = self.tasks.get(turn.service)
        if task is None:
            return None
        trial = task.trial
        now = monotonic()
        note = self.sessions.note_of(turn, now)
        share = trial.share(now)
        new, reason = self._chooses_new(turn, task, note, now, share)
        self.context.metrics.count(f"trial_choices_{reason.name.lower()}")
        return VersionChoice(
            trial.order.version if new else VersionName(""),
            reason,
            share,
            now - trial.started,
            math.inf if note is None else note.age(now),
        )

    def _is_open(self, task: TrialTask, now: float) -> bool:
        """Whether the new version gets sessions: all VMs know of it, and its endpoints.

        Before, one that does not know them would send the same sessions elsewhere.
        """
        trial = task.trial
        if not trial.open and not task.asking:
            order = trial.order
            registry = self.knowledge.instances.registry
            since = registry.version_first_seen(order.service, order.version)
            known = since is not None and now >= since + SPREAD_SECONDS
            trial.open = known and now >= trial.opens_at
        return trial.open

    def _chooses_new(
        self,
        turn: RoutedTurn,
        task: TrialTask,
        note: SessionRecord | None,
        now: float,
        share: float,
    ) -> tuple[bool, ChoiceReason]:
        """Choose between the version on trial and the old one, and say what decides."""
        trial = task.trial
        if turn.avoid_new:
            return False, ChoiceReason.FAILED_THERE
        if trial.rejected:
            return False, ChoiceReason.BRAKED
        version = trial.order.version
        if version not in self.knowledge.instances.registry.usable_versions(
            turn.service
        ):
            return False, ChoiceReason.NONE_RUNS
        on_new = note is not None and note.version == version
        seen_on_new = note.at if note is not None and on_new else -math.inf
        # The session's other requests may have come to any VM: with 6 VMs four of five
        # neighbouring requests did.
        if turn.session and trial.must_stay_on_old(turn.session, seen_on_new, now):
            return False, ChoiceReason.KEPT
        if on_new:
            return True, ChoiceReason.SESSION_ON_NEW
        if note is not None and not trial.may_move_sessions(now):
            return False, ChoiceReason.SESSION_ON_OLD
        if not self._is_open(task, now):
            return False, ChoiceReason.NOT_OPEN
        session = turn.session or turn.arrival.request
        return is_assigned_to_new(session, version, share), ChoiceReason.SHARE

    def began(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: a request that is sent now.

        :param grant: the endpoint.
        """
        self.sessions.began(turn, grant)
        self.judge.sent(turn, grant)

    def answer_began(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """:param turn: a request whose answer begins.

        :param grant: who answers.
        :param seconds: since it was sent.
        """
        self.judge.begun(turn, grant, seconds)

    def left(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: a request that an endpoint is done with, however it ended.

        :param grant: the endpoint.
        """
        self.sessions.left(turn, grant)
        self.judge.left(turn)

    def succeeded(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """:param turn: a request that was answered, or a short stream.

        :param grant: who answered.
        :param seconds: until the answer's head.
        """
        self.judge.succeeded(turn, grant, seconds)

    def paced(
        self, turn: RoutedTurn, grant: Grant, seconds: float, pause: float
    ) -> None:
        """:param turn: a request that is answered by a stream.

        :param grant: who answers.
        :param seconds: until the answer's head.
        :param pause: the mean time between its first events.
        """
        self.judge.paced(turn, grant, seconds, pause)

    def failed(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: a request whose endpoint answered that it failed.

        :param grant: the endpoint.
        """
        self.judge.failed(turn, grant)
        if self.judge.on_trial(grant):
            turn.avoid_new = True

    # Decisions.

    def _judge(self, trial: Trial) -> None:
        if trial.rejected or not trial.is_bad(monotonic()):
            return
        fault = trial.fault()
        trial.rejected = True
        task = self.tasks.get(trial.order.service)
        if task is not None:
            task.found_bad = True
            task.decided()
        self.context.timeline.emit(
            EventKind.BRAKED,
            version=trial.order.version,
            detail=trial.order.service,
            reason=DOUBTED if fault is None else fault.value,
            **facts_of(trial),
        )

    async def decide(self) -> None:
        """Look at each trial, and do what it needs."""
        self.judge.look()
        for task in list(self.tasks.values()):
            try:
                await self._decide(task)
            except PlatformConflictError:
                await self.answers.read_again(task.trial.order)
            except PlatformError as error:
                log.warn("a trial's status could not be written yet: {}", error)

    async def _decide(self, task: TrialTask) -> None:
        trial = task.trial
        order = trial.order
        self._judge(trial)
        now = monotonic()
        trial.advance(now)
        # Also where no request asks: a VM that starts is told of it.
        self._is_open(task, now)
        self.exchange.tell_if_due(task)
        if self.exchange.record is not None:
            self.exchange.record.keep(task)
        if trial.rejected:
            await self._withdraw(task)
        elif trial.ready_to_end(now):
            if monotonic() >= task.write_at:
                await self.answers.write(task.trial, OrderState.DONE)
        elif order.state is OrderState.NEW and monotonic() >= task.write_at:
            await self.answers.write(task.trial, OrderState.RUNNING)
            # The next status, too, is left to others for a while.
            spread = self.context.rng.random() * FIRST_WRITE_SPREAD
            done_in = order.seconds * (1.0 - trial.progress(now))
            task.write_at = monotonic() + min(spread, done_in / 10)

    async def _withdraw(self, task: TrialTask) -> None:
        """Write that the version is bad; VMs that only heard so let others be first."""
        if task.found_bad or monotonic() >= task.write_at:
            await self.answers.write(task.trial, OrderState.WITHDRAWN)
