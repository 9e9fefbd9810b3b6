# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which version of a service serves a request, and what comes of new ones."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

import logbook

from walnutquay.coordination.context import Context
from walnutquay.coordination.judging import AnswerJudge
from walnutquay.coordination.knowledge import Knowledge
from walnutquay.coordination.places import Grant
from walnutquay.coordination.routedturn import RoutedTurn
from walnutquay.exceptions import PlatformConflictError, PlatformError
from walnutquay.protocol.messages import Envelope, Message, TrialNews
from walnutquay.settings import PromisesSection
from walnutquay.state.counts import LatestTable
from walnutquay.state.events import EventKind
from walnutquay.state.ids import ServiceName, VersionName, VmName
from walnutquay.state.instances import Instance
from walnutquay.state.orders import OrderState, RolloutOrder
from walnutquay.state.trials import (
    Measure,
    Trial,
    TrialReport,
    falls_to_new,
)
from walnutquay.state.versionchoice import ChoiceReason, VersionChoice
from walnutquay.transport.timers import monotonic, unix_microseconds

log = logbook.Logger(__name__)

MICROSECONDS = 1_000_000
# How often each trial is looked at.
DECIDE_SECONDS = 0.25
# How often VMs tell each other what they have seen.
TELL_SECONDS = 2.0
# The same while the new version gets more and more: a bad one is to be found soon.
RAMP_TELL_SECONDS = 0.5
# In fleets of more VMs than this each tells less often: every VM hears all others.
VMS_AT_FULL_RATE = 30
# VMs write the same status at once; each waits up to so long for another's.
FIRST_WRITE_SPREAD = 1.0
# A session whose last request has ended may be that much over its time here.
SESSION_MARGIN_SECONDS = 1.0
MAX_SESSIONS = 20_000


class Desk(Protocol):
    """Reads and answers roll-out orders."""

    async def read(self, name: str) -> RolloutOrder | None:
        """:param name: an order's name."""

    async def answer(self, order: RolloutOrder, state: OrderState) -> RolloutOrder:
        """:param order: an order as it was read.

        :param state: what to say of it.
        """


@dataclass(slots=True)
class SessionNote:
    """Where a session was served last.

    :param version: the version.
    :param at: when its last request began or ended; monotonic seconds.
    """

    version: str = ""
    at: float = float("-inf")


@dataclass(slots=True)
class TrialTask:
    """What this VM does about one trial.

    :param trial: the trial.
    :param write_at: when to write its first status, unless another has.
    :param told_at: when this VM has last told what it has seen.
    :param told: what it has told then.
    """

    trial: Trial
    write_at: float
    told_at: float = float("-inf")
    told: tuple = ()


class Peers(Protocol):
    """The other entry VMs."""

    @property
    def size(self) -> int:
        """How many VMs there are, this one among them."""

    def tell_all(self, body: Message) -> None:
        """:param body: a message to all of them; it may be lost."""


