# Licensed under the Apache License 2.0: see LICENSE for details.

"""Updates and requests that entry VMs exchange about versions on trial.

All VMs have to choose the same version for a session, as its requests arrive at any of
them.  The inputs of this choice are either the same everywhere (the session's hash, the
order in the store) or announced: the sessions that stay on the old version, the outcome
counts of the new one, and the time at which the trial began.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Protocol

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.routed.facts import SHARE_DIGITS, whole_ms
from walnutquay.coordination.trials.answers import RankedVms
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

# How often a VM sends its outcome counts to the others.
UPDATE_SECONDS = 2.0
# The same while the new version's share grows, as a bad version has to be found soon.
RAMP_UPDATE_SECONDS = 0.5
# The largest fleet in which each VM sends its counts to all others.  In larger fleets
# it sends them to the VMs of its data hall, and relays send the hall's combined counts
# to the other halls.  Otherwise each of 195 VMs would receive updates from 194, and
# four of five of these bytes would cross between halls.
MAX_VMS_TO_BROADCAST = 30
# The time to wait for the store while callers wait; it usually responds within a few
# milliseconds.
RECOVER_TIMEOUT_SECONDS = 0.4
# Kept sessions are announced as the trial begins, again this long before the new
# version gets its first sessions, and from then on at once.
PRE_OPENING_SECONDS = 0.3


class Peers(RankedVms, Protocol):
    """The other entry VMs."""

    @property
    def size(self) -> int:
        """The number of entry VMs, including this one."""

    def broadcast(self, body: Message) -> None:
        """Send a message to all VMs; it may be lost.

        :param body: the message.
        """

    def send_to_hall(self, hall: HallName, body: Message) -> None:
        """Send a message to all VMs of a data hall; it may be lost.

        :param hall: the data hall.
        :param body: the message.
        """

    def send_to_other_halls(self, body: Message) -> None:
        """Send a message to all VMs of the other data halls; it may be lost.

        :param body: the message.
        """

    def send_to_relays(self, body: Message) -> None:
        """Send a message to the relays of the other data halls; it may be lost.

        :param body: the message.
        """

    def is_relay(self) -> bool:
        """Return whether this VM relays updates between data halls."""

    def hall_of(self, vm: VmName) -> HallName | None:
        """Return the data hall of a VM; None if it is not known.

        :param vm: the VM.
        """

    async def query_any(self, body: Message) -> Message | None:
        """Send a request to several VMs at once.

        :param body: the request.
        :returns: the first response; None if there is none.
        """


class TrialExchange:
    """Sends and receives the state of trials, and requests it from other VMs.

    :param context: the objects shared by all parts of this process.
    :param peers: the other VMs.
    :param tasks: the trials, by service.
    :param baseline: the answer times of the old versions.
    :param on_unknown: called with a report on a trial that this VM does not know.
    """

    def __init__(
        self,
        context: Context,
        peers: Peers,
        tasks: Mapping[ServiceName, TrialTask],
        baseline: BaselineTimes,
        on_unknown: Callable[[TrialReport], None],
    ) -> None:
        self.context = context
        self.peers = peers
        self.tasks = tasks
        self.baseline = baseline
        self.on_unknown = on_unknown
        # The stored state of VMs that were lost; None if it is not stored.
        self.record: TrialRecord | None = None

    def announce_if_due(self, task: TrialTask) -> None:
        """Send the state of a trial, if it is due and has changed.

        :param task: the trial.
        """
        now = monotonic()
        trial = task.trial
        period = RAMP_UPDATE_SECONDS if trial.ramping(now) else UPDATE_SECONDS
        due = now - task.announced_at >= period
        if task.announcements_due > 0 and now >= trial.opens_at - PRE_OPENING_SECONDS:
            self.announce(task)
        elif due:
            # Set even if nothing has changed, so that a later change waits for the next
            # period.
            task.announced_at = now
            if (
                trial.own.frozen() != task.announced_counts
                or self._has_unannounced_baseline(task)
            ):
                self.announce(task)
        if now - task.relayed_at >= period:
            task.relayed_at = now
            self._relay(task, now)

    def _has_unannounced_baseline(self, task: TrialTask) -> bool:
        """Return whether this VM has measured baseline times and never sent them.

        VMs that get answers of the new version may not have measured any.
        """
        service = task.trial.order.service
        return not task.baseline_announced and bool(self.baseline.rows(service))

    def _uses_relays(self) -> bool:
        """Return whether relays combine the counts of a hall for the other halls."""
        return self.peers.size > MAX_VMS_TO_BROADCAST

    def announce(self, task: TrialTask) -> None:
        """Send this VM's counts and decisions in a trial to the other VMs.

        :param task: the trial.
        """
        now = monotonic()
        trial = task.trial
        decided = task.announcements_due > 0
        task.announced_at = now
        task.announced_counts = trial.own.frozen()
        task.announcements_due = max(0, task.announcements_due - 1)
        baseline_rows = self.baseline.rows(trial.order.service)
        task.baseline_announced = bool(baseline_rows)
        report = replace(trial.report(now), usual=baseline_rows)
        if not self._uses_relays():
            self.peers.broadcast(TrialNews(report))
        else:
            self.peers.send_to_hall(self.context.hall, TrialNews(report))
            if decided:
                # Decisions must not wait for relays, as other halls would move sessions
                # in the meantime.
                decisions = replace(report, counts=(), usual=())
                self.peers.send_to_other_halls(TrialNews(decisions))
        self._log(task, trial.order.service, **outcome_fields(trial))

    def _relay(self, task: TrialTask, now: float) -> None:
        """Send this hall's combined counts to the other halls, if they have changed."""
        if not self._uses_relays() or not self.peers.is_relay():
            return
        baseline_rows = self.baseline.rows_of_hall(task.trial.order.service)
        report = replace(task.trial.report_of_hall(now), usual=baseline_rows)
        if report.counts != task.relayed_counts:
            task.relayed_counts = report.counts
            self.peers.send_to_relays(TrialNews(report, self.context.hall))

    def _log(self, task: TrialTask, detail: str, **counts: int) -> None:
        """Log the state of a trial on this VM."""
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

    def receive(self, envelope: Envelope) -> None:
        """Apply another VM's update on a trial.

        :param envelope: the VM's message.
        """
        body = envelope.body
        assert isinstance(body, TrialNews)
        task = self._find_task(body.report)
        if task is None:
            self.on_unknown(body.report)
            return
        self._apply(task, envelope, body)

    def _apply(self, task: TrialTask, envelope: Envelope, update: TrialNews) -> None:
        trial = task.trial
        rejected = trial.rejected
        self._apply_report(trial, envelope, update)
        if trial.rejected and not rejected:
            # The VM that found the fault writes the order's status.  The others write
            # it only if that VM cannot.
            spread = FIRST_WRITE_SPREAD * (1.0 + self.context.rng.random())
            task.write_at = monotonic() + spread
            self.context.timeline.emit(
                EventKind.BRAKED,
                version=trial.order.version,
                detail=trial.order.service,
                told_by=envelope.vm,
                **outcome_fields(trial),
            )

    def _apply_report(
        self, trial: Trial, envelope: Envelope, update: TrialNews
    ) -> None:
        """Apply a report, counting each answer once, and forward it in this hall."""
        now = monotonic()
        vm = VmName(envelope.vm)
        here = self.context.hall
        sender = self.peers.hall_of(vm)
        service = trial.order.service
        if update.hall and update.hall != here:
            self.baseline.receive_from_hall(service, update.hall, update.report.usual)
            changed = trial.receive_from_hall(update.hall, update.report, now)
            # Two relays of that hall send the same report to two relays of this one.
            if changed and sender != here:
                self.peers.send_to_hall(here, update)
        elif self._uses_relays() and sender != here:
            # The sender's counts arrive as part of its hall's combined counts.
            trial.receive_decisions(update.report, now)
        else:
            self.baseline.receive(service, vm, update.report.usual)
            process = VmProcess(f"{vm}/{envelope.incarnation}")
            trial.receive(process, update.report, now)

    def _find_task(self, report: TrialReport) -> TrialTask | None:
        for task in self.tasks.values():
            order = task.trial.order
            if (report.order, report.version) == (order.name, order.version):
                return task
        return None

    def answer(self, envelope: Envelope) -> Message:
        """Respond to another VM's request for the state of a trial.

        :param envelope: the request.
        :returns: the full report, with the combined baseline times; a failure if this
            VM does not know the trial or is catching up itself.
        """
        request = envelope.body
        assert isinstance(request, AskTrial)
        for task in self.tasks.values():
            order = task.trial.order
            known = (order.name, order.version) == (request.order, request.version)
            if known and not task.catching_up:
                report = task.trial.report(monotonic(), whole=True)
                baseline_rows = self.baseline.all_rows(order.service)
                return TrialNews(replace(report, usual=baseline_rows))
        return Failure(f"no trial of {request.version} is known here")

    async def catch_up(self, task: TrialTask) -> None:
        """Request the state of a trial that began without this VM.

        :param task: the trial.  Until this method returns, this VM assigns no sessions
            to the new version.
        """
        trial = task.trial
        order = trial.order
        response = None
        try:
            response = await self.peers.query_any(AskTrial(order.name, order.version))
            seen = response.report.seen if isinstance(response, TrialNews) else 0
            if not seen:
                await self._recover(trial)
        finally:
            # Also after an error, so that callers are not kept waiting any longer.
            self._join(task, response)

    async def _recover(self, trial: Trial) -> None:
        """Apply the stored state of a trial whose VMs have all been lost."""
        if self.record is None:
            return
        try:
            async with asyncio.timeout(RECOVER_TIMEOUT_SECONDS):
                recovered = await self.record.recover(trial)
        except TimeoutError:
            recovered = False
        if recovered:
            self.context.metrics.count("trials_recovered")

    def _join(self, task: TrialTask, response: Message | None) -> None:
        """Adopt the state of a trial from another VM's response, if there is one."""
        trial = task.trial
        now = monotonic()
        if isinstance(response, TrialNews):
            # The sender's own counts are left out, as they follow with its updates.
            trial.join(response.report, now)
            self.baseline.recover(trial.order.service, response.report.usual)
        else:
            # No VM that could be reached knows more than the order in the store says.
            trial.open = now >= trial.opens_at
        task.catching_up = False
        source = (
            "state received from another VM"
            if response is not None
            else "no other VM knows the trial"
        )
        self._log(task, f"{trial.order.service}: {source}")


def outcome_fields(trial: Trial) -> dict[str, int]:
    """Return the outcome counts of a trial as fields of a log line.

    :param trial: the trial.
    """
    fields = {}
    for measure in Measure:
        new = trial.outcome_counts().total(measure)
        old = trial.old_total(measure)
        fields[f"{measure.value}"] = new.bad
        fields[f"{measure.value}_of"] = new.bad + new.good
        fields[f"old_{measure.value}"] = old.bad
        fields[f"old_{measure.value}_of"] = old.bad + old.good
    return fields
