# Licensed under the Apache License 2.0: see LICENSE for details.

"""The brake: a VM holds a new version back by itself once its tests say so."""

from __future__ import annotations

from walnutquay.coordination.own.configurations import Configurations
from walnutquay.coordination.own.members import Members
from walnutquay.coordination.own.outcomecounts import OutcomeCounts
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.protocol.messages import Envelope
from walnutquay.protocol.ownmessages import VersionBrake
from walnutquay.state.own.circuitbreakers import CircuitBreakerTable, Measure, Stage
from walnutquay.state.own.configuration import Configuration
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import RolloutState
from walnutquay.state.requests.durations import DurationTable
from walnutquay.transport.timers import monotonic

# What the counts of a stage are called: this, the stage, the measure, the version.
TRIAL = "trial"
SEPARATOR = "|"


class VersionHealth:
    """Counts how versions in roll-out do, on all VMs, and brakes.

    :param context: what this process shares.
    :param configurations: which versions are being rolled out.
    :param members: whom to tell of a brake.
    :param dispatcher: where peers' brakes come from.
    :param outcome_counts: the counts of all VMs.
    """

    def __init__(
        self,
        context: Context,
        configurations: Configurations,
        members: Members,
        dispatcher: Dispatcher,
        outcome_counts: OutcomeCounts,
    ) -> None:
        self.context = context
        self.members = members
        self.outcome_counts = outcome_counts
        self.table = CircuitBreakerTable()
        self.pace = DurationTable()
        # The stage of each version in roll-out, and since when it is in force here.
        self.since: dict[str, tuple[str, float]] = {}
        configurations.listeners.append(self.on_configuration)
        dispatcher.on(VersionBrake, self.on_peer)
        outcome_counts.listeners.append(self.on_tally)

    def on_configuration(self, configuration: Configuration) -> None:
        """:param configuration: what came into force."""
        stages = {
            rollout.new: Stage(
                f"{rollout.name}/{rollout.stage}/{rollout.state.value}", rollout.old
            )
            for rollout in configuration.content.rollouts
            if rollout.state in (RolloutState.RUNNING, RolloutState.PAUSED)
        }
        self.table.set_stages(stages)
        now = monotonic()
        self.since = {
            version: self.since[version]
            if self.since.get(version, ("", 0.0))[0] == stage.key
            else (stage.key, now)
            for version, stage in stages.items()
        }
        keys = {stage.key for stage in stages.values()}
        self.outcome_counts.count_table.forget(lambda subject: _is_over(subject, keys))

    def unchanged_for(self, version: str) -> float | None:
        """:param version: a version.

        :returns: seconds for which its roll-out has stood where it stands, as far
            as this VM has seen it; None where it is in none.
        """
        since = self.since.get(version)
        return round(monotonic() - since[1], 1) if since is not None else None

    def note(
        self, version: str, good: bool, request_class: str = "", seconds: float = 0.0
    ) -> None:
        """Count how a dispatch ended; brake where it is due.

        :param version: the version that ran.
        :param good: whether it answered.
        :param request_class: the caller's class of request.
        :param seconds: how long it took; 0 where that says nothing.
        """
        stages = self.table.stages_of(version)
        for stage in stages:
            self._count(stage, Measure.FAILED, version, good)
            if not good or not seconds:
                continue
            if version == stage.old:
                self.pace.learn(request_class, seconds)
            slow = self.pace.is_slow(request_class, seconds)
            if slow is not None:
                self._count(stage, Measure.SLOW, version, not slow)

    def note_rating(self, version: str, reached: bool) -> None:
        """Count a rating.

        :param version: the version that answered.
        :param reached: whether the answer had the quality that is asked for.
        """
        for stage in self.table.stages_of(version):
            self._count(stage, Measure.POOR, version, reached)

    def _count(self, stage: Stage, measure: Measure, version: str, good: bool) -> None:
        subject = SEPARATOR.join((TRIAL, stage.key, measure.value, version))
        self.outcome_counts.add(subject, good)

    def on_tally(self, subject: str, good: int, bad: int) -> None:
        """Take in outcomes that this VM or another one has counted.

        :param subject: what was counted.
        :param good: good outcomes.
        :param bad: bad ones.
        """
        if not subject.startswith(TRIAL + SEPARATOR):
            return
        _, stage, measure, version = subject.split(SEPARATOR)
        if not self.table.record(stage, version, Measure(measure), good, bad):
            return
        self._tell(version, f"the test of {measure} outcomes says so")
        self.members.broadcast(VersionBrake(version))

    def on_peer(self, envelope: Envelope) -> None:
        """:param envelope: a peer's brake."""
        assert isinstance(envelope.body, VersionBrake)
        version = envelope.body.version
        if self.table.reject(version):
            self._tell(version, f"{envelope.vm} says so")

    def _tell(self, version: str, why: str) -> None:
        self.context.timeline.emit(EventKind.BRAKED, version=version, detail=why)


def _is_over(subject: str, stages: set[str]) -> bool:
    """Tell whether a subject belongs to a stage that is in force no more."""
    if not subject.startswith(TRIAL + SEPARATOR):
        return False
    return subject.split(SEPARATOR)[1] not in stages