class VersionTrials:
    """Chooses versions while one is rolled out, and decides the order.

    :param context: what this process shares.
    :param knowledge: the orders and the running endpoints.
    :param desk: where orders are answered.
    :param peers: who else sees answers of the versions.
    :param promises: the platform's limits.
    """

    def __init__(
        self,
        context: Context,
        knowledge: Knowledge,
        desk: Desk,
        peers: Peers,
        promises: PromisesSection,
    ) -> None:
        self.context = context
        self.knowledge = knowledge
        self.desk = desk
        self.peers = peers
        self.promises = promises
        self.tasks: dict[ServiceName, TrialTask] = {}
        # Versions that orders have made the ones to use, or have taken back.
        self.done: dict[ServiceName, VersionName] = {}
        self.withdrawn: dict[ServiceName, set[VersionName]] = {}
        # Versions that ran before any order was known.
        self.established: dict[ServiceName, set[VersionName]] = {}
        self.sessions: LatestTable[str, SessionNote] = LatestTable(
            MAX_SESSIONS, SessionNote
        )
        self.judge = AnswerJudge(self.trial_of, self._judge)
        knowledge.orders.listeners.append(self.on_order)

    def start(self) -> None:
        """Begin to decide."""
        self.context.timers.every("version trials", DECIDE_SECONDS, self.decide)

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
            self.tasks[order.service] = self._begin(order)
            return
        task.trial.order = order

    def _begin(self, order: RolloutOrder) -> TrialTask:
        self.withdrawn.get(order.service, set()).discard(order.version)
        elapsed = 0.0
        if order.started is not None:
            # Others have seen it before; their time of day may differ from ours.
            elapsed = min(max(0.0, _unix_seconds() - order.started), order.seconds)
        started = monotonic() - elapsed
        trial = Trial(order, started, self.promises.trial_share)
        spread = self.context.rng.random() * FIRST_WRITE_SPREAD
        return TrialTask(trial, monotonic() + spread)

    def _ended(self, order: RolloutOrder, task: TrialTask | None) -> None:
        if task is not None:
            del self.tasks[order.service]
        if order.state is OrderState.DONE:
            self.done[order.service] = order.version
            self.withdrawn.pop(order.service, None)
        else:
            self.withdrawn.setdefault(order.service, set()).add(order.version)

    def allowed(self, service: ServiceName) -> frozenset[VersionName] | None:
        """:param service: a service.

        :returns: the versions that requests may use which no trial has chosen for;
            None for all.
        """
        running = self.knowledge.instances.book.versions_of(service)
        blocked = set(self.withdrawn.get(service, ()))
        task = self.tasks.get(service)
        if task is not None:
            blocked.add(task.trial.order.version)
        known = self._established(service, running, blocked)
        if len(running) < 2:
            return None
        done = self.done.get(service)
        if done in running:
            return frozenset((done,))
        # A version that nobody has ordered waits for its order.
        left = (running & known) - blocked
        return frozenset(left) if left else None

    def _established(
        self, service: ServiceName, running: set[VersionName], blocked: set[VersionName]
    ) -> set[VersionName]:
        known = self.established.get(service)
        if not known:
            known = self.established[service] = running - blocked
        return known

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
        note = self.sessions.get(turn.session) if turn.session else None
        new, reason = self._chooses_new(turn, trial, note, now)
        self.context.metrics.count(f"trial_choices_{reason.name.lower()}")
        return VersionChoice(
            trial.order.version if new else VersionName(""),
            reason,
            trial.share(now),
            now - trial.started,
            math.inf if note is None else now - note.at,
        )

    def _chooses_new(
        self, turn: RoutedTurn, trial: Trial, note: SessionNote | None, now: float
    ) -> tuple[bool, ChoiceReason]:
        """Choose between the version on trial and the old one, and say what decides."""
        if turn.avoid_new:
            return False, ChoiceReason.FAILED_THERE
        if trial.braked:
            return False, ChoiceReason.BRAKED
        version = trial.order.version
        if version not in self.knowledge.instances.book.versions_of(turn.service):
            return False, ChoiceReason.NONE_RUNS
        if note is not None and self._is_recent(note):
            if note.version == version:
                return True, ChoiceReason.SESSION_ON_NEW
            if not trial.may_move_sessions(now):
                return False, ChoiceReason.SESSION_ON_OLD
        session = turn.session or turn.arrival.request
        new = falls_to_new(session, version, trial.share(now))
        return new, ChoiceReason.SHARE

    def _is_recent(self, note: SessionNote) -> bool:
        age = monotonic() - note.at
        return age < self.promises.session_seconds + SESSION_MARGIN_SECONDS

    def began(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: a request that is sent now.

        :param grant: the endpoint.
        """
        self._note(turn, grant)

    def _note(self, turn: RoutedTurn, grant: Grant) -> None:
        if turn.session and isinstance(grant.endpoint, Instance):
            note = self.sessions.touch(turn.session)
            note.version = grant.endpoint.version
            note.at = monotonic()

    def succeeded(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """:param turn: a request that was answered, or a short stream.

        :param grant: who answered.
        :param seconds: until the answer's head.
        """
        self._note(turn, grant)
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

    def ended(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: a stream that has ended and was judged before.

        :param grant: who answered.
        """
        self._note(turn, grant)

    def failed(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: a request whose endpoint answered that it failed.

        :param grant: the endpoint.
        """
        self._note(turn, grant)
        self.judge.failed(turn, grant)
        if self.judge.on_trial(grant):
            turn.avoid_new = True

    # Decisions.

    def _judge(self, trial: Trial) -> None:
        if trial.braked or not trial.is_bad(monotonic()):
            return
        trial.braked = True
        self.context.timeline.emit(
            EventKind.BRAKED,
            version=trial.order.version,
            detail=trial.order.service,
            **_facts(trial),
        )

    async def decide(self) -> None:
        """Look at each trial, and do what it needs."""
        for task in list(self.tasks.values()):
            try:
                await self._decide(task)
            except PlatformConflictError:
                await self._read_again(task.trial.order)
            except PlatformError as error:
                log.warn("a trial's status could not be written yet: {}", error)

    async def _decide(self, task: TrialTask) -> None:
        trial = task.trial
        order = trial.order
        self._tell_others(task)
        self._judge(trial)
        now = monotonic()
        trial.advance(now)
        if trial.braked:
            await self._answer(task, OrderState.WITHDRAWN)
        elif trial.ready_to_end(now):
            if monotonic() >= task.write_at:
                await self._answer(task, OrderState.DONE)
        elif order.state is OrderState.NEW and monotonic() >= task.write_at:
            await self._answer(task, OrderState.RUNNING)
            # The next status, too, is left to others for a while.
            spread = self.context.rng.random() * FIRST_WRITE_SPREAD
            done_in = order.seconds * (1.0 - trial.progress(now))
            task.write_at = monotonic() + min(spread, done_in / 10)

    async def _answer(self, task: TrialTask, state: OrderState) -> None:
        order = task.trial.order
        wanted = RolloutOrder(
            order.name,
            order.revision,
            order.service,
            order.version,
            order.seconds,
            state,
            _unix_seconds() - (monotonic() - task.trial.started),
        )
        answered = await self.desk.answer(wanted, state)
        self.knowledge.orders.take(answered)

    async def _read_again(self, order: RolloutOrder) -> None:
        try:
            present = await self.desk.read(order.name)
        except PlatformError as error:
            log.warn("order {} could not be read again: {}", order.name, error)
            return
        if present is not None:
            self.knowledge.orders.take(present)

    def _tell_others(self, task: TrialTask) -> None:
        """Tell the others what this VM has seen, if it is time and there is news."""
        now = monotonic()
        trial = task.trial
        period = RAMP_TELL_SECONDS if trial.ramping(now) else TELL_SECONDS
        crowd = max(1.0, self.peers.size / VMS_AT_FULL_RATE)
        if now - task.told_at < period * crowd:
            return
        task.told_at = now
        seen = trial.own.frozen()
        if seen == task.told:
            return
        task.told = seen
        order = trial.order
        self.peers.tell_all(TrialNews(TrialReport(order.name, order.version, seen)))
        self.context.timeline.emit(
            EventKind.SHARES,
            version=order.version,
            detail=order.service,
            share=round(trial.share(now), 3),
            **_facts(trial),
        )

    def hear(self, envelope: Envelope) -> None:
        """Take in what another VM has seen of a trial.

        :param envelope: its message.
        """
        body = envelope.body
        assert isinstance(body, TrialNews)
        report = body.report
        for task in self.tasks.values():
            order = task.trial.order
            if (report.order, report.version) == (order.name, order.version):
                task.trial.hear(VmName(envelope.vm), report)


def _facts(trial: Trial) -> dict[str, int]:
    """Give a trial's counts for the log."""
    found = {}
    for measure in Measure:
        new = trial.tally().total(measure)
        old = trial.old.total(measure)
        found[f"{measure.value}"] = new.bad
        found[f"{measure.value}_of"] = new.bad + new.good
        found[f"old_{measure.value}"] = old.bad
        found[f"old_{measure.value}_of"] = old.bad + old.good
    return found


def _unix_seconds() -> float:
    return unix_microseconds() / MICROSECONDS
