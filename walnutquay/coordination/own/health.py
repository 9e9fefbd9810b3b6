# Licensed under the Apache License 2.0: see LICENSE for details.

"""Circuit breakers of versions: a VM rejects a version on a bad verdict.

Each VM does so by itself, without an order.
"""

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

# The subject of a stage's outcome counts: this prefix, stage, measure and version.
TRIAL = "trial"
SEPARATOR = "|"


class VersionHealth:
    """Counts outcomes of versions in roll-out on all VMs, and rejects failing versions.

    :param context: the state shared by this process.
    :param configurations: the configuration, with the versions in roll-out.
    :param members: the VMs to which a rejection is broadcast.
    :param dispatcher: the dispatcher of messages from peers.
    :param outcome_counts: the outcome counts of all VMs.
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
        self.duration_table = DurationTable()
        # The stage of each version in roll-out, and when it came into force on this VM;
        # monotonic seconds.
        self.stage_since: dict[str, tuple[str, float]] = {}
        configurations.listeners.append(self.on_configuration)
        dispatcher.on(VersionBrake, self.on_peer)
        outcome_counts.listeners.append(self.on_outcome_counts)

    def on_configuration(self, configuration: Configuration) -> None:
        """Set the stages to test, and remove the outcome counts of past stages.

        :param configuration: the configuration that came into force.
        """
        stages = {
            rollout.new: Stage(
                f"{rollout.name}/{rollout.stage}/{rollout.state.value}", rollout.old
            )
            for rollout in configuration.content.rollouts
            if rollout.state in (RolloutState.RUNNING, RolloutState.PAUSED)
        }
        self.table.set_stages(stages)
        now = monotonic()
        self.stage_since = {
            version: self.stage_since[version]
            if self.stage_since.get(version, ("", 0.0))[0] == stage.key
            else (stage.key, now)
            for version, stage in stages.items()
        }
        keys = {stage.key for stage in stages.values()}
        self.outcome_counts.count_table.forget(lambda subject: _is_over(subject, keys))

    def unchanged_for(self, version: str) -> float | None:
        """Return the time for which the stage of a version's roll-out is unchanged.

        :param version: a version.
        :returns: the seconds since this VM first saw the stage; None if the version is
            not in a roll-out.
        """
        since = self.stage_since.get(version)
        return round(monotonic() - since[1], 1) if since is not None else None

    def record_outcome(
        self, version: str, good: bool, request_class: str = "", seconds: float = 0.0
    ) -> None:
        """Record the outcome of a dispatch; reject the version on a bad verdict.

        :param version: the version that ran.
        :param good: whether it answered.
        :param request_class: the request class that the caller named.
        :param seconds: the duration; 0 if it is not meaningful.
        """
        stages = self.table.stages_of(version)
        for stage in stages:
            self._count(stage, Measure.FAILED, version, good)
            if not good or not seconds:
                continue
            if version == stage.old:
                self.duration_table.learn(request_class, seconds)
            slow = self.duration_table.is_slow(request_class, seconds)
            if slow is not None:
                self._count(stage, Measure.SLOW, version, not slow)

    def record_rating(self, version: str, reached: bool) -> None:
        """Record a rating.

        :param version: the version that answered.
        :param reached: whether the answer reached the required quality.
        """
        for stage in self.table.stages_of(version):
            self._count(stage, Measure.POOR, version, reached)

    def _count(self, stage: Stage, measure: Measure, version: str, good: bool) -> None:
        subject = SEPARATOR.join((TRIAL, stage.key, measure.value, version))
        self.outcome_counts.add(subject, good)

    def on_outcome_counts(self, subject: str, good: int, bad: int) -> None:
        """Apply outcomes counted by any VM; reject the version on a bad verdict.

        :param subject: the subject of the counts.
        :param good: the number of good outcomes.
        :param bad: the number of bad outcomes.
        """
        if not subject.startswith(TRIAL + SEPARATOR):
            return
        _, stage, measure, version = subject.split(SEPARATOR)
        if not self.table.record(stage, version, Measure(measure), good, bad):
            return
        self._log_rejection(version, f"bad verdict of the test of {measure} outcomes")
        self.members.broadcast(VersionBrake(version))

    def on_peer(self, envelope: Envelope) -> None:
        """Reject a version that a peer has rejected.

        :param envelope: the peer's message.
        """
        assert isinstance(envelope.body, VersionBrake)
        version = envelope.body.version
        if self.table.reject(version):
            self._log_rejection(version, f"{envelope.vm} has rejected it")

    def _log_rejection(self, version: str, why: str) -> None:
        self.context.timeline.emit(EventKind.BRAKED, version=version, detail=why)


def _is_over(subject: str, stages: set[str]) -> bool:
    """Return whether a subject belongs to a stage that is no longer in force."""
    if not subject.startswith(TRIAL + SEPARATOR):
        return False
    return subject.split(SEPARATOR)[1] not in stages
