# Licensed under the Apache License 2.0: see LICENSE for details.

"""The state of one VM's work on one trial of a version."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.state.trials.trial import Trial

# The range of random delays before a VM writes a status that all VMs are about to
# write, so that most of them find it written by another; seconds.
FIRST_WRITE_SPREAD = 1.0
# The number of times that a decision is announced: a datagram may be lost, or reach a
# VM that does not know of the order yet.
DECISION_ANNOUNCEMENTS = 2


@dataclass(slots=True)
class TrialTask:
    """The state of this VM's work on one trial.

    :param trial: the trial.
    :param write_at: when to write its next status, unless another VM has written it.
    :param announced_at: when this VM last sent its state of the trial to the others, or
        last found that there was nothing to send.
    :param announced_counts: the outcome counts that it sent then.
    :param baseline_announced: whether it has sent its answer times of the old version.
    :param relayed_at: when this VM, as a relay, last had its turn to send the counts of
        its data hall to the other halls.
    :param relayed_counts: the counts of this hall that it sent last.
    :param announcements_due: the number of times that decisions still have to be
        announced without waiting for the next period.
    :param catching_up: whether this VM is requesting the state of the trial from the
        others.
    :param found_bad: whether this VM itself has found the version bad.
    """

    trial: Trial
    write_at: float
    announced_at: float = float("-inf")
    announced_counts: tuple = ()
    baseline_announced: bool = False
    relayed_at: float = float("-inf")
    relayed_counts: tuple = ()
    announcements_due: int = 0
    catching_up: bool = False
    found_bad: bool = False

    def schedule_announcements(self) -> None:
        """Have a decision of this VM that applies to all VMs announced soon."""
        self.announcements_due = DECISION_ANNOUNCEMENTS
