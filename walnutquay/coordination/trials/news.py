# Licensed under the Apache License 2.0: see LICENSE for details.

"""What entry VMs tell each other of versions on trial.

All VMs have to decide alike for a session, for its requests come to any of them.  What
they decide by is either the same everywhere (the session's hash, the order in the
store) or told: the sessions that stay on the old version, what was found of the new
one, and since when the trial runs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Protocol

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.routed.facts import SHARE_DIGITS, whole_ms
from walnutquay.coordination.trials.record import TrialRecord
from walnutquay.coordination.trials.task import FIRST_WRITE_SPREAD, TrialTask
from walnutquay.protocol.messages import (
    AskTrial,
    Envelope,
    Failure,
    Message,
    TrialNews,
)
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import HallName, ServiceName, VmName, VmProcess
from walnutquay.state.trials.baseline import BaselineTimes
from walnutquay.state.trials.counts import Measure
from walnutquay.state.trials.reports import TrialReport
from walnutquay.state.trials.trial import Trial
from walnutquay.transport.timers import monotonic

# How often VMs tell each other what they have seen.
TELL_SECONDS = 2.0
# The same while the new version gets more and more: a bad one is to be found soon.
RAMP_TELL_SECONDS = 0.5
# Up to so many VMs each tells all others what it has seen.  In larger fleets it tells
# those of its data hall, and relays tell the other halls what all of them have seen:
# else each of 195 VMs hears 194, and four of five of these bytes cross between halls.
VMS_IN_ONE_ROUND = 30
# How long the store is waited for, while callers wait: it answers within some ms.
RECOVER_SECONDS = 0.4
# Kept sessions are told as the trial begins, again so long before the new version gets
# its first ones, and from then on at once.
LAST_CALL_SECONDS = 0.3


class Peers(Protocol):
    """The other entry VMs."""

    @property
    def size(self) -> int:
        """How many VMs there are, this one among them."""

    def broadcast(self, body: Message) -> None:
        """:param body: a message to all of them; it may be lost."""

    def send_to_hall(self, hall: HallName, body: Message) -> None:
        """:param hall: a data hall.

        :param body: a message to its VMs; it may be lost.
        """

    def send_to_other_halls(self, body: Message) -> None:
        """:param body: a message to all VMs of the other data halls; it may be lost."""

    def send_to_relays(self, body: Message) -> None:
        """:param body: a message to the relays of the other halls; it may be lost."""

    def is_relay(self) -> bool:
        """:returns: whether this VM passes news on between data halls."""

    def hall_of(self, vm: VmName) -> HallName | None:
        """:param vm: a VM.

        :returns: its data hall, if it is known.
        """

    async def query_any(self, body: Message) -> Message | None:
        """:param body: a question to some of them at once.

        :returns: the first answer, or None.
        """


class TrialExchange:
    """Tells the other VMs of trials, hears them, and asks them.

    :param context: what this process shares.
    :param peers: the other VMs.
    :param tasks: the trials, by service.
    :param usual: how long answers of the old versions take.
    :param on_unknown: called when others tell of a trial that is not known here.
    """

    def __init__(
        self,
        context: Context,
        peers: Peers,
        tasks: Mapping[ServiceName, TrialTask],
        usual: BaselineTimes,
        on_unknown: Callable[[TrialReport], None],
    ) -> None:
        self.context = context
        self.peers = peers
        self.tasks = tasks
        self.usual = usual
        self.on_unknown = on_unknown
        # What VMs that are lost had seen, where it is kept.
        self.record: TrialRecord | None = None

    def tell_if_due(self, task: TrialTask) -> None:
        """Tell the others of a trial, if it is time and there is news.

        :param task: the trial.
        """
        now = monotonic()
        trial = task.trial
        period = RAMP_TELL_SECONDS if trial.ramping(now) else TELL_SECONDS
        due = now - task.told_at >= period
        if task.tells > 0 and now >= trial.opens_at - LAST_CALL_SECONDS:
            self.tell(task)
        elif due:
            # Also where there is no news: what comes next waits for its turn.
            task.told_at = now
            if trial.own.frozen() != task.told or self._has_usual_to_tell(task):
                self.tell(task)
        if now - task.relayed_at >= period:
            task.relayed_at = now
            self._relay(task, now)

    def _has_usual_to_tell(self, task: TrialTask) -> bool:
        """Whether this VM knows what is usual, and has never told it.

        Others that get answers of the new version may not know it.
        """
        service = task.trial.order.service
        return not task.told_usual and bool(self.usual.rows(service))

    def _by_halls(self) -> bool:
        """Whether counts go from hall to hall, and not from each VM to all."""
        return self.peers.size > VMS_IN_ONE_ROUND

    def tell(self, task: TrialTask) -> None:
        """Tell the others all that this VM has seen and decided in a trial.

        :param task: the trial.
        """
        now = monotonic()
        trial = task.trial
        decided = task.tells > 0
        task.told_at = now
        task.told = trial.own.frozen()
        task.tells = max(0, task.tells - 1)
        usual = self.usual.rows(trial.order.service)
        task.told_usual = bool(usual)
        report = replace(trial.report(now), usual=usual)
        if not self._by_halls():
            self.peers.broadcast(TrialNews(report))
        else:
            self.peers.send_to_hall(self.context.hall, TrialNews(report))
            if decided:
                # These must not wait for relays: sessions would be moved meanwhile.
                decisions = replace(report, counts=(), usual=())
                self.peers.send_to_other_halls(TrialNews(decisions))
        self._log(task, trial.order.service, **facts_of(trial))

    def _relay(self, task: TrialTask, now: float) -> None:
        """Tell the other data halls what this one has seen, if that is news."""
        if not self._by_halls() or not self.peers.is_relay():
            return
        usual = self.usual.rows_of_hall(task.trial.order.service)
        report = replace(task.trial.report_of_hall(now), usual=usual)
        if report.counts != task.relayed:
            task.relayed = report.counts
            self.peers.send_to_relays(TrialNews(report, self.context.hall))

    def _log(self, task: TrialTask, detail: str, **counts: int) -> None:
        """Tell in the log where a trial stands here."""
        now = monotonic()
        trial = task.trial
        self.context.timeline.emit(
            EventKind.SHARES,
            version=trial.order.version,
            detail=detail,
            share=round(trial.share(now), SHARE_DIGITS),
            kept=len(trial.kept.own),
            kept_heard=len(trial.kept.received),
            opens_ms=whole_ms(trial.opens_in(now)),
            trial_ms=whole_ms(now - trial.started),
            **counts,
        )

    def hear(self, envelope: Envelope) -> None:
        """Take in what another VM tells of a trial.

        :param envelope: its message.
        """
        body = envelope.body
        assert isinstance(body, TrialNews)
        task = self._task_of(body.report)
        if task is None:
            self.on_unknown(body.report)
            return
        self._take(task, envelope, body)

    def _take(self, task: TrialTask, envelope: Envelope, news: TrialNews) -> None:
        trial = task.trial
        rejected = trial.rejected
        self._take_counts(trial, envelope, news)
        if trial.rejected and not rejected:
            # The VM that found it writes it; the others do where it cannot.
            spread = FIRST_WRITE_SPREAD * (1.0 + self.context.rng.random())
            task.write_at = monotonic() + spread
            self.context.timeline.emit(
                EventKind.BRAKED,
                version=trial.order.version,
                detail=trial.order.service,
                told_by=envelope.vm,
                **facts_of(trial),
            )

    def _take_counts(self, trial: Trial, envelope: Envelope, news: TrialNews) -> None:
        """Take in what was seen, each answer once, and pass it on in this hall."""
        now = monotonic()
        vm = VmName(envelope.vm)
        here = self.context.hall
        sender = self.peers.hall_of(vm)
        service = trial.order.service
        if news.hall and news.hall != here:
            self.usual.receive_from_hall(service, news.hall, news.report.usual)
            told = trial.receive_from_hall(news.hall, news.report, now)
            # Two relays of that hall tell the same to two of this one.
            if told and sender != here:
                self.peers.send_to_hall(here, news)
        elif self._by_halls() and sender != here:
            # What this VM has seen comes with the counts of its hall.
            trial.receive_decisions(news.report, now)
        else:
            self.usual.receive(service, vm, news.report.usual)
            process = VmProcess(f"{vm}/{envelope.incarnation}")
            trial.receive(process, news.report, now)

    def _task_of(self, report: TrialReport) -> TrialTask | None:
        for task in self.tasks.values():
            order = task.trial.order
            if (report.order, report.version) == (order.name, order.version):
                return task
        return None

    def answer(self, envelope: Envelope) -> Message:
        """Tell a VM that asks all that is known here of a trial.

        :param envelope: the question.
        """
        question = envelope.body
        assert isinstance(question, AskTrial)
        for task in self.tasks.values():
            order = task.trial.order
            known = (order.name, order.version) == (question.order, question.version)
            if known and not task.asking:
                report = task.trial.report(monotonic(), whole=True)
                usual = self.usual.all_rows(order.service)
                return TrialNews(replace(report, usual=usual))
        return Failure(f"no trial of {question.version} is known here")

    async def catch_up(self, task: TrialTask) -> None:
        """Ask the others about a trial that has begun without this VM.

        :param task: the trial; until this returns the new version gets no sessions.
        """
        trial = task.trial
        order = trial.order
        told = None
        try:
            told = await self.peers.query_any(AskTrial(order.name, order.version))
            known = told.report.seen if isinstance(told, TrialNews) else 0
            if not known:
                await self._recover(trial)
        finally:
            # Whatever comes, callers are not kept waiting for longer.
            self._join(task, told)

    async def _recover(self, trial: Trial) -> None:
        """Look for what VMs that are lost had seen of a trial, for none lives."""
        if self.record is None:
            return
        try:
            async with asyncio.timeout(RECOVER_SECONDS):
                found = await self.record.recover(trial)
        except TimeoutError:
            found = False
        if found:
            self.context.metrics.count("trials_recovered")

    def _join(self, task: TrialTask, told: Message | None) -> None:
        """Take over where a trial stands, if another VM has told."""
        trial = task.trial
        now = monotonic()
        if isinstance(told, TrialNews):
            # Only what holds for all VMs: the sender's counts come with its news.
            trial.join(told.report, now)
            self.usual.recover(trial.order.service, told.report.usual)
        else:
            # None that could be asked knows more than what stands in the store.
            trial.open = now >= trial.opens_at
        task.asking = False
        known = "as others know it" if told is not None else "no other VM knows it"
        self._log(task, f"{trial.order.service}: {known}")


def facts_of(trial: Trial) -> dict[str, int]:
    """:param trial: a trial.

    :returns: its counts, for the log.
    """
    found = {}
    for measure in Measure:
        new = trial.outcome_counts().total(measure)
        old = trial.old_total(measure)
        found[f"{measure.value}"] = new.bad
        found[f"{measure.value}_of"] = new.bad + new.good
        found[f"old_{measure.value}"] = old.bad
        found[f"old_{measure.value}_of"] = old.bad + old.good
    return found
