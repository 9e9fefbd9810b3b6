# Licensed under the Apache License 2.0: see LICENSE for details.

"""What one VM does about one trial of a version."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.state.trials.trial import Trial

# VMs write the same status at once; each waits up to so long for another's; seconds.
FIRST_WRITE_SPREAD = 1.0
# What was decided is told so often: a datagram may be lost, or come to a VM that does
# not know of the order yet.
DECISION_ANNOUNCEMENTS = 2


@dataclass(slots=True)
class TrialTask:
    """What this VM does about one trial.

    :param trial: the trial.
    :param write_at: when to write its next status, unless another VM has.
    :param told_at: when this VM has last told the others of it.
    :param told: the counts that it has told then.
    :param told_usual: whether it has told how long answers of the old version take.
    :param relayed_at: when this VM, as a relay, has last told the other data halls.
    :param relayed: the counts of this hall that it has told then.
    :param tells: how often the others are still to be told, soon, what was decided.
    :param asking: whether the others are being asked what they know of it.
    :param found_bad: whether this VM itself has found the version bad.
    """

    trial: Trial
    write_at: float
    told_at: float = float("-inf")
    told: tuple = ()
    told_usual: bool = False
    relayed_at: float = float("-inf")
    relayed: tuple = ()
    tells: int = 0
    asking: bool = False
    found_bad: bool = False

    def decided(self) -> None:
        """Have the others told soon of what was decided here for all VMs."""
        self.tells = DECISION_ANNOUNCEMENTS
